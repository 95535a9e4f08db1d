/** Parts of the cost of a worker for a task, relative to a load of 0 to 1. */
export const PlacementCostPart = {
  /** The data is in another rack. */
  REMOTE_DATA: 'remoteData',
  /** Outside the data centre that the job prefers. */
  DATA_CENTRE: 'dataCentre',
  SLOWNESS: 'slowness',
  WARMUP: 'warmup',
  /** The first serving task of a worker, or one next to other images. */
  SERVING_MIX: 'servingMix',
  /** Reserved processors with the task, for serving tasks. */
  RESERVED_LOAD: 'reservedLoad',
  /** Processors that stay unreserved, for tasks that fill gaps. */
  UNRESERVED_LEFT: 'unreservedLeft',
  /** The task would use the gap for a large one. */
  GAP: 'gap',
  /** Processors in use with the task, for best-effort tasks. */
  LOAD: 'load',
  INTERFERENCE: 'interference',
  /** Discount for workers with sensitive serving runs. */
  SENSITIVITY: 'sensitivity',
  /** Failures and crashes of the task. */
  TASK_HISTORY: 'taskHistory',
} as const;
export type PlacementCostPart =
  (typeof PlacementCostPart)[keyof typeof PlacementCostPart];

/** Receives a part of a cost, and returns it. */
export type CostPartObserver = (
  part: PlacementCostPart,
  cost: number,
) => number;

/** Observer for costs of which only the sum counts. */
export const ignoreCostPart: CostPartObserver = (_part, cost) => cost;

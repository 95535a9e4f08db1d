import {ActiveStep} from './active_job.js';
import {Clock, Millis} from '../base/clock.js';
import {HeadroomForecast} from './headroom.js';
import {JobTimePredictor} from './job_time_predictor.js';
import {CandidateWorker} from './candidate_workers.js';
import {PreferredDataCentre} from './isolation/preferred_data_centre.js';
import {Lookahead} from './lookahead/lookahead.js';
import {
  CostPartObserver,
  ignoreCostPart,
  PlacementCostPart,
} from './placement_cost_part.js';
import {SharedLoad, SharedLoads} from './shared_load.js';
import {
  exclusionReason,
  ExclusionReason,
  hasRoom,
  isUnderLimit,
} from './worker_exclusion.js';
import {WorkerReserve} from './worker_reserve.js';
import {WorkerState} from './worker_state.js';

/**
 * Cost of a worker in another rack than the data, relative to a load of 0 to 1.
 */
const REMOTE_DATA_COST = 3;

/**
 * Slowness above which a worker is avoided; smaller differences occur on any
 * worker, as run times vary.
 */
const SLOW_RATIO = 1.7;

/**
 * Costs of a worker outside the data centre that the job prefers, relative to a
 * load of 0 to 1. For tasks that reserve processors it outweighs best fit, which
 * differs by up to 1, and stays below remote data. Best-effort tasks slow each
 * other on busy workers, so for them the load may differ by less.
 */
const OTHER_DATA_CENTRE_COST = 1;
const OTHER_DATA_CENTRE_BEST_EFFORT_COST = 0.3;

/** Cost of a worker whose warm-up takes longer than the task. */
const WARMUP_COST = 0.5;

/** Headroom that serving runs should keep when a best-effort task is added. */
const SAFE_HEADROOM = 1.2;

/** Headroom loss that a best-effort task may cause without a cost. */
const NEGLIGIBLE_LOSS = 0.12;

/** Time over target after which no best-effort task is placed next to a run. */
const MAX_TIME_OVER_TARGET_MS: Millis = 1500;

/** Cost of the first serving task on a worker, relative to a load of 0 to 1. */
const FIRST_SERVING_COST = 0.4;

/** Cost per unit of load above the threshold; both are shares of a worker. */
const OVERLOAD_COST = 8;
const OVERLOAD_THRESHOLD = 0.8;

/**
 * Upper bound of the interference cost of a task that is started regardless of
 * it; the cost would be infinite next to some serving runs.
 */
const MAX_FORCED_START_COST = 100;

/**
 * Maximum discount for a worker with sensitive serving runs, relative to a load
 * of 0 to 1.
 */
const MAX_SENSITIVITY_DISCOUNT = 0.25;

/** Mean weight of a serving image that gives the maximum discount. */
const HIGH_MEAN_WEIGHT = 4;

/**
 * Load up to which best-effort tasks are placed; more would slow all of them.
 */
const MAX_BEST_EFFORT_LOAD = 1.05;

/**
 * The same for workers with serving runs, whose tail latency grows when no
 * processor is idle.
 */
const MAX_SHARED_LOAD = 1;

/** Why a worker that has room is no candidate for a step. */
export const ClosedReason = {
  /** Its room is kept for a large task, see Lookahead. */
  RESERVED: 'reserved',
  /** One more best-effort task would slow all that it has. */
  OVERLOADED: 'overloaded',
} as const;
export type ClosedReason = (typeof ClosedReason)[keyof typeof ClosedReason];

/** Computes the cost of placing a step's tasks on a worker; lower is better. */
export class PlacementCost {
  /** Workers that perpetual tasks take last. */
  readonly reserve = new WorkerReserve();
  /** Data centres in which jobs are kept together. */
  readonly preferred = new PreferredDataCentre();
  private readonly sharedLoads: SharedLoads;

  constructor(
    private readonly clock: Clock,
    private readonly forecast: HeadroomForecast,
    private readonly predictor: JobTimePredictor,
    private readonly lookahead?: Lookahead,
  ) {
    this.sharedLoads = new SharedLoads(forecast);
  }

  /**
   * Costs of a worker at the local time `now`; undefined if it lacks capacity
   * for a task.
   * @param note receives the parts of the cost.
   */
  candidate(
    step: ActiveStep,
    worker: WorkerState,
    now: Millis,
    note: CostPartObserver = ignoreCostPart,
  ): CandidateWorker | undefined {
    if (!this.isOpenTo(step, worker)) return undefined;
    const common = this.commonCost(step, worker, note);
    if (step.shape.fills) {
      return this.bestEffortCandidate(step, worker, common, now, note);
    }
    const gapCost = note(PlacementCostPart.GAP, this.gapCost(step, worker));
    return {
      worker,
      cost: common + reservationCost(step, worker, note) + gapCost,
      interferenceCost: 0,
      keepsReserve: this.reserve.isLeftBy(step, worker),
    };
  }

  /** Why a worker is no candidate for a step; undefined if it is one. */
  obstacle(
    step: ActiveStep,
    worker: WorkerState,
    now: Millis,
  ): ExclusionReason | ClosedReason | undefined {
    const reason = exclusionReason(step, worker, now);
    if (reason !== undefined) return reason;
    if (!this.isOpenTo(step, worker)) return ClosedReason.RESERVED;
    const isCandidate = this.candidate(step, worker, now) !== undefined;
    return isCandidate ? undefined : ClosedReason.OVERLOADED;
  }

  /**
   * Cost of a worker for a best-effort task that is started regardless of the
   * interference; undefined if the worker lacks capacity.
   */
  forcedStartCost(step: ActiveStep, worker: WorkerState): number | undefined {
    if (!this.isOpenTo(step, worker)) return undefined;
    const shared = this.sharedLoads.of(worker, this.clock.now());
    return (
      loadWith(step, worker, shared) +
      Math.min(
        this.interferenceCost(step, worker, shared),
        MAX_FORCED_START_COST,
      )
    );
  }

  /** Whether a worker has room for a task that is not kept for others. */
  private isOpenTo(step: ActiveStep, worker: WorkerState): boolean {
    if (!hasRoom(step, worker) || !isUnderLimit(step, worker)) return false;
    return this.lookahead?.admits(step, worker) ?? true;
  }

  private gapCost(step: ActiveStep, worker: WorkerState): number {
    return this.lookahead?.gapCost(step, worker) ?? 0;
  }

  private bestEffortCandidate(
    step: ActiveStep,
    worker: WorkerState,
    common: number,
    now: Millis,
    note: CostPartObserver,
  ): CandidateWorker | undefined {
    const shared = this.sharedLoads.of(worker, now);
    const load = loadWith(step, worker, shared);
    const isShared = shared.headroomByImage.size > 0;
    const maxLoad = isShared ? MAX_SHARED_LOAD : MAX_BEST_EFFORT_LOAD;
    if (load > maxLoad && worker.bestEffortCpuMilli > 0) return undefined;
    const interferenceCost = this.interferenceCost(step, worker, shared);
    const cost =
      common +
      note(PlacementCostPart.LOAD, bestEffortLoadCost(load)) +
      note(PlacementCostPart.INTERFERENCE, interferenceCost) +
      note(PlacementCostPart.SENSITIVITY, -sensitivityDiscount(shared));
    return {worker, cost, interferenceCost, keepsReserve: true};
  }

  /** Cost that applies to tasks of all kinds. */
  private commonCost(
    step: ActiveStep,
    worker: WorkerState,
    note: CostPartObserver,
  ): number {
    const {REMOTE_DATA, DATA_CENTRE, SLOWNESS, WARMUP} = PlacementCostPart;
    return (
      note(REMOTE_DATA, dataCost(step, worker)) +
      note(DATA_CENTRE, this.dataCentreCost(step, worker)) +
      note(SLOWNESS, slownessCost(worker)) +
      note(WARMUP, this.warmupCost(step, worker))
    );
  }

  private dataCentreCost(step: ActiveStep, worker: WorkerState): number {
    if (!this.preferred.isOutside(step, worker)) return 0;
    return step.shape.fills
      ? OTHER_DATA_CENTRE_BEST_EFFORT_COST
      : OTHER_DATA_CENTRE_COST;
  }

  private warmupCost(step: ActiveStep, worker: WorkerState): number {
    const {warmupMs} = worker.listing!;
    return warmupMs > this.predictor.expectedRunTime(step) ? WARMUP_COST : 0;
  }

  /**
   * Headroom below SAFE_HEADROOM that one more best-effort task takes from the
   * serving runs; infinite next to a run that has been over its target for
   * more than MAX_TIME_OVER_TARGET_MS.
   */
  private interferenceCost(
    {shape}: ActiveStep,
    worker: WorkerState,
    {headroomByImage, longestOverTargetMs}: SharedLoad,
  ): number {
    if (longestOverTargetMs > MAX_TIME_OVER_TARGET_MS) return Infinity;
    const share = shape.cpuMilli / worker.capacity.cpuMilli;
    let shortfall = 0;
    for (const [image, headrooms] of headroomByImage) {
      const loss = this.forecast.weightUpperBound(image, shape.image) * share;
      if (loss < NEGLIGIBLE_LOSS) continue;
      for (const before of headrooms) {
        shortfall += Math.max(0, SAFE_HEADROOM - before + loss);
        shortfall -= Math.max(0, SAFE_HEADROOM - before);
      }
    }
    return shortfall;
  }
}

/** Cost of a worker in another rack than the data. */
function dataCost({shape}: ActiveStep, {rack}: WorkerState): number {
  const {dataRack} = shape;
  return dataRack !== '' && dataRack !== rack ? REMOTE_DATA_COST : 0;
}

/** Cost of a slow worker. */
function slownessCost({slowness}: WorkerState): number {
  return slowness > SLOW_RATIO ? slowness - 1 : 0;
}

/**
 * Discount by the highest mean weight of a worker's serving images.
 * Best-effort tasks that don't interfere prefer workers with sensitive
 * serving runs, so tolerant workers remain for tasks that do interfere.
 */
function sensitivityDiscount({maxMeanWeight}: SharedLoad): number {
  return (
    MAX_SENSITIVITY_DISCOUNT * Math.min(1, maxMeanWeight / HIGH_MEAN_WEIGHT)
  );
}

/** Share of a worker's processors in use after adding a best-effort task. */
function loadWith(
  {shape}: ActiveStep,
  worker: WorkerState,
  {usedCpuMilli}: SharedLoad,
): number {
  return (usedCpuMilli + shape.cpuMilli) / worker.capacity.cpuMilli;
}

/** Cost of a task that reserves processors. */
function reservationCost(
  step: ActiveStep,
  worker: WorkerState,
  note: CostPartObserver,
): number {
  if (step.shape.targetMs > 0) return servingCost(step, worker, note);
  // Best fit: short tasks use gaps that are too small for serving tasks.
  const left = 1 - reservedLoad(step, worker);
  return note(PlacementCostPart.UNRESERVED_LEFT, left);
}

/** Share of a worker's processors that is reserved after adding the task. */
function reservedLoad({shape}: ActiveStep, worker: WorkerState): number {
  const reserved = worker.reserved.cpuMilli + shape.cpuMilli;
  return reserved / worker.capacity.cpuMilli;
}

/** Cost of a load with best-effort tasks; steep above OVERLOAD_THRESHOLD. */
function bestEffortLoadCost(load: number): number {
  return load + OVERLOAD_COST * Math.max(0, load - OVERLOAD_THRESHOLD);
}

/**
 * Cost of a serving task. Serving tasks are packed onto few workers, preferably
 * together with tasks of the same image. Best-effort tasks interfere with some
 * images only, and workers without serving tasks have the most capacity for
 * them.
 */
function servingCost(
  step: ActiveStep,
  worker: WorkerState,
  note: CostPartObserver,
): number {
  let servingCount = 0;
  let otherImageCount = 0;
  for (const run of worker.runs.values()) {
    const {targetMs, image} = run.task.step.shape;
    if (targetMs === 0) continue;
    servingCount++;
    if (image !== step.shape.image) otherImageCount++;
  }
  const mixCost =
    servingCount === 0 ? FIRST_SERVING_COST : otherImageCount / servingCount;
  return (
    note(PlacementCostPart.SERVING_MIX, mixCost) +
    note(PlacementCostPart.RESERVED_LOAD, reservedLoad(step, worker))
  );
}

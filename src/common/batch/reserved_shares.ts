import {WorkerState} from './worker_state.js';

/**
 * Maximum reserved share of the processors at which a best-effort job without
 * runs starts a task regardless of interference.
 */
export const MAX_FORCED_START_LOAD = 0.6;

/** Shares of workers' processors, from 0 to 1; 1 without any capacity. */
export interface ReservedShares {
  /** Reserved by runs of any kind. */
  readonly all: number;
  /** Reserved by perpetual runs, until their jobs are cancelled. */
  readonly perpetual: number;
}

/** Reserved shares of all workers' processors. */
export function reservedShares(workers: Iterable<WorkerState>): ReservedShares {
  let all = 0;
  let perpetual = 0;
  let capacity = 0;
  for (const worker of workers) {
    all += worker.reserved.cpuMilli;
    capacity += worker.capacity.cpuMilli;
    for (const {task} of worker.runs.values()) {
      const {shape} = task.step;
      if (shape.perpetual && !shape.fills) perpetual += shape.cpuMilli;
    }
  }
  if (capacity === 0) return {all: 1, perpetual: 1};
  return {all: all / capacity, perpetual: perpetual / capacity};
}

/** Rounds a share to thousandths, for the log. */
export function roundShare(share: number): number {
  return Math.round(share * 1000) / 1000;
}

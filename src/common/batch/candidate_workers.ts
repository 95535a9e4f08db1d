import {Millis, SECOND} from '../base/clock.js';
import {ActiveStep, ActiveTask} from './active_job.js';
import {PlacementCost} from './placement_cost.js';
import {WorkerState} from './worker_state.js';

/**
 * Limits of the interference cost, in headroom, that a best-effort task may
 * cause. A task starts with the initial limit, which grows with each second of
 * waiting, up to the maximum. The limit of late jobs doesn't grow, so they
 * wait for workers with enough headroom.
 */
const INITIAL_INTERFERENCE_LIMIT = 0.1;
const INTERFERENCE_LIMIT_PER_SECOND = 0.15;
const MAX_INTERFERENCE_LIMIT = 0.6;
const LATE_INTERFERENCE_LIMIT = 0.1;

/**
 * Time that a perpetual task waits for a worker that keeps a reserve of
 * processors for other tasks; the second value applies while short tasks wait
 * for capacity. Callers expect a task that ended to run again within 6 s.
 */
const RESERVE_WAIT_MS: Millis = 1000;
export const RESERVE_WAIT_IN_SHORTAGE_MS: Millis = 3500;

/**
 * Additional cost of the worker on which the task failed last, relative to a
 * load of 0 to 1.
 */
const LAST_FAILURE_COST = 2;

/**
 * Additional costs of a worker for a task under which a worker has crashed,
 * relative to a load of 0 to 1: for each run that would be lost with it, for
 * another such task on it, which would hide the cause, and for a worker that
 * has restarted lately, which may crash by itself.
 */
const RUN_AT_RISK_COST = 1;
const SECOND_SUSPECT_COST = 5;
const RECENT_RESTART_COST = 5;

/** Age up to which an incarnation of a worker counts as restarted lately. */
const RECENT_RESTART_MS: Millis = 15 * SECOND;

/** A worker with capacity for a task of a step, and its cost. */
export interface CandidateWorker {
  readonly worker: WorkerState;
  /** Lower is better. */
  readonly cost: number;
  /** Headroom shortfall that one more best-effort task adds to serving runs. */
  readonly interferenceCost: number;
  /** Whether the worker keeps its reserve when a perpetual task is added. */
  readonly keepsReserve: boolean;
}

/**
 * The workers that have capacity for tasks of one step. All tasks of a step
 * need the same, so a worker's cost is computed once, and again each time that
 * a task is placed on it.
 */
export class CandidateWorkers {
  private readonly candidates: CandidateWorker[] = [];
  constructor(
    private readonly step: ActiveStep,
    workers: Iterable<WorkerState>,
    private readonly costs: PlacementCost,
    private readonly now: Millis,
    /** Wall-clock time, in ms since 1970. */
    private readonly wallNow: number,
    private readonly areShortTasksWaiting: boolean,
    private readonly isLate: boolean,
  ) {
    for (const worker of workers) {
      const candidate = costs.candidate(step, worker, now);
      if (candidate !== undefined) this.candidates.push(candidate);
    }
  }

  get isEmpty(): boolean {
    return this.candidates.length === 0;
  }

  /** Worker with the lowest cost; undefined if the task has to wait. */
  best(task: ActiveTask): WorkerState | undefined {
    const {perpetual} = this.step.shape;
    if (!perpetual) return this.cheapest(task, false);
    const withReserve = this.cheapest(task, true);
    if (withReserve !== undefined) return withReserve;
    const maxWait = this.areShortTasksWaiting
      ? RESERVE_WAIT_IN_SHORTAGE_MS
      : RESERVE_WAIT_MS;
    const waited = this.now - task.readySince;
    return waited > maxWait ? this.cheapest(task, false) : undefined;
  }

  /** Updates or removes a worker after a task was placed on it. */
  refresh(worker: WorkerState): void {
    const index = this.candidates.findIndex(
      candidate => candidate.worker === worker,
    );
    if (index < 0) return;
    const candidate = this.costs.candidate(this.step, worker, this.now);
    if (candidate !== undefined) this.candidates[index] = candidate;
    else this.candidates.splice(index, 1);
  }

  private cheapest(
    task: ActiveTask,
    mustKeepReserve: boolean,
  ): WorkerState | undefined {
    const limit = this.interferenceLimit(task);
    let best: WorkerState | undefined;
    let lowestCost = Infinity;
    for (const {worker, cost, interferenceCost, keepsReserve} of this
      .candidates) {
      if (mustKeepReserve && !keepsReserve) continue;
      if (interferenceCost > limit) continue;
      if (worker.runs.has(task.name)) continue;
      const total = cost + this.taskCost(task, worker);
      if (total >= lowestCost) continue;
      lowestCost = total;
      best = worker;
    }
    return best;
  }

  /** Cost that depends on what happened to a task before. */
  private taskCost(task: ActiveTask, worker: WorkerState): number {
    const failureCost = task.failedOn === worker.id ? LAST_FAILURE_COST : 0;
    if (task.crashes.length === 0) return failureCost;
    let cost = failureCost + RUN_AT_RISK_COST * worker.runs.size;
    const hasSuspect = [...worker.runs.values()].some(
      run => run.task.crashes.length > 0,
    );
    if (hasSuspect) cost += SECOND_SUSPECT_COST;
    const isNew = this.wallNow - worker.born < RECENT_RESTART_MS;
    return isNew ? cost + RECENT_RESTART_COST : cost;
  }

  private interferenceLimit(task: ActiveTask): number {
    const waitedSeconds = (this.now - task.readySince) / SECOND;
    const limit =
      INITIAL_INTERFERENCE_LIMIT +
      waitedSeconds * INTERFERENCE_LIMIT_PER_SECOND;
    const maxLimit = this.isLate
      ? LATE_INTERFERENCE_LIMIT
      : MAX_INTERFERENCE_LIMIT;
    return Math.min(limit, maxLimit);
  }
}

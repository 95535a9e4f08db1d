import {Millis, SECOND} from '../base/clock.js';
import {ActiveStep, ActiveTask} from './active_job.js';
import {CandidateEntry, CandidateHeap, isCheaper} from './candidate_heap.js';
import {PlacementCost} from './placement_cost.js';
import {PlacementCostPart} from './placement_cost_part.js';
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

/** Why a task does not go to a worker that has capacity for it. */
export const TaskObstacle = {
  /** The worker keeps a reserve that the task may not use yet. */
  RESERVE: 'reserve',
  /** The task would disturb serving runs more than it may yet. */
  INTERFERENCE: 'interference',
  /** An earlier run of the task is on the worker. */
  OWN_RUN: 'ownRun',
} as const;
export type TaskObstacle = (typeof TaskObstacle)[keyof typeof TaskObstacle];

/** A worker as it is weighed for a task. */
export interface WeighedWorker {
  readonly worker: WorkerState;
  /** Lower is better; the sum of the parts. */
  readonly cost: number;
  readonly parts: Readonly<Partial<Record<PlacementCostPart, number>>>;
  /** Undefined if the worker may be chosen. */
  readonly obstacle: TaskObstacle | undefined;
}

/** The candidates of a step, ordered by cost. */
interface CandidateHeaps {
  readonly keepingReserve: CandidateHeap;
  readonly usingReserve: CandidateHeap;
  /** Indexes of the candidates by worker. */
  readonly indexes: ReadonlyMap<WorkerState, number>;
}

/**
 * The workers that have capacity for tasks of one step. All tasks of a step
 * need the same, so a worker's cost is computed once, and again each time that
 * a task is placed on it.
 */
export class CandidateWorkers {
  /** In the order of the workers; those that lack capacity now are stale. */
  private readonly entries: CandidateEntry[] = [];
  /** Number of entries that are not stale. */
  private count = 0;
  /** Whether a task without costs of its own was tried. */
  private hasSearched = false;
  /** Created for the second such task, as one search costs less. */
  private heaps: CandidateHeaps | undefined;
  /** Whether a cost was not a number, which has no place in a heap. */
  private hasUnorderedCosts = false;

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
      if (candidate === undefined) continue;
      this.setEntry(candidate, this.entries.length);
      this.count++;
    }
  }

  get isEmpty(): boolean {
    return this.count === 0;
  }

  /** Worker with the lowest cost; undefined if the task has to wait. */
  best(task: ActiveTask): WorkerState | undefined {
    if (!this.step.shape.perpetual) return this.cheapest(task, false);
    const withReserve = this.cheapest(task, true);
    if (withReserve !== undefined) return withReserve;
    return this.mayUseReserve(task) ? this.cheapest(task, false) : undefined;
  }

  /** Whether a perpetual task has waited for a worker without a reserve. */
  private mayUseReserve(task: ActiveTask): boolean {
    // A detached task has waited in another shard already.
    if (this.step.occurrence.job.detached) return true;
    const maxWait = this.areShortTasksWaiting
      ? RESERVE_WAIT_IN_SHORTAGE_MS
      : RESERVE_WAIT_MS;
    return this.now - task.readySince > maxWait;
  }

  /**
   * The first `limit` candidates in the order in which `best` prefers them for a
   * task, then those that it may not choose.
   */
  weigh(task: ActiveTask, limit: number): WeighedWorker[] {
    const maxInterference = this.interferenceLimit(task);
    const mustKeepReserve =
      this.step.shape.perpetual &&
      (!this.mayUseReserve(task) || this.cheapest(task, true) !== undefined);
    return this.entries
      .filter(({isStale}) => !isStale)
      .map(({candidate}) => ({
        worker: candidate.worker,
        cost: candidate.cost + this.taskCost(task, candidate.worker),
        obstacle: taskObstacle(
          candidate,
          task,
          maxInterference,
          mustKeepReserve,
        ),
      }))
      .sort((a, b) => order(a) - order(b) || compare(a.cost, b.cost))
      .slice(0, limit)
      .map(weighed => ({...weighed, parts: this.parts(task, weighed.worker)}));
  }

  private parts(task: ActiveTask, worker: WorkerState): WeighedWorker['parts'] {
    const parts: Partial<Record<PlacementCostPart, number>> = {};
    this.costs.candidate(this.step, worker, this.now, (part, cost) => {
      if (cost !== 0) parts[part] = cost;
      return cost;
    });
    const taskCost = this.taskCost(task, worker);
    if (taskCost !== 0) parts[PlacementCostPart.TASK_HISTORY] = taskCost;
    return parts;
  }

  /** Updates or removes a worker after a task was placed on it. */
  refresh(worker: WorkerState): void {
    const index = this.indexOf(worker);
    if (index < 0 || this.entries[index].isStale) return;
    this.entries[index].isStale = true;
    const candidate = this.costs.candidate(this.step, worker, this.now);
    if (candidate === undefined) {
      this.count--;
      return;
    }
    const entry = this.setEntry(candidate, index);
    if (this.heaps === undefined) return;
    const {keepingReserve, usingReserve} = this.heaps;
    (candidate.keepsReserve ? keepingReserve : usingReserve).add(entry);
  }

  private indexOf(worker: WorkerState): number {
    if (this.heaps !== undefined) return this.heaps.indexes.get(worker) ?? -1;
    return this.entries.findIndex(({candidate}) => candidate.worker === worker);
  }

  private setEntry(candidate: CandidateWorker, index: number): CandidateEntry {
    const entry = {candidate, index, isStale: false};
    this.entries[index] = entry;
    if (Number.isNaN(candidate.cost)) this.hasUnorderedCosts = true;
    return entry;
  }

  private cheapest(
    task: ActiveTask,
    mustKeepReserve: boolean,
  ): WorkerState | undefined {
    const limit = this.interferenceLimit(task);
    if (hasTaskCost(task) || this.hasUnorderedCosts) {
      return this.searchAll(task, limit, mustKeepReserve);
    }
    if (!this.hasSearched) {
      this.hasSearched = true;
      return this.searchAll(task, limit, mustKeepReserve);
    }
    this.heaps ??= this.createHeaps(limit);
    const {keepingReserve, usingReserve} = this.heaps;
    const heaps = mustKeepReserve
      ? [keepingReserve]
      : [keepingReserve, usingReserve];
    if (!heaps.every(heap => heap.isCompleteUpTo(limit))) {
      return this.searchAll(task, limit, mustKeepReserve);
    }
    let best: CandidateEntry | undefined;
    for (const heap of heaps) {
      const entry = heap.cheapest(task.name, limit);
      if (entry === undefined) continue;
      if (best === undefined || isCheaper(entry, best)) best = entry;
    }
    return best?.candidate.worker;
  }

  /** Goes through all candidates, for a task that the heaps can't serve. */
  private searchAll(
    task: ActiveTask,
    limit: number,
    mustKeepReserve: boolean,
  ): WorkerState | undefined {
    let best: WorkerState | undefined;
    let lowestCost = Infinity;
    for (const {candidate, isStale} of this.entries) {
      if (isStale) continue;
      if (taskObstacle(candidate, task, limit, mustKeepReserve)) continue;
      const {worker, cost} = candidate;
      const total = cost + this.taskCost(task, worker);
      if (total >= lowestCost) continue;
      lowestCost = total;
      best = worker;
    }
    return best;
  }

  private createHeaps(limit: number): CandidateHeaps {
    const keepingReserve: CandidateEntry[] = [];
    const usingReserve: CandidateEntry[] = [];
    const indexes = new Map<WorkerState, number>();
    for (const entry of this.entries) {
      if (entry.isStale) continue;
      const {worker, keepsReserve} = entry.candidate;
      indexes.set(worker, entry.index);
      (keepsReserve ? keepingReserve : usingReserve).push(entry);
    }
    return {
      keepingReserve: new CandidateHeap(keepingReserve, limit),
      usingReserve: new CandidateHeap(usingReserve, limit),
      indexes,
    };
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

/** Whether a task has costs of its own on some workers. */
function hasTaskCost({failedOn, crashes}: ActiveTask): boolean {
  return failedOn !== '' || crashes.length > 0;
}

/**
 * Why a task may not be placed on a candidate, if so.
 * @param limit of the interference cost.
 */
function taskObstacle(
  {worker, interferenceCost, keepsReserve}: CandidateWorker,
  task: ActiveTask,
  limit: number,
  mustKeepReserve: boolean,
): TaskObstacle | undefined {
  if (mustKeepReserve && !keepsReserve) return TaskObstacle.RESERVE;
  if (interferenceCost > limit) return TaskObstacle.INTERFERENCE;
  return worker.runs.has(task.name) ? TaskObstacle.OWN_RUN : undefined;
}

/** Workers that may be chosen come before the others. */
function order({obstacle}: Pick<WeighedWorker, 'obstacle'>): number {
  return obstacle === undefined ? 0 : 1;
}

/** Compares costs, which may be infinite. */
function compare(a: number, b: number): number {
  return a === b ? 0 : a < b ? -1 : 1;
}

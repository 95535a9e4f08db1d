import {Millis} from '../base/clock.js';
import {RunObserver, SimulatedWorker} from './simulated_worker.test_support.js';

/** A start of a task on a worker. */
interface ObservedStart {
  readonly worker: string;
  readonly at: Millis;
}

/**
 * Checks that no task has two runs at the same time, and that none starts after
 * an end as done that is acknowledged then or later.
 */
export class RunViolations implements RunObserver {
  /** Descriptions of the violations, in order. */
  readonly found: string[] = [];
  /** Tasks that may have several runs. */
  readonly speculativeTasks = new Set<string>();
  private readonly doneTasks = new Set<string>();
  private readonly starts = new Map<string, ObservedStart[]>();

  constructor(
    private readonly now: () => Millis,
    private readonly workers: ReadonlyMap<string, SimulatedWorker>,
  ) {}

  onStart({id}: SimulatedWorker, task: string): void {
    if (this.speculativeTasks.has(task)) return;
    const at = this.now();
    const starts = this.starts.get(task) ?? [];
    this.starts.set(task, [...starts, {worker: id, at}]);
    // A worker that is down has no runs; one that is cut off goes on.
    for (const other of this.workers.values()) {
      if (other.id === id || !other.runs.has(task)) continue;
      this.found.push(`${task} starts on ${id} and runs on ${other.id}`);
    }
    if (this.doneTasks.has(task)) this.addStartAfterEnd(task, id);
  }

  onDoneAcknowledged(task: string, endedAt: Millis): void {
    if (this.speculativeTasks.has(task)) return;
    this.doneTasks.add(task);
    for (const {worker, at} of this.starts.get(task) ?? []) {
      if (at > endedAt) this.addStartAfterEnd(task, worker);
    }
  }

  private addStartAfterEnd(task: string, worker: string): void {
    this.found.push(`${task} starts on ${worker} after it was done`);
  }
}

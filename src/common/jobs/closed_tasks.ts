import {MINUTE, Millis} from '../base/clock.js';
import {JobId, TaskId} from './types.js';

/** How long a closed task is kept after its worker was told to forget it. */
const RETENTION_MS: Millis = 10 * MINUTE;

/** A task that has certainly ended. */
export interface ClosedTask {
  readonly id: TaskId;
  readonly job: JobId;
  readonly worker: string;
  /** Local time at which the end became known. */
  readonly closedAt: Millis;
  /** Whether the record of the outcome was read back. */
  recorded: boolean;
  /** Local time at which the worker was first told to forget it. */
  forgetSentAt: Millis;
}

/**
 * Tasks that have ended. A worker keeps an outcome until it is told to forget
 * it; that happens only after the record of the outcome was read back, so that
 * a new leader can still get an unrecorded outcome from the worker.
 */
export class ClosedTasks {
  private readonly tasks = new Map<TaskId, ClosedTask>();
  /** Ids of the tasks with `recorded` set, in the order of their records. */
  private readonly recorded = new Set<TaskId>();

  get(id: TaskId): ClosedTask | undefined {
    return this.tasks.get(id);
  }

  /** Adds a task that has ended and whose outcome is not yet read back. */
  close(id: TaskId, job: JobId, worker: string, now: Millis): void {
    this.tasks.set(id, {
      id,
      job,
      worker,
      closedAt: now,
      recorded: false,
      forgetSentAt: -Infinity,
    });
  }

  /**
   * Marks the record of the outcome as read back at `now`. Returns the task, or
   * undefined if it is unknown or was marked before.
   */
  markRecorded(id: TaskId, now: Millis): ClosedTask | undefined {
    const task = this.tasks.get(id);
    if (task === undefined || task.recorded) return undefined;
    task.recorded = true;
    task.forgetSentAt = now;
    this.recorded.add(id);
    return task;
  }

  /** Drops tasks whose workers were told to forget them long ago. */
  prune(now: Millis): void {
    for (const id of this.recorded) {
      const task = this.tasks.get(id);
      if (task !== undefined && now - task.forgetSentAt < RETENTION_MS) break;
      this.recorded.delete(id);
      this.tasks.delete(id);
    }
  }

  clear(): void {
    this.tasks.clear();
    this.recorded.clear();
  }
}

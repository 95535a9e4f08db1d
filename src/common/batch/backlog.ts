import {Millis, SECOND} from '../base/clock.js';
import {ActiveStep, ActiveTask} from './active_job.js';
import {DecisionLog} from './scheduler_state.js';

/** Minimum time between two reports; each is a line for each queue. */
const REPORT_INTERVAL_MS: Millis = 2 * SECOND;

/** Why a task was not placed. */
export const WaitReason = {
  /** No worker has room for it. */
  ROOM: 'room',
  /** Workers have room, but serving tasks there would lose too much headroom. */
  INTERFERENCE: 'interference',
} as const;
export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason];

/** Waiting tasks of one queue. */
interface QueueBacklog {
  readonly jobs: Set<string>;
  readonly lateJobs: Set<string>;
  /** Numbers of tasks that wait, by reason. */
  readonly tasks: Record<WaitReason, number>;
  /** Longest time that one of the tasks has been ready to run. */
  oldestMs: Millis;
}

/**
 * Collects why tasks wait during a scan of the waiting tasks, and logs a
 * summary for each queue.
 */
export class Backlog {
  private readonly queues = new Map<string, QueueBacklog>();
  private reportedAt: Millis = -Infinity;

  constructor(private readonly log: DecisionLog) {}

  /** Notes the tasks of a step that a scan has not placed. */
  add(
    step: ActiveStep,
    tasks: readonly ActiveTask[],
    reason: WaitReason,
    isLate: boolean,
    now: Millis,
  ): void {
    const {job} = step.occurrence;
    const {name} = job.queue;
    let backlog = this.queues.get(name);
    if (backlog === undefined) {
      backlog = {
        jobs: new Set(),
        lateJobs: new Set(),
        tasks: {[WaitReason.ROOM]: 0, [WaitReason.INTERFERENCE]: 0},
        oldestMs: 0,
      };
      this.queues.set(name, backlog);
    }
    backlog.jobs.add(job.id);
    if (isLate) backlog.lateJobs.add(job.id);
    backlog.tasks[reason] += tasks.length;
    for (const {readySince} of tasks) {
      backlog.oldestMs = Math.max(backlog.oldestMs, now - readySince);
    }
  }

  /** Ends a scan: logs its summary, unless the last one is recent. */
  endScan(now: Millis): void {
    if (now - this.reportedAt >= REPORT_INTERVAL_MS && this.queues.size > 0) {
      this.reportedAt = now;
      for (const [queue, backlog] of this.queues) this.report(queue, backlog);
    }
    this.queues.clear();
  }

  private report(queue: string, backlog: QueueBacklog): void {
    const {jobs, lateJobs, tasks, oldestMs} = backlog;
    this.log.decide('backlog', {
      queue,
      jobs: jobs.size,
      lateJobs: lateJobs.size,
      noRoom: tasks[WaitReason.ROOM],
      interference: tasks[WaitReason.INTERFERENCE],
      oldestMs: Math.round(oldestMs),
    });
  }
}

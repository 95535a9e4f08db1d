import type {KnownJob} from './job_view.js';

/** Counts the jobs of each queue that have no started task. */
export class PendingCounts {
  private readonly counts = new Map<string, number>();

  of(queue: string): number {
    return this.counts.get(queue) ?? 0;
  }

  /** Called after each change of a job; detached tasks are not counted. */
  update(job: KnownJob): void {
    const {submission, detached, cancelled, state} = job;
    const isPending =
      submission !== undefined &&
      detached === undefined &&
      !cancelled &&
      !(state?.hasStarted ?? false);
    if (!isPending) {
      this.remove(job);
    } else if (job.pendingQueue === undefined) {
      job.pendingQueue = submission.queue.name;
      this.add(job.pendingQueue, 1);
    }
  }

  /** Called when a job is forgotten. */
  remove(job: KnownJob): void {
    const {pendingQueue} = job;
    if (pendingQueue === undefined) return;
    job.pendingQueue = undefined;
    this.add(pendingQueue, -1);
  }

  private add(queue: string, change: number): void {
    this.counts.set(queue, this.of(queue) + change);
  }
}

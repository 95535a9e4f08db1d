import {jobBytes} from './admission/job_size_estimate.js';
import {JobPhase} from './job_records.js';
import {KnownJob} from './job_view.js';
import {SchedulerState} from './scheduler_state.js';

/**
 * Waiting jobs that the scheduler has no memory for yet. Instances accept only
 * as many jobs as fit, but a log may hold more: accepted by an earlier version,
 * or when there was more memory. Such jobs stay queued, and are taken in the
 * order of their priority and age as others end.
 */
export class DeferredJobs {
  private readonly jobs = new Map<string, KnownJob>();
  /** The same jobs, the next one last; may have some that were removed. */
  private order: KnownJob[] = [];
  private isSorted = true;

  constructor(private readonly state: SchedulerState) {}

  get size(): number {
    return this.jobs.size;
  }

  /** Defers a job unless there is memory for it or it has begun. */
  tryDefer(job: KnownJob): boolean {
    const {id, submission} = job;
    if (submission === undefined || this.state.jobs.has(id)) return false;
    if (!isUntouched(job)) {
      this.jobs.delete(id);
      return false;
    }
    if (this.jobs.has(id)) return true;
    // Jobs that were deferred earlier are not overtaken.
    if (this.jobs.size === 0 && this.hasRoomFor(job)) return false;
    this.jobs.set(id, job);
    this.isSorted = false;
    return true;
  }

  /** Removes and returns the jobs that there is memory for now. */
  *takeAdmitted(): Generator<KnownJob> {
    const {state} = this;
    if (this.jobs.size === 0) return;
    const before = this.jobs.size;
    for (;;) {
      const next = this.next();
      if (next === undefined || !this.hasRoomFor(next)) break;
      this.order.pop();
      this.jobs.delete(next.id);
      yield next;
    }
    const deferred = this.jobs.size;
    if (deferred === before) return;
    state.log.decide('deferred-jobs', {taken: before - deferred, deferred});
  }

  private next(): KnownJob | undefined {
    if (!this.isSorted) {
      this.order = [...this.jobs.values()].reverse().sort(byUrgency);
      this.isSorted = true;
    }
    let last = this.order.at(-1);
    while (last !== undefined && this.jobs.get(last.id) !== last) {
      this.order.pop();
      last = this.order.at(-1);
    }
    return last;
  }

  /** A scheduler without any job takes one that is larger than its memory. */
  private hasRoomFor({submission}: KnownJob): boolean {
    const {jobs, jobMemoryBytes} = this.state;
    if (jobs.size === 0) return true;
    return jobs.bytes + jobBytes(submission!.shape) <= jobMemoryBytes;
  }
}

/** Whether nothing of a job was placed, handed over or ended. */
function isUntouched(job: KnownJob): boolean {
  const {detached, handOver, progress, state, cancelled} = job;
  if (detached !== undefined || handOver !== undefined) return false;
  if (progress !== undefined || cancelled) return false;
  return (state?.phase ?? JobPhase.QUEUED) === JobPhase.QUEUED;
}

/** The most urgent job, and of those the oldest, comes last. */
function byUrgency(a: KnownJob, b: KnownJob): number {
  const first = a.submission!;
  const second = b.submission!;
  const priority = second.queue.priority - first.queue.priority;
  return priority === 0 ? second.acceptedAt - first.acceptedAt : priority;
}

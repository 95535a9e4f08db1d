import {Millis, SECOND} from '../base/clock.js';
import {ActiveJob} from './active_job.js';
import {SchedulerState} from './scheduler_state.js';
import {WorkerState} from './worker_state.js';

/** Delay before the progress of a held job is stored again. */
const RETRY_DELAY_MS: Millis = 1 * SECOND;

/** First end on a worker that no stored progress shows. */
export interface UnstoredEnd {
  /** Incarnation of the worker, in ms since 1970. */
  readonly born: number;
  readonly sequence: number;
}

/** First ends that no stored progress shows, by worker. */
export type UnstoredEnds = ReadonlyMap<WorkerState, UnstoredEnd>;

/**
 * Jobs whose progress the log has refused for good, as it is too large. A
 * successor would know neither of starts nor of ends since their last stored
 * progress, so nothing of them is started and no end is acknowledged until
 * their progress can be stored again. Other jobs are not affected.
 */
export class HeldJobs {
  private readonly jobs = new Set<ActiveJob>();

  constructor(private readonly state: SchedulerState) {}

  /** Whether the progress of a job is not to be stored yet. */
  isDelayed(job: ActiveJob): boolean {
    return this.state.now() < job.heldUntil;
  }

  /**
   * Holds a job.
   * @param ends ends that the refused progress shows.
   */
  hold(job: ActiveJob, ends: UnstoredEnds): void {
    const {state} = this;
    if (!this.jobs.has(job)) {
      state.log.decide('job-held', {job: job.id, ends: ends.size});
    }
    this.jobs.add(job);
    job.heldUntil = state.now() + RETRY_DELAY_MS;
    for (const [worker, end] of ends) job.addUnstoredEnd(worker, end);
    state.jobsToStore.add(job);
  }

  /** Handles that the progress of a job is stored. */
  onStored(job: ActiveJob): void {
    if (!this.jobs.delete(job)) return;
    job.heldUntil = 0;
    this.state.log.decide('job-released', {job: job.id});
  }

  /** Last end up to `sequence` that may be acknowledged. */
  lastStoredEnd(worker: WorkerState, sequence: number): number {
    let last = sequence;
    for (const job of this.jobs) {
      const end = job.unstoredEnd(worker);
      if (end?.born === worker.born) last = Math.min(last, end.sequence - 1);
    }
    return last;
  }
}

import {Millis} from '../base/clock.js';
import {
  HandOverRecord,
  isFinal,
  JobPhase,
  JobStateRecord,
  ProgressRecord,
  SubmissionRecord,
} from './job_records.js';
import {KnownJob} from './job_view.js';
import {TaskKey} from './types.js';

/**
 * A perpetual task that left its job for a shard with room for it, as
 * replicated from the log. From its first hand-over on it has an owner and
 * progress of its own, as a job of one task; its submission and its end are
 * those of the job. It never returns to the job.
 */
export class DetachedTask implements KnownJob {
  state?: JobStateRecord;
  progress?: ProgressRecord;
  handOver?: HandOverRecord;

  /**
   * @param id name of the task.
   * @param job the job that it was detached from.
   */
  constructor(
    readonly id: string,
    readonly detached: TaskKey,
    private readonly job: KnownJob,
    readonly seenAt: Millis,
  ) {}

  get submission(): SubmissionRecord | undefined {
    return this.job.submission;
  }

  /** Whether the job is over or was cancelled. */
  get cancelled(): boolean {
    return (
      this.job.cancelled || isFinal(this.job.state?.phase ?? JobPhase.QUEUED)
    );
  }
}

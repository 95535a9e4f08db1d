import {ActiveJob} from './active_job.js';
import {jobBytes} from './admission/job_size_estimate.js';

/** Active jobs by id, with the estimated memory of their first occurrences. */
export class ActiveJobs extends Map<string, ActiveJob> {
  /** Estimated memory, in bytes. */
  bytes = 0;

  override set(id: string, job: ActiveJob): this {
    this.delete(id);
    this.bytes += jobBytes(job.submission.shape);
    return super.set(id, job);
  }

  override delete(id: string): boolean {
    const job = this.get(id);
    if (job === undefined) return false;
    this.bytes -= jobBytes(job.submission.shape);
    return super.delete(id);
  }
}

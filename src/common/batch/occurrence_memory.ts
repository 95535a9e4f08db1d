import {ActiveJob} from './active_job.js';
import {occurrenceBytes} from './admission/job_size_estimate.js';
import {SchedulerState} from './scheduler_state.js';

/**
 * Memory for occurrences of scheduled jobs beyond the first one of each, whose
 * memory was counted when the job was accepted. A job with many due occurrences
 * takes as much of it as it leaves free, so that others find some.
 */
export class OccurrenceMemory {
  private usedBytes: number;

  constructor(private readonly state: SchedulerState) {
    this.usedBytes = state.jobs.bytes;
    for (const job of state.jobs.values()) this.usedBytes += extraBytes(job);
  }

  /** Counts one more occurrence of a job; false if there is no memory for it. */
  tryTake(job: ActiveJob): boolean {
    if (job.occurrences.size === 0) return true;
    const bytes = occurrenceBytes(job.submission.shape);
    const freeBytes = this.state.jobMemoryBytes - this.usedBytes - bytes;
    if (extraBytes(job) + bytes > freeBytes) return false;
    this.usedBytes += bytes;
    return true;
  }
}

/** Memory of the occurrences of a job but the first one, in bytes. */
function extraBytes({occurrences, submission}: ActiveJob): number {
  if (occurrences.size < 2) return 0;
  return (occurrences.size - 1) * occurrenceBytes(submission.shape);
}

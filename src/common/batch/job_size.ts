import {ActiveJob} from './active_job.js';
import {JobShape} from './types.js';

/**
 * Upper bound of a task in a progress record without its checkpoint, in bytes:
 * an id of a worker of up to 32, an incarnation of 9, and lists of attempts.
 */
const MAX_TASK_BYTES = 64;

/** Upper bound of a job's own fields and key in a progress record, in bytes. */
const JOB_BYTES = 256;

/** Most tasks whose progress fits into a record of the log. */
export function maxTasks(recordBytes: number): number {
  return Math.floor((recordBytes - JOB_BYTES) / MAX_TASK_BYTES);
}

/** Number of tasks of one occurrence of a job. */
export function taskCount({steps}: JobShape): number {
  return steps.reduce((sum, {count}) => sum + count, 0);
}

/**
 * Whether the progress of a job has room for another occurrence. The first one
 * always has: jobs with more tasks are refused when they are submitted.
 */
export function hasRoomForOccurrence(
  {occurrences, submission}: ActiveJob,
  recordBytes: number,
): boolean {
  const count = occurrences.size + 1;
  if (count === 1) return true;
  return count * taskCount(submission.shape) <= maxTasks(recordBytes);
}

import {Millis} from '../base/clock.js';
import {ActiveJob, ActiveTask, stateOfActiveJob} from './active_job.js';
import {SchedulerState} from './scheduler_state.js';

/** Number of workers on which an idempotent job may fail before it ends. */
const MAX_FAILED_WORKERS = 3;

/** Releases a task; its outcome is kept until the record is read back. */
function closeTask(
  state: SchedulerState,
  job: ActiveJob,
  task: ActiveTask,
): void {
  state.removeTask(task, job);
  state.closedTasks.close(task.id, job.id, task.worker, state.now);
}

/** Marks a job as ended; callers see that once the record is read back. */
function markEnding(job: ActiveJob): void {
  job.stateBeforeEnd = stateOfActiveJob(job);
  job.ending = true;
}

function endJob(
  state: SchedulerState,
  job: ActiveJob,
  task: ActiveTask,
  outcome: 'finished' | 'failed' | 'interrupted',
  fields: {result?: string; reason?: string},
): void {
  markEnding(job);
  closeTask(state, job, task);
  state.record({
    kind: 'ended',
    job: job.id,
    task: task.id,
    outcome,
    ...fields,
    timeMs: state.unixMs,
  });
}

/** Ends and records a job that was cancelled. */
export function recordCancellation(
  state: SchedulerState,
  job: ActiveJob,
  task?: ActiveTask,
): void {
  markEnding(job);
  state.releaseQuota(job);
  if (task !== undefined) closeTask(state, job, task);
  state.queue.remove(job);
  state.record({
    kind: 'cancelled',
    job: job.id,
    task: task?.id,
    timeMs: state.unixMs,
  });
}

function requeueJob(
  state: SchedulerState,
  job: ActiveJob,
  task: ActiveTask,
  fields: {checkpoint: number; evicted: boolean; failedOn?: string},
): void {
  closeTask(state, job, task);
  job.checkpoint = Math.max(job.checkpoint, fields.checkpoint);
  if (fields.evicted) job.evictions++;
  state.record({
    kind: 'requeued',
    job: job.id,
    task: task.id,
    ...fields,
    checkpoint: job.checkpoint,
  });
  state.queue.add(job);
}

/** Ends the job of a task that finished. */
export function onTaskFinished(
  state: SchedulerState,
  job: ActiveJob,
  task: ActiveTask,
  result: string | undefined,
): void {
  state.quarantine.onSuccess(task.worker);
  endJob(state, job, task, 'finished', {result});
}

/** Whether a job failed on the limit of workers or on every listed worker. */
function areRetriesExhausted(state: SchedulerState, job: ActiveJob): boolean {
  if (job.failedOn.size >= MAX_FAILED_WORKERS) return true;
  const listed = [...state.workers.values()].filter(
    worker => worker.instance !== undefined,
  );
  return (
    listed.length > 0 && listed.every(worker => job.failedOn.has(worker.id))
  );
}

/** Handles a failed task. An idempotent job is retried on other workers. */
export function onTaskFailed(
  state: SchedulerState,
  job: ActiveJob,
  task: ActiveTask,
  checkpoint: number,
  now: Millis,
): void {
  state.quarantine.onFailure(task.worker, job.id, now);
  job.failedOn.add(task.worker);
  if (!job.submission.idempotent) {
    const reason = `The task failed on ${task.worker}.`;
    endJob(state, job, task, 'failed', {reason});
  } else if (job.pendingCancellations.length > 0) {
    recordCancellation(state, job, task);
  } else if (areRetriesExhausted(state, job)) {
    const reason = `Set aside: failed on ${[...job.failedOn].join(', ')}.`;
    endJob(state, job, task, 'failed', {reason});
  } else {
    const failedOn = task.worker;
    requeueJob(state, job, task, {checkpoint, evicted: false, failedOn});
  }
}

/** Handles a task that was stopped by an eviction or a cancellation. */
export function onTaskStopped(
  state: SchedulerState,
  job: ActiveJob,
  task: ActiveTask,
  checkpoint: number,
): void {
  if (job.pendingCancellations.length > 0) {
    recordCancellation(state, job, task);
  } else if (job.submission.idempotent || checkpoint > job.checkpoint) {
    requeueJob(state, job, task, {checkpoint, evicted: true});
  } else {
    const reason = 'Stopped without a new checkpoint; it may have run.';
    endJob(state, job, task, 'interrupted', {reason});
  }
}

/** Handles a task whose lease expired before its end, or that was lost. */
export function expireTask(
  state: SchedulerState,
  job: ActiveJob,
  task: ActiveTask,
  checkpoint: number,
): void {
  if (job.pendingCancellations.length > 0) {
    recordCancellation(state, job, task);
  } else if (job.submission.idempotent) {
    requeueJob(state, job, task, {checkpoint, evicted: false});
  } else {
    const reason = `The lease ended on ${task.worker}; the job may have run.`;
    endJob(state, job, task, 'interrupted', {reason});
  }
}

/** Handles a start that provably did not run. Its job is queued again. */
export function onTaskNotStarted(
  state: SchedulerState,
  job: ActiveJob,
  task: ActiveTask,
  now: Millis,
): void {
  if (job.pendingCancellations.length > 0) {
    recordCancellation(state, job, task);
    return;
  }
  closeTask(state, job, task);
  // The start of an idempotent job has no record that must be undone.
  if (job.submission.idempotent) state.closedTasks.markRecorded(task.id, now);
  else state.record({kind: 'not-started', job: job.id, task: task.id});
  state.queue.add(job);
}

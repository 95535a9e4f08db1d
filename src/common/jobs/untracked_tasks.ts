import {Millis} from '../base/clock.js';
import {TaskState, TaskStatus} from '../base/platform.js';
import {ActiveJob, newTask} from './active_job.js';
import {SchedulerState} from './scheduler_state.js';
import {forgetTask, stopTaskById} from './task_commands.js';
import {StatusReport, onTaskReported} from './task_lifecycle.js';
import {JobState, SchedulerAction, Violation} from './types.js';

/**
 * Handles a task in a status that the scheduler does not track: an outcome that
 * the worker still keeps, a task of an earlier leader, or one that must not
 * exist.
 */
export function* onUntrackedTask(
  state: SchedulerState,
  report: StatusReport,
  status: TaskStatus,
  now: Millis,
): Generator<SchedulerAction> {
  // Tasks that belong to no job of this data centre only use up capacity.
  if (!status.job.startsWith(`${state.settings.dataCentre}/`)) {
    updateTaskCapacity(state, report, status);
    return;
  }
  // A status requested before a task was closed may still show it running.
  const closed = state.closedTasks.get(status.task);
  if (closed !== undefined && report.sentAt <= closed.closedAt) return;
  const job = state.jobs.get(status.job);
  if (job !== undefined && mayBeInherited(state, job, status)) {
    yield* adoptTask(state, report, job, status, now);
  } else if (status.state === TaskState.RUNNING) {
    yield* onUnexpectedTask(state, report, status, now);
  } else {
    yield* onUntrackedOutcome(state, report, status, now);
  }
}

/** Counts the capacity of a running task, and releases that of an ended one. */
function updateTaskCapacity(
  state: SchedulerState,
  {worker}: StatusReport,
  {task, size, state: taskState}: TaskStatus,
): void {
  if (taskState === TaskState.RUNNING) {
    state.capacity.addRunning(worker.id, task, size);
  } else {
    state.capacity.release(worker.id, task);
  }
}

/** Whether an earlier leader may have started the task without a record. */
function mayBeInherited(
  state: SchedulerState,
  job: ActiveJob,
  {task}: TaskStatus,
): boolean {
  return (
    job.awaitsReconciliation &&
    job.task === undefined &&
    !job.ending &&
    state.closedTasks.get(task) === undefined
  );
}

/** Tracks a task of an inherited idempotent job; its start has no record. */
function* adoptTask(
  state: SchedulerState,
  report: StatusReport,
  job: ActiveJob,
  status: TaskStatus,
  now: Millis,
): Generator<SchedulerAction> {
  const {worker} = report;
  const rack = worker.instance?.rack ?? '';
  const workerStart = worker.instance?.start;
  const location = {worker: worker.id, rack, workerStart};
  const task = newTask(job, status.task, location, true);
  task.startSentAt = state.term?.since ?? now;
  // The earlier leader may have renewed the lease right before its term ended.
  task.leaseExpiresAt = now + state.maxLeaseMs;
  state.addTask(task, job);
  state.capacity.addRunning(worker.id, task.id, task.size);
  yield* onTaskReported(state, report, task, status, now);
  // If this task has ended, the job still awaits the end of reconciliation: a
  // later task of it may run on another worker.
  if (job.task !== undefined || job.ending) return;
  state.queue.remove(job);
  state.chargeQuota(job);
}

/** Counts the capacity of a task that must not run, reports it and stops it. */
function* onUnexpectedTask(
  state: SchedulerState,
  report: StatusReport,
  status: TaskStatus,
  now: Millis,
): Generator<SchedulerAction> {
  const {worker} = report;
  updateTaskCapacity(state, report, status);
  if (!isSuperseded(state, status)) {
    yield {
      kind: 'violation',
      rule: Violation.UNEXPECTED_TASK,
      worker: worker.id,
      task: status.task,
    };
  }
  yield* stopTaskById(state, worker.id, status.task, now);
}

/**
 * Whether the task belongs to an idempotent job that ended with the outcome of
 * an earlier task, which became known after this task was started. Such a task
 * is no violation.
 */
function isSuperseded(state: SchedulerState, {job: id}: TaskStatus): boolean {
  const active = state.jobs.get(id);
  if (active !== undefined) {
    return active.submission.idempotent && active.ending;
  }
  return state.table.job(id)?.submission.idempotent ?? false;
}

/** Handles the outcome of a closed task or of an earlier attempt at a job. */
function* onUntrackedOutcome(
  state: SchedulerState,
  report: StatusReport,
  status: TaskStatus,
  now: Millis,
): Generator<SchedulerAction> {
  updateTaskCapacity(state, report, status);
  const closed = state.closedTasks.get(status.task);
  if (closed !== undefined) {
    // The worker keeps an outcome until its record is read back. If a later
    // status still shows it, the request to forget it was lost.
    if (!closed.recorded || report.sentAt <= closed.forgetSentAt) return;
  }
  if (tryFinishQueuedJob(state, report.worker.id, status)) return;
  if (tryRecordLateFinish(state, report.worker.id, status)) return;
  const {worker} = report;
  yield* forgetTask(state, worker.id, status.task, now);
}

/**
 * Ends a job that has no task if an earlier one finished on a lost worker.
 *
 * @returns whether the job ended; the worker then keeps the outcome until the
 *   record is read back.
 */
function tryFinishQueuedJob(
  state: SchedulerState,
  worker: string,
  {job: id, task, state: taskState, result}: TaskStatus,
): boolean {
  const job = state.jobs.get(id);
  const finished =
    taskState === TaskState.FINISHED &&
    job?.submission.idempotent === true &&
    job.task === undefined &&
    !job.ending;
  if (!finished) return false;
  state.closedTasks.close(task, id, worker, state.now);
  state.queue.remove(job);
  state.releaseQuota(job);
  job.ending = true;
  state.record({
    kind: 'ended',
    job: id,
    task,
    outcome: 'finished',
    result,
    timeMs: state.unixMs,
  });
  return true;
}

/**
 * Records that an interrupted job finished after all, on a lost worker.
 *
 * @returns whether the worker must keep the outcome; without the log, it is
 *   recorded with a later status.
 */
function tryRecordLateFinish(
  state: SchedulerState,
  worker: string,
  status: TaskStatus,
): boolean {
  const view = state.table.job(status.job);
  const isLateFinish =
    view?.state === JobState.INTERRUPTED &&
    view.task === status.task &&
    status.state === TaskState.FINISHED;
  if (!isLateFinish) return false;
  if (!state.logAvailable) return true;
  state.closedTasks.close(status.task, status.job, worker, state.now);
  state.record({
    kind: 'ended',
    job: status.job,
    task: status.task,
    outcome: 'finished',
    result: status.result,
    timeMs: state.unixMs,
  });
  return true;
}

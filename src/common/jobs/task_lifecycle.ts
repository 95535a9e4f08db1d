import {Millis} from '../base/clock.js';
import {TaskState, TaskStatus, WorkerStatus} from '../base/platform.js';
import {ActiveJob, ActiveTask, TaskPhase} from './active_job.js';
import {continueEviction} from './evictions.js';
import {SchedulerState} from './scheduler_state.js';
import {surveyProgress} from './survey.js';
import {stopTask} from './task_commands.js';
import {failed, finished, lapsed, neverRan, stopped} from './task_endings.js';
import {SchedulerAction, SchedulerMessage, TaskId, Violation} from './types.js';
import {onUnaccountedTask} from './unaccounted_tasks.js';
import {WorkerEntry} from './worker_entry.js';

type StatusMessage = Extract<SchedulerMessage, {kind: 'worker-status'}>;
type StartRefused = Extract<SchedulerMessage, {kind: 'start-refused'}>;

/** A status as the handlers of its tasks see it. */
export interface StatusReport {
  readonly worker: WorkerEntry;
  readonly status: WorkerStatus;
  readonly sentAt: Millis;
}

/** Takes in a worker's report. */
export function* onWorkerStatus(
  state: SchedulerState,
  message: StatusMessage,
  now: Millis,
): Generator<SchedulerAction> {
  const {status, sentAt, receivedAt} = message;
  const worker = state.worker(message.worker);
  worker.clock.add({sentAt, receivedAt, nowMs: status.nowMs});
  if (status.leaving) worker.leaving = true;
  const {term} = state;
  // A report from before the term may miss a task that the earlier leader was
  // about to start; one that was overtaken shows tasks that have ended since.
  if (term === undefined || sentAt < term.since) return;
  if (worker.isOvertaken(sentAt, status.nowMs)) return;
  worker.lastSentAt = sentAt;
  worker.lastReceivedAt = receivedAt;
  worker.lastNowMs = status.nowMs;
  const listed = new Map<TaskId, TaskStatus>();
  for (const task of status.tasks) {
    if (listed.has(task.task)) {
      yield violation(Violation.TASK_LISTED_TWICE, worker, task.task);
    }
    listed.set(task.task, task);
  }
  yield* settleTasks(state, {worker, status, sentAt}, listed, now);
  if (!worker.surveyed) {
    worker.surveyed = true;
    state.dirty = true;
  }
  yield* surveyProgress(state, now);
}

function violation(
  rule: Violation,
  worker: WorkerEntry,
  task: TaskId,
): SchedulerAction {
  return {kind: 'violation', rule, worker: worker.id, task};
}

function* settleTasks(
  state: SchedulerState,
  report: StatusReport,
  listed: ReadonlyMap<TaskId, TaskStatus>,
  now: Millis,
): Generator<SchedulerAction> {
  const {worker} = report;
  for (const status of listed.values()) {
    const task = state.tasks.get(status.task);
    if (task === undefined) {
      yield* onUnaccountedTask(state, report, status, now);
    } else if (task.worker !== worker.id) {
      yield violation(Violation.TASK_ON_TWO_WORKERS, worker, task.id);
    } else {
      yield* onListed(state, report, task, status, now);
    }
  }
  const missing = [...worker.tasks.values()].filter(
    task => !listed.has(task.id),
  );
  releaseUnlisted(state, worker, listed);
  // A worker that lost a task that it had shown has lost its memory.
  const restarted = missing.some(task => task.seen);
  for (const task of missing) onMissing(state, report, task, restarted, now);
}

/** Frees the room of tasks that were only seen, once they are gone. */
function releaseUnlisted(
  state: SchedulerState,
  worker: WorkerEntry,
  listed: ReadonlyMap<TaskId, TaskStatus>,
): void {
  for (const id of state.capacity.tasksOn(worker.id)) {
    if (!state.tasks.has(id) && !listed.has(id)) {
      state.capacity.release(worker.id, id);
    }
  }
}

type ListedHandler = (
  state: SchedulerState,
  job: ActiveJob,
  task: ActiveTask,
  status: TaskStatus,
  now: Millis,
) => void;

/** What the end of a task that a status shows means for its job. */
const END_HANDLERS: Readonly<
  Record<Exclude<TaskState, 'running'>, ListedHandler>
> = {
  [TaskState.FINISHED]: (state, job, task, {result}) =>
    finished(state, job, task, result),
  [TaskState.FAILED]: (state, job, task, {checkpoint}, now) =>
    failed(state, job, task, checkpoint, now),
  [TaskState.STOPPED]: (state, job, task, {checkpoint}) =>
    stopped(state, job, task, checkpoint),
  [TaskState.EXPIRED]: (state, job, task, {checkpoint}) =>
    lapsed(state, job, task, checkpoint),
};

/** A status shows a task that is accounted for. */
export function* onListed(
  state: SchedulerState,
  report: StatusReport,
  task: ActiveTask,
  status: TaskStatus,
  now: Millis,
): Generator<SchedulerAction> {
  const job = state.jobs.get(task.job);
  // A report says nothing about a task that was started after its poll.
  if (job === undefined || report.sentAt < task.startedAt) return;
  task.progress = status.progress;
  task.leaseUntilMs = Math.max(task.leaseUntilMs, status.leaseUntilMs);
  if (status.state !== TaskState.RUNNING) {
    task.seen = true;
    END_HANDLERS[status.state](state, job, task, status, now);
    return;
  }
  if (!task.seen) confirmStart(report, task, now);
  if (job.cancellations.length > 0) {
    yield* stopTask(state, task, now);
  } else if (task.evicting) {
    yield* continueEviction(state, job, task, report, status, now);
  }
  task.checkpoint = status.checkpoint;
}

/** The task runs; its short start lease is renewed with the next poll. */
function confirmStart(
  {worker}: StatusReport,
  task: ActiveTask,
  now: Millis,
): void {
  task.seen = true;
  if (task.phase !== TaskPhase.STOPPING) task.phase = TaskPhase.RUNNING;
  worker.nextPollAt = Math.min(worker.nextPollAt, now);
}

/** A status does not show a task that is accounted for. */
function onMissing(
  state: SchedulerState,
  {worker, status, sentAt}: StatusReport,
  task: ActiveTask,
  restarted: boolean,
  now: Millis,
): void {
  const job = state.jobs.get(task.job);
  if (job === undefined || sentAt < task.startedAt) return;
  if (task.seen) {
    // The worker lost the task; it is over when its last lease is.
    if (now >= task.leaseEndsAt) lapsed(state, job, task, task.checkpoint);
    return;
  }
  // Leases of an earlier leader's starts had ended when this term began.
  const startLeaseEnded = task.inherited || status.nowMs >= task.leaseUntilMs;
  if (!startLeaseEnded) return;
  const replaced =
    task.workerStart !== undefined &&
    worker.instance !== undefined &&
    worker.instance.start !== task.workerStart;
  // A restarted worker may have run the task and forgotten it.
  if (restarted || replaced) lapsed(state, job, task, task.checkpoint);
  else neverRan(state, job, task, now);
}

/** The worker refused a start because its lease had ended. */
// eslint-disable-next-line require-yield
export function* onStartRefused(
  state: SchedulerState,
  {worker, task: id}: StartRefused,
  now: Millis,
): Generator<SchedulerAction> {
  const task = state.tasks.get(id);
  if (task === undefined || task.worker !== worker || task.seen) return;
  const job = state.jobs.get(task.job);
  if (job === undefined || task.inherited) return;
  if (task.startedAt !== Infinity) neverRan(state, job, task, now);
}

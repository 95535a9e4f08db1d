import {Millis} from '../base/clock.js';
import {TaskState, TaskStatus, WorkerStatus} from '../base/platform.js';
import {ActiveJob, ActiveTask, TaskPhase} from './active_job.js';
import {continueEviction} from './evictions.js';
import {SchedulerState} from './scheduler_state.js';
import {advanceReconciliation} from './reconciliation.js';
import {stopTask} from './task_commands.js';
import {
  onTaskFailed,
  onTaskFinished,
  expireTask,
  onTaskNotStarted,
  onTaskStopped,
} from './task_endings.js';
import {SchedulerAction, SchedulerMessage, TaskId, Violation} from './types.js';
import {onUntrackedTask} from './untracked_tasks.js';
import {WorkerEntry} from './worker_entry.js';

type StatusMessage = Extract<SchedulerMessage, {kind: 'worker-status'}>;
type StartRefusedMessage = Extract<SchedulerMessage, {kind: 'start-refused'}>;

/**
 * Newer instance lists that must show a worker with the same start number
 * before a start that its status does not show counts as not run. Lists are
 * read once a second, so this allows for a list that lags by half a minute.
 */
const MIN_NEWER_LISTS = 30;

/** The status of a worker, with the poll that got it. */
export interface StatusReport {
  readonly worker: WorkerEntry;
  readonly status: WorkerStatus;
  /** Local time at which the poll was sent. */
  readonly sentAt: Millis;
}

/** Reconciles the tracked tasks of a worker with its status. */
export function* onWorkerStatus(
  state: SchedulerState,
  message: StatusMessage,
  now: Millis,
): Generator<SchedulerAction> {
  const {status, sentAt, receivedAt} = message;
  const worker = state.getOrCreateWorker(message.worker);
  worker.clock.add({sentAt, receivedAt, nowMs: status.nowMs});
  if (status.leaving) worker.leaving = true;
  const {term} = state;
  // Without the leadership lease, another leader may start and end tasks.
  if (!state.mayAct(now)) return;
  // A status requested before the term may lack a task that the earlier leader
  // was about to start; a stale one may show tasks that have ended since.
  if (term === undefined || sentAt < term.since) return;
  if (worker.isStale(sentAt, status.nowMs)) return;
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
  yield* reconcileTasks(state, {worker, status, sentAt}, listed, now);
  if (!worker.isReconciled) {
    worker.isReconciled = true;
    state.placementNeeded = true;
  }
  yield* advanceReconciliation(state, now);
}

function violation(
  rule: Violation,
  worker: WorkerEntry,
  task: TaskId,
): SchedulerAction {
  return {kind: 'violation', rule, worker: worker.id, task};
}

function* reconcileTasks(
  state: SchedulerState,
  report: StatusReport,
  listed: ReadonlyMap<TaskId, TaskStatus>,
  now: Millis,
): Generator<SchedulerAction> {
  const {worker} = report;
  for (const status of listed.values()) {
    const task = state.tasks.get(status.task);
    if (task === undefined) {
      yield* onUntrackedTask(state, report, status, now);
    } else if (task.worker !== worker.id) {
      yield violation(Violation.TASK_ON_TWO_WORKERS, worker, task.id);
    } else {
      yield* onTaskReported(state, report, task, status, now);
    }
  }
  const missing = [...worker.tasks.values()].filter(
    task => !listed.has(task.id),
  );
  releaseUnlistedTasks(state, worker, listed);
  // A worker that no longer lists a task it reported has lost its state.
  const restarted = missing.some(task => task.wasReported);
  for (const task of missing) onMissing(state, report, task, restarted, now);
}

/** Releases the capacity of untracked tasks that the status does not list. */
function releaseUnlistedTasks(
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

type TaskEndHandler = (
  state: SchedulerState,
  job: ActiveJob,
  task: ActiveTask,
  status: TaskStatus,
  now: Millis,
) => void;

/** Handlers for tracked tasks that a status shows as ended. */
const END_HANDLERS: Readonly<
  Record<Exclude<TaskState, 'running'>, TaskEndHandler>
> = {
  [TaskState.FINISHED]: (state, job, task, {result}) =>
    onTaskFinished(state, job, task, result),
  [TaskState.FAILED]: (state, job, task, {checkpoint}, now) =>
    onTaskFailed(state, job, task, checkpoint, now),
  [TaskState.STOPPED]: (state, job, task, {checkpoint}) =>
    onTaskStopped(state, job, task, checkpoint),
  [TaskState.EXPIRED]: (state, job, task, {checkpoint}) =>
    expireTask(state, job, task, checkpoint),
};

/** Handles a tracked task that a status shows. */
export function* onTaskReported(
  state: SchedulerState,
  report: StatusReport,
  task: ActiveTask,
  status: TaskStatus,
  now: Millis,
): Generator<SchedulerAction> {
  const job = state.jobs.get(task.job);
  // A status tells nothing about a task that was started after its poll.
  if (job === undefined || report.sentAt < task.startSentAt) return;
  task.missing = false;
  task.progress = status.progress;
  task.leaseUntilMs = Math.max(task.leaseUntilMs, status.leaseUntilMs);
  if (status.state !== TaskState.RUNNING) {
    task.wasReported = true;
    END_HANDLERS[status.state](state, job, task, status, now);
    return;
  }
  if (!task.wasReported) confirmStart(state, report, job, task, now);
  if (job.pendingCancellations.length > 0) {
    yield* stopTask(state, task, now);
  } else if (task.evicting) {
    yield* continueEviction(state, job, task, report, status, now);
  }
  task.checkpoint = status.checkpoint;
}

/**
 * Confirms that a started task runs. The lease of a start is short: the worker
 * is polled at once if two regular polls might come too late to renew it, and
 * for non-idempotent jobs, which an expired lease would leave to an operator.
 */
function confirmStart(
  state: SchedulerState,
  {worker}: StatusReport,
  job: ActiveJob,
  task: ActiveTask,
  now: Millis,
): void {
  task.wasReported = true;
  if (task.phase !== TaskPhase.STOPPING) task.phase = TaskPhase.RUNNING;
  const renewalMarginMs = 2 * state.settings.timing.pollMs;
  const remainingMs = task.leaseUntilMs - worker.clock.upperBound(now);
  if (remainingMs < renewalMarginMs || !job.submission.idempotent) {
    worker.nextPollAt = Math.min(worker.nextPollAt, now);
  }
}

/** Handles a tracked task that a status does not show. */
function onMissing(
  state: SchedulerState,
  {worker, status, sentAt}: StatusReport,
  task: ActiveTask,
  restarted: boolean,
  now: Millis,
): void {
  const job = state.jobs.get(task.job);
  if (job === undefined || sentAt < task.startSentAt) return;
  if (task.wasReported) {
    // The worker lost the task, which may run until its last lease expires.
    task.missing = true;
    if (now >= task.leaseExpiresAt) {
      expireTask(state, job, task, task.checkpoint);
    }
    return;
  }
  // Start leases of an earlier leader had expired when this term began.
  const startLeaseEnded = task.inherited || status.nowMs >= task.leaseUntilMs;
  if (!startLeaseEnded) return;
  if (restarted || isWorkerReplaced(worker, task)) {
    expireTask(state, job, task, task.checkpoint);
  } else if (job.submission.idempotent || isSameWorkerProcess(state, task)) {
    onTaskNotStarted(state, job, task, now);
  }
}

/** Whether the worker's process is not the one that the start was sent to. */
function isWorkerReplaced(
  {instance}: WorkerEntry,
  {workerStart}: ActiveTask,
): boolean {
  return instance !== undefined && instance.start !== workerStart;
}

/**
 * Whether enough instance lists newer than the status show that the process
 * which got the start still runs. A worker that restarted in between has lost a
 * task that it may have run, and the lists show the restart late.
 */
function isSameWorkerProcess(state: SchedulerState, task: ActiveTask): boolean {
  task.listCountWhenMissing ??= state.instanceListCount;
  const {instance} = state.getOrCreateWorker(task.worker);
  return (
    state.instanceListCount - task.listCountWhenMissing >= MIN_NEWER_LISTS &&
    instance?.start === task.workerStart
  );
}

/** Handles a worker's refusal of a start whose lease had expired. */
// eslint-disable-next-line require-yield
export function* onStartRefused(
  state: SchedulerState,
  {worker, task: id}: StartRefusedMessage,
  now: Millis,
): Generator<SchedulerAction> {
  const task = state.tasks.get(id);
  if (task === undefined || task.worker !== worker || task.wasReported) return;
  const job = state.jobs.get(task.job);
  if (job === undefined || task.inherited) return;
  if (task.startSentAt !== Infinity) onTaskNotStarted(state, job, task, now);
}

import {Millis} from '../base/clock.js';
import {onClaimedRead} from './claims.js';
import {isFinal} from './job_table.js';
import {SchedulerState, answer} from './scheduler_state.js';
import {onStartingRead} from './starts.js';
import {onSubmittedRead} from './submissions.js';
import {forgetTask} from './task_commands.js';
import {
  JobId,
  JobRecord,
  SchedulerAction,
  SchedulerMessage,
  TaskId,
} from './types.js';

type BatchRead = Extract<SchedulerMessage, {kind: 'batch-read'}>;

/** What the leader does when a record of its own term is read back. */
type Handler<R extends JobRecord> = (
  state: SchedulerState,
  record: R,
  now: Millis,
) => Generator<SchedulerAction>;

/**
 * Applies a batch in force to the job table. The leader acts on a record only
 * once it was read back from the log, as only then is it certain to take effect.
 */
export function* onBatchRead(
  state: SchedulerState,
  {batch}: BatchRead,
  now: Millis,
): Generator<SchedulerAction> {
  // Only the leader of an epoch writes batches for it.
  const own = state.term?.epoch === batch.epoch;
  // Removed in one call: one by one is quadratic in the records of an outage.
  if (own) state.inFlight.splice(0, batch.entries.length);
  for (const record of batch.entries) {
    const endedMsBefore = endTimeOf(state, record);
    state.table.apply(record, batch.epoch);
    if (own) {
      const handler = HANDLERS[record.kind] as Handler<JobRecord> | undefined;
      if (handler !== undefined) yield* handler(state, record, now);
    }
    yield* reportJobEnd(state, record, endedMsBefore);
  }
}

function endTimeOf(
  state: SchedulerState,
  record: JobRecord,
): Millis | undefined {
  return 'job' in record ? state.table.job(record.job)?.endedMs : undefined;
}

/**
 * Reports the end of a job if this record made or changed it. Every instance
 * does so, because callers may wait on any of them.
 */
function* reportJobEnd(
  state: SchedulerState,
  record: JobRecord,
  endedMsBefore: Millis | undefined,
): Generator<SchedulerAction> {
  if (!('job' in record)) return;
  const job = state.table.job(record.job);
  if (job?.endedMs !== undefined && endedMsBefore !== job.endedMs) {
    yield {kind: 'job-ended', job};
  }
}

// eslint-disable-next-line require-yield
function* onCheckpointRead(
  {term}: SchedulerState,
  {part, parts}: Extract<JobRecord, {kind: 'checkpoint'}>,
  now: Millis,
): Generator<SchedulerAction> {
  if (part < parts - 1 || term === undefined) return;
  term.lastCheckpointAt = now;
  term.checkpointPending = false;
}

const HANDLERS: {
  readonly [K in JobRecord['kind']]?: Handler<Extract<JobRecord, {kind: K}>>;
} = {
  submitted: (state, {job}) => onSubmittedRead(state, job),
  starting: (state, {task}, now) => onStartingRead(state, task, now),
  'not-started': (state, {task}, now) => onOutcomeRead(state, task, now),
  requeued: (state, {task}, now) => onOutcomeRead(state, task, now),
  ended: function* (state, {job, task}, now) {
    yield* onOutcomeRead(state, task, now);
    yield* onJobEndRead(state, job);
  },
  cancelled: function* (state, {job, task}, now) {
    if (task !== undefined) yield* onOutcomeRead(state, task, now);
    yield* onJobEndRead(state, job);
  },
  claimed: (state, record) => onClaimedRead(state, record),
  checkpoint: onCheckpointRead,
};

/** Tells the worker to forget a task's outcome, now that the log has it. */
function* onOutcomeRead(
  state: SchedulerState,
  id: TaskId,
  now: Millis,
): Generator<SchedulerAction> {
  const task = state.closedTasks.markRecorded(id, now);
  if (task !== undefined) yield* forgetTask(state, task.worker, id, now);
}

/** Drops the ended job and answers the callers that asked to cancel it. */
function* onJobEndRead(
  state: SchedulerState,
  id: JobId,
): Generator<SchedulerAction> {
  const view = state.table.job(id);
  if (view === undefined || !isFinal(view.state)) return;
  const job = state.jobs.get(id);
  state.jobs.delete(id);
  for (const request of job?.pendingCancellations ?? []) {
    yield answer(request, {kind: 'job', job: view});
  }
}

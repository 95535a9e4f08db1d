import {Millis} from '../base/clock.js';
import {RefusalKind, refuse} from '../base/refusal.js';
import {ActiveJob, TaskPhase} from './active_job.js';
import {SchedulerState, answer, refusal} from './scheduler_state.js';
import {logUnavailable, noLeader} from './submissions.js';
import {stopTask} from './task_commands.js';
import {recordCancellation} from './task_endings.js';
import {SchedulerAction, SchedulerMessage} from './types.js';

type Cancel = Extract<SchedulerMessage, {kind: 'cancel'}>;

/** Phases in which the start was sent, so that the worker may have the task. */
const SENT_PHASES: ReadonlySet<TaskPhase> = new Set([
  TaskPhase.STARTING,
  TaskPhase.RECOVERING,
  TaskPhase.RUNNING,
  TaskPhase.CHECKPOINTING,
]);

/**
 * Cancels a job. The answer is the job in its final state, which is another than
 * cancelled if the job ended before the stop arrived.
 */
export function* onCancel(
  state: SchedulerState,
  {request, job: id}: Cancel,
  now: Millis,
): Generator<SchedulerAction> {
  if (!state.mayAct(now)) {
    yield refusal(request, noLeader());
    return;
  }
  const job = state.jobs.get(id);
  if (job !== undefined) {
    if (!state.logAvailable) yield refusal(request, logUnavailable());
    else yield* cancelActiveJob(state, job, request, now);
    return;
  }
  const view = state.table.job(id);
  if (view !== undefined) {
    yield answer(request, {kind: 'job', job: view});
    return;
  }
  yield refusal(
    request,
    refuse(
      RefusalKind.NOT_FOUND,
      `There is no job ${id}.`,
      'Check the id; ended jobs are kept for an hour.',
    ),
  );
}

/**
 * Stops the task of a job, or ends the job if it has none. After a takeover, a
 * job that may have a task unknown to this leader ends with the reconciliation.
 */
function* cancelActiveJob(
  state: SchedulerState,
  job: ActiveJob,
  request: string,
  now: Millis,
): Generator<SchedulerAction> {
  job.pendingCancellations.push(request);
  if (job.ending) return;
  const {task} = job;
  if (task !== undefined) {
    // A start that is not sent yet is cancelled when its record is read back.
    if (SENT_PHASES.has(task.phase)) yield* stopTask(state, task, now);
  } else if (!job.awaitsReconciliation) {
    recordCancellation(state, job);
  }
}

import {Millis} from '../base/clock.js';
import {ActiveJob, activeJobOf, newTask} from './active_job.js';
import {Capacity} from './capacity.js';
import {Fairness} from './fairness.js';
import {isFinal} from './job_table.js';
import {JobQueue} from './queue.js';
import {SchedulerState, refusal} from './scheduler_state.js';
import {unknownOutcome} from './submissions.js';
import {recordCancellation} from './task_endings.js';
import {JobState, JobView, SchedulerAction, SchedulerMessage} from './types.js';
import {updateCapacity} from './worker_state.js';

type LeadMessage = Extract<SchedulerMessage, {kind: 'lead'}>;

/** Discards the state of jobs and tasks that an earlier term left. */
function clearTermState(state: SchedulerState): void {
  state.jobs.clear();
  state.tasks.clear();
  state.recordedStarts.clear();
  state.closedTasks.clear();
  state.taskCountByRack.clear();
  state.pendingDigests.clear();
  state.queue = new JobQueue();
  state.capacity = new Capacity();
  state.fairness = new Fairness();
  state.fairness.setTeams(state.configuration.teams);
  state.outbox = [];
  state.inFlight = [];
  for (const worker of state.workers.values()) {
    worker.tasks.clear();
    worker.isReconciled = false;
    worker.nextPollAt = -Infinity;
  }
}

/** Starts a term. Jobs are read from the job table, tasks from the workers. */
export function* onLead(
  state: SchedulerState,
  {epoch, continued = false}: LeadMessage,
  now: Millis,
): Generator<SchedulerAction> {
  if (continued && state.term !== undefined) {
    // No other instance has led in between, so the state is still valid.
    state.term.epoch = epoch;
    return;
  }
  yield* refusePendingRequests(state);
  clearTermState(state);
  state.term = {
    epoch,
    since: now,
    instanceListRead: false,
    reconciliationDone: false,
    drainUntil: -Infinity,
    lastTaskNumber: 0,
    lastCheckpointAt: now,
    checkpointPending: false,
    lastPassAt: -Infinity,
  };
  updateCapacity(state);
  state.placementNeeded = true;
  for (const view of state.table.allJobs()) {
    if (!isFinal(view.state)) inheritJob(state, view, now);
  }
}

/** Takes over a job from an earlier leader. */
function inheritJob(state: SchedulerState, view: JobView, now: Millis): void {
  const job = activeJobOf(view);
  state.jobs.set(job.id, job);
  if (view.state === JobState.STARTING) {
    inheritRecordedStart(state, job, view, now);
  } else if (job.submission.idempotent) {
    // Starts of idempotent jobs have no record, so it may be running.
    job.awaitsReconciliation = true;
    state.chargeQuota(job);
  } else {
    state.queue.add(job);
  }
}

/**
 * Restores the task of an open `starting` record. The job is not placed again
 * until it is known whether that task ran.
 */
function inheritRecordedStart(
  state: SchedulerState,
  job: ActiveJob,
  {task: id = '', worker = '', workerStart}: JobView,
  now: Millis,
): void {
  const rack = state.getOrCreateWorker(worker).instance?.rack ?? '';
  const task = newTask(job, id, {worker, rack, workerStart}, true);
  task.startSentAt = now;
  task.leaseExpiresAt = now + state.maxLeaseMs;
  state.addTask(task, job);
  state.capacity.addRunning(worker, task.id, task.size);
}

/** Ends the term. Running tasks continue until their leases expire. */
export function* onFollow(state: SchedulerState): Generator<SchedulerAction> {
  yield* refusePendingRequests(state);
  clearTermState(state);
  state.term = undefined;
}

/** Refuses all requests that were not answered before the term changed. */
function* refusePendingRequests(
  state: SchedulerState,
): Generator<SchedulerAction> {
  yield* refuseAppendedRequests(state);
  for (const job of state.jobs.values()) {
    for (const request of job.pendingCancellations) {
      // A stop may have been sent, so the outcome is unknown.
      yield refusal(request, unknownOutcome());
    }
    job.pendingCancellations.length = 0;
  }
}

/**
 * Refuses the requests whose record was handed to the writer. The outcome is
 * unknown, as the record may still take effect; success is answered only after
 * the record is read back.
 */
export function* refuseAppendedRequests(
  state: SchedulerState,
): Generator<SchedulerAction> {
  for (const pending of [state.pendingSubmissions, state.pendingClaims]) {
    for (const request of [...pending.values()].flat()) {
      yield refusal(request, unknownOutcome());
    }
    pending.clear();
  }
}

/** Whether every listed worker, and every one with tasks, is reconciled. */
function areAllReconciled(state: SchedulerState): boolean {
  for (const worker of state.workers.values()) {
    const isRelevant = worker.instance !== undefined || worker.tasks.size > 0;
    if (isRelevant && !worker.isReconciled) return false;
  }
  return true;
}

/**
 * Completes reconciliation once every worker has sent a status, or once every
 * lease of an earlier leader has expired: inherited jobs without a task are
 * queued. The instance list must have been read in this term, because an older
 * one may lack a worker that runs a task.
 */
// eslint-disable-next-line require-yield
export function* advanceReconciliation(
  state: SchedulerState,
  now: Millis,
): Generator<SchedulerAction> {
  const {term} = state;
  if (term === undefined || term.reconciliationDone) return;
  const timedOut = now >= term.since + state.maxLeaseMs;
  if (!timedOut && !(term.instanceListRead && areAllReconciled(state))) return;
  term.reconciliationDone = true;
  for (const job of state.jobs.values()) {
    if (!job.awaitsReconciliation) continue;
    job.awaitsReconciliation = false;
    state.releaseQuota(job);
    if (job.task !== undefined || job.ending) continue;
    if (job.pendingCancellations.length > 0) recordCancellation(state, job);
    else state.queue.add(job);
  }
  state.placementNeeded = true;
}

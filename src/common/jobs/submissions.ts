import {MINUTE, Millis, SECOND} from '../base/clock.js';
import {Refusal, RefusalKind, refuse, refuseUnknown} from '../base/refusal.js';
import {Size, fits} from '../base/size.js';
import {activeJobOf, viewOfActiveJob} from './active_job.js';
import {digestOf, jobIdOf} from './job_id.js';
import {viewOfTombstone} from './tombstone_view.js';
import {
  SchedulerState,
  addPending,
  answer,
  refusal,
  takePending,
} from './scheduler_state.js';
import {
  JobId,
  JobState,
  JobView,
  SchedulerAction,
  SchedulerMessage,
  Submission,
} from './types.js';

type Submit = Extract<SchedulerMessage, {kind: 'submit'}>;

/** Retry delay while there is no leader; a takeover takes about as long. */
const LEADER_RETRY_MS: Millis = 3 * SECOND;

/** Retry delay while the log service does not answer. */
const LOG_RETRY_MS: Millis = 5 * SECOND;

/** Retry delay while the data centre holds as many jobs as it may. */
const QUEUE_FULL_RETRY_MS: Millis = MINUTE;

export function noLeader(): Refusal {
  return refuse(
    RefusalKind.NO_LEADER,
    'This instance does not lead its data centre.',
    'Send the request again; a leader is found within seconds.',
    LEADER_RETRY_MS,
  );
}

export function logUnavailable(): Refusal {
  return refuse(
    RefusalKind.LOG_UNAVAILABLE,
    'The log service does not answer.',
    'Send the request again later.',
    LOG_RETRY_MS,
  );
}

export function unknownOutcome(): Refusal {
  return refuseUnknown(
    RefusalKind.UNKNOWN_OUTCOME,
    'The record was sent to the log and has not been read back.',
    'Send the request again with the same key to get the outcome.',
  );
}

/** The leader's current view of a job, or else the view in the job table. */
export function currentView(
  state: SchedulerState,
  id: JobId,
): JobView | undefined {
  const active = state.jobs.get(id);
  return active === undefined ? state.table.job(id) : viewOfActiveJob(active);
}

function describeSize(size: Size): string {
  const {processors, memoryMb, accelerators} = size;
  return `${processors} processors, ${memoryMb} MB and ${accelerators} accelerators`;
}

/** What each listed worker can give to jobs. */
function* allocatableSizes(state: SchedulerState): Generator<Size> {
  for (const {id, instance} of state.workers.values()) {
    if (instance !== undefined) yield state.capacity.allocatable(id);
  }
}

/** Compares by processors, then memory, then accelerators; largest first. */
function compareLargestFirst(a: Size, b: Size): number {
  return (
    b.processors - a.processors ||
    b.memoryMb - a.memoryMb ||
    b.accelerators - a.accelerators
  );
}

/** Refuses a job that is too large for every listed worker. */
function sizeRefusal(
  state: SchedulerState,
  submission: Submission,
): Refusal | undefined {
  for (const size of allocatableSizes(state)) {
    if (fits(submission.size, size)) return undefined;
  }
  const [largest] = [...allocatableSizes(state)].sort(compareLargestFirst);
  // Without a list of workers, no size can be ruled out.
  if (largest === undefined) return undefined;
  return refuse(
    RefusalKind.TOO_LARGE_FOR_ANY_WORKER,
    `The job needs ${describeSize(submission.size)}, more than any worker has.`,
    `Ask for at most ${describeSize(largest)}.`,
  );
}

/** Refuses a job whose team has no quota or that exceeds the team's quota. */
function quotaRefusal(
  state: SchedulerState,
  submission: Submission,
): Refusal | undefined {
  const quota = state.fairness.quotaOf(submission.team);
  if (quota === undefined) {
    return refuse(
      RefusalKind.QUOTA,
      `The team ${submission.team} has no quota.`,
      'Add the team with a ticket.',
    );
  }
  if (fits(submission.size, quota)) return undefined;
  return refuse(
    RefusalKind.QUOTA,
    `The job needs more than the quota of the team ${submission.team}.`,
    `Ask for at most ${describeSize(quota)}, or raise the quota with a ticket.`,
  );
}

/** Refuses a job while the data centre holds as many jobs as it may. */
function queueLimitRefusal(state: SchedulerState): Refusal | undefined {
  if (state.jobs.size + state.pendingDigests.size < state.settings.queueLimit) {
    return undefined;
  }
  return refuse(
    RefusalKind.OVERLOADED,
    `The data centre holds ${state.settings.queueLimit} jobs already.`,
    'Send the job again later.',
    QUEUE_FULL_RETRY_MS,
  );
}

function conflict(): Refusal {
  return refuse(
    RefusalKind.CONFLICT,
    'The key belongs to a job with another body.',
    'Use a new key for a new job, or send the same body.',
  );
}

/** The job that the submission's key already has, or undefined. */
function findExistingJob(
  state: SchedulerState,
  id: JobId,
  submission: Submission,
): {digest: string; view: JobView} | undefined {
  const view = currentView(state, id);
  if (view !== undefined) return {digest: digestOf(view.submission), view};
  const tombstone = state.table.tombstone(id);
  if (tombstone === undefined) return undefined;
  return {
    digest: tombstone.digest,
    view: viewOfTombstone(tombstone, submission),
  };
}

/**
 * Handles a submission. A new job is appended to the log, and its callers get
 * their answers once the record has been read back. A repeat of a known
 * submission gets the existing job; another body under its key is a conflict.
 */
export function* onSubmit(
  state: SchedulerState,
  message: Submit,
  now: Millis,
): Generator<SchedulerAction> {
  const {request, submission} = message;
  if (!state.mayAct(now)) {
    yield refusal(request, noLeader());
    return;
  }
  const id = jobIdOf(state.settings.dataCentre, submission.key);
  const digest = digestOf(submission);
  const known = findExistingJob(state, id, submission);
  const knownDigest = known?.digest ?? state.pendingDigests.get(id) ?? digest;
  if (knownDigest !== digest) {
    yield refusal(request, conflict());
  } else if (known !== undefined) {
    yield answer(request, {kind: 'job', job: known.view});
  } else if (!state.logAvailable) {
    // An earlier append for this key may still take effect.
    const appended = state.pendingDigests.has(id);
    yield refusal(request, appended ? unknownOutcome() : logUnavailable());
  } else if (state.pendingDigests.has(id)) {
    addPending(state.pendingSubmissions, id, request);
  } else {
    yield* appendSubmission(state, message, id, digest);
  }
}

/** Checks a job with a new key and appends its record. */
function* appendSubmission(
  state: SchedulerState,
  {request, submission}: Submit,
  job: JobId,
  digest: string,
): Generator<SchedulerAction> {
  const refused =
    sizeRefusal(state, submission) ??
    quotaRefusal(state, submission) ??
    queueLimitRefusal(state);
  if (refused !== undefined) {
    yield refusal(request, refused);
    return;
  }
  state.pendingDigests.set(job, digest);
  addPending(state.pendingSubmissions, job, request);
  state.record({kind: 'submitted', job, submission, timeMs: state.unixMs});
}

/**
 * Queues the job of a `submitted` record that was read back and answers the
 * requests that wait for it.
 */
export function* onSubmittedRead(
  state: SchedulerState,
  id: JobId,
): Generator<SchedulerAction> {
  state.pendingDigests.delete(id);
  const recordedView = state.table.job(id);
  if (recordedView?.state === JobState.QUEUED && !state.jobs.has(id)) {
    const job = activeJobOf(recordedView);
    state.jobs.set(id, job);
    state.queue.add(job);
    state.placementNeeded = true;
  }
  const view = currentView(state, id);
  if (view === undefined) return;
  for (const request of takePending(state.pendingSubmissions, id)) {
    yield answer(request, {kind: 'job', job: view});
  }
}

import {Millis} from '../base/clock.js';
import {ActiveJob, ActiveTask, TaskPhase} from './active_job.js';
import {CandidateWorker} from './placement.js';
import {PlacementPass} from './placement_pass.js';
import {SchedulerState} from './scheduler_state.js';
import {recordCancellation, onTaskNotStarted} from './task_endings.js';
import {SchedulerAction} from './types.js';
import {WorkerEntry} from './worker_entry.js';
import {isLeaving} from './worker_state.js';

/**
 * Shortest lease of a start. A shorter one could expire before the start is
 * confirmed and the lease renewed.
 */
const MIN_START_LEASE_MS: Millis = 500;

/** Poll intervals without an answer after which a worker gets no new tasks. */
const MAX_UNANSWERED_POLLS = 3;

/** Time between passes over the queue when nothing has changed. */
const PASS_PERIOD_MS: Millis = 1000;

/** How long a recorded start waits for its worker to become usable again. */
const RECORDED_START_TIMEOUT_MS: Millis = 5000;

/** Whether a worker is listed, reconciled, answers polls and is not leaving. */
function isUsable(
  state: SchedulerState,
  worker: WorkerEntry,
  now: Millis,
): boolean {
  const maxAgeMs = MAX_UNANSWERED_POLLS * state.settings.timing.pollMs;
  return (
    worker.instance !== undefined &&
    worker.isReconciled &&
    worker.isReachable(now, maxAgeMs) &&
    !isLeaving(state, worker)
  );
}

/** Workers that may get new tasks. */
function candidateWorkers(
  state: SchedulerState,
  now: Millis,
): CandidateWorker[] {
  const {capacity} = state;
  const eligible = [...state.workers.values()].filter(
    worker =>
      isUsable(state, worker, now) &&
      startLease(state, worker, now) !== undefined &&
      !state.quarantine.isQuarantined(worker.id, now) &&
      !state.interferenceController.isAvoided(worker.id, now),
  );
  return eligible.map(({id, instance}) => ({
    worker: id,
    rack: instance?.rack ?? '',
    get available() {
      return capacity.available(id);
    },
    allocatable: capacity.allocatable(id),
  }));
}

/** End of the lease of a start, on two clocks. */
interface StartLease {
  /** On the worker's clock. */
  readonly leaseUntilMs: Millis;
  /** Local time by which the worker's clock has reached `leaseUntilMs`. */
  readonly localEnd: Millis;
}

/**
 * Lease of a start; undefined if it would be too short. It never ends after the
 * leadership lease, so a worker refuses a start that arrives after another
 * instance has taken over the leadership.
 */
function startLease(
  state: SchedulerState,
  worker: WorkerEntry,
  now: Millis,
): StartLease | undefined {
  const {taskLeaseMs} = state.settings.timing;
  const localEnd = Math.min(state.lease.leaseUntil(now), now + taskLeaseMs);
  const leaseUntilMs = worker.clock.lowerBound(localEnd);
  const minLeaseMs = leaseUntilMs - worker.clock.upperBound(now);
  return minLeaseMs < MIN_START_LEASE_MS ? undefined : {leaseUntilMs, localEnd};
}

/**
 * Places queued jobs. Starts of idempotent jobs are sent at once, others after
 * their `starting` record was read back.
 */
export function* startQueuedJobs(
  state: SchedulerState,
  now: Millis,
): Generator<SchedulerAction> {
  const {term} = state;
  if (term === undefined || now < term.drainUntil || !state.mayAct(now)) return;
  if (!state.placementNeeded && now - term.lastPassAt < PASS_PERIOD_MS) return;
  state.placementNeeded = false;
  term.lastPassAt = now;
  if (state.queue.size === 0) return;
  const pass = new PlacementPass(state, term, candidateWorkers(state, now));
  state.queue.placeJobs(state.fairness, job => pass.tryPlace(job));
  for (const {job, task} of pass.placed) {
    if (job.submission.idempotent) yield* sendStart(state, job, task, now);
    else recordStart(state, task);
  }
}

function recordStart(state: SchedulerState, task: ActiveTask): void {
  const {job, id, worker, workerStart} = task;
  state.record({kind: 'starting', job, task: id, worker, workerStart});
}

/**
 * Sends a start. It is not sent again; the worker's statuses tell whether the
 * task runs.
 */
function* sendStart(
  state: SchedulerState,
  job: ActiveJob,
  task: ActiveTask,
  now: Millis,
): Generator<SchedulerAction> {
  const lease = startLease(state, state.getOrCreateWorker(task.worker), now);
  if (lease === undefined || !state.mayAct(now)) return;
  task.phase = TaskPhase.STARTING;
  task.startSentAt = now;
  task.leaseUntilMs = lease.leaseUntilMs;
  const {taskLeaseMs, driftFraction} = state.settings.timing;
  task.leaseExpiresAt = lease.localEnd + 2 * driftFraction * taskLeaseMs;
  const {submission, checkpoint} = job;
  yield {
    kind: 'start',
    worker: task.worker,
    task: task.id,
    start: {
      job: job.id,
      kind: submission.jobClass,
      size: submission.size,
      runMs: submission.runMs,
      payload: submission.payload,
      leaseUntilMs: lease.leaseUntilMs,
      checkpoint,
    },
  };
}

/** Handles a `starting` record of this term that was read back. */
export function* onStartingRead(
  state: SchedulerState,
  taskId: string,
  now: Millis,
): Generator<SchedulerAction> {
  const task = state.tasks.get(taskId);
  if (task?.phase !== TaskPhase.RECORDING) return;
  task.phase = TaskPhase.RECORDED;
  task.requestedAt = now;
  state.recordedStarts.add(task);
  yield* sendRecordedStarts(state, now);
}

/** Sends the starts whose records were read back, or gives them up. */
export function* sendRecordedStarts(
  state: SchedulerState,
  now: Millis,
): Generator<SchedulerAction> {
  for (const task of state.recordedStarts) {
    const job = state.jobs.get(task.job);
    if (job === undefined || task.phase !== TaskPhase.RECORDED) {
      state.recordedStarts.delete(task);
      continue;
    }
    if (!state.mayAct(now) || now < (state.term?.drainUntil ?? 0)) return;
    yield* sendRecordedStart(state, job, task, now);
    if (task.phase !== TaskPhase.RECORDED || job.task !== task) {
      state.recordedStarts.delete(task);
    }
  }
}

/**
 * Sends a start whose record was read back once its worker is usable. Gives it
 * up if the job was cancelled, or if the worker is leaving, was restarted or
 * does not become usable in time.
 */
function* sendRecordedStart(
  state: SchedulerState,
  job: ActiveJob,
  task: ActiveTask,
  now: Millis,
): Generator<SchedulerAction> {
  const worker = state.getOrCreateWorker(task.worker);
  const workerGone =
    isLeaving(state, worker) || worker.instance?.start !== task.workerStart;
  if (job.pendingCancellations.length > 0) {
    recordCancellation(state, job, task);
  } else if (workerGone || now - task.requestedAt > RECORDED_START_TIMEOUT_MS) {
    onTaskNotStarted(state, job, task, now);
  } else if (isUsable(state, worker, now)) {
    yield* sendStart(state, job, task, now);
  }
}

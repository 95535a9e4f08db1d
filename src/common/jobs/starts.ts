import {Millis} from '../base/clock.js';
import {Size, fits} from '../base/size.js';
import {ActiveJob, ActiveTask, TaskPhase, newTask} from './active_job.js';
import {Candidate, PLACEMENTS} from './placement.js';
import {SchedulerState, Term} from './scheduler_state.js';
import {cancelled, neverRan} from './task_endings.js';
import {SchedulerAction} from './types.js';
import {WorkerEntry} from './worker_entry.js';
import {isLeaving} from './worker_state.js';

/**
 * Least lease of a start. A shorter one could lapse before the start is
 * confirmed and the lease renewed.
 */
const LEAST_START_LEASE_MS: Millis = 500;

/** Unanswered polls after which a worker gets no new tasks. */
const SILENT_POLLS = 3;

/** Time after which the queue is looked at although nothing was noticed. */
const IDLE_PASS_MS: Millis = 1000;

/** Longest wait of a recorded start for its worker to answer again. */
const RECORDED_WAIT_MS: Millis = 5000;

/** Whether a worker answers and may get new tasks. */
function isUsable(
  state: SchedulerState,
  worker: WorkerEntry,
  now: Millis,
): boolean {
  const maxAgeMs = SILENT_POLLS * state.settings.timing.pollMs;
  return (
    worker.instance !== undefined &&
    worker.surveyed &&
    worker.isReachable(now, maxAgeMs) &&
    !isLeaving(state, worker)
  );
}

function candidates(state: SchedulerState, now: Millis): Candidate[] {
  const {capacity} = state;
  const usable = [...state.workers.values()].filter(
    worker =>
      isUsable(state, worker, now) &&
      startLease(state, worker, now) !== undefined &&
      !state.quarantine.holds(worker.id, now) &&
      !state.reaction.avoids(worker.id, now),
  );
  return usable.map(({id, instance}) => ({
    worker: id,
    rack: instance?.rack ?? '',
    get room() {
      return capacity.room(id);
    },
    usable: capacity.usable(id),
  }));
}

interface StartLease {
  /** On the worker's clock. */
  readonly leaseUntilMs: Millis;
  /** On the local clock; the worker's clock has reached the end by then. */
  readonly localEnd: Millis;
}

/**
 * Lease of a start: never later than the leadership lease, so that a start that
 * arrives after a takeover is refused by the worker.
 */
function startLease(
  state: SchedulerState,
  worker: WorkerEntry,
  now: Millis,
): StartLease | undefined {
  const {taskLeaseMs} = state.settings.timing;
  const localEnd = Math.min(state.lease.leaseUntil(now), now + taskLeaseMs);
  const leaseUntilMs = worker.clock.lowerBound(localEnd);
  const leastMs = leaseUntilMs - worker.clock.upperBound(now);
  return leastMs < LEAST_START_LEASE_MS ? undefined : {leaseUntilMs, localEnd};
}

/** Sizes that found no worker; larger ones need not be tried. */
class FailedSizes {
  private readonly sizes: Size[] = [];

  covers(size: Size): boolean {
    return this.sizes.some(failed => fits(failed, size));
  }

  add(size: Size): void {
    this.sizes.push(size);
  }
}

/** Places queued jobs and starts them. */
export function* startQueued(
  state: SchedulerState,
  now: Millis,
): Generator<SchedulerAction> {
  const {term} = state;
  if (term === undefined || term.draining || !state.mayAct(now)) return;
  if (!state.dirty && now - term.placedAt < IDLE_PASS_MS) return;
  state.dirty = false;
  term.placedAt = now;
  if (state.queue.size === 0) return;
  const pass = new PlacementPass(state, term, candidates(state, now));
  state.queue.drain(state.fairness, job => pass.place(job));
  for (const {job, task} of pass.placed) {
    if (job.submission.idempotent) yield* sendStart(state, job, task, now);
    else recordStart(state, task);
  }
}

/** One pass over the queue. */
class PlacementPass {
  readonly placed: Array<{job: ActiveJob; task: ActiveTask}> = [];
  private readonly failed = new FailedSizes();

  constructor(
    private readonly state: SchedulerState,
    private readonly term: Term,
    private readonly candidates: readonly Candidate[],
  ) {}

  place(job: ActiveJob): boolean {
    const {state} = this;
    const {size, idempotent} = job.submission;
    if (!idempotent && !state.logAvailable) return false;
    if (!state.fairness.allows(job.team, size)) return false;
    const candidate = this.choose(job);
    if (candidate === undefined) return false;
    const id = `${job.id}.${this.term.epoch}-${++this.term.lastTask}`;
    const {worker, rack} = candidate;
    if (!state.capacity.promise(worker, id, size)) return false;
    const workerStart = state.worker(worker).instance?.start;
    const task = newTask(job, id, {worker, rack, workerStart});
    state.addTask(task, job);
    job.attempts++;
    this.placed.push({job, task});
    return true;
  }

  private choose(job: ActiveJob): Candidate | undefined {
    const {size} = job.submission;
    if (this.failed.covers(size)) return undefined;
    const open =
      job.failedOn.size === 0
        ? this.candidates
        : this.candidates.filter(({worker}) => !job.failedOn.has(worker));
    const placement = PLACEMENTS[this.state.settings.placement];
    const chosen = placement(
      size,
      open,
      rack => this.state.tasksOnRack.get(rack) ?? 0,
    );
    if (chosen === undefined && open === this.candidates) {
      this.failed.add(size);
    }
    return chosen;
  }
}

function recordStart(state: SchedulerState, task: ActiveTask): void {
  const {job, id, worker, workerStart} = task;
  state.record({kind: 'starting', job, task: id, worker, workerStart});
}

/** Sends a start once; the question whether it ran is settled by statuses. */
function* sendStart(
  state: SchedulerState,
  job: ActiveJob,
  task: ActiveTask,
  now: Millis,
): Generator<SchedulerAction> {
  const lease = startLease(state, state.worker(task.worker), now);
  if (lease === undefined || !state.mayAct(now)) return;
  task.phase = TaskPhase.STARTING;
  task.startedAt = now;
  task.leaseUntilMs = lease.leaseUntilMs;
  const {taskLeaseMs, driftFraction} = state.settings.timing;
  task.leaseEndsAt = lease.localEnd + 2 * driftFraction * taskLeaseMs;
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

/** A `starting` record of this term was read back. */
export function* onStartingRead(
  state: SchedulerState,
  taskId: string,
  now: Millis,
): Generator<SchedulerAction> {
  const task = state.tasks.get(taskId);
  if (task?.phase !== TaskPhase.RECORDING) return;
  task.phase = TaskPhase.RECORDED;
  task.askedAt = now;
  state.recordedStarts.add(task);
  yield* sendRecorded(state, now);
}

/** Sends the recorded starts, or gives those up whose worker has gone. */
export function* sendRecorded(
  state: SchedulerState,
  now: Millis,
): Generator<SchedulerAction> {
  for (const task of state.recordedStarts) {
    const job = state.jobs.get(task.job);
    if (job === undefined || task.phase !== TaskPhase.RECORDED) {
      state.recordedStarts.delete(task);
      continue;
    }
    if (!state.mayAct(now) || state.term?.draining) return;
    yield* sendOneRecorded(state, job, task, now);
    if (task.phase !== TaskPhase.RECORDED || job.task !== task) {
      state.recordedStarts.delete(task);
    }
  }
}

function* sendOneRecorded(
  state: SchedulerState,
  job: ActiveJob,
  task: ActiveTask,
  now: Millis,
): Generator<SchedulerAction> {
  const worker = state.worker(task.worker);
  const gone =
    isLeaving(state, worker) || worker.instance?.start !== task.workerStart;
  if (job.cancellations.length > 0) {
    cancelled(state, job, task);
  } else if (gone || now - task.askedAt > RECORDED_WAIT_MS) {
    neverRan(state, job, task, now);
  } else if (isUsable(state, worker, now)) {
    yield* sendStart(state, job, task, now);
  }
}

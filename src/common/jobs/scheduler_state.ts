import {Either, Left, Right} from 'purify-ts';
import {Millis} from '../base/clock.js';
import {Refusal} from '../base/refusal.js';
import {Epoch} from '../stream/types.js';
import {Configuration, EMPTY_CONFIGURATION} from '../tickets/types.js';
import {ActiveJob, ActiveTask} from './active_job.js';
import {Capacity} from './capacity.js';
import {ClosedTasks} from './closed_tasks.js';
import {Fairness} from './fairness.js';
import {JobTable} from './job_table.js';
import {PlacementPolicy} from './placement.js';
import {Quarantine} from './quarantine.js';
import {JobQueue} from './queue.js';
import {
  InterferenceController,
  InterferencePolicy,
} from './interference_controller.js';
import {
  JobId,
  JobRecord,
  LeadershipLease,
  RequestId,
  SchedulerAction,
  SchedulerAnswer,
  SchedulerTiming,
  TaskId,
} from './types.js';
import {WorkerEntry} from './worker_entry.js';

/** Settings of a scheduler. */
export interface SchedulerSettings {
  readonly dataCentre: string;
  readonly timing: SchedulerTiming;
  readonly placement: PlacementPolicy;
  /** How tasks that slow down the services of their worker are treated. */
  readonly reaction: InterferencePolicy;
  /** Largest number of jobs that may be queued or running. */
  readonly queueLimit: number;
  /** A checkpoint is due after this time if anything was recorded. */
  readonly checkpointMs: Millis;
  /** A checkpoint is due after this many records. */
  readonly checkpointRecords: number;
}

/**
 * A period in which this instance leads without interruption. A view change
 * that keeps the leader only changes the epoch.
 */
export interface Term {
  epoch: Epoch;
  /** Local time at which the term began. */
  readonly since: Millis;
  /** Whether a non-empty instance list was read in this term. */
  instanceListRead: boolean;
  /** Whether jobs that an earlier leader may have started can be placed. */
  reconciliationDone: boolean;
  /** Local time before which nothing starts, to allow a leadership handover. */
  drainUntil: Millis;
  /** Number of the last task; part of task ids. */
  lastTaskNumber: number;
  /** Local time of the last checkpoint of the job table. */
  lastCheckpointAt: Millis;
  /** Whether a checkpoint was appended and is not yet read back. */
  checkpointPending: boolean;
  /** Local time of the last placement pass over the queue. */
  lastPassAt: Millis;
}

/** Requests whose record was appended and is not yet read back, by key. */
export type PendingRequests = Map<string, RequestId[]>;

/** State shared by the message handlers of the scheduler. */
export class SchedulerState {
  term: Term | undefined;
  logAvailable = false;
  /** Local time of the message that is being handled. */
  now: Millis = 0;
  /** Unix time of the message that is being handled. */
  unixMs: Millis = 0;
  configuration: Configuration = EMPTY_CONFIGURATION;
  readonly workers = new Map<string, WorkerEntry>();
  capacity = new Capacity();
  fairness = new Fairness();
  readonly quarantine = new Quarantine();
  readonly interferenceController: InterferenceController;
  readonly closedTasks = new ClosedTasks();
  queue = new JobQueue<ActiveJob>();
  readonly jobs = new Map<JobId, ActiveJob>();
  readonly tasks = new Map<TaskId, ActiveTask>();
  /** Tasks whose `starting` record is read back and whose start is not sent. */
  readonly recordedStarts = new Set<ActiveTask>();
  readonly taskCountByRack = new Map<string, number>();
  /** Submissions that wait for their `submitted` record, by job id. */
  readonly pendingSubmissions: PendingRequests = new Map();
  /** Requests that wait for their `claimed` record, by claim key. */
  readonly pendingClaims: PendingRequests = new Map();
  /** Digests of submissions whose record is not yet read back. */
  readonly pendingDigests = new Map<JobId, string>();
  /** Records that are not yet handed to the writer, oldest first. */
  outbox: JobRecord[] = [];
  /** Records that were handed to the writer and are not yet read back. */
  inFlight: JobRecord[] = [];
  /** Number of non-empty instance lists that were read. */
  instanceListCount = 0;
  /** Whether a change may allow queued jobs to be placed. */
  placementNeeded = false;

  constructor(
    readonly settings: SchedulerSettings,
    readonly lease: LeadershipLease,
    readonly table: JobTable,
  ) {
    this.interferenceController = new InterferenceController(settings.reaction);
  }

  /** Whether this instance leads and may act at `now`. */
  mayAct(now: Millis): boolean {
    return this.term !== undefined && this.lease.mayAct(now);
  }

  /** Longest time that a lease granted now can last on the local clock. */
  get maxLeaseMs(): Millis {
    const {taskLeaseMs, driftFraction} = this.settings.timing;
    return taskLeaseMs * (1 + 2 * driftFraction);
  }

  /** Queues a record; it is appended once the message has been handled. */
  record(entry: JobRecord): void {
    this.outbox.push(entry);
  }

  getOrCreateWorker(id: string): WorkerEntry {
    let entry = this.workers.get(id);
    if (entry === undefined) {
      entry = new WorkerEntry(id, this.settings.timing.driftFraction);
      this.workers.set(id, entry);
    }
    return entry;
  }

  /** Charges the team of a job that may be running without a known task. */
  chargeQuota(job: ActiveJob): void {
    if (job.chargedToQuota) return;
    job.chargedToQuota = true;
    this.fairness.add(job.team, job.submission.size);
  }

  /** Reverts `chargeQuota`. */
  releaseQuota(job: ActiveJob): void {
    if (!job.chargedToQuota) return;
    job.chargedToQuota = false;
    this.fairness.remove(job.team, job.submission.size);
  }

  /** Adds a task and charges its team. The caller allocates the capacity. */
  addTask(task: ActiveTask, job: ActiveJob): void {
    this.releaseQuota(job);
    job.task = task;
    this.tasks.set(task.id, task);
    this.getOrCreateWorker(task.worker).tasks.set(task.id, task);
    this.fairness.add(job.team, task.size);
    this.countOnRack(task.rack, 1);
  }

  /** Removes a task that provably ended; releases its capacity and quota. */
  removeTask(task: ActiveTask, job: ActiveJob): void {
    if (job.task === task) job.task = undefined;
    this.tasks.delete(task.id);
    this.getOrCreateWorker(task.worker).tasks.delete(task.id);
    this.capacity.release(task.worker, task.id);
    this.fairness.remove(job.team, task.size);
    this.countOnRack(task.rack, -1);
    this.placementNeeded = true;
  }

  private countOnRack(rack: string, change: number): void {
    this.taskCountByRack.set(
      rack,
      (this.taskCountByRack.get(rack) ?? 0) + change,
    );
  }
}

/** Creates the action that answers a request with a value. */
export function answer(
  request: RequestId,
  value: SchedulerAnswer,
): SchedulerAction {
  const answer: Either<Refusal, SchedulerAnswer> = Right(value);
  return {kind: 'answer', request, answer};
}

/** Creates the action that refuses a request. */
export function refusal(request: RequestId, value: Refusal): SchedulerAction {
  const answer: Either<Refusal, SchedulerAnswer> = Left(value);
  return {kind: 'answer', request, answer};
}

/** Adds a request to the pending ones of a key. */
export function addPending(
  pending: PendingRequests,
  key: string,
  request: RequestId,
): void {
  const requests = pending.get(key);
  if (requests === undefined) pending.set(key, [request]);
  else requests.push(request);
}

/** Removes and returns all pending requests of a key. */
export function takePending(
  pending: PendingRequests,
  key: string,
): RequestId[] {
  const requests = pending.get(key) ?? [];
  pending.delete(key);
  return requests;
}

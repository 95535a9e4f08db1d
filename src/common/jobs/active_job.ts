import {Millis} from '../base/clock.js';
import {Size} from '../base/size.js';
import {Urgency} from '../tickets/types.js';
import {
  JobId,
  JobState,
  JobView,
  RequestId,
  Submission,
  TaskId,
} from './types.js';

/** Phase of a task, as far as the leader knows it. */
export const TaskPhase = {
  /** Placed; its `starting` record, if any, has not been read back. */
  RECORDING: 'recording',
  /** The `starting` record was read back; the start has not been sent. */
  RECORDED: 'recorded',
  /** The start was sent; no worker status has shown the task. */
  STARTING: 'starting',
  /** Taken over from an earlier leader; no worker status has shown it. */
  RECOVERING: 'recovering',
  RUNNING: 'running',
  /** A checkpoint was requested in order to evict the task. */
  CHECKPOINTING: 'checkpointing',
  /** A stop was sent. */
  STOPPING: 'stopping',
} as const;
export type TaskPhase = (typeof TaskPhase)[keyof typeof TaskPhase];

/** A task that has capacity allocated on a worker. */
export interface ActiveTask {
  readonly id: TaskId;
  readonly job: JobId;
  readonly worker: string;
  readonly size: Size;
  phase: TaskPhase;
  /** Rack of the worker when the task was placed. */
  readonly rack: string;
  /** Whether an earlier leader recorded the start or started the task. */
  readonly inherited: boolean;
  /** Start number of the worker when the task was placed; see `Instance`. */
  readonly workerStart: number | undefined;
  /** Local time at which the start was sent; Infinity until then. */
  startSentAt: Millis;
  /** Latest end of a lease that was given, on the worker's clock. */
  leaseUntilMs: Millis;
  /** Local time by which every lease that may have been given has ended. */
  leaseExpiresAt: Millis;
  /** Whether a worker status has shown the task. */
  wasReported: boolean;
  /**
   * Whether a later status did not show the task any more; its lease is not
   * renewed.
   */
  missing: boolean;
  /**
   * `SchedulerState.instanceListCount` when a status first lacked a task whose
   * start lease had ended.
   */
  listCountWhenMissing: number | undefined;
  /** Whether the stop is part of an eviction. */
  evicting: boolean;
  /**
   * Local time at which the eviction began; before the start was sent, the time
   * at which the `starting` record was read back.
   */
  requestedAt: Millis;
  /** Fraction of full speed; undefined while only an earlier leader set it. */
  share: number | undefined;
  /** Fraction of the work that is done, 0 to 1. */
  progress: number;
  /** Fraction of the work that the last checkpoint keeps, 0 to 1. */
  checkpoint: number;
}

/** A job that has not ended, as the leader knows it. */
export interface ActiveJob {
  readonly id: JobId;
  readonly team: string;
  readonly urgency: Urgency;
  readonly submittedMs: Millis;
  readonly submission: Submission;
  task: ActiveTask | undefined;
  attempts: number;
  evictions: number;
  /** Fraction of the work that the last checkpoint keeps, 0 to 1. */
  checkpoint: number;
  /** Workers on which a task of the job failed. */
  readonly failedOn: Set<string>;
  /**
   * Whether the job waits for reconciliation, because an earlier leader may
   * have started it without a record.
   */
  awaitsReconciliation: boolean;
  /** Whether the job counts against its team's quota without a known task. */
  chargedToQuota: boolean;
  /** Whether a record that ends the job waits to be read back. */
  ending: boolean;
  /** State that is reported while `ending`. */
  stateBeforeEnd: JobState;
  /** Requests to cancel the job that are not answered yet. */
  readonly pendingCancellations: RequestId[];
  /** Why the job is still queued. */
  reason: string | undefined;
}

/** Builds the leader's state of a job from its view in the job table. */
export function activeJobOf(view: JobView): ActiveJob {
  return {
    id: view.id,
    team: view.submission.team,
    urgency: view.submission.urgency,
    submittedMs: view.submittedMs,
    submission: view.submission,
    task: undefined,
    attempts: view.attempts,
    evictions: view.evictions,
    checkpoint: view.checkpoint,
    failedOn: new Set(view.failedOn),
    awaitsReconciliation: false,
    chargedToQuota: false,
    ending: false,
    stateBeforeEnd: JobState.QUEUED,
    pendingCancellations: [],
    reason: view.reason,
  };
}

/** The worker on which a task is placed. */
export interface TaskLocation {
  readonly worker: string;
  readonly rack: string;
  readonly workerStart: number | undefined;
}

/** Builds the state of a new or inherited task before anything is sent. */
export function newTask(
  job: ActiveJob,
  id: TaskId,
  location: TaskLocation,
  inherited = false,
): ActiveTask {
  const {worker, rack, workerStart} = location;
  return {
    id,
    job: job.id,
    worker,
    rack,
    inherited,
    size: job.submission.size,
    phase: inherited ? TaskPhase.RECOVERING : TaskPhase.RECORDING,
    workerStart,
    startSentAt: Infinity,
    leaseUntilMs: -Infinity,
    leaseExpiresAt: -Infinity,
    wasReported: false,
    missing: false,
    listCountWhenMissing: undefined,
    evicting: false,
    requestedAt: -Infinity,
    share: inherited ? undefined : 1,
    progress: job.checkpoint,
    checkpoint: job.checkpoint,
  };
}

const STATE_OF_PHASE: Readonly<Record<TaskPhase, JobState>> = {
  [TaskPhase.RECORDING]: JobState.STARTING,
  [TaskPhase.RECORDED]: JobState.STARTING,
  [TaskPhase.STARTING]: JobState.STARTING,
  [TaskPhase.RECOVERING]: JobState.STARTING,
  [TaskPhase.RUNNING]: JobState.RUNNING,
  [TaskPhase.CHECKPOINTING]: JobState.EVICTING,
  [TaskPhase.STOPPING]: JobState.RUNNING,
};

/** State of a job that has not ended. */
export function stateOfActiveJob({task, ending, stateBeforeEnd}: ActiveJob) {
  if (ending) return stateBeforeEnd;
  if (task === undefined) return JobState.QUEUED;
  return task.evicting ? JobState.EVICTING : STATE_OF_PHASE[task.phase];
}

/** Builds the view that callers get of a job that has not ended. */
export function viewOfActiveJob(job: ActiveJob): JobView {
  const {task} = job;
  const state = stateOfActiveJob(job);
  return {
    id: job.id,
    state,
    submission: job.submission,
    submittedMs: job.submittedMs,
    worker: task?.worker,
    task: task?.id,
    attempts: job.attempts,
    evictions: job.evictions,
    checkpoint: job.checkpoint,
    failedOn: [...job.failedOn],
    reason: job.reason,
  };
}

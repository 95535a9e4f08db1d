import {Either} from 'purify-ts';
import {Millis} from '../base/clock.js';
import {Instance, WorkerStatus} from '../base/platform.js';
import {Refusal} from '../base/refusal.js';
import {Size} from '../base/size.js';
import {BatchRecord, Epoch, Offset} from '../stream/types.js';
import {Configuration, Urgency} from '../tickets/types.js';
import {Claim, JobRecord, Tombstone} from './records.js';

export type {Claim, JobRecord, Tombstone};

/** Identifies a job, `<data centre>/<digest of the key>`. */
export type JobId = string;

/**
 * Identifies one execution of a job on a worker, `<job>.<epoch>-<number>`. The
 * number counts the tasks of one leadership term.
 */
export type TaskId = string;

/** A job as its caller describes it, with the defaults of its class. */
export interface Submission {
  /** Idempotency key; a data centre has at most one job for each key. */
  readonly key: string;
  readonly jobClass: string;
  readonly team: string;
  readonly urgency: Urgency;
  readonly size: Size;
  /** Declared run time on an idle worker. */
  readonly runMs: Millis;
  readonly idempotent: boolean;
  readonly payload?: unknown;
  /**
   * Digest of the request body as the caller sent it. The other fields contain
   * defaults of the job class; if they were compared instead, a retry after a
   * ticket that changes the defaults would count as a different submission.
   */
  readonly bodyDigest?: string;
}

/** State of a job, as reported to callers. */
export const JobState = {
  QUEUED: 'queued',
  /** A task was placed; no worker status has shown it yet. */
  STARTING: 'starting',
  RUNNING: 'running',
  /** Being evicted; queued again once the worker confirms the stop. */
  EVICTING: 'evicting',
  FINISHED: 'finished',
  FAILED: 'failed',
  CANCELLED: 'cancelled',
  /** May have run, so it is not retried; an operator has to decide. */
  INTERRUPTED: 'interrupted',
} as const;
export type JobState = (typeof JobState)[keyof typeof JobState];

/** A job as reported to callers and operators. */
export interface JobView {
  readonly id: JobId;
  readonly state: JobState;
  readonly submission: Submission;
  readonly submittedMs: Millis;
  readonly worker?: string;
  readonly attempts: number;
  readonly evictions: number;
  /** Fraction of the work that the last checkpoint keeps, 0 to 1. */
  readonly checkpoint: number;
  readonly result?: string;
  /** Why the job failed, was interrupted or is still queued. */
  readonly reason?: string;
  /**
   * Current task, or the last task of an ended job. The job table knows the
   * current task only while its `starting` record is open.
   */
  readonly task?: TaskId;
  /**
   * Start number of the worker when the `starting` record was written; it tells
   * a restarted worker apart.
   */
  readonly workerStart?: number;
  /** Workers on which the job failed. */
  readonly failedOn?: readonly string[];
  /** Unix time at which the job ended. */
  readonly endedMs?: Millis;
}

/** Matches an answer to its request; unique within one process. */
export type RequestId = string;

/** Input of the scheduler: requests, observations and timer ticks. */
export type SchedulerMessage =
  | {
      readonly kind: 'submit';
      readonly request: RequestId;
      readonly submission: Submission;
    }
  | {
      readonly kind: 'cancel';
      readonly request: RequestId;
      readonly job: JobId;
    }
  | {
      readonly kind: 'claim';
      readonly request: RequestId;
      readonly key: string;
      readonly instance: string;
    }
  | {
      readonly kind: 'end-claim';
      readonly key: string;
      /** HTTP status, or 'released' if the request was certainly not sent. */
      readonly outcome: number | 'released';
    }
  /** A batch in force was read from the log; `own` if this process wrote it. */
  | {
      readonly kind: 'batch-read';
      readonly offset: Offset;
      readonly batch: BatchRecord;
      readonly own: boolean;
    }
  /** Whether records can be appended to the log. */
  | {readonly kind: 'log'; readonly available: boolean}
  /**
   * This instance became the leader and has read all records up to its view.
   * `continued` if it also led the previous view: its state remains valid and
   * only the epoch changes.
   */
  | {
      readonly kind: 'lead';
      readonly epoch: Epoch;
      readonly continued?: boolean;
    }
  /** This instance does not lead any more. */
  | {readonly kind: 'follow'}
  | {
      readonly kind: 'worker-status';
      readonly worker: string;
      readonly status: WorkerStatus;
      /** Local time at which the poll that got this status was sent. */
      readonly sentAt: Millis;
      /** Local time at which the status was received. */
      readonly receivedAt: Millis;
    }
  /** A poll was not answered, or the connection failed. */
  | {readonly kind: 'worker-unreachable'; readonly worker: string}
  /** The worker refused a start because its lease had expired. */
  | {
      readonly kind: 'start-refused';
      readonly worker: string;
      readonly task: TaskId;
    }
  | {readonly kind: 'instances'; readonly instances: readonly Instance[]}
  | {readonly kind: 'configuration'; readonly configuration: Configuration}
  /** Measured slowdown of the services on a worker. */
  | {
      readonly kind: 'interference';
      readonly worker: string;
      /** Factor by which the services are slower; 1.0 is no slowdown. */
      readonly slowdown: number;
      /** Local time of the measurement, which arrives later. */
      readonly measuredAt: Millis;
    }
  /**
   * Stop starting tasks for 10 s before a planned handover of leadership. The
   * leader may hand over while `Scheduler.unconfirmedStarts` is 0; otherwise a
   * start in flight could arrive after the next leader's reconciliation.
   */
  | {readonly kind: 'drain'}
  | {readonly kind: 'tick'};

/** Answer to a request for a claim. */
export type ClaimAnswer =
  {readonly granted: true} | {readonly granted: false; readonly held: Claim};

/** Answer to a scheduler request. */
export type SchedulerAnswer =
  | {readonly kind: 'job'; readonly job: JobView}
  | {readonly kind: 'claim'; readonly claim: ClaimAnswer};

/** Request to a worker to start a task. */
export interface TaskStart {
  readonly job: JobId;
  /** Job class. */
  readonly kind: string;
  readonly size: Size;
  readonly runMs: Millis;
  readonly payload?: unknown;
  /** End of the lease on the worker's clock. */
  readonly leaseUntilMs: Millis;
  /** Fraction of the work to resume from, 0 to 1. */
  readonly checkpoint: number;
}

/** Output of the scheduler. */
export type SchedulerAction =
  /** Append the entries to the log. */
  | {readonly kind: 'append'; readonly entries: readonly JobRecord[]}
  | {
      readonly kind: 'answer';
      readonly request: RequestId;
      readonly answer: Either<Refusal, SchedulerAnswer>;
    }
  | {
      readonly kind: 'start';
      readonly worker: string;
      readonly task: TaskId;
      readonly start: TaskStart;
    }
  /** Read the worker's status and renew leases, if there are any. */
  | {
      readonly kind: 'poll';
      readonly worker: string;
      /** New ends of leases on the worker's clock, by task. */
      readonly leases: Readonly<Record<TaskId, Millis>>;
    }
  /** Save the progress of a task. */
  | {
      readonly kind: 'checkpoint-task';
      readonly worker: string;
      readonly task: TaskId;
    }
  | {
      readonly kind: 'throttle-task';
      readonly worker: string;
      readonly task: TaskId;
      /** Fraction of full speed, greater than 0 and at most 1. */
      readonly share: number;
    }
  | {
      readonly kind: 'stop-task';
      readonly worker: string;
      readonly task: TaskId;
    }
  /** Let the worker forget an outcome that has been recorded. */
  | {
      readonly kind: 'forget-task';
      readonly worker: string;
      readonly task: TaskId;
    }
  /** A job reached a final state. */
  | {readonly kind: 'job-ended'; readonly job: JobView}
  /** A state that the protocol rules out was observed; for logs and metrics. */
  | {
      readonly kind: 'violation';
      readonly rule: Violation;
      readonly worker: string;
      readonly task: TaskId;
    };

/** Observations that the protocol rules out. */
export const Violation = {
  /** One worker reports the same task twice. */
  TASK_LISTED_TWICE: 'task-listed-twice',
  /** Two workers report the same task. */
  TASK_ON_TWO_WORKERS: 'task-on-two-workers',
  /** A worker runs a task that is not the current task of its job. */
  UNEXPECTED_TASK: 'unexpected-task',
} as const;
export type Violation = (typeof Violation)[keyof typeof Violation];

/** Timing parameters of the scheduler. */
export interface SchedulerTiming {
  /** Duration of a task lease after a renewal, and longest one of a start. */
  readonly taskLeaseMs: Millis;
  /** Interval between polls of a worker; each poll renews its leases. */
  readonly pollMs: Millis;
  /** Largest difference in rate between two clocks, as a fraction. */
  readonly driftFraction: number;
  /** How long a claim remains in force after it was made. */
  readonly claimKeptMs: Millis;
}

export const DEFAULT_SCHEDULER_TIMING: SchedulerTiming = {
  taskLeaseMs: 10_000,
  pollMs: 1000,
  driftFraction: 0.02,
  claimKeptMs: 24 * 60 * 60 * 1000,
};

/** Lease of the leadership; the scheduler checks it before each action. */
export interface LeadershipLease {
  /** Whether the lease is valid at `now`, a local time. */
  mayAct(now: Millis): boolean;
  /** End of the lease on the local clock; 0 without a lease. */
  leaseUntil(now: Millis): Millis;
}

import {Millis} from '../base/clock.js';
import {JobId, JobState, JobView, Submission, TaskId} from './types.js';

/**
 * Remainder of an ended job whose view has been dropped. It answers repeated
 * submissions of the key until the key expires.
 */
export interface Tombstone {
  readonly id: JobId;
  readonly state: JobState;
  /** Digest of the submission; a different one for the same key conflicts. */
  readonly digest: string;
  /** Unix time. */
  readonly submittedMs: Millis;
  /** Unix time. */
  readonly endedMs: Millis;
}

/**
 * The right of one instance to run a non-idempotent request. A second instance
 * that gets the same request finds the claim and does not run it.
 */
export interface Claim {
  /** Idempotency key of the request. */
  readonly key: string;
  /** Instance that holds the claim. */
  readonly instance: string;
  /** Unix time at which the claim was recorded. */
  readonly timeMs: Millis;
  readonly state: 'open' | 'ended';
  /** HTTP status of the target's answer; set once the claim has ended. */
  readonly status?: number;
}

/**
 * A change of the job table: one entry of a batch record. Times are Unix times of
 * the writer.
 */
export type JobRecord =
  | {
      readonly kind: 'submitted';
      readonly job: JobId;
      readonly submission: Submission;
      readonly timeMs: Millis;
    }
  /**
   * A non-idempotent job is about to start. The start is sent only after this
   * record was read back.
   */
  | {
      readonly kind: 'starting';
      readonly job: JobId;
      readonly task: TaskId;
      readonly worker: string;
      /** Start number of the worker process; it differs after a restart. */
      readonly workerStart: number | undefined;
    }
  /** The start certainly did not run; the job is queued again. */
  | {
      readonly kind: 'not-started';
      readonly job: JobId;
      readonly task: TaskId;
    }
  | {
      readonly kind: 'ended';
      readonly job: JobId;
      readonly task: TaskId;
      readonly outcome: 'finished' | 'failed' | 'interrupted';
      readonly result?: string;
      readonly reason?: string;
      readonly timeMs: Millis;
    }
  /** The task has ended; its job is queued again from the checkpoint. */
  | {
      readonly kind: 'requeued';
      readonly job: JobId;
      readonly task: TaskId;
      /** Fraction of the work that the checkpoint keeps, 0 to 1. */
      readonly checkpoint: number;
      readonly evicted: boolean;
      /** Worker on which the task failed. */
      readonly failedOn?: string;
    }
  | {
      readonly kind: 'cancelled';
      readonly job: JobId;
      /** The task that ended with the cancellation, if there was one. */
      readonly task?: TaskId;
      readonly timeMs: Millis;
    }
  | {
      readonly kind: 'claimed';
      readonly key: string;
      readonly instance: string;
      readonly timeMs: Millis;
    }
  | {
      readonly kind: 'claim-ended';
      readonly key: string;
      /** HTTP status of the target's answer. */
      readonly status: number;
    }
  /** The claimed request was certainly not sent; the key can be claimed again. */
  | {readonly kind: 'claim-released'; readonly key: string}
  /** One part of a checkpoint of the whole job table. */
  | {
      readonly kind: 'checkpoint';
      /** Index of this part, from 0. */
      readonly part: number;
      /** Number of parts of the checkpoint. */
      readonly parts: number;
      readonly jobs: readonly JobView[];
      readonly claims: readonly Claim[];
      readonly tombstones: readonly Tombstone[];
    };

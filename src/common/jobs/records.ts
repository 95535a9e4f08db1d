import {Millis} from '../base/clock.js';
import {JobId, JobState, JobView, Submission, TaskId} from './types.js';

/** What is kept of an ended job after its view has been dropped. */
export interface Tombstone {
  readonly id: JobId;
  readonly state: JobState;
  /** Digest of the submission, to detect a different body for the same key. */
  readonly digest: string;
  readonly submittedMs: Millis;
  readonly endedMs: Millis;
}

/** State of a claim on a non-idempotent request. */
export interface Claim {
  readonly key: string;
  readonly instance: string;
  readonly timeMs: Millis;
  readonly state: 'open' | 'ended';
  /** HTTP status of the target's answer, once ended. */
  readonly status?: number;
}

/** An entry of a batch record. Times are Unix times of the writer. */
export type JobRecord =
  | {
      readonly kind: 'submitted';
      readonly job: JobId;
      readonly submission: Submission;
      readonly timeMs: Millis;
    }
  | {
      readonly kind: 'starting';
      readonly job: JobId;
      readonly task: TaskId;
      readonly worker: string;
      /** Start number of the worker; tells a restarted worker apart. */
      readonly workerStart: number | undefined;
    }
  /** The start provably did not run; the job is queued again. */
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
  /** A task stopped and its job is queued again from the checkpoint. */
  | {
      readonly kind: 'requeued';
      readonly job: JobId;
      readonly task: TaskId;
      readonly checkpoint: number;
      readonly evicted: boolean;
      readonly failedOn?: string;
    }
  | {
      readonly kind: 'cancelled';
      readonly job: JobId;
      /** The task that was stopped, if one had been started. */
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
      readonly status: number;
    }
  | {readonly kind: 'claim-released'; readonly key: string}
  /** Part of a checkpoint of the whole state. */
  | {
      readonly kind: 'checkpoint';
      readonly part: number;
      readonly parts: number;
      readonly jobs: readonly JobView[];
      readonly claims: readonly Claim[];
      readonly tombstones: readonly Tombstone[];
    };

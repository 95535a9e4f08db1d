import {Millis} from '../base/clock.js';
import {LogLimits} from './log_limits.js';
import {WHOLE_FLEET} from './shard_layout.js';

/** A keyed record of the log. An empty value deletes the key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Uint8Array;
}

/** A record as read, with its offset in the topic. */
export interface StoredRecord extends KeyedRecord {
  readonly offset: number;
}

/** Outcome of an append. */
export const AppendResult = {
  /** The records are stored. */
  STORED: 'stored',
  /** Nothing was stored; a retry may succeed. */
  REJECTED: 'rejected',
  /** Nothing was stored, and no retry of these records can succeed. */
  REFUSED: 'refused',
  /** The topic does not end at the expected offset; nothing was stored. */
  OFFSET_MISMATCH: 'moved',
  /**
   * The log has seen a higher epoch of the writer, or other sequence numbers of
   * this one; nothing was stored, and the writer can't append any more.
   */
  FENCED: 'fenced',
  /** No response; the records may be stored now, later or never. */
  UNKNOWN: 'unknown',
} as const;
export type AppendResult = (typeof AppendResult)[keyof typeof AppendResult];

/** Response to an append; `end` is set for `STORED` and `OFFSET_MISMATCH`. */
export interface AppendResponse {
  readonly result: AppendResult;
  readonly end?: number;
}

/** Preconditions of an append. */
export interface AppendOptions {
  /** Offset at which the topic must end. */
  readonly expectedEnd?: number;
  /** Fenced writer; records of a repeated sequence number are stored once. */
  readonly writer?: {
    readonly name: string;
    readonly epoch: number;
    readonly sequence: number;
  };
}

/** Outcome of a read. */
export const ReadResult = {
  /** The records were read; there may be none. */
  READ: 'read',
  /** Records from the offset on were dropped; read the newest ones instead. */
  EXPIRED: 'expired',
  /** The read failed or got no response. */
  FAILED: 'failed',
} as const;
export type ReadResult = (typeof ReadResult)[keyof typeof ReadResult];

/** Response to a read. */
export interface ReadResponse {
  readonly result: ReadResult;
  readonly records: readonly StoredRecord[];
  /** Offset of the next read. */
  readonly next: number;
  /** Offset after the last record of the topic. */
  readonly end: number;
}

/**
 * Handles a part of the newest records of a topic.
 *
 * @param next offset of the next read; records from there on are read again.
 */
export type PageHandler = (
  records: readonly StoredRecord[],
  next: number,
) => void;

/** The platform's log: topics of keyed records, ordered by offset. */
export interface KeyedLog {
  readonly limits: LogLimits;
  /** Appends records to a topic; times out after `timeoutMs`. */
  append(
    topic: Topic,
    records: readonly KeyedRecord[],
    options: AppendOptions,
    timeoutMs: Millis,
  ): Promise<AppendResponse>;
  /** Reads from an offset; waits up to `waitMs` if there are no records. */
  read(topic: Topic, from: number, waitMs: Millis): Promise<ReadResponse>;
  /**
   * Reads the newest record of each key.
   *
   * @param onPage called with parts of the records in any order, so that not all
   *     of them have to be in memory at once. What it gets is not part of the
   *     response.
   */
  newest(topic: Topic, onPage?: PageHandler): Promise<ReadResponse>;
}

/** Topics of the log. */
export const Topic = {
  /** Accepted jobs, cancellations and instances, written by all instances. */
  INTAKE: 'intake',
  /**
   * States of jobs and heartbeats of the scheduler, which writes both. All
   * instances follow it, so its records are small.
   */
  STATES: 'states',
  /**
   * Tasks of each job and what else the next scheduler needs; written by the
   * scheduler and read only at a takeover. Each shard has a topic of its own.
   */
  PROGRESS: 'progress',
  /**
   * What the scheduler of each shard has learned of the interference between
   * images; read and written only by schedulers.
   */
  INTERFERENCE: 'interference',
  /** The operator's configuration and requests to evacuate data centres. */
  OPERATOR: 'operator',
  /** Entries of workers in the instance list. */
  WORKERS: 'workers',
} as const;
export type Topic =
  (typeof Topic)[keyof typeof Topic] | `${typeof Topic.PROGRESS}.${string}`;

/** Topic of the progress of a shard's jobs. */
export function progressTopic(shard: string): Topic {
  return shard === WHOLE_FLEET ? Topic.PROGRESS : `${Topic.PROGRESS}.${shard}`;
}

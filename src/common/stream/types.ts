import {JobRecord} from '../jobs/types.js';

/** Identifies one run of an instance: `id#start`, with its start number. */
export type MemberId = string;

/** Position of a record in a stream, from 0. */
export type Offset = number;

/** Identifies a view: the offset of its view record. */
export type Epoch = Offset;

/** Identifies a record; retried appends of the record keep the identity. */
export interface RecordIdentity {
  readonly writer: MemberId;
  /** Sequence number among the records of this writer, from 1. */
  readonly sequence: number;
}

/**
 * Proposes a view of a data centre: the leader, and the members whose grants it
 * needs. Void unless `base` is the epoch in force at the record's offset.
 */
export interface ViewRecord extends RecordIdentity {
  readonly kind: 'view';
  /** Epoch of the view that this one replaces; null for the first view. */
  readonly base: Epoch | null;
  readonly leader: MemberId;
  /** All members, including the leader. */
  readonly members: readonly MemberId[];
}

/**
 * Job records that one leader appends together. Void unless `epoch` is in force
 * at the record's offset.
 */
export interface BatchRecord extends RecordIdentity {
  readonly kind: 'batch';
  readonly epoch: Epoch;
  readonly entries: readonly JobRecord[];
}

/** A record of the stream `dc-<data centre>`. */
export type DataCentreRecord = ViewRecord | BatchRecord;

/** A view that is in force from offset `epoch` until the next view. */
export interface View {
  readonly epoch: Epoch;
  readonly leader: MemberId;
  readonly members: readonly MemberId[];
}

/** A record as read back from a stream. */
export interface StoredRecord<T> {
  readonly offset: Offset;
  /** Time at which the log stored the record, in Unix milliseconds. */
  readonly timeMs: number;
  readonly data: T;
}

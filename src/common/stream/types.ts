import {JobRecord} from '../jobs/types.js';

/** A process of the project: instance id and start number, `id#start`. */
export type MemberId = string;

/** Offset of a record in a stream. */
export type Offset = number;

/** Offset of the view record that made a view. */
export type Epoch = Offset;

/** Identifies a record across repeated appends. */
export interface RecordIdentity {
  readonly writer: MemberId;
  /** Counts the records of one writer, from 1. */
  readonly sequence: number;
}

/** Makes a view of a data centre: who leads and whose grants are needed. */
export interface ViewRecord extends RecordIdentity {
  readonly kind: 'view';
  /** Epoch that this view follows; null when there is none. */
  readonly base: Epoch | null;
  readonly leader: MemberId;
  /** All members, the leader included. */
  readonly members: readonly MemberId[];
}

/** Job records of one leader. Void unless `epoch` is in force at its offset. */
export interface BatchRecord extends RecordIdentity {
  readonly kind: 'batch';
  readonly epoch: Epoch;
  readonly entries: readonly JobRecord[];
}

/** A record of the stream `dc-<data centre>`. */
export type DataCentreRecord = ViewRecord | BatchRecord;

/** A view in force. */
export interface View {
  readonly epoch: Epoch;
  readonly leader: MemberId;
  readonly members: readonly MemberId[];
}

/** A record as read back from a stream. */
export interface StoredRecord<T> {
  readonly offset: Offset;
  readonly timeMs: number;
  readonly data: T;
}

import {parseDataCentreRecord} from './record_schema.js';
import {SequenceTable} from './sequence_table.js';
import {
  BatchRecord,
  DataCentreRecord,
  Offset,
  StoredRecord,
  View,
  ViewRecord,
} from './types.js';

/** Effect of a record of the stream `dc-<data centre>` at its offset. */
export type DataCentreEvent =
  | {
      readonly kind: 'view-in-force';
      readonly offset: Offset;
      readonly record: ViewRecord;
      readonly view: View;
    }
  | {
      readonly kind: 'view-void';
      readonly offset: Offset;
      readonly record: ViewRecord;
    }
  | {
      readonly kind: 'batch-in-force';
      readonly offset: Offset;
      readonly record: BatchRecord;
    }
  | {
      readonly kind: 'batch-void';
      readonly offset: Offset;
      readonly record: BatchRecord;
    }
  /** The record doesn't match the schema of the stream's records. */
  | {
      readonly kind: 'malformed-void';
      readonly offset: Offset;
      readonly reason: string;
    };

/** Base of a first view, which replaces none; less than every offset. */
const NO_BASE = -1;

/**
 * Decides, in order of offset, which records of the stream `dc-<data centre>`
 * are in force and which are void. Every reader that starts at offset 0 reaches
 * the same decisions.
 *
 * When the log dropped records before they were read, the base of the next view
 * record may be a view whose record is gone. The reader accepts such a record.
 * This relies on the leader appending its view again (with the same leader and
 * members) at intervals well below the retention time of the log, so that the
 * kept records include some of the views that were in force; see
 * `LeadershipTiming.viewCheckpointMs`. The accepted record may have been void.
 * A later view record whose base is a newer dropped view proves that, because
 * a base is always an epoch that was in force; that record replaces the view.
 */
export class DataCentreReader {
  private currentView: View | undefined;
  private position: Offset = 0;
  private readonly sequenceTable = new SequenceTable();
  /** First offset after the latest gap of dropped records; 0 without a gap. */
  private gapEnd: Offset = 0;
  /**
   * Highest epoch known to have been in force before `gapEnd`, while the base
   * of the view is a dropped record; undefined when the view is certain.
   */
  private uncertainAfterEpoch: Offset | undefined;

  /** The view in force after the records that were read. */
  get view(): View | undefined {
    return this.currentView;
  }

  /** Offset of the next record to read. */
  get nextOffset(): Offset {
    return this.position;
  }

  /** Reads one record; yields nothing for a record that was already read. */
  *read(stored: StoredRecord<DataCentreRecord>): Generator<DataCentreEvent> {
    const offset = stored.offset;
    if (!Number.isSafeInteger(offset) || offset < this.position) return;
    if (offset > this.position) this.startGap(offset);
    this.position = offset + 1;
    const parsed = parseDataCentreRecord(stored.data);
    if (!parsed.valid) {
      yield {kind: 'malformed-void', offset, reason: parsed.reason};
      return;
    }
    const record = parsed.record;
    if (!this.sequenceTable.accept(record)) return;
    if (record.kind === 'view') {
      yield this.readView(offset, record);
    } else {
      yield this.readBatch(offset, record);
    }
  }

  private readView(offset: Offset, record: ViewRecord): DataCentreEvent {
    if (!this.hasValidBase(record)) return {kind: 'view-void', offset, record};
    const base = record.base ?? NO_BASE;
    if (this.uncertainAfterEpoch !== undefined) {
      this.uncertainAfterEpoch = base < this.gapEnd ? base : undefined;
    }
    this.currentView = {
      epoch: offset,
      leader: record.leader,
      members: record.members,
    };
    return {kind: 'view-in-force', offset, record, view: this.currentView};
  }

  private readBatch(offset: Offset, record: BatchRecord): DataCentreEvent {
    const inForce = record.epoch === this.currentView?.epoch;
    return {
      kind: inForce ? 'batch-in-force' : 'batch-void',
      offset,
      record,
    };
  }

  /**
   * Whether the view record replaces the current view or, while that is
   * uncertain, a newer view whose record was dropped.
   */
  private hasValidBase({base}: ViewRecord): boolean {
    if (base === (this.currentView?.epoch ?? null)) return true;
    return (
      base !== null &&
      this.uncertainAfterEpoch !== undefined &&
      base > this.uncertainAfterEpoch &&
      base < this.gapEnd
    );
  }

  private startGap(offset: Offset): void {
    this.gapEnd = offset;
    this.uncertainAfterEpoch = this.currentView?.epoch ?? NO_BASE;
  }
}

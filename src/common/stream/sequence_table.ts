import {MemberId, RecordIdentity} from './types.js';

/**
 * Number of writers to keep. At 306 starts of entry instances a day this covers
 * two weeks, and a record is repeated within minutes of its first append.
 */
const MAX_WRITERS = 4096;

/**
 * Detects duplicate records. Apart from duplicates, the records of a writer are
 * in order of sequence, so the highest sequence of each writer is enough. When
 * the table is full, it evicts the least recently active writer.
 */
export class SequenceTable {
  private readonly highestSequences = new Map<MemberId, number>();

  constructor(private readonly maxWriters = MAX_WRITERS) {}

  /** Adds a record; returns false when it is a duplicate. */
  accept({writer, sequence}: RecordIdentity): boolean {
    const last = this.highestSequences.get(writer) ?? 0;
    if (sequence <= last) return false;
    // Deleting first keeps the map ordered by each writer's latest record.
    this.highestSequences.delete(writer);
    this.highestSequences.set(writer, sequence);
    if (this.highestSequences.size > this.maxWriters) this.forgetOldest();
    return true;
  }

  private forgetOldest(): void {
    for (const writer of this.highestSequences.keys()) {
      this.highestSequences.delete(writer);
      return;
    }
  }
}

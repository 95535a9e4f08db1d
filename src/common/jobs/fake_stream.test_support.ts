import {Millis} from '../base/clock.js';
import {BatchRecord, Epoch} from '../stream/types.js';
import {Simulation} from './simulation.test_support.js';
import {JobRecord} from './types.js';

/** A record of the stream. */
export type FakeRecord =
  | {
      readonly kind: 'view';
      /** Epoch of the view that this one follows; null for the first. */
      readonly base: Epoch | null;
      /** Index of the node that leads. */
      readonly leader: number;
    }
  | BatchRecord;

/** The log service in memory, with outages and with lost and late appends. */
export class FakeStream {
  readonly records: FakeRecord[] = [];
  /** Whether the log answers; while it does not, appends are lost. */
  available = true;
  /** Probability that an append is lost. */
  lossProbability = 0;
  /** Probability that an append takes up to 4 seconds. */
  delayProbability = 0;

  constructor(private readonly simulation: Simulation) {}

  /** Appends a record after a delay, unless it is lost. */
  append(record: FakeRecord): void {
    const {simulation} = this;
    if (!this.available || simulation.chance(this.lossProbability)) return;
    const delay = simulation.chance(this.delayProbability)
      ? simulation.between(200, 4000)
      : simulation.between(2, 40);
    simulation.after(delay, () => this.records.push(record));
  }
}

/** A record in force, as a reader yields it. */
export type RecordInForce =
  | {
      readonly kind: 'view';
      readonly epoch: Epoch;
      readonly leader: number;
    }
  | {readonly kind: 'batch'; readonly offset: number; batch: BatchRecord};

/**
 * Reads a stream and skips the records that are void: views whose base is not
 * the current epoch, batches of another epoch and repeated batches.
 */
export class FakeReader {
  /** Epoch of the last view that was read; null before the first. */
  epoch: Epoch | null = null;
  /** Offset of the next record to read. */
  private offset = 0;
  private readonly seenBatches = new Set<string>();

  constructor(private readonly stream: FakeStream) {}

  /** Yields the records in force since the last call. */
  *read(): Generator<RecordInForce> {
    const {records} = this.stream;
    while (this.offset < records.length) {
      const offset = this.offset++;
      const record = records[offset];
      if (record.kind === 'view') {
        if (record.base !== this.epoch) continue;
        this.epoch = offset;
        yield {kind: 'view', epoch: offset, leader: record.leader};
      } else if (record.epoch === this.epoch) {
        const identity = `${record.writer} ${record.sequence}`;
        if (this.seenBatches.has(identity)) continue;
        this.seenBatches.add(identity);
        yield {kind: 'batch', offset, batch: record};
      }
    }
  }
}

/** Time after which a batch that was not read back is appended again. */
const RESEND_MS: Millis = 300;

/** Appends the batches of one node in order, with at most one in flight. */
export class FakeWriter {
  private queued: JobRecord[] = [];
  private inFlight: BatchRecord | undefined;
  private sentAt: Millis = 0;
  private sequence = 0;

  constructor(
    private readonly name: string,
    private readonly stream: FakeStream,
  ) {}

  /** Whether no batch is in flight. */
  get isIdle(): boolean {
    return this.inFlight === undefined;
  }

  add(entries: readonly JobRecord[]): void {
    this.queued.push(...entries);
  }

  /** Drops the records of an earlier epoch. */
  reset(): void {
    this.queued = [];
    this.inFlight = undefined;
  }

  /** Handles a batch that was read; returns whether this writer wrote it. */
  onBatchRead(batch: BatchRecord): boolean {
    const own = batch.writer === this.name;
    if (own && batch.sequence === this.inFlight?.sequence) {
      this.inFlight = undefined;
    }
    return own;
  }

  /** Appends the next batch, or again one that was not read back in time. */
  send(epoch: Epoch, now: Millis): void {
    if (this.inFlight === undefined && this.queued.length > 0) {
      this.inFlight = {
        kind: 'batch',
        writer: this.name,
        sequence: ++this.sequence,
        epoch,
        entries: this.queued,
      };
      this.queued = [];
      this.sentAt = -Infinity;
    }
    if (this.inFlight === undefined || now - this.sentAt < RESEND_MS) return;
    this.sentAt = now;
    this.stream.append(this.inFlight);
  }
}

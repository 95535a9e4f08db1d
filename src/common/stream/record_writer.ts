import {Millis} from '../base/clock.js';
import {BatchRateLimiter} from './batch_rate_limiter.js';
import {MemberId, Offset, RecordIdentity} from './types.js';

/** A record without its identity, which the writer assigns. */
export type RecordBody<T extends RecordIdentity> = T extends unknown
  ? Omit<T, keyof RecordIdentity>
  : never;

/** Action for the caller of a writer to carry out, or an event to handle. */
export type WriterAction<T> =
  /**
   * Append the record, then call `onAppended` or `onAppendFailed` exactly once.
   */
  | {readonly kind: 'append'; readonly record: T}
  /** The record was read back, so it is on the stream, in force or void. */
  | {readonly kind: 'confirmed'; readonly record: T}
  /** The log no longer confirms records in time, or does so again. */
  | {readonly kind: 'availability'; readonly available: boolean};

/** Intervals and limits of a writer. */
export interface WriterLimits {
  /** Minimum interval between two batches. */
  readonly batchIntervalMs: Millis;
  /** Minimum interval between two batches while the stream is busy. */
  readonly busyBatchIntervalMs: Millis;
  /** Batches in the last second from which on the stream counts as busy. */
  readonly busyBatchesPerSecond: number;
  readonly maxBatchEntries: number;
  /**
   * Most JSON bytes of a batch with more than one entry. Callers may send
   * bodies of 1 MiB, so a batch of many would exceed what the log accepts.
   */
  readonly maxBatchBytes: number;
  /**
   * Limit of queued entries and, separately, of other queued records, so that a
   * view can be queued when job entries have reached the limit.
   */
  readonly maxQueuedEntries: number;
  /** The log counts as unavailable when a confirmation takes longer. */
  readonly confirmTimeoutMs: Millis;
  /** Delay before the first retry of an append; doubles with each failure. */
  readonly initialBackoffMs: Millis;
  readonly maxBackoffMs: Millis;
}

/** Values of section 3.2 of the design page, apart from bytes and backoff. */
export const DEFAULT_WRITER_LIMITS: WriterLimits = {
  batchIntervalMs: 25,
  busyBatchIntervalMs: 100,
  busyBatchesPerSecond: 10,
  maxBatchEntries: 500,
  maxBatchBytes: 4 * 1024 * 1024,
  maxQueuedEntries: 10_000,
  confirmTimeoutMs: 2000,
  initialBackoffMs: 100,
  maxBackoffMs: 5000,
};

/** Thrown when the queue of a writer is full. */
export class QueueFullError extends Error {
  constructor(readonly limit: number) {
    super(
      `The queue of records for the log holds ${limit} entries. ` +
        'Try again when the log is available.',
    );
  }
}

/** The record that was sent and is not confirmed yet. */
interface OutstandingRecord<T> {
  readonly record: T;
  readonly firstSentAt: Millis;
  /** Time of the successful answer to the latest append, if there was one. */
  answeredAt?: Millis;
  /** Earliest time of the next append after a failed or unanswered one. */
  retryAt?: Millis;
  /** The reader reached the end of the stream without finding the record. */
  absent: boolean;
}

/**
 * Appends records to a stream, one at a time. A record is confirmed only when
 * it was read back. When the append fails or isn't answered, the record may be
 * stored all the same, so it is appended again with the same identity, and only
 * after the reader has reached the end of the stream without finding it.
 *
 * Entries are collected into batches; `buildBatch` creates the body of a batch
 * when it is sent, so that it can contain the epoch in force at that time.
 * Other records, such as views, are sent alone and before queued entries.
 */
export class RecordWriter<T extends RecordIdentity, E = never> {
  private sequence = 0;
  /** Records to be sent alone. */
  private readonly records: Array<RecordBody<T>> = [];
  /** Entries that are not yet part of a batch. */
  private entries: E[] = [];
  private outstanding: OutstandingRecord<T> | undefined;
  private appendInFlight = false;
  /** Failed appends since the last confirmation. */
  private failures = 0;
  private isAvailable = true;
  private readonly rate: BatchRateLimiter;

  constructor(
    private readonly writer: MemberId,
    private readonly buildBatch: (entries: readonly E[]) => RecordBody<T>,
    private readonly limits: WriterLimits = DEFAULT_WRITER_LIMITS,
  ) {
    this.rate = new BatchRateLimiter(limits);
  }

  /** Whether the log confirms records within `confirmTimeoutMs`. */
  get available(): boolean {
    return this.isAvailable;
  }

  /** Number of records and entries that are not sent yet. */
  get queued(): number {
    return this.records.length + this.entries.length;
  }

  /**
   * Queues entries for the next batches.
   *
   * @throws QueueFullError when the queue can't take all of them.
   */
  *enqueue(entries: readonly E[], now: Millis): Generator<WriterAction<T>> {
    this.checkQueueLimit(this.entries.length + entries.length);
    this.entries.push(...entries);
    yield* this.send(now);
  }

  /**
   * Queues a record that is sent alone, before queued entries.
   *
   * @throws QueueFullError when the queue is full.
   */
  *enqueueRecord(body: RecordBody<T>, now: Millis): Generator<WriterAction<T>> {
    this.checkQueueLimit(this.records.length + 1);
    this.records.push(body);
    yield* this.send(now);
  }

  /** Removes and returns the entries that are not sent yet. */
  discardEntries(): readonly E[] {
    const dropped = this.entries;
    this.entries = [];
    return dropped;
  }

  /** Handles the answer of the log: the record is stored at `offset`. */
  *onAppended(offset: Offset, now: Millis): Generator<WriterAction<T>> {
    this.appendInFlight = false;
    if (this.outstanding) this.outstanding.answeredAt = now;
    yield* this.send(now);
  }

  /** Handles a failed or unanswered append; the record may be stored. */
  *onAppendFailed(now: Millis): Generator<WriterAction<T>> {
    this.appendInFlight = false;
    if (!this.outstanding) {
      // The record was read back before the append failed.
      yield* this.send(now);
      return;
    }
    this.outstanding.retryAt = now + this.nextBackoff();
    this.outstanding.absent = false;
    this.failures++;
    yield* this.setAvailable(false);
  }

  /** Handles the identity of a record that was read from the stream. */
  *onRecordRead(
    identity: RecordIdentity,
    now: Millis,
  ): Generator<WriterAction<T>> {
    const record = this.outstanding?.record;
    if (
      !record ||
      identity.writer !== record.writer ||
      identity.sequence !== record.sequence
    ) {
      return;
    }
    this.outstanding = undefined;
    this.failures = 0;
    yield {kind: 'confirmed', record};
    yield* this.setAvailable(true);
    yield* this.send(now);
  }

  /** Handles that the reader has reached the end of the stream. */
  *onCaughtUp(now: Millis): Generator<WriterAction<T>> {
    const outstanding = this.outstanding;
    if (!outstanding || this.appendInFlight) return;
    const overdue =
      outstanding.answeredAt !== undefined &&
      now - outstanding.answeredAt > this.limits.confirmTimeoutMs;
    if (outstanding.retryAt !== undefined || overdue) outstanding.absent = true;
    yield* this.send(now);
  }

  /** Sends what is due and checks the timeout of the confirmation. */
  *tick(now: Millis): Generator<WriterAction<T>> {
    const outstanding = this.outstanding;
    if (
      outstanding &&
      now - outstanding.firstSentAt > this.limits.confirmTimeoutMs
    ) {
      yield* this.setAvailable(false);
    }
    yield* this.send(now);
  }

  private checkQueueLimit(count: number): void {
    if (count > this.limits.maxQueuedEntries) {
      throw new QueueFullError(this.limits.maxQueuedEntries);
    }
  }

  private *send(now: Millis): Generator<WriterAction<T>> {
    if (this.appendInFlight) return;
    if (this.outstanding) {
      yield* this.retry(this.outstanding, now);
      return;
    }
    const body = this.nextBody(now);
    if (!body) return;
    const identity = {writer: this.writer, sequence: ++this.sequence};
    const record = {...body, ...identity} as unknown as T;
    this.outstanding = {record, firstSentAt: now, absent: false};
    this.appendInFlight = true;
    yield {kind: 'append', record};
  }

  private *retry(
    outstanding: OutstandingRecord<T>,
    now: Millis,
  ): Generator<WriterAction<T>> {
    if (!outstanding.absent || now < (outstanding.retryAt ?? now)) return;
    outstanding.absent = false;
    outstanding.answeredAt = undefined;
    outstanding.retryAt = undefined;
    this.appendInFlight = true;
    yield {kind: 'append', record: outstanding.record};
  }

  private nextBody(now: Millis): RecordBody<T> | undefined {
    const record = this.records.shift();
    if (record) return record;
    if (this.entries.length === 0 || !this.rate.allows(now)) return undefined;
    this.rate.onBatchSent(now);
    return this.buildBatch(this.entries.splice(0, this.nextBatchLength()));
  }

  private nextBatchLength(): number {
    const {maxBatchEntries, maxBatchBytes} = this.limits;
    const maxLength = Math.min(this.entries.length, maxBatchEntries);
    let bytes = 0;
    for (let length = 0; length < maxLength; length++) {
      bytes += Buffer.byteLength(JSON.stringify(this.entries[length]));
      if (bytes > maxBatchBytes && length > 0) return length;
    }
    return maxLength;
  }

  private nextBackoff(): Millis {
    const {initialBackoffMs, maxBackoffMs} = this.limits;
    // The limit of the exponent keeps the power finite.
    return Math.min(
      maxBackoffMs,
      initialBackoffMs * 2 ** Math.min(this.failures, 30),
    );
  }

  private *setAvailable(available: boolean): Generator<WriterAction<T>> {
    if (available === this.isAvailable) return;
    this.isAvailable = available;
    yield {kind: 'availability', available};
  }
}

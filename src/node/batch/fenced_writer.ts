import {setTimeout as sleep} from 'node:timers/promises';
import {AdaptiveTimeout} from '../../common/base/adaptive_timeout.js';
import {Clock, Millis} from '../../common/base/clock.js';
import {
  isWithinLimits,
  LogLimits,
  splitIntoAppends,
} from '../../common/batch/log_limits.js';
import {WHOLE_FLEET} from '../../common/batch/shard_layout.js';
import {
  AppendResponse,
  AppendResult,
  KeyedLog,
  KeyedRecord,
  Topic,
} from '../../common/batch/store.js';

/** Writer name by which the store fences the appends of earlier schedulers. */
const WRITER_NAME = 'scheduler';

/** Writer name of the schedulers of a shard. */
export function writerName(shard: string): string {
  return shard === WHOLE_FLEET ? WRITER_NAME : `${WRITER_NAME}.${shard}`;
}

/** Bounds of the adaptive timeout of one append. */
const MIN_APPEND_TIMEOUT_MS: Millis = 150;
const MAX_APPEND_TIMEOUT_MS: Millis = 800;

/** First and longest delay before an append is retried; it doubles. */
const INITIAL_RETRY_DELAY_MS: Millis = 60;
const MAX_RETRY_DELAY_MS: Millis = 500;

/** Largest size of one append, so that its timeout can be short. */
const MAX_APPEND_BYTES = 1_000_000;

/** Receives the outcomes of a writer's appends. */
export interface FencedWriterListener {
  /**
   * Called once records are durable.
   * @param end end of the topic, if it is known.
   * @param sentAt local time before the first attempt of the append.
   */
  onStored(
    records: readonly KeyedRecord[],
    end: number | undefined,
    sentAt: Millis,
  ): void;
  /** Called when the store has seen a higher epoch. */
  onFenced(): void;
  /** Called for a record that the store never accepts; it is left out. */
  onRefused(record: KeyedRecord, topic: Topic): void;
}

/**
 * Appends to one topic under the epoch of a term, one append at a time. An
 * append is repeated until it is stored, fenced or the writer is closed. Records
 * that the store never accepts are left out, so that they don't hold up others.
 */
export class FencedWriter {
  private nextSequence: number;
  private isClosed = false;
  private readonly timeout = new AdaptiveTimeout(
    MIN_APPEND_TIMEOUT_MS,
    MAX_APPEND_TIMEOUT_MS,
  );
  /** Resolves when the last append that was requested has ended. */
  private last: Promise<boolean> = Promise.resolve(true);
  private openAppends = 0;
  private readonly limits: LogLimits;
  /**
   * Appends in flight, of unknown outcome or refused, by record key; each
   * resolves to whether it was stored.
   */
  private readonly unsettled = new Map<string, Promise<boolean>>();

  /** @param firstSequence sequence number of the first append. */
  constructor(
    private readonly log: KeyedLog,
    private readonly topic: Topic,
    private readonly epoch: number,
    firstSequence: number,
    private readonly clock: Clock,
    private readonly listener: FencedWriterListener,
    private readonly shard: string = WHOLE_FLEET,
  ) {
    this.nextSequence = firstSequence;
    const {limits} = log;
    const appendBytes = Math.min(limits.appendBytes, MAX_APPEND_BYTES);
    this.limits = {...limits, appendBytes};
  }

  /** Whether an append is in flight or waits for another one. */
  get isBusy(): boolean {
    return this.openAppends > 0;
  }

  /** Makes no further attempts; an append in flight may still be stored. */
  close(): void {
    this.isClosed = true;
  }

  /**
   * Appends records, split into calls of bounded size. Resolves to false if the
   * writer was fenced or closed before all of them were stored or refused.
   * @param onRefused called for each record that the store never accepts.
   */
  async append(
    records: readonly KeyedRecord[],
    onRefused: (record: KeyedRecord) => void = () => {},
  ): Promise<boolean> {
    const accepted: KeyedRecord[] = [];
    for (const record of records) {
      if (isWithinLimits(record, this.limits)) accepted.push(record);
      else this.refuse(record, onRefused);
    }
    for (const part of splitIntoAppends(accepted, this.limits)) {
      if (!(await this.appendPart(part, onRefused))) return false;
    }
    return true;
  }

  /** Stores the epoch, so that writers with a lower one are refused. */
  fence(): Promise<boolean> {
    return this.appendPart([], () => {});
  }

  /**
   * Resolves once no append of this key is in flight; to false unless the last
   * one is known to be stored.
   */
  settled(key: string): Promise<boolean> {
    return this.unsettled.get(key) ?? Promise.resolve(true);
  }

  /** Whether no append of this key is in flight or of unknown outcome. */
  isSettled(key: string): boolean {
    return !this.unsettled.has(key);
  }

  private refuse(
    record: KeyedRecord,
    onRefused: (record: KeyedRecord) => void,
  ): void {
    this.unsettled.set(record.key, Promise.resolve(false));
    this.listener.onRefused(record, this.topic);
    onRefused(record);
  }

  private async appendPart(
    records: readonly KeyedRecord[],
    onRefused: (record: KeyedRecord) => void,
  ): Promise<boolean> {
    const {last} = this;
    this.openAppends++;
    const refused: KeyedRecord[] = [];
    const outcome = last.then(() => this.appendWithRetries(records, refused));
    this.last = outcome;
    for (const {key} of records) this.unsettled.set(key, outcome);
    const isStored = await outcome;
    this.openAppends--;
    if (!isStored) return false;
    for (const {key} of records) {
      if (this.unsettled.get(key) === outcome) this.unsettled.delete(key);
    }
    for (const record of refused) this.refuse(record, onRefused);
    return true;
  }

  /** @param refused collects the records that the store never accepts. */
  private async appendWithRetries(
    records: readonly KeyedRecord[],
    refused: KeyedRecord[],
  ): Promise<boolean> {
    if (this.isClosed) return false;
    const sequence = this.nextSequence++;
    const sentAt = this.clock.now();
    let delay = INITIAL_RETRY_DELAY_MS;
    for (;;) {
      const response = await this.appendOnce(records, sequence);
      if (response.result === AppendResult.STORED) {
        this.listener.onStored(records, response.end, sentAt);
        return true;
      }
      if (response.result === AppendResult.FENCED) {
        this.isClosed = true;
        this.listener.onFenced();
        return false;
      }
      if (this.isClosed) return false;
      if (response.result === AppendResult.REFUSED && records.length > 0) {
        // Nothing was stored, so the number is still to be used.
        this.nextSequence = sequence;
        return this.appendHalves(records, refused);
      }
      await sleep(delay);
      delay = Math.min(delay * 2, MAX_RETRY_DELAY_MS);
    }
  }

  /** Finds the record that the store refuses, and stores the others. */
  private async appendHalves(
    records: readonly KeyedRecord[],
    refused: KeyedRecord[],
  ): Promise<boolean> {
    if (records.length === 1) {
      refused.push(records[0]);
      return true;
    }
    const middle = Math.ceil(records.length / 2);
    return (
      (await this.appendWithRetries(records.slice(0, middle), refused)) &&
      (await this.appendWithRetries(records.slice(middle), refused))
    );
  }

  /**
   * The store keeps only one copy of a retried append, so the timeout can be
   * short.
   */
  private async appendOnce(
    records: readonly KeyedRecord[],
    sequence: number,
  ): Promise<AppendResponse> {
    const sentAt = this.clock.now();
    const response = await this.log.append(
      this.topic,
      records,
      {writer: {name: writerName(this.shard), epoch: this.epoch, sequence}},
      this.timeout.value,
    );
    if (response.result === AppendResult.UNKNOWN) this.timeout.onTimeout();
    else this.timeout.onResponse(this.clock.now() - sentAt);
    return response;
  }
}

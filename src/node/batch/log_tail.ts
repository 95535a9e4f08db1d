import {setTimeout as sleep} from 'node:timers/promises';
import {Clock, Millis} from '../../common/base/clock.js';
import {
  KeyedLog,
  ReadResponse,
  ReadResult,
  StoredRecord,
  Topic,
} from '../../common/batch/store.js';

/** Delay after a failed read, and poll interval while the tail is paused. */
const RETRY_DELAY_MS: Millis = 150;

/** Timing of the reads of a topic. */
export interface LogTailOptions {
  /** Longest time that the store may hold a read without records. */
  readonly waitMs: Millis;
  /** Minimum time between two reads; limits the call rate at the store. */
  readonly intervalMs: () => Millis;
}

/** Receives the records and outcomes of a tail's reads. */
export interface LogTailListener {
  /**
   * @param isReset whether the records are the newest of every key rather than
   *     a continuation of earlier records.
   */
  onRecords(records: readonly StoredRecord[], isReset: boolean): void;
  /**
   * If present, called with parts of the newest records, in any order, before
   * `onRecords` is called with the rest. They are passed on also if the read of
   * later parts fails.
   */
  onPage?(records: readonly StoredRecord[]): void;
  /** Called after each read. */
  onRead(succeeded: boolean): void;
  /**
   * Called after a read that has reached the end of the topic, once its records
   * were passed on.
   * @param sentAt local time before the read was sent.
   */
  onEndReached?(sentAt: Millis): void;
  /** Called with an error that the handling of a read has thrown. */
  onFault(error: unknown): void;
}

/** Follows a topic: loads the newest record of each key, then newer records. */
export class LogTail {
  /** Offset to read from next; -1 before the first load. */
  nextOffset = -1;
  /** Local time of the last successful read or write by this instance. */
  syncedAt: Millis = -Infinity;
  /** Reads that failed since the last successful one. */
  consecutiveFailures = 0;
  /**
   * Offsets of the newest records that were written after the first page of
   * them was read, by key. Reads that follow return older records of these keys
   * again.
   */
  private readonly newerOffsets = new Map<string, number>();
  /** Read of the newest records that passes on parts of them. */
  private loading: Promise<ReadResponse> | undefined;
  private isStopped = false;
  private isPaused = false;
  /** Refresh in flight, and the one that follows it. */
  private currentRefresh: Promise<boolean> | undefined;
  private queuedRefresh: Promise<boolean> | undefined;

  constructor(
    private readonly log: KeyedLog,
    readonly topic: Topic,
    private readonly clock: Clock,
    private readonly options: LogTailOptions,
    private readonly listener: LogTailListener,
  ) {}

  get isLoaded(): boolean {
    return this.nextOffset >= 0;
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Suspends the tail; `resume` continues it at a given offset. */
  pause(): void {
    this.isPaused = true;
  }

  /** Continues at an offset; -1 loads the newest records first. */
  resume(next: number): void {
    this.nextOffset = next;
    this.isPaused = false;
  }

  /** Called after a write by this instance, when the topic's end is known. */
  markSynced(): void {
    this.syncedAt = this.clock.now();
  }

  /** Reads until the tail is stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      if (this.isPaused) {
        await sleep(RETRY_DELAY_MS);
        continue;
      }
      const succeeded = await this.readSafely(this.options.waitMs);
      const delay = succeeded ? this.options.intervalMs() : RETRY_DELAY_MS;
      if (delay > 0) await sleep(delay);
    }
  }

  /**
   * Reads up to the current end of the topic; returns whether that succeeded. A
   * refresh in flight may have seen an earlier end, so another one follows it.
   */
  refresh(): Promise<boolean> {
    if (this.currentRefresh === undefined) {
      this.currentRefresh = this.readToEnd().finally(() => {
        this.currentRefresh = undefined;
      });
      return this.currentRefresh;
    }
    this.queuedRefresh ??= this.currentRefresh.then(() => {
      this.queuedRefresh = undefined;
      return this.refresh();
    });
    return this.queuedRefresh;
  }

  private async readToEnd(): Promise<boolean> {
    for (;;) {
      const response = await this.read(0).catch((error: unknown) => {
        this.listener.onFault(error);
        return undefined;
      });
      if (response === undefined) return false;
      if (response.next >= response.end) return true;
    }
  }

  /** Reads once; an unexpected error counts as a failed read. */
  private async readSafely(waitMs: Millis): Promise<boolean> {
    try {
      return (await this.read(waitMs)) !== undefined;
    } catch (error) {
      this.listener.onFault(error);
      return false;
    }
  }

  private async read(waitMs: Millis): Promise<ReadResponse | undefined> {
    const from = this.nextOffset;
    const isReset = from < 0;
    const sentAt = this.clock.now();
    if (isReset && this.loading !== undefined) {
      // The load may have begun before a record that this read has to return.
      await this.loading.catch(() => {});
      return this.read(waitMs);
    }
    if (isReset) this.newerOffsets.clear();
    const response = isReset
      ? await this.load()
      : await this.log.read(this.topic, from, waitMs);
    if (response.result === ReadResult.EXPIRED) {
      this.nextOffset = -1;
      return this.read(0);
    }
    const succeeded = response.result === ReadResult.READ;
    this.consecutiveFailures = succeeded ? 0 : this.consecutiveFailures + 1;
    this.listener.onRead(succeeded);
    if (!succeeded) return undefined;
    // The tail may have been paused during the read, or a concurrent read may
    // have advanced the offset further.
    if (this.isPaused && !isReset) return undefined;
    this.syncedAt = this.clock.now();
    // Another read has loaded the topic meanwhile and has read on from there;
    // what this one has loaded would take the reader back.
    if (isReset && response.next < this.nextOffset) return response;
    const records = isReset
      ? this.acceptNewest(response)
      : response.records.filter(record => this.isNew(record));
    if (response.next > this.nextOffset) this.nextOffset = response.next;
    if (records.length > 0 || isReset) {
      this.notify(records, isReset);
    }
    if (response.next >= response.end) this.listener.onEndReached?.(sentAt);
    return response;
  }

  /**
   * Reads the newest records. Others that are read at the same time wait: of two
   * reads that pass on parts, the older one could do so last.
   */
  private load(): Promise<ReadResponse> {
    const {log, topic, listener} = this;
    if (listener.onPage === undefined) return log.newest(topic);
    const loading = log.newest(topic, (records, next) => {
      this.noteNewer(records, next);
      listener.onPage?.(records);
    });
    this.loading = loading.finally(() => {
      this.loading = undefined;
    });
    return this.loading;
  }

  private acceptNewest({records, next}: ReadResponse): readonly StoredRecord[] {
    this.noteNewer(records, next);
    return records;
  }

  /** Notes which of the newest records are read again from `next` on. */
  private noteNewer(records: readonly StoredRecord[], next: number): void {
    for (const {key, offset} of records) {
      if (offset >= next) this.newerOffsets.set(key, offset);
    }
  }

  /** Whether a record was not read before, nor a newer one of its key. */
  private isNew({key, offset}: StoredRecord): boolean {
    if (offset < this.nextOffset) return false;
    return offset > (this.newerOffsets.get(key) ?? -1);
  }

  /** Passes records on; an error in their handling does not stop the tail. */
  private notify(records: readonly StoredRecord[], isReset: boolean): void {
    try {
      this.listener.onRecords(records, isReset);
    } catch (error) {
      this.listener.onFault(error);
    }
  }
}

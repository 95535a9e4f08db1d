import {setTimeout as sleep} from 'node:timers/promises';
import {AdaptiveTimeout} from '../../common/base/adaptive_timeout.js';
import {Clock, Millis, SECOND} from '../../common/base/clock.js';
import {AppendPace} from '../../common/batch/admission/append_pace.js';
import {
  InstanceRecord,
  packRecord,
  RecordKind,
} from '../../common/batch/job_records.js';
import {
  isWithinLimits,
  splitIntoAppends,
} from '../../common/batch/log_limits.js';
import {
  AppendResult,
  KeyedLog,
  KeyedRecord,
  Topic,
} from '../../common/batch/store.js';
import {IntakeResult, PendingWrite} from './pending_write.js';

/** Bounds of the adaptive timeout of one append to the intake topic. */
const MIN_APPEND_TIMEOUT_MS: Millis = 200;
const MAX_APPEND_TIMEOUT_MS: Millis = 1500;

/**
 * Timeout while the store is known to be slow. The appends that several instances
 * make before they know take it 2 to 3 s; with 1.5 s the appends of the collector
 * were repeated faster than a store with 376 ms for each took them.
 */
const SLOW_APPEND_TIMEOUT_MS: Millis = 3 * SECOND;

/**
 * How long an append that the store rejects is retried before the caller gets a
 * rejection and can try another instance.
 */
const MAX_REJECTION_TIME_MS: Millis = 150;

/**
 * Time after an append without a response in which records go to a neighbour
 * first; then one append shows whether the store responds again.
 */
const UNANSWERED_MS: Millis = 1 * SECOND;

/** First and longest delay before an append is retried; it doubles. */
const INITIAL_RETRY_DELAY_MS: Millis = 40;
const MAX_RETRY_DELAY_MS: Millis = 320;

/** What other instances do for a record. */
export interface OtherInstances {
  /** Called when an append of the record gets no response for long. */
  readonly onDoubt?: (write: PendingWrite) => void;
  /** Result of another instance that has got the record. */
  readonly elsewhere?: Promise<IntakeResult>;
}

/**
 * Appends accepted jobs, cancellations and instance records to the intake
 * topic. Records that arrive while an append is in flight form the next batch.
 */
export class IntakeWriter {
  private pending: PendingWrite[] = [];
  private isWriting = false;
  /**
   * Whether the store rejected the last batch until it was given up. The next
   * one is appended once, so that its callers need not wait for retries.
   */
  private isTurnedAway = false;
  /** Consecutive appends without a response. */
  private unansweredAppends = 0;
  /** Local time since which no append was stored; undefined if one was. */
  failingSince: Millis | undefined;
  /** Local time of the last append. */
  private appendedAt: Millis = -Infinity;
  private readonly timeout = new AdaptiveTimeout(
    MIN_APPEND_TIMEOUT_MS,
    MAX_APPEND_TIMEOUT_MS,
  );

  constructor(
    private readonly log: KeyedLog,
    private readonly clock: Clock,
    private readonly onStored: (record: KeyedRecord) => void,
    private readonly consecutiveReadFailures: () => number = () => 0,
    private readonly pace: AppendPace = new AppendPace(() => 1),
  ) {}

  /**
   * Stores a record of a caller.
   * @param deadline local time by which the result is returned.
   */
  store(
    record: KeyedRecord,
    deadline: Millis,
    others: OtherInstances = {},
  ): Promise<IntakeResult> {
    return this.write(record, deadline, others);
  }

  /** Stores the record of an instance. */
  announce(
    instance: string,
    record: InstanceRecord,
    deadline: Millis,
  ): Promise<IntakeResult> {
    const key = RecordKind.INSTANCE + instance;
    return this.write({key, value: packRecord(record)}, deadline);
  }

  /** Removes the record of an instance that stops. */
  withdraw(instance: string, deadline: Millis): Promise<IntakeResult> {
    const key = RecordKind.INSTANCE + instance;
    return this.write({key, value: new Uint8Array()}, deadline);
  }

  /**
   * Whether the last append got no response, so that the next one would likely
   * end as unknown. It is tried again from time to time.
   */
  get isUnanswered(): boolean {
    const isLate = this.clock.now() - this.appendedAt < UNANSWERED_MS;
    return this.unansweredAppends > 0 && isLate;
  }

  /**
   * Whether two reads in a row failed, or one read and the last append got no
   * response. A single failed read may be a reset connection.
   */
  private get isStoreUnreachable(): boolean {
    const failures = this.consecutiveReadFailures();
    return failures > 1 || (failures > 0 && this.unansweredAppends > 0);
  }

  /**
   * Timeout of an append. One that the slow store has not got to is not repeated
   * soon, as both would be executed.
   */
  private get timeoutMs(): Millis {
    const isSlow = this.pace.isReportedSlow(this.clock.now());
    return isSlow ? SLOW_APPEND_TIMEOUT_MS : this.timeout.value;
  }

  private write(
    record: KeyedRecord,
    deadline: Millis,
    {onDoubt, elsewhere}: OtherInstances = {},
  ): Promise<IntakeResult> {
    return new Promise(resolve => {
      const {clock} = this;
      const write = new PendingWrite(record, deadline, clock, resolve, onDoubt);
      if (elsewhere !== undefined) void write.passOn(elsewhere);
      if (this.isStoreUnreachable) {
        // During an outage an append would end as UNKNOWN, after which a caller
        // may be unable to retry elsewhere; a rejection is definite.
        write.settle(IntakeResult.REJECTED);
        return;
      }
      if (!isWithinLimits(record, this.log.limits)) {
        write.settle(IntakeResult.REFUSED);
        return;
      }
      this.pending.push(write);
      if (!this.isWriting) void this.writeBatches();
    });
  }

  /** Appends the pending records in batches until none are left. */
  private async writeBatches(): Promise<void> {
    this.isWriting = true;
    while (this.pending.length > 0) {
      const waiting = this.pending.filter(({isPending}) => isPending);
      const records = waiting.map(({record}) => record);
      const [first] = splitIntoAppends(records, this.log.limits);
      const batch = waiting.slice(0, first?.length ?? 0);
      this.pending = waiting.slice(batch.length);
      if (batch.length === 0) continue;
      // Batches overlap only once a response seems lost: the store processes
      // one append at a time, so further appends would queue there.
      const completed = this.append(batch);
      await Promise.race([completed, sleep(this.timeoutMs)]);
    }
    this.isWriting = false;
  }

  /**
   * Retries an append until it is stored, definitely rejected for
   * `MAX_REJECTION_TIME_MS` or past the deadlines of all its records. After an
   * append of unknown outcome the records are never reported as rejected. A
   * record that the store never accepts does not affect the others.
   */
  private async append(batch: readonly PendingWrite[]): Promise<void> {
    let unsettled = batch;
    const startedAt = this.clock.now();
    const retryMs = this.isTurnedAway ? 0 : MAX_REJECTION_TIME_MS;
    let isUncertain = false;
    let delay = INITIAL_RETRY_DELAY_MS;
    while (unsettled.length > 0) {
      for (const write of unsettled) write.mayBeStored = true;
      const result = await this.appendOnce(unsettled);
      if (result === AppendResult.STORED) {
        this.isTurnedAway = false;
        for (const write of unsettled) {
          this.onStored(write.record);
          write.settle(IntakeResult.STORED);
        }
        return;
      }
      if (result === AppendResult.UNKNOWN) isUncertain = true;
      for (const write of unsettled) {
        write.mayBeStored = isUncertain;
      }
      if (isUncertain) noteDoubt(unsettled);
      if (!isUncertain && result === AppendResult.REFUSED) {
        return this.appendHalves(unsettled);
      }
      if (!isUncertain && this.clock.now() - startedAt >= retryMs) {
        this.isTurnedAway = true;
        for (const write of unsettled) write.settle(IntakeResult.REJECTED);
        return;
      }
      do {
        await sleep(delay);
        unsettled = unsettled.filter(({isPending}) => isPending);
      } while (unsettled.length > 0 && !this.isRetryDue(unsettled));
      delay = Math.min(delay * 2, MAX_RETRY_DELAY_MS);
    }
  }

  private isRetryDue(writes: readonly PendingWrite[]): boolean {
    const now = this.clock.now();
    const {pace} = this;
    const appendMs = pace.isReportedSlow(now) ? pace.ownMs(now) : 0;
    return writes.some(write => write.isRetryDue(appendMs));
  }

  /** Finds the record that the store refuses, and stores the others. */
  private async appendHalves(writes: readonly PendingWrite[]): Promise<void> {
    if (writes.length === 1) {
      writes[0].settle(IntakeResult.REFUSED);
      return;
    }
    const middle = Math.ceil(writes.length / 2);
    await this.append(writes.slice(0, middle));
    await this.append(writes.slice(middle));
  }

  private async appendOnce(
    writes: readonly PendingWrite[],
  ): Promise<AppendResult> {
    const records = writes.map(({record}) => record);
    const sentAt = this.clock.now();
    this.appendedAt = sentAt;
    let isAnswered = false;
    // A response that arrived while this process was paused is read before the
    // immediate runs.
    const timer = setTimeout(
      () => setImmediate(() => !isAnswered && this.onLate(writes, sentAt)),
      this.pace.slowMs,
    );
    const {result} = await this.log.append(
      Topic.INTAKE,
      records,
      {},
      this.timeoutMs,
    );
    clearTimeout(timer);
    const now = this.clock.now();
    if (result === AppendResult.STORED) this.failingSince = undefined;
    else if (result !== AppendResult.REFUSED) this.failingSince ??= sentAt;
    // The time of a rejection says nothing about the time of an append.
    if (result === AppendResult.STORED || result === AppendResult.UNKNOWN) {
      this.pace.onAppend(now - sentAt, now);
    }
    isAnswered = true;
    if (result === AppendResult.UNKNOWN) {
      this.unansweredAppends++;
      this.timeout.onTimeout();
    } else {
      this.unansweredAppends = 0;
      this.timeout.onResponse(this.clock.now() - sentAt);
    }
    return result;
  }

  /** Puts writes in doubt whose append is in flight for long. */
  private onLate(writes: readonly PendingWrite[], sentAt: Millis): void {
    const now = this.clock.now();
    this.pace.onLate(now - sentAt, now);
    noteDoubt(writes);
  }
}

function noteDoubt(writes: readonly PendingWrite[]): void {
  for (const write of writes) write.noteDoubt();
}

import {Clock, Millis, SECOND} from '../../../common/base/clock.js';
import {
  AppendPace,
  AppendReport,
  Destination,
  SUSPICION_MS,
} from '../../../common/batch/admission/append_pace.js';
import {Neighbour} from '../../../common/batch/admission/neighbours.js';
import {DecisionLog} from '../../../common/batch/scheduler_state.js';
import {KeyedRecord} from '../../../common/batch/store.js';
import {IntakeWriter} from '../intake_writer.js';
import {IntakeResult, PendingWrite} from '../pending_write.js';
import {Forwarder} from './forwarder.js';
import {ForwardedWrite} from './neighbour_messages.js';

/**
 * Share of the time until the deadline after which a collector without a result
 * is asked for a sign of life. 0.4 s of 1.35 s; if it is silent, the instance
 * that takes its place has 0.8 s, two batches of a store with 0.4 s for each.
 */
const COLLECTOR_TIME_SHARE = 0.3;

/**
 * Interval of reports of a slow store. A report counts for 10 s, and each record
 * that an instance passes on renews it.
 */
const REPORT_INTERVAL_MS: Millis = 5 * SECOND;

/** What stores the records of callers. */
export interface IntakePathDependencies {
  readonly writer: IntakeWriter;
  /** Undefined if this instance does not forward. */
  readonly forwarder: Forwarder | undefined;
  readonly pace: AppendPace;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  /** Reads the intake without waiting for records; returns whether it could. */
  readonly probe: () => Promise<boolean>;
  /** Called with each record that another instance has stored. */
  readonly onStored: (record: KeyedRecord) => void;
}

/**
 * Stores submissions and cancellations: in the store, through a neighbour while
 * the store fails this instance, or through the collector while it is slow for
 * all. A record that is stored twice is the same job, as its key is the same.
 */
export class IntakePath {
  private lastDestination: Destination = Destination.STORE;
  /** Local time at which this instance has reported a slow store last. */
  private reportedAt: Millis = -Infinity;

  constructor(private readonly dependencies: IntakePathDependencies) {}

  /**
   * Stores a record. Rejected means that it is not stored and never will be.
   * @param deadline local time by which the result is returned.
   */
  async store(record: KeyedRecord, deadline: Millis): Promise<IntakeResult> {
    const {writer, forwarder, pace, clock} = this.dependencies;
    if (forwarder === undefined) return writer.store(record, deadline);
    const destination = this.destination(forwarder);
    let elsewhere: Promise<IntakeResult> | undefined;
    if (destination !== Destination.STORE) {
      elsewhere =
        destination === Destination.COLLECTOR
          ? this.collect(forwarder, record, deadline)
          : this.pass(forwarder, destination, record, deadline);
      const result = await elsewhere;
      const isDecided =
        result === IntakeResult.STORED || result === IntakeResult.REFUSED;
      if (isDecided || deadline - clock.now() < pace.slowMs) return result;
    }
    let wasPassed = destination === Destination.NEIGHBOUR;
    const onDoubt = (write: PendingWrite) => {
      if (elsewhere !== undefined) return;
      wasPassed = this.passInDoubt(forwarder, write, deadline);
    };
    const result = await writer.store(record, deadline, {onDoubt, elsewhere});
    if (result !== IntakeResult.REJECTED || wasPassed) return result;
    return this.pass(forwarder, Destination.NEIGHBOUR, record, deadline);
  }

  /**
   * Passes a record to the collector, and also to the instance that would take
   * its place if the collector is silent. Own appends of all instances at
   * that time would keep a slow store busy for seconds.
   */
  private async collect(
    forwarder: Forwarder,
    record: KeyedRecord,
    deadline: Millis,
  ): Promise<IntakeResult> {
    const tried: Neighbour[] = [];
    const first = forwarder.collect(record, deadline, tried);
    const shareMs =
      (deadline - this.dependencies.clock.now()) * COLLECTOR_TIME_SHARE;
    const early = await resultWithin(first, shareMs);
    if (early !== undefined) return this.noteStored(record, early);
    const last = tried.at(-1);
    const isWorking = last !== undefined && (await forwarder.isAlive(last));
    if (isWorking || forwarder.collector(tried) === undefined) {
      return this.noteStored(record, await first);
    }
    const second = forwarder.collect(record, deadline, tried);
    return this.noteStored(record, await firstStored([first, second]));
  }

  /** Stores a record for another instance; passes it on to nobody. */
  async storeForwarded(
    record: KeyedRecord,
    deadline: Millis,
    sender: AppendReport,
  ): Promise<ForwardedWrite> {
    const {writer, pace, clock} = this.dependencies;
    this.onPeerAppend(sender);
    const onDoubt = () => this.onPeerAppend(sender);
    const result = await writer.store(record, deadline, {onDoubt});
    this.onPeerAppend(sender);
    return {result, appendMs: pace.ownMs(clock.now())};
  }

  /** Called when the collector tells that the store is slow. */
  onSlowStore({instance, appendMs}: AppendReport, isConfirmed: boolean): void {
    const {pace, clock, decisions} = this.dependencies;
    const now = clock.now();
    if (isConfirmed) pace.onReport(Math.max(appendMs, pace.slowMs), now);
    else pace.suspect(now);
    const from = instance;
    decisions.decide('slow-store-reported', {from, appendMs, isConfirmed});
  }

  private onPeerAppend(sender: AppendReport): void {
    const {pace, clock} = this.dependencies;
    if (pace.confirms(sender, clock.now())) void this.reportSlowStore();
  }

  /**
   * If this instance is the collector, tells all others that the store is slow:
   * at once for a short time, and for longer once a read shows that the link of
   * this instance to the store works. Otherwise one whose link has failed would
   * collect records that it can't store.
   */
  private async reportSlowStore(): Promise<void> {
    const {writer, pace, clock, forwarder, decisions, probe} =
      this.dependencies;
    const sentAt = clock.now();
    if (forwarder === undefined || forwarder.collector() !== undefined) return;
    if (sentAt - this.reportedAt < REPORT_INTERVAL_MS) return;
    this.reportedAt = sentAt;
    const failedMs = sentAt - (writer.failingSince ?? sentAt);
    if (failedMs < SUSPICION_MS) {
      pace.suspect(sentAt);
      void forwarder.notifySlow(false);
    }
    const isRead = (await resultWithin(probe(), SUSPICION_MS)) ?? false;
    const now = clock.now();
    const readMs = Math.round(now - sentAt);
    const appendMs = Math.round(pace.ownMs(now));
    decisions.decide('slow-store', {isConfirmed: isRead, readMs, appendMs});
    if (!isRead) return;
    pace.onReport(Math.max(pace.ownMs(now), pace.slowMs), now);
    void forwarder.notifySlow(true);
  }

  /** Where a record goes first; the store if this instance is the collector. */
  private destination(forwarder: Forwarder): Destination {
    const {pace, writer, clock, decisions} = this.dependencies;
    const now = clock.now();
    let destination = pace.destination(now);
    if (destination === Destination.STORE && writer.isUnanswered) {
      destination = pace.otherDestination(now);
    }
    if (
      destination === Destination.COLLECTOR &&
      forwarder.collector() === undefined
    ) {
      destination = Destination.STORE;
    }
    if (destination !== this.lastDestination) {
      this.lastDestination = destination;
      const appendMs = Math.round(pace.ownMs(now));
      const slowMs = Math.round(pace.slowMs);
      decisions.decide('intake-destination', {destination, appendMs, slowMs});
    }
    return destination;
  }

  /** Passes on a record whose append is in flight for long. */
  private passInDoubt(
    forwarder: Forwarder,
    write: PendingWrite,
    deadline: Millis,
  ): boolean {
    const {pace, clock} = this.dependencies;
    const now = clock.now();
    const isCollector = forwarder.collector() === undefined;
    // The collector's batches are slow because the store is.
    if (isCollector && pace.hasSlowSender(now)) void this.reportSlowStore();
    if (isCollector && pace.isReportedSlow(now)) return false;
    const destination = isCollector
      ? Destination.NEIGHBOUR
      : pace.otherDestination(now);
    const {record} = write;
    void write.passOn(this.pass(forwarder, destination, record, deadline, 1));
    return true;
  }

  private async pass(
    forwarder: Forwarder,
    destination: Destination,
    record: KeyedRecord,
    deadline: Millis,
    maxAttempts?: number,
  ): Promise<IntakeResult> {
    const result =
      destination === Destination.COLLECTOR
        ? await forwarder.collect(record, deadline, [])
        : await forwarder.store(record, deadline, maxAttempts);
    return this.noteStored(record, result);
  }

  private noteStored(record: KeyedRecord, result: IntakeResult): IntakeResult {
    if (result === IntakeResult.STORED) this.dependencies.onStored(record);
    return result;
  }
}

/** Resolves when one result is `STORED`, or else when all are known. */
async function firstStored(
  results: readonly Promise<IntakeResult>[],
): Promise<IntakeResult> {
  const {STORED, UNKNOWN, REJECTED} = IntakeResult;
  const stored = results.map(async result => {
    if ((await result) === STORED) return STORED;
    throw new Error('not stored');
  });
  return Promise.any(stored).catch(async () => {
    const all = await Promise.all(results);
    return all.includes(UNKNOWN) ? UNKNOWN : REJECTED;
  });
}

/** The result if there is one within a time; undefined otherwise. */
async function resultWithin<T>(
  result: Promise<T>,
  timeoutMs: Millis,
): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>(resolve => {
    timer = setTimeout(() => resolve(undefined), timeoutMs);
  });
  const first = await Promise.race([result, timeout]);
  clearTimeout(timer);
  return first;
}

import {Millis, SECOND} from '../../base/clock.js';

/** Time in which a record should be stored: 0.45 of the callers' 3 s. */
const STORING_TIME_MS: Millis = 1350;

/**
 * Bounds of the time from which an append counts as slow. Below the first, links
 * between data centres and pauses of a process with a third of a core look like
 * a slow store; above the second, too little time is left to pass a record on.
 */
const MIN_SLOW_MS: Millis = 100;
const MAX_SLOW_MS: Millis = 300;

/** Age up to which an own append tells whether this instance is served slowly. */
const OWN_AGE_MS: Millis = 2 * SECOND;

/**
 * Age up to which a report of another instance counts. An instance of 42 gets a
 * submission every 2 s; each that it passes on brings a new report.
 */
const REPORT_AGE_MS: Millis = 10 * SECOND;

/** Time between two instances that find the store slow together. */
const SENDER_AGE_MS: Millis = 1 * SECOND;

/**
 * Time for which the store counts as slow until that is confirmed. A read by
 * which the collector checks its own link takes 0.4 s at a slow store.
 */
export const SUSPICION_MS: Millis = 1 * SECOND;

/** Age of an own fast append up to which others' slow ones are their links'. */
const FAST_AGE_MS: Millis = 300;

/** Appends in a row that must be slow without a report of another instance. */
const OWN_APPENDS = 2;

/** Where a record of a caller goes first. */
export const Destination = {
  /** This instance appends it. */
  STORE: 'store',
  /** The store is slow: one instance appends the records of all. */
  COLLECTOR: 'collector',
  /** Only this instance is served slowly: a neighbour appends it. */
  NEIGHBOUR: 'neighbour',
} as const;
export type Destination = (typeof Destination)[keyof typeof Destination];

/** The time of an append at a local time. */
interface Observation {
  readonly ms: Millis;
  readonly at: Millis;
}

/** Time of an append that another instance has measured. */
export interface AppendReport {
  readonly instance: string;
  /** 0 if it has measured none lately. */
  readonly appendMs: Millis;
}

/**
 * Decides from the times of appends where records go. The store takes one append
 * of a topic at a time, so appends of N instances may take N times as long as
 * one; they are in time only if one takes less than the Nth part of the time.
 */
export class AppendPace {
  private own: Observation | undefined;
  private slowAppends = 0;
  private report: Observation | undefined;
  private suspectedUntil: Millis = -Infinity;
  /** Last instance that has found an append slow. */
  private lastSender: {readonly name: string; readonly at: Millis} | undefined;

  /** @param instances returns the number of instances that append. */
  constructor(private readonly instances: () => number) {}

  /** Time from which an append counts as slow. */
  get slowMs(): Millis {
    const share = STORING_TIME_MS / Math.max(1, this.instances());
    return Math.min(MAX_SLOW_MS, Math.max(MIN_SLOW_MS, share));
  }

  /** Time of the latest append of this instance; 0 if it is too old to count. */
  ownMs(now: Millis): Millis {
    return this.own && now - this.own.at < OWN_AGE_MS ? this.own.ms : 0;
  }

  /** Whether the store is slow for all, as far as is known. */
  isReportedSlow(now: Millis): boolean {
    const report = this.freshReport(now);
    if (now < this.suspectedUntil) return true;
    return report !== undefined && report.ms >= this.slowMs;
  }

  /** Called with the age of an own append that is in flight. */
  onLate(ms: Millis, now: Millis): void {
    this.own = {ms, at: now};
  }

  /** Called with the time of an own append that was stored or not answered. */
  onAppend(ms: Millis, now: Millis): void {
    this.own = {ms, at: now};
    this.slowAppends = ms < this.slowMs ? 0 : this.slowAppends + 1;
    if (this.slowAppends === 0 && this.isReportedSlow(now)) {
      this.onReport(ms, now);
    }
  }

  /**
   * Called with the time of an append that another instance has measured.
   */
  onReport(ms: Millis, now: Millis): void {
    this.report = {ms, at: now};
    this.suspectedUntil = -Infinity;
  }

  /** Called when the store may be slow for all, before that is confirmed. */
  suspect(now: Millis): void {
    this.suspectedUntil = now + SUSPICION_MS;
  }

  /**
   * Whether an append that another instance found slow was slow elsewhere as
   * well, here or at a third instance, so that the store is slow and not a link.
   */
  confirms(report: AppendReport, now: Millis): boolean {
    const {slowMs, lastSender} = this;
    if (report.appendMs < slowMs) return false;
    const isSecondSender =
      this.hasSlowSender(now) && lastSender!.name !== report.instance;
    this.lastSender = {name: report.instance, at: now};
    const {own} = this;
    const isOwnFast =
      own !== undefined && own.ms < slowMs && now - own.at < FAST_AGE_MS;
    if (isOwnFast) return false;
    return isSecondSender || this.ownMs(now) >= slowMs;
  }

  /** Whether another instance has found an append slow a moment ago. */
  hasSlowSender(now: Millis): boolean {
    const {lastSender} = this;
    return lastSender !== undefined && now - lastSender.at < SENDER_AGE_MS;
  }

  /** Where the next record goes first. */
  destination(now: Millis): Destination {
    if (this.isReportedSlow(now)) return Destination.COLLECTOR;
    const isOwnSlow =
      this.slowAppends >= OWN_APPENDS && this.ownMs(now) >= this.slowMs;
    return isOwnSlow ? this.otherDestination(now) : Destination.STORE;
  }

  /** Where a record goes whose append by this instance gets no response. */
  otherDestination(now: Millis): Destination {
    const {report} = this;
    const isRecent = report !== undefined && now - report.at < OWN_AGE_MS;
    return isRecent && !this.isReportedSlow(now)
      ? Destination.NEIGHBOUR
      : Destination.COLLECTOR;
  }

  private freshReport(now: Millis): Observation | undefined {
    const {report} = this;
    if (report === undefined) return undefined;
    return now - report.at < REPORT_AGE_MS ? report : undefined;
  }
}

import {Millis, SECOND} from '../../base/clock.js';

/**
 * Rejections in a row after which the whole store counts as failed. One write
 * has three attempts, the second and third in other data centres.
 */
const REJECTIONS_TO_OPEN = 3;

/**
 * Rejections in a row after which it counts as failed although all came from
 * one data centre, such as when the others can't be reached.
 */
const REJECTIONS_OF_ONE_DATA_CENTRE = 6;

/**
 * First and longest time without forwarding; it doubles after each failed
 * probe. Outages last 3 to 9 s, so the longest keeps a probe in each.
 */
const INITIAL_OPEN_MS: Millis = 500;
const MAX_OPEN_MS: Millis = 4 * SECOND;

/** Time after which a probe without a result no longer blocks the next one. */
const PROBE_TIMEOUT_MS: Millis = 3 * SECOND;

/**
 * Circuit breaker that stops forwarding while neighbours reject writes as well:
 * an outage of the whole store must not multiply the calls of all instances.
 * While it is open, single probes find out when the store is back.
 */
export class ForwardingBreaker {
  private rejections = 0;
  private readonly dataCentres = new Set<string>();
  private openMs: Millis = 0;
  private closedFrom: Millis = -Infinity;
  private probeUntil: Millis = -Infinity;
  /** Local time of the first rejection in a row; undefined without one. */
  private rejectedSince: Millis | undefined;

  /** Whether the neighbours reject writes as this instance's store does. */
  get isOpen(): boolean {
    return this.openMs > 0;
  }

  /** Whether a neighbour was rejected since the last one was served. */
  get hasRejections(): boolean {
    return this.rejections > 0;
  }

  /** Since when neighbours have rejected all writes; undefined if they don't. */
  get openSince(): Millis | undefined {
    return this.isOpen ? this.rejectedSince : undefined;
  }

  /** Whether an attempt may be made now; while open, it is a probe. */
  tryAcquire(now: Millis): boolean {
    if (!this.isOpen) return true;
    if (now < this.closedFrom || now < this.probeUntil) return false;
    this.probeUntil = now + PROBE_TIMEOUT_MS;
    return true;
  }

  /** Called when a neighbour has stored or read something. */
  onServed(): void {
    this.rejections = 0;
    this.dataCentres.clear();
    this.openMs = 0;
    this.rejectedSince = undefined;
    this.probeUntil = -Infinity;
  }

  /** Called when an attempt has shown nothing about a neighbour's store. */
  onInconclusive(): void {
    this.probeUntil = -Infinity;
  }

  /** Called when the store has turned away a neighbour. */
  onRejected(dataCentre: string, now: Millis): void {
    this.probeUntil = -Infinity;
    this.rejectedSince ??= now;
    this.rejections++;
    this.dataCentres.add(dataCentre);
    const needed =
      this.dataCentres.size > 1
        ? REJECTIONS_TO_OPEN
        : REJECTIONS_OF_ONE_DATA_CENTRE;
    if (this.rejections < needed) return;
    const doubled = Math.max(INITIAL_OPEN_MS, this.openMs * 2);
    this.openMs = Math.min(MAX_OPEN_MS, doubled);
    this.closedFrom = now + this.openMs;
  }
}

import {Millis, SECOND} from '../base/clock.js';

/**
 * Fraction by which a worker's monotonic clock may run slow, as the platform
 * guarantees.
 */
export const MAX_CLOCK_DRIFT = 0.02;

/** Time after the end of a lease until its runs count as lost. */
export const LEASE_EXPIRY_MARGIN_MS: Millis = 0.3 * SECOND;

/**
 * Longest time after which a worker may still execute a call that got no
 * response, as the platform's kinds of trouble state it.
 */
export const MAX_CALL_DELAY_MS: Millis = 12 * SECOND;

/**
 * Difference between a worker's clock and its estimate up to which a response
 * counts as one of the incarnation that the estimate is of.
 */
export const CLOCK_TOLERANCE_MS: Millis = 0.3 * SECOND;

/** Difference of the time of day between two machines, at most. */
export const MAX_WALL_CLOCK_ERROR_MS: Millis = 2 * SECOND;

/** Durations of leases. */
export interface LeaseTimings {
  /** Duration of the lease that each call grants, on the worker's clock. */
  readonly leaseMs: Millis;
  /** Longest lease that a worker takes; it shortens longer ones to this. */
  readonly longestLeaseMs: Millis;
}

/**
 * Bounds the time until which runs may go on on one worker that is silent. The
 * end of a lease is a time on the worker's clock, and each incarnation has
 * another clock. So a call counts in two ways:
 *
 * - The incarnation that it was meant for ends the lease `leaseMs` after the
 *   sending of the call, however late it executes the call.
 * - A later incarnation, which has seen no fencing token, may execute it too: a
 *   misdirected call. The lease then lasts up to `longestLeaseMs` from the
 *   execution.
 *
 * Times are local.
 */
export class LeaseAccount {
  /** Time of this scheduler's last call that granted a lease. */
  private grantedAt: Millis = -Infinity;
  /** Time until which earlier schedulers may have granted leases. */
  private inheritedAt: Millis = -Infinity;
  /** Latest end of a lease that a response or a record has shown. */
  private shownEnd: Millis = -Infinity;
  /** Whether the latest incarnation may execute calls for an earlier one. */
  private hasMisdirectedCalls = false;
  /** Time by which this scheduler has sent the last of them. */
  private misdirectedUntil: Millis = Infinity;
  /** Time by which the latest incarnation refuses them. */
  private fencedAt: Millis = Infinity;

  constructor(private readonly timings: LeaseTimings) {}

  /** Time by which the leases of the incarnations that calls meant are over. */
  get intendedEnd(): Millis {
    const lastGrantAt = Math.max(this.grantedAt, this.inheritedAt);
    const granted = lastGrantAt + longestSpan(this.timings.leaseMs);
    return Math.max(granted, this.shownEnd);
  }

  /** Time by which all leases are over, also those of misdirected calls. */
  get longestEnd(): Millis {
    return Math.max(this.intendedEnd, this.misdirectedEnd);
  }

  private get misdirectedEnd(): Millis {
    if (!this.hasMisdirectedCalls) return -Infinity;
    const ownCallAt = Math.min(this.misdirectedUntil, this.grantedAt);
    const lastCallAt = Math.max(ownCallAt, this.inheritedAt);
    const executedBy = Math.min(lastCallAt + MAX_CALL_DELAY_MS, this.fencedAt);
    return executedBy + longestSpan(this.timings.longestLeaseMs);
  }

  /** Whether a lease may still last that is longer than intended. */
  mayBeLong(now: Millis): boolean {
    return now < Math.max(this.misdirectedEnd, this.shownEnd);
  }

  /** Whether a call that grants a lease may still be executed. */
  mayBeUnderWay(now: Millis): boolean {
    return now < this.grantedAt + MAX_CALL_DELAY_MS;
  }

  /** Whether no call can act any more, nor a lease last, in any incarnation. */
  isSettled(now: Millis): boolean {
    const lastCallAt = Math.max(this.grantedAt, this.inheritedAt);
    const span = longestSpan(this.timings.longestLeaseMs);
    return now >= lastCallAt + MAX_CALL_DELAY_MS + span && now >= this.shownEnd;
  }

  /** Accounts for a call that grants a lease and is about to be sent. */
  grant(now: Millis): void {
    this.grantedAt = Math.max(this.grantedAt, now);
  }

  /** Accounts for leases that earlier schedulers may grant until a time. */
  inherit(until: Millis): void {
    this.inheritedAt = Math.max(this.inheritedAt, until);
  }

  /**
   * Accounts for leases of earlier schedulers that are over by a recorded time.
   * The last one may have been granted up to its intended duration before.
   */
  inheritEnd(end: Millis): void {
    this.inherit(end - longestSpan(this.timings.leaseMs));
    this.showEnd(end);
  }

  /** Handles the news that earlier schedulers grant no leases after a time. */
  limitInherited(until: Millis): void {
    this.inheritedAt = Math.min(this.inheritedAt, until);
  }

  /**
   * Accounts for a lease of an earlier scheduler that lasts until a time, as far
   * as a clock that may have been set tells.
   * @param grantsUntil time by which earlier schedulers grant no more leases.
   */
  inheritLongEnd(end: Millis, grantsUntil: Millis): void {
    const span = longestSpan(this.timings.longestLeaseMs);
    this.showEnd(Math.min(end, grantsUntil + MAX_CALL_DELAY_MS + span));
  }

  /** Accounts for a lease that is known to last until a time. */
  private showEnd(end: Millis): void {
    this.shownEnd = Math.max(this.shownEnd, end);
  }

  /**
   * Accounts for the response to a call that granted a lease.
   * @param leftMs end of the lease less the time on the worker's clock. It
   *     exceeds the intended duration if the call was meant for another clock.
   * @returns whether the lease is longer than intended.
   */
  onGrantAnswered(leftMs: Millis, now: Millis): boolean {
    const {leaseMs, longestLeaseMs} = this.timings;
    if (leftMs <= leaseMs + CLOCK_TOLERANCE_MS) return false;
    this.showEnd(now + longestSpan(Math.min(leftMs, longestLeaseMs)));
    return true;
  }

  /**
   * Handles the news that a later incarnation exists. Until it has seen a higher
   * fencing token, it may execute calls that were meant for earlier ones.
   */
  onLaterIncarnation(): void {
    this.hasMisdirectedCalls = true;
    this.misdirectedUntil = Infinity;
    this.fencedAt = Infinity;
  }

  /** Handles that all calls from now on are meant for the latest incarnation. */
  endMisdirectedCalls(): void {
    this.misdirectedUntil = Math.min(this.misdirectedUntil, this.grantedAt);
  }

  /**
   * Handles that the latest incarnation has seen, by a time, a fencing token
   * that is higher than those of all calls that were meant for earlier ones.
   */
  onFenced(by: Millis): void {
    this.fencedAt = Math.min(this.fencedAt, by);
  }
}

/**
 * Whether an incarnation of an age may have a lease of a misdirected call.
 * @param age by the clocks of two machines, in ms.
 */
export function mayHaveLongLease(age: Millis, timings: LeaseTimings): boolean {
  const span = longestSpan(timings.longestLeaseMs);
  return age < MAX_CALL_DELAY_MS + span + MAX_WALL_CLOCK_ERROR_MS;
}

/**
 * Longest local time that a lease may last, with the margin after it. The
 * worker's clock may run slow.
 */
function longestSpan(duration: Millis): Millis {
  return duration * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_MS;
}

import {Millis, SECOND} from '../base/clock.js';

/** Consecutive failures after which a target is ejected. */
export const MAX_CONSECUTIVE_FAILURES = 5;

/** Number of most recent requests in the failure rate. */
export const FAILURE_RATE_WINDOW = 20;

/** Failure rate, from 0 to 1, above which a target is ejected. */
export const MAX_FAILURE_RATE = 0.5;

/** Duration of the first ejection. Each further ejection doubles it. */
export const BASE_EJECTION_MS: Millis = 1 * SECOND;

/** Limits the ejection, so that a recovered target returns within 30 s. */
export const MAX_EJECTION_MS: Millis = 30 * SECOND;

/** Time without an ejection that resets the exponential back-off. */
export const BACKOFF_RESET_MS: Millis = 60 * SECOND;

/** Failure detection and ejection of one target for one service. */
export class TargetHealth {
  private consecutiveFailures = 0;
  private readonly results: boolean[] = [];
  private consecutiveEjections = 0;
  private ejectedUntil: Millis | undefined;
  private readmittedAt: Millis | undefined;
  private probeInFlight = false;

  get ejected(): boolean {
    return this.ejectedUntil !== undefined;
  }

  /** Time at which the ejection ends and probes may start; 0 if not ejected. */
  get ejectionEnd(): Millis {
    return this.ejectedUntil ?? 0;
  }

  /** Tells whether a probe should be sent now. */
  isProbeDue(now: Millis): boolean {
    return this.ejected && !this.probeInFlight && now >= this.ejectionEnd;
  }

  startProbe(): void {
    this.probeInFlight = true;
  }

  /** Counts a finished request that was not a probe. */
  recordResult(failed: boolean): void {
    this.consecutiveFailures = failed ? this.consecutiveFailures + 1 : 0;
    this.results.push(failed);
    if (this.results.length > FAILURE_RATE_WINDOW) this.results.shift();
  }

  /** Tells whether the recent failures exceed an ejection threshold. */
  get isFailing(): boolean {
    if (this.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) return true;
    if (this.results.length < FAILURE_RATE_WINDOW) return false;
    const failures = this.results.filter(failed => failed).length;
    return failures > MAX_FAILURE_RATE * FAILURE_RATE_WINDOW;
  }

  /** Ejects the target, with exponential back-off. */
  eject(now: Millis): void {
    const backoffExpired =
      this.readmittedAt !== undefined &&
      now - this.readmittedAt >= BACKOFF_RESET_MS;
    this.consecutiveEjections = backoffExpired
      ? 1
      : this.consecutiveEjections + 1;
    const duration = BASE_EJECTION_MS * 2 ** (this.consecutiveEjections - 1);
    this.ejectedUntil = now + Math.min(duration, MAX_EJECTION_MS);
    this.probeInFlight = false;
  }

  /**
   * Ends a probe: ejects the target again or readmits it. `failed` is undefined
   * when the outcome says nothing about the target, which stays ejected.
   */
  endProbe(failed: boolean | undefined, now: Millis): void {
    this.probeInFlight = false;
    if (failed === true) this.eject(now);
    if (failed === false) this.readmit(now);
  }

  /** Ends the ejection and clears the failure counts. */
  readmit(now: Millis): void {
    this.ejectedUntil = undefined;
    this.readmittedAt = now;
    this.probeInFlight = false;
    this.consecutiveFailures = 0;
    this.results.length = 0;
  }
}

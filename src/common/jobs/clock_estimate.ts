import {Millis} from '../base/clock.js';

/** Workers report their clock in whole milliseconds, rounded down. */
const REPORT_ROUNDING_MS: Millis = 1;

/** A reading of a worker's clock and the local times around it. */
export interface ClockSample {
  /** Local time before the worker read its clock. */
  readonly sentAt: Millis;
  /** Local time after the worker read its clock. */
  readonly receivedAt: Millis;
  /** Time on the worker's clock. */
  readonly nowMs: Millis;
}

/**
 * Estimates a lower and an upper bound of a worker's clock from its reports.
 *
 * Each reading was taken between two local times, and the rates of the two
 * clocks differ by at most `driftFraction`. The bounds are the tightest that
 * the readings give. A reading outside of them means that the worker's clock
 * was set; it replaces the earlier readings.
 */
export class ClockEstimate {
  /** Sample that gives the lower bound. */
  private lowerSample: ClockSample | undefined;
  /** Sample that gives the upper bound. */
  private upperSample: ClockSample | undefined;

  constructor(private readonly driftFraction: number) {}

  /** Whether a reading was added. */
  get hasSample(): boolean {
    return this.lowerSample !== undefined;
  }

  /** Adds a reading. */
  add(sample: ClockSample): void {
    if (this.contradicts(sample)) {
      this.lowerSample = sample;
      this.upperSample = sample;
      return;
    }
    if (sample.nowMs >= this.lowerBound(sample.receivedAt)) {
      this.lowerSample = sample;
    }
    if (sample.nowMs <= this.upperBound(sample.sentAt)) {
      this.upperSample = sample;
    }
  }

  /**
   * Lowest reading that the worker's clock can show at a local time; -Infinity
   * without a reading. A lease that ends at this reading has certainly ended at
   * `time`.
   */
  lowerBound(time: Millis): Millis {
    const sample = this.lowerSample;
    if (sample === undefined) return -Infinity;
    return Math.floor(sample.nowMs + this.minElapsed(time - sample.receivedAt));
  }

  /**
   * Highest reading that the worker's clock can show at a local time; Infinity
   * without a reading.
   */
  upperBound(time: Millis): Millis {
    const sample = this.upperSample;
    if (sample === undefined) return Infinity;
    const reading = sample.nowMs + REPORT_ROUNDING_MS;
    return Math.ceil(reading + this.maxElapsed(time - sample.sentAt));
  }

  /** Whether the worker's clock has certainly reached `workerMs` at `now`. */
  hasPassed(workerMs: Millis, now: Millis): boolean {
    return this.lowerBound(now) >= workerMs;
  }

  /** Whether a sample lies outside of the bounds, or is the first one. */
  private contradicts(sample: ClockSample): boolean {
    return (
      !this.hasSample ||
      sample.nowMs < this.lowerBound(sample.sentAt) ||
      sample.nowMs > this.upperBound(sample.receivedAt)
    );
  }

  /** Least time that can pass on the worker's clock in a local duration. */
  private minElapsed(duration: Millis): Millis {
    const sign = duration < 0 ? 1 : -1;
    return duration * (1 + sign * this.driftFraction);
  }

  /** Most time that can pass on the worker's clock in a local duration. */
  private maxElapsed(duration: Millis): Millis {
    const sign = duration < 0 ? -1 : 1;
    return duration * (1 + sign * this.driftFraction);
  }
}

import {Millis} from './clock.js';

/** Timeout as a multiple of the smoothed response time. */
const TIMEOUT_MULTIPLE = 6;

/** Weight of a new response time in the exponential moving average. */
const SMOOTHING_FACTOR = 0.2;

/**
 * Timeout of calls that are safe to retry: a multiple of the moving average of
 * response times, doubled after each call that timed out. The first call gets
 * the maximum, because no response time is known yet.
 */
export class AdaptiveTimeout {
  private smoothedResponseTime: Millis;
  private currentTimeout: Millis;

  constructor(
    private readonly minTimeout: Millis,
    private readonly maxTimeout: Millis,
  ) {
    this.smoothedResponseTime = maxTimeout / TIMEOUT_MULTIPLE;
    this.currentTimeout = maxTimeout;
  }

  /** Timeout of the next call, in milliseconds. */
  get value(): Millis {
    return this.currentTimeout;
  }

  /** Notes that a call was answered after `duration` milliseconds. */
  onResponse(duration: Millis): void {
    this.smoothedResponseTime +=
      SMOOTHING_FACTOR * (duration - this.smoothedResponseTime);
    this.currentTimeout = this.clamp(
      this.smoothedResponseTime * TIMEOUT_MULTIPLE,
    );
  }

  /** Notes that a call was not answered in time. */
  onTimeout(): void {
    this.currentTimeout = this.clamp(this.currentTimeout * 2);
  }

  private clamp(value: Millis): Millis {
    return Math.min(this.maxTimeout, Math.max(this.minTimeout, value));
  }
}

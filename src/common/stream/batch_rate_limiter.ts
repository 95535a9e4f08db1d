import {Millis, SECOND} from '../base/clock.js';

/** Limits of the rate at which batches are sent. */
export interface BatchRateLimits {
  /** Minimum interval between two batches, in milliseconds. */
  readonly batchIntervalMs: Millis;
  /** Minimum interval while the stream is busy, in milliseconds. */
  readonly busyBatchIntervalMs: Millis;
  /** Batches in the last second from which on the stream counts as busy. */
  readonly busyBatchesPerSecond: number;
}

/**
 * Limits the rate of batches: a short interval keeps the latency low while few
 * are sent; a longer one limits the load on the log when the stream is busy.
 */
export class BatchRateLimiter {
  private sendTimes: Millis[] = [];

  constructor(private readonly limits: BatchRateLimits) {}

  /** Whether a batch may be sent now. */
  allows(now: Millis): boolean {
    const last = this.sendTimes[this.sendTimes.length - 1];
    return last === undefined || now - last >= this.currentInterval(now);
  }

  /** Notes that a batch was sent. */
  onBatchSent(now: Millis): void {
    this.sendTimes = this.sendTimes.filter(time => now - time < SECOND);
    this.sendTimes.push(now);
  }

  private currentInterval(now: Millis): Millis {
    const recent = this.sendTimes.filter(time => now - time < SECOND);
    const busy = recent.length >= this.limits.busyBatchesPerSecond;
    return busy ? this.limits.busyBatchIntervalMs : this.limits.batchIntervalMs;
  }
}

import {Millis, SECOND} from '../base/clock.js';

/** Limits on how often batches are sent. */
export interface SendRateLimits {
  /** Least time between two batches. */
  readonly batchMs: Millis;
  /** Least time between two batches while the stream is busy. */
  readonly busyBatchMs: Millis;
  /** Batches in the last second from which on the stream is busy. */
  readonly busyBatches: number;
}

/** Spaces batches: close together while there are few, wider when busy. */
export class SendRate {
  private sentAt: Millis[] = [];

  constructor(private readonly limits: SendRateLimits) {}

  /** Whether a batch may be sent now. */
  allows(now: Millis): boolean {
    const last = this.sentAt[this.sentAt.length - 1];
    return last === undefined || now - last >= this.interval(now);
  }

  /** Notes that a batch is sent. */
  sent(now: Millis): void {
    this.sentAt = this.sentAt.filter(time => now - time < SECOND);
    this.sentAt.push(now);
  }

  private interval(now: Millis): Millis {
    const recent = this.sentAt.filter(time => now - time < SECOND);
    const busy = recent.length >= this.limits.busyBatches;
    return busy ? this.limits.busyBatchMs : this.limits.batchMs;
  }
}

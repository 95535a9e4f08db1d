import {Millis, SECOND} from '../common/base/clock.js';

/** Token bucket that limits lines per second; a burst may be as many lines. */
export class LineRateLimiter {
  private tokens: number;
  private refilledAt: Millis | undefined;

  constructor(private readonly linesPerSecond: number) {
    this.tokens = linesPerSecond;
  }

  /** Takes the token of one line; returns false if none is left. */
  tryAcquire(now: Millis): boolean {
    // The wall clock may be set back.
    const elapsedMs = Math.max(0, now - (this.refilledAt ?? now));
    this.refilledAt = now;
    const refill = (elapsedMs * this.linesPerSecond) / SECOND;
    this.tokens = Math.min(this.linesPerSecond, this.tokens + refill);
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}

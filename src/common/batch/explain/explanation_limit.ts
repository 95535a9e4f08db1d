import {Millis, SECOND} from '../../base/clock.js';

/**
 * Explanations that begin within a second, at most. One takes up to about 55 ms
 * of the scheduler's thread (JobExplainer), so three take at most a sixth of it
 * while an operator asks without pause.
 */
const MAX_PER_SECOND = 3;

/** Bounds what explanations cost: one at a time and a few per second. */
export class ExplanationLimit {
  /** Local times at which the last explanations began. */
  private beganAt: Millis[] = [];
  private isBusy = false;

  /** Begins an explanation at a local time; returns whether it may. */
  tryBegin(now: Millis): boolean {
    this.beganAt = this.beganAt.filter(at => now - at < SECOND);
    if (this.isBusy || this.beganAt.length >= MAX_PER_SECOND) return false;
    this.beganAt.push(now);
    this.isBusy = true;
    return true;
  }

  end(): void {
    this.isBusy = false;
  }
}

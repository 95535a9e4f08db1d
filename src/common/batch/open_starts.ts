import {Millis} from '../base/clock.js';
import {MAX_CALL_DELAY_MS} from './lease_account.js';
import {Run} from './worker_state.js';

/**
 * Tracks the start requests to one worker that it may still execute, in this or
 * a later incarnation: those whose response is awaited and, for a while, those
 * that got none. Times are local.
 */
export class OpenStarts {
  /** Time at which each request was sent whose response is awaited. */
  private readonly awaited = new Map<Run, Millis>();
  /** Time at which a start request was given up last. */
  private unansweredAt: Millis = -Infinity;

  onSent(run: Run, now: Millis): void {
    this.awaited.set(run, now);
  }

  onAnswered(run: Run): void {
    this.awaited.delete(run);
  }

  /** Handles that the wait for a response was given up. */
  onUnanswered(run: Run, now: Millis): void {
    this.awaited.delete(run);
    this.unansweredAt = now;
  }

  /** Whether the worker may still execute a start request that was sent. */
  mayBeExecuted(now: Millis): boolean {
    const latest = Math.max(this.unansweredAt, ...this.awaited.values());
    return now < latest + MAX_CALL_DELAY_MS;
  }
}

import {Millis} from '../base/clock.js';
import {SchedulerRecord} from './job_records.js';

/** Silence of the scheduler after which another instance claims its office. */
export const SCHEDULER_SILENCE: Millis = 1100;

/** Time between two signs of life of the scheduler. */
export const SIGN_INTERVAL: Millis = 300;

/**
 * Decides when this instance claims the office of the scheduler. Only time in
 * which the log could be read counts as silence: an outage of the log hides
 * the scheduler's signs of life and isn't a reason to replace it.
 */
export class Election {
  private lastSign: Millis;
  private readableSince: Millis | undefined;
  private current: SchedulerRecord | undefined;

  /** @param delayMs keeps instances from claiming at the same moment. */
  constructor(
    private readonly incarnation: string,
    private readonly delayMs: Millis,
    now: Millis,
  ) {
    this.lastSign = now;
  }

  /** Notes that records of the scheduler were read. */
  onSign(current: SchedulerRecord | undefined, now: Millis): void {
    this.current = current;
    this.lastSign = now;
  }

  onReadable(now: Millis): void {
    this.readableSince ??= now;
  }

  onUnreadable(): void {
    this.readableSince = undefined;
  }

  /** Time from now until a claim is due; undefined while none is. */
  dueIn(now: Millis): Millis | undefined {
    if (this.readableSince === undefined) return undefined;
    const silence = this.silenceAllowed();
    const quietSince = Math.max(this.lastSign, this.readableSince);
    return Math.max(0, quietSince + silence + this.delayMs - now);
  }

  private silenceAllowed(): Millis {
    const isVacant =
      this.current === undefined ||
      this.current.resigned ||
      this.current.incarnation === this.incarnation;
    return isVacant ? 0 : SCHEDULER_SILENCE;
  }
}

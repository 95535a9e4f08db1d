import {Writable} from 'node:stream';
import {DecisionLog} from '../common/batch/scheduler_state.js';
import {Clock, Millis} from '../common/base/clock.js';

/** Lines are written together after this time. */
const WRITE_INTERVAL: Millis = 100;

/** Most lines a second; the rest is counted and reported. */
const LINES_PER_SECOND = 500;

/** Bytes that may wait for a slow reader before lines are dropped. */
const BUFFERED_BYTES = 1_000_000;

/**
 * Writes one JSON line for each decision. The volume is bounded and a slow
 * reader never blocks the process: lines beyond the bounds are dropped and
 * their number is written with the next line that fits.
 */
export class JsonDecisionLog implements DecisionLog {
  private lines: string[] = [];
  private dropped = 0;
  private budget = LINES_PER_SECOND;
  private budgetAt: Millis = 0;

  constructor(
    private readonly output: Writable,
    private readonly wallClock: Clock,
    private readonly part: string,
  ) {
    setInterval(() => this.flush(), WRITE_INTERVAL).unref();
  }

  decide(decision: string, fields: Readonly<Record<string, unknown>>): void {
    const now = this.wallClock.now();
    this.refill(now);
    if (this.budget < 1) {
      this.dropped++;
      return;
    }
    this.budget--;
    const time = now;
    const line = {time, part: this.part, decision, ...fields};
    this.lines.push(JSON.stringify(line));
  }

  /** Writes what is waiting. */
  flush(): void {
    if (this.output.writableLength > BUFFERED_BYTES) {
      this.dropped += this.lines.length;
      this.lines = [];
      return;
    }
    if (this.dropped > 0 && this.budget >= 1) {
      const {dropped} = this;
      this.dropped = 0;
      this.decide('lines-dropped', {dropped});
    }
    if (this.lines.length === 0) return;
    this.output.write(this.lines.join('\n') + '\n');
    this.lines = [];
  }

  private refill(now: Millis): void {
    const passed = Math.max(0, now - this.budgetAt);
    this.budgetAt = now;
    const earned = (passed * LINES_PER_SECOND) / 1000;
    this.budget = Math.min(LINES_PER_SECOND, this.budget + earned);
  }
}

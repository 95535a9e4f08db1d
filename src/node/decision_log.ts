import {Writable} from 'node:stream';
import {DecisionLog} from '../common/batch/scheduler_state.js';
import {Clock, Millis} from '../common/base/clock.js';
import {LineRateLimiter} from './line_rate_limiter.js';

/** Interval at which collected lines are written. */
const WRITE_INTERVAL_MS: Millis = 100;

/** Lines above this rate are dropped; their number is written to the log. */
const MAX_LINES_PER_SECOND = 500;

/**
 * Additional lines for each kind of decision. Rare kinds, such as the start of
 * a term, coincide with bursts of frequent ones and must not be dropped then.
 */
const MAX_LINES_PER_SECOND_PER_KIND = 20;

/** When the output buffers more than this, lines are dropped. */
const MAX_BUFFERED_BYTES = 1_000_000;

/**
 * Writes one JSON line for each decision. The rate of lines is limited, and a
 * slow reader never blocks the process: lines over the limits are dropped, and
 * a `lines-dropped` line gives their number at the next write.
 */
export class JsonDecisionLog implements DecisionLog {
  private pendingLines: string[] = [];
  private dropped = 0;
  private readonly limiter = new LineRateLimiter(MAX_LINES_PER_SECOND);
  private readonly kindLimiters = new Map<string, LineRateLimiter>();

  constructor(
    private readonly output: Writable,
    private readonly wallClock: Clock,
    private readonly part: string,
  ) {
    setInterval(() => this.flush(), WRITE_INTERVAL_MS).unref();
  }

  decide(decision: string, fields: Readonly<Record<string, unknown>>): void {
    const time = this.wallClock.now();
    if (
      !this.limiter.tryAcquire(time) &&
      !this.limiterOfKind(decision).tryAcquire(time)
    ) {
      this.dropped++;
      return;
    }
    const line = {time, part: this.part, decision, ...fields};
    this.pendingLines.push(JSON.stringify(line));
  }

  /** Writes the pending lines, or drops them if the output is blocked. */
  flush(): void {
    if (this.output.writableLength > MAX_BUFFERED_BYTES) {
      this.dropped += this.pendingLines.length;
      this.pendingLines = [];
      return;
    }
    if (this.dropped > 0) {
      const {dropped} = this;
      this.dropped = 0;
      this.decide('lines-dropped', {dropped});
    }
    if (this.pendingLines.length === 0) return;
    this.output.write(this.pendingLines.join('\n') + '\n');
    this.pendingLines = [];
  }

  private limiterOfKind(decision: string): LineRateLimiter {
    let limiter = this.kindLimiters.get(decision);
    if (limiter === undefined) {
      limiter = new LineRateLimiter(MAX_LINES_PER_SECOND_PER_KIND);
      this.kindLimiters.set(decision, limiter);
    }
    return limiter;
  }
}

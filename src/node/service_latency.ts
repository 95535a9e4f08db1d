import {build, Histogram} from 'hdr-histogram-js';
import {Millis} from '../common/base/clock.js';

/** Answers after which a window is closed. */
const WINDOW_SAMPLES = 1000;

/** Answers before a percentile is worth anything. */
const MIN_SAMPLES = 50;

/** Longest latency that is told apart, in ms. */
const LONGEST_MS = 600_000;

/** Latencies of the latest answers of one service, for hedging. */
export class ServiceLatency {
  private current = newHistogram();
  private last: Histogram | undefined;

  observe(latency: Millis): void {
    this.current.recordValue(Math.min(LONGEST_MS, Math.max(1, latency)));
    if (this.current.totalCount < WINDOW_SAMPLES) return;
    const old = this.last ?? newHistogram();
    this.last = this.current;
    old.reset();
    this.current = old;
  }

  /** 95th percentile; undefined until enough answers were seen. */
  get p95(): Millis | undefined {
    const window = this.last ?? this.current;
    if (window.totalCount < MIN_SAMPLES) return undefined;
    return window.getValueAtPercentile(95);
  }
}

function newHistogram(): Histogram {
  return build({
    highestTrackableValue: LONGEST_MS,
    numberOfSignificantValueDigits: 2,
  });
}

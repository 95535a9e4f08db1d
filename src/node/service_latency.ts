import {build, Histogram} from 'hdr-histogram-js';
import {Millis} from '../common/base/clock.js';

/** Number of responses in a window. */
const WINDOW_SAMPLES = 1000;

/** Minimum number of responses for a meaningful percentile. */
const MIN_SAMPLES = 50;

/** Maximum recorded latency; higher values are counted as this one. */
const MAX_LATENCY_MS = 600_000;

/** Latencies of the latest responses of one service, for the hedging delay. */
export class ServiceLatency {
  private current = newHistogram();
  private previous: Histogram | undefined;

  /** Records the time in milliseconds to the start of a response. */
  observe(latency: Millis): void {
    this.current.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, latency)));
    if (this.current.totalCount < WINDOW_SAMPLES) return;
    const oldest = this.previous ?? newHistogram();
    this.previous = this.current;
    oldest.reset();
    this.current = oldest;
  }

  /** 95th percentile in milliseconds; undefined until there is enough data. */
  get p95(): Millis | undefined {
    const window = this.previous ?? this.current;
    if (window.totalCount < MIN_SAMPLES) return undefined;
    return window.getValueAtPercentile(95);
  }
}

function newHistogram(): Histogram {
  return build({
    highestTrackableValue: MAX_LATENCY_MS,
    numberOfSignificantValueDigits: 2,
  });
}

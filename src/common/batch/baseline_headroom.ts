import {Millis, SECOND} from '../base/clock.js';

/** Headroom assumed without recent samples: latency at half of the target. */
const DEFAULT_HEADROOM = 2;

/** Time constants of the exponential smoothing of level and trend. */
const LEVEL_TIME_MS: Millis = 400;
const TREND_TIME_MS: Millis = 1500;

/** Lower bound of the interval by which a sample is weighted. */
const MIN_INTERVAL_MS: Millis = 30;

/** Maximum absolute trend, in headroom per second. */
const MAX_TREND_PER_SECOND = 1;

/** Age of the last sample after which level and trend are discarded. */
const MAX_SAMPLE_AGE_MS: Millis = 3 * SECOND;

/**
 * Estimates the headroom that the tasks of a serving step would have without
 * best-effort tasks. All tasks of a step have a similar load, which changes
 * slowly compared with the interval of reports. So their samples are combined
 * by double exponential smoothing into one level and one trend.
 */
export class BaselineHeadroom {
  private level = DEFAULT_HEADROOM;
  private trendPerSecond = 0;
  private sampledAt: Millis = -Infinity;

  /**
   * Adds a sample.
   *
   * @param headroom headroom of one task plus its loss to best-effort tasks.
   */
  observe(headroom: number, now: Millis): void {
    const passed = now - this.sampledAt;
    if (passed > MAX_SAMPLE_AGE_MS) {
      this.level = headroom;
      this.trendPerSecond = 0;
      this.sampledAt = now;
      return;
    }
    // Tasks may report at the same time, and an interval of 0 has no trend.
    const interval = Math.max(passed, MIN_INTERVAL_MS);
    const expected = this.level + (this.trendPerSecond * passed) / SECOND;
    const residual = headroom - expected;
    const levelGain = 1 - Math.exp(-interval / LEVEL_TIME_MS);
    const trendGain = 1 - Math.exp(-interval / TREND_TIME_MS);
    this.level = expected + levelGain * residual;
    const change = (levelGain * residual * SECOND) / interval;
    const trend = this.trendPerSecond + trendGain * change;
    this.trendPerSecond = Math.min(
      MAX_TREND_PER_SECOND,
      Math.max(-MAX_TREND_PER_SECOND, trend),
    );
    this.sampledAt = now;
  }

  /** Change of the headroom per second; 0 without recent samples. */
  trend(now: Millis): number {
    return now - this.sampledAt > MAX_SAMPLE_AGE_MS ? 0 : this.trendPerSecond;
  }

  /** Lowest headroom expected in the time from `now` to `now + ahead`. */
  forecast(now: Millis, ahead: Millis): number {
    const age = now - this.sampledAt;
    if (age > MAX_SAMPLE_AGE_MS) return DEFAULT_HEADROOM;
    const first = this.level + (this.trendPerSecond * age) / SECOND;
    const last = first + (this.trendPerSecond * ahead) / SECOND;
    return Math.min(first, last);
  }
}

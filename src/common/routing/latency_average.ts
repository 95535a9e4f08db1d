import {Millis, SECOND} from '../base/clock.js';

/**
 * Time constant of the exponential decay. In the simulation of router.test.ts
 * 100 ms raises the p99 by a sixth and 300 ms to 10 s give the same p99; with
 * 3 s a target that failed once gets requests again within seconds.
 */
export const LATENCY_DECAY_MS: Millis = 3 * SECOND;

/**
 * Peak-sensitive exponentially weighted moving average (peak EWMA) of latencies
 * in milliseconds. A sample above the average replaces it at once; a lower one
 * reduces it gradually. Without samples the value decays to a baseline, so that
 * a target avoided because of one slow response is tried again.
 */
export class LatencyAverage {
  private average: Millis = 0;
  private sampledAt: Millis | undefined;

  get hasSamples(): boolean {
    return this.sampledAt !== undefined;
  }

  observe(sample: Millis, now: Millis): void {
    if (this.sampledAt === undefined || sample >= this.average) {
      this.average = sample;
    } else {
      const decay = decayFactor(now - this.sampledAt);
      this.average = sample + (this.average - sample) * decay;
    }
    this.sampledAt = now;
  }

  /**
   * Returns the average, decayed towards `baseline` by the time since the last
   * sample.
   */
  value(now: Millis, baseline: Millis): Millis {
    if (this.sampledAt === undefined) return baseline;
    const decay = decayFactor(now - this.sampledAt);
    return baseline + (this.average - baseline) * decay;
  }
}

function decayFactor(age: Millis): number {
  return Math.exp(-Math.max(0, age) / LATENCY_DECAY_MS);
}

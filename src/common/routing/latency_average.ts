import {Millis, SECOND} from '../base/clock.js';

/**
 * Time over which an old sample loses most of its weight. Long enough to cover
 * tens of requests of a slow target, short enough to forget a passing spike
 * before the load shifts again.
 */
export const LATENCY_MEMORY_MS: Millis = 10 * SECOND;

/**
 * Peak-sensitive moving average: a higher sample replaces the average at once,
 * a lower one only pulls it down with time. Without samples it returns to a
 * resting value that the reader gives, so that a target that is avoided because
 * of one slow answer is tried again.
 */
export class LatencyAverage {
  private average: Millis = 0;
  private sampledAt: Millis | undefined;

  get sampled(): boolean {
    return this.sampledAt !== undefined;
  }

  observe(sample: Millis, now: Millis): void {
    if (this.sampledAt === undefined || sample >= this.average) {
      this.average = sample;
    } else {
      const kept = weight(now - this.sampledAt, LATENCY_MEMORY_MS);
      this.average = sample + (this.average - sample) * kept;
    }
    this.sampledAt = now;
  }

  /** Returns the average, moved towards `resting` by the time without samples. */
  value(
    now: Millis,
    resting: Millis,
    memory: Millis = LATENCY_MEMORY_MS,
  ): Millis {
    if (this.sampledAt === undefined) return resting;
    const kept = weight(now - this.sampledAt, memory);
    return resting + (this.average - resting) * kept;
  }
}

function weight(age: Millis, memory: Millis): number {
  return Math.exp(-Math.max(0, age) / memory);
}

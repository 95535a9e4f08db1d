import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Millis} from '../base/clock.js';

interface ScheduledEvent {
  readonly time: Millis;
  readonly run: () => void;
}

/** A discrete-event simulation with a seeded random number generator. */
export class Simulation {
  /** Simulated time. */
  now: Millis = 0;
  /** Future events, earliest first; those of one time in order of insertion. */
  private readonly events: ScheduledEvent[] = [];
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Random number from 0 to 1, without 1. */
  random(): number {
    return uniformFloat64(this.generator);
  }

  /** Returns true with the given probability. */
  chance(probability: number): boolean {
    return this.random() < probability;
  }

  /** Random number from `low` to `high`, without `high`. */
  between(low: number, high: number): number {
    return low + this.random() * (high - low);
  }

  /** Random element of a non-empty list. */
  pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.random() * values.length)];
  }

  /** Runs `run` after `delay` milliseconds. */
  after(delay: Millis, run: () => void): void {
    const event = {time: this.now + Math.max(0, delay), run};
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.events[middle].time <= event.time) low = middle + 1;
      else high = middle;
    }
    this.events.splice(low, 0, event);
  }

  /** Runs `run` every `period` milliseconds, first after one period. */
  every(period: Millis, run: () => void): void {
    this.after(period, () => {
      run();
      this.every(period, run);
    });
  }

  /** Runs all events up to and including `time`. */
  runUntil(time: Millis): void {
    while (this.events.length > 0 && this.events[0].time <= time) {
      const event = this.events.shift()!;
      this.now = event.time;
      event.run();
    }
    this.now = time;
  }
}

import {Clock, Millis} from './clock.js';

/** A clock that is advanced by its caller, for simulations and tests. */
export class ManualClock implements Clock {
  constructor(private time: Millis = 0) {}

  now(): Millis {
    return this.time;
  }

  /** Advances the time by `duration` milliseconds. */
  advance(duration: Millis): void {
    this.time += duration;
  }

  /** Advances the time to `time`, in milliseconds; ignores an earlier time. */
  advanceTo(time: Millis): void {
    this.time = Math.max(this.time, time);
  }
}

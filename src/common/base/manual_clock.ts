import {Clock, Millis} from './clock.js';

/** A clock that moves only when told to, for simulations and tests. */
export class ManualClock implements Clock {
  constructor(private time: Millis = 0) {}

  now(): Millis {
    return this.time;
  }

  /** Moves the time forward by `duration` milliseconds. */
  advance(duration: Millis): void {
    this.time += duration;
  }

  /** Moves the time forward to `time`; an earlier time is ignored. */
  advanceTo(time: Millis): void {
    this.time = Math.max(this.time, time);
  }
}

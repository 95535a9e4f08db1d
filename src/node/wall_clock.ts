import {Clock, Millis} from '../common/base/clock.js';

/** Unix time in milliseconds since 1970; may jump forwards or backwards. */
export class WallClock implements Clock {
  now(): Millis {
    return Date.now();
  }
}

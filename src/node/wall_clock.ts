import {Clock, Millis} from '../common/base/clock.js';

/** The time of day in ms since 1970; may jump either way. */
export class WallClock implements Clock {
  now(): Millis {
    return Date.now();
  }
}

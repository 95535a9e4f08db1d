import {performance} from 'node:perf_hooks';
import {Clock, Millis} from '../common/base/clock.js';

/** Monotonic clock of the process; advances while the process is stopped. */
export class SystemClock implements Clock {
  now(): Millis {
    return performance.now();
  }
}

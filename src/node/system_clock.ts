import {performance} from 'node:perf_hooks';
import {Clock, Millis} from '../common/base/clock.js';

/** The process's monotonic clock; goes on while the process is stopped. */
export class SystemClock implements Clock {
  now(): Millis {
    return performance.now();
  }
}

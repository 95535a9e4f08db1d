import {Clock, Millis} from './clock.js';

/**
 * Difference between the progress of both clocks from which on it counts as a
 * suspension; smaller ones are corrections of the wall clock.
 */
const MIN_SUSPENSION_MS: Millis = 100;

/**
 * A clock for the end of permissions: it never runs behind real time. A steady
 * clock does not count the time for which a machine was suspended; where the
 * wall clock has advanced further, the difference is added. A wall clock that is
 * set forward therefore ends a permission early, which is safe; one that is set
 * back has no effect. Not for the end of permissions that others have.
 */
export class SuspendAwareClock implements Clock {
  private lastSteady: Millis;
  private lastWall: Millis;
  private suspendedMs: Millis = 0;

  constructor(
    private readonly steady: Clock,
    private readonly wall: Clock,
  ) {
    this.lastSteady = steady.now();
    this.lastWall = wall.now();
  }

  now(): Millis {
    const steady = this.steady.now();
    const wall = this.wall.now();
    const gap = wall - this.lastWall - (steady - this.lastSteady);
    if (gap > MIN_SUSPENSION_MS) this.suspendedMs += gap;
    this.lastSteady = steady;
    this.lastWall = wall;
    return steady + this.suspendedMs;
  }
}

/** A point in time or a duration, in milliseconds. */
export type Millis = number;

/** Monotonic clock; only differences between its times are meaningful. */
export interface Clock {
  /** Returns the time in milliseconds since an arbitrary start. */
  now(): Millis;
}

export const SECOND: Millis = 1000;

export const MINUTE: Millis = 60 * SECOND;

export const HOUR: Millis = 60 * MINUTE;

/** A point in time or a duration, in milliseconds. */
export type Millis = number;

/** Source of the current time. Monotonic; only differences have a meaning. */
export interface Clock {
  /** Returns the time in milliseconds since an arbitrary start. */
  now(): Millis;
}

/** One second in milliseconds. */
export const SECOND: Millis = 1000;

/** One minute in milliseconds. */
export const MINUTE: Millis = 60 * SECOND;

/** One hour in milliseconds. */
export const HOUR: Millis = 60 * MINUTE;

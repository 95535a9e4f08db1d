/** An amount of worker resources: required, allocated or available. */
export interface Size {
  /** Number of processor cores; may be fractional. */
  readonly processors: number;
  /** Memory in MB. */
  readonly memoryMb: number;
  /** Number of accelerators, an integer. */
  readonly accelerators: number;
}

export const EMPTY_SIZE: Size = {processors: 0, memoryMb: 0, accelerators: 0};

export function addSizes(a: Size, b: Size): Size {
  return {
    processors: a.processors + b.processors,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

export function subtractSizes(a: Size, b: Size): Size {
  return {
    processors: a.processors - b.processors,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
  };
}

/** In cores; absorbs rounding errors in sums of fractional processors. */
const PROCESSOR_TOLERANCE = 1e-9;

/** Whether `size` is at most `available` in every dimension. */
export function fits(size: Size, available: Size): boolean {
  return (
    size.processors <= available.processors + PROCESSOR_TOLERANCE &&
    size.memoryMb <= available.memoryMb &&
    size.accelerators <= available.accelerators
  );
}

/**
 * Largest fraction of `total` that `size` takes in any dimension: 0 to 1 when
 * it fits, Infinity when `total` lacks a required dimension entirely.
 */
export function dominantShare(size: Size, total: Size): number {
  const share = (part: number, whole: number) =>
    whole > 0 ? part / whole : part > 0 ? Infinity : 0;
  return Math.max(
    share(size.processors, total.processors),
    share(size.memoryMb, total.memoryMb),
    share(size.accelerators, total.accelerators),
  );
}

/** Median and range over seeds. */
export interface Spread {
  readonly median: number;
  readonly least: number;
  readonly most: number;
}

export function spreadOf(values: readonly number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted.length >> 1;
  const median =
    sorted.length % 2 === 1
      ? sorted[middle]
      : (sorted[middle - 1] + sorted[middle]) / 2;
  return {median, least: sorted[0], most: sorted[sorted.length - 1]};
}

function round(value: number): string {
  if (!Number.isFinite(value)) return String(value);
  const digits = Math.abs(value) >= 100 ? 0 : Math.abs(value) >= 10 ? 1 : 3;
  return value.toFixed(digits);
}

/** `median [least–most]`. */
export function formatSpread({median, least, most}: Spread): string {
  return `${round(median)} [${round(least)}–${round(most)}]`;
}

import {HOUR, Millis, MINUTE, SECOND} from '../base/clock.js';

const DURATION_UNITS: Readonly<Record<string, number>> = {
  ms: 1,
  s: SECOND,
  m: MINUTE,
  h: HOUR,
};

/** Decimal units, as the platform states worker memory. */
const MEMORY_UNITS: Readonly<Record<string, number>> = {
  MB: 1,
  GB: 1000,
  TB: 1_000_000,
};

/** How a duration may be written. */
export const ACCEPTED_DURATION =
  'a number of ms or text with a unit (ms, s, m, h), such as 250ms, 3s, 5m or 2h';

/** How an amount of memory may be written. */
export const ACCEPTED_MEMORY =
  'a number of MB or text with a unit (MB, GB, TB), such as 512MB or 250GB';

function parseAmount(
  value: unknown,
  units: Readonly<Record<string, number>>,
): number | undefined {
  if (typeof value === 'number') {
    return Number.isFinite(value) ? value : undefined;
  }
  if (typeof value !== 'string') return undefined;
  const match = /^(\d+(?:\.\d+)?) ?([A-Za-z]+)$/.exec(value);
  if (match === null || !Object.hasOwn(units, match[2])) return undefined;
  const amount = Number(match[1]) * units[match[2]];
  return Number.isFinite(amount) ? amount : undefined;
}

/** Reads a duration; undefined when it is not one of the accepted forms. */
export function parseDuration(value: unknown): Millis | undefined {
  return parseAmount(value, DURATION_UNITS);
}

/** Reads an amount of memory in MB; undefined when it is not accepted. */
export function parseMemory(value: unknown): number | undefined {
  return parseAmount(value, MEMORY_UNITS);
}

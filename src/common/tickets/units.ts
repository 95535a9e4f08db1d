import {HOUR, Millis, MINUTE, SECOND} from '../base/clock.js';

/** Units of duration, in milliseconds. */
const DURATION_UNITS: Readonly<Record<string, number>> = {
  ms: 1,
  s: SECOND,
  m: MINUTE,
  h: HOUR,
};

/** Units of memory in MB; decimal, as in the platform's list of workers. */
const MEMORY_UNITS: Readonly<Record<string, number>> = {
  MB: 1,
  GB: 1000,
  TB: 1_000_000,
};

/** Describes the accepted forms of a duration, for validation messages. */
export const ACCEPTED_DURATION =
  'a number of ms or text with a unit (ms, s, m, h), such as 250ms, 3s, 5m or 2h';

/** Describes the accepted forms of an amount of memory, likewise. */
export const ACCEPTED_MEMORY =
  'a number of MB or text with a unit (MB, GB, TB), such as 512MB or 250GB';

/** Parses a number, or text such as `1.5 GB`; undefined for other values. */
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

/** Parses a duration into milliseconds; undefined for other forms. */
export function parseDuration(value: unknown): Millis | undefined {
  return parseAmount(value, DURATION_UNITS);
}

/** Parses an amount of memory into MB; undefined for other forms. */
export function parseMemory(value: unknown): number | undefined {
  return parseAmount(value, MEMORY_UNITS);
}

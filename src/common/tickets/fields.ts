import {isIP} from 'node:net';
import {z} from 'zod';
import {
  ACCEPTED_DURATION,
  ACCEPTED_MEMORY,
  parseDuration,
  parseMemory,
} from './units.js';

/*
 * Field schemas for hand-written input. The message of each zod issue only
 * describes the accepted values; `validate` in checked_yaml.ts turns the issue
 * into a fault that also says what is wrong with the given value.
 */

/** Names of services, job classes, teams, workers and instances. */
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

const ACCEPTED_NAME =
  'a name of 1 to 63 letters, digits, ".", "_" or "-" that starts with a letter or digit';

/** An object's name; the pattern excludes `__proto__` and slashes. */
export function nameField() {
  return z
    .string({error: ACCEPTED_NAME})
    .regex(NAME_PATTERN, {error: ACCEPTED_NAME});
}

/**
 * One line of 1 to `max` characters. Control characters are rejected because
 * the text is printed to terminals and logs.
 */
export function singleLineField(max: number) {
  const error = `one line of 1 to ${max} characters without control characters`;
  return z
    .string({error})
    .min(1, {error})
    .max(max, {error})
    .regex(/^\P{Cc}*$/u, {error});
}

/** Like `singleLineField`, but also accepts line breaks and tabs. */
export function multilineField(max: number) {
  const error = `text of 1 to ${max} characters without control characters`;
  return z
    .string({error})
    .min(1, {error})
    .max(max, {error})
    .regex(/^(?:\P{Cc}|[\t\r\n])*$/u, {error});
}

/** One of the strings in `values`. */
export function choiceField<const T extends string>(values: readonly T[]) {
  return z.enum(values as [T, ...T[]], {
    error: `one of ${values.join(', ')}`,
  });
}

/** `true` or `false`. */
export function booleanField() {
  return z.boolean({error: 'true or false'});
}

/** A finite number from `min` up to `max`. */
export function numberField(min: number, max = Infinity) {
  const error =
    max === Infinity
      ? `a finite number of at least ${min}`
      : `a number from ${min} to ${max}`;
  const field = z.number({error}).min(min, {error});
  return max === Infinity ? field : field.max(max, {error});
}

/** A finite number above 0. */
export function positiveNumberField() {
  const error = 'a finite number above 0';
  return z.number({error}).positive({error});
}

/** A whole number from `min` up to `max`. */
export function integerField(min: number, max = Number.MAX_SAFE_INTEGER) {
  const error =
    max === Number.MAX_SAFE_INTEGER
      ? `a whole number of at least ${min}`
      : `a whole number from ${min} to ${max}`;
  return z.int({error}).min(min, {error}).max(max, {error});
}

/** A number or text that `parse` converts to a number. */
function amountField(
  accepted: string,
  parse: (value: unknown) => number | undefined,
  allowed: (amount: number) => boolean,
) {
  return z
    .union([z.number(), z.string()], {error: accepted})
    .transform((value, context) => {
      const amount = parse(value);
      if (amount === undefined || !allowed(amount)) {
        context.issues.push({code: 'custom', message: accepted, input: value});
        return z.NEVER;
      }
      return amount;
    });
}

/** A duration above 0, as a number of milliseconds or text with a unit. */
export function durationField() {
  return amountField(
    `a duration above 0: ${ACCEPTED_DURATION}`,
    parseDuration,
    amount => amount > 0,
  );
}

/** Like `durationField`, but also accepts 0. */
export function nonNegativeDurationField() {
  return amountField(
    `a duration of 0 or more: ${ACCEPTED_DURATION}`,
    parseDuration,
    amount => amount >= 0,
  );
}

/** An amount of memory, as a number of MB or text with a unit. */
export function memoryField() {
  return amountField(
    `0 or more: ${ACCEPTED_MEMORY}`,
    parseMemory,
    amount => amount >= 0,
  );
}

const ACCEPTED_IP =
  'an IP number such as 10.0.0.7 or fd00::7; host names are not resolved';

const ACCEPTED_URL =
  'an http URL by IP number such as http://10.0.0.7:7200; host names are not resolved';

/** An IPv4 or IPv6 address. */
export function ipAddressField() {
  return z
    .string({error: ACCEPTED_IP})
    .refine(host => isIP(host) !== 0, {error: ACCEPTED_IP});
}

function isHttpUrlWithIpHost(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const url = new URL(text);
  return (
    url.protocol === 'http:' &&
    isIP(url.hostname.replace(/^\[(.*)\]$/, '$1')) !== 0 &&
    url.username === '' &&
    url.search === '' &&
    url.hash === ''
  );
}

/** An http URL with an IP address as host; trailing slashes are removed. */
export function urlField() {
  return z
    .string({error: ACCEPTED_URL})
    .refine(isHttpUrlWithIpHost, {error: ACCEPTED_URL})
    .transform(text => text.replace(/\/+$/, ''));
}

/** A mapping with the fields of `shape`; unknown fields are errors. */
export function strictFields<T extends z.ZodRawShape>(shape: T) {
  const fieldNames = Object.keys(shape).join(', ');
  return z.strictObject(shape, {
    error: issue =>
      issue.code === 'unrecognized_keys'
        ? `only the fields ${fieldNames}`
        : `a mapping with the fields ${fieldNames}`,
  });
}

/** A mapping from names, as in `nameField`, to values. */
export function mapField<T extends z.ZodType>(value: T) {
  const mapSchema = z.record(nameField(), value, {
    error: issue =>
      issue.code === 'invalid_key' ? ACCEPTED_NAME : 'a mapping from names',
  });
  // z.record drops the key `__proto__` without an issue, so check for it first.
  return z
    .custom<z.input<typeof mapSchema>>(
      given =>
        typeof given !== 'object' ||
        given === null ||
        !Object.hasOwn(given, '__proto__'),
      {error: ACCEPTED_NAME, path: ['__proto__']},
    )
    .pipe(mapSchema);
}

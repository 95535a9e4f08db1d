import {createHash} from 'node:crypto';
import {JobId, Submission} from './types.js';

/** Hex digits of the key's digest in a job id; 16 digits are 64 bits. */
const DIGEST_HEX_DIGITS = 16;

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Id of the job with the idempotency key `key`. */
export function jobIdOf(dataCentre: string, key: string): JobId {
  return `${dataCentre}/${sha256(key).slice(0, DIGEST_HEX_DIGITS)}`;
}

/** Replacer for `JSON.stringify` that sorts the fields of objects. */
function sortKeys(unusedKey: string, value: unknown): unknown {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    return value;
  }
  const entries = Object.entries(value);
  return Object.fromEntries(entries.sort(([a], [b]) => (a < b ? -1 : 1)));
}

/** JSON that is the same for any order of the fields of a value. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, sortKeys);
}

/** Digest of a request body; it does not depend on the order of fields. */
export function digestOfBody(body: unknown): string {
  return sha256(canonicalJson(body));
}

/** Digest that tells a retry of a submission from a different submission. */
export function digestOf(submission: Submission): string {
  return submission.bodyDigest ?? digestOfBody(submission);
}

import {ServerResponse} from 'node:http';
import {Either} from 'purify-ts';
import {Refusal, refuse, RefusalKind} from '../common/base/refusal.js';
import {formatFaults} from '../common/tickets/checked_yaml.js';
import {Fault} from '../common/tickets/types.js';
import {Exchange, RefusalError, sendJson, sendRefusal} from './json_server.js';

/** Refusal of an invalid request body; `faults` lists every fault found. */
export interface ValidationRefusal extends Refusal {
  readonly faults: readonly Fault[];
}

/**
 * Builds the refusal of an invalid request body.
 *
 * @param documentKind kind of document that the body should have been.
 * @param reference page that describes the document.
 */
export function validationRefusal(
  documentKind: string,
  faults: readonly Fault[],
  reference: string,
): ValidationRefusal {
  const message = `The ${documentKind} is not valid:\n${formatFaults(faults)}`;
  const remedy = `Correct the named fields; see ${reference}.`;
  return {...refuse(RefusalKind.BAD_REQUEST, message, remedy), faults};
}

/**
 * Sends the value as a JSON response, or the refusal.
 *
 * @param status HTTP status of a response with a value.
 * @param body converts the value to the response body.
 */
export function sendResult<T>(
  response: ServerResponse,
  result: Either<Refusal, T>,
  status: number | ((value: T) => number) = 200,
  body: (value: T) => unknown = value => value,
): void {
  result.caseOf({
    Left: refusal => sendRefusal(response, refusal),
    Right: value =>
      sendJson(
        response,
        typeof status === 'number' ? status : status(value),
        body(value),
      ),
  });
}

/**
 * Reads the query parameters of a request, each of which may be left out.
 *
 * @throws RefusalError when a parameter is unknown or given twice.
 */
export function readQuery<N extends string>(
  exchange: Exchange,
  names: readonly N[],
): Readonly<Partial<Record<N, string>>> {
  const query: Partial<Record<N, string>> = {};
  for (const [name, value] of exchange.url.searchParams) {
    const knownName = names.find(candidate => candidate === name);
    if (knownName === undefined || query[knownName] !== undefined) {
      throw invalidParameter(
        name,
        knownName === undefined ? 'is not known' : 'is given twice',
        names.length === 0
          ? 'no parameters'
          : `one each of ${names.join(', ')}`,
      );
    }
    query[knownName] = value;
  }
  return query;
}

/** Builds the error for an invalid query or path parameter. */
export function invalidParameter(
  name: string,
  message: string,
  accepted: string,
): RefusalError {
  return new RefusalError(
    refuse(
      RefusalKind.BAD_REQUEST,
      `The parameter ${name} ${message}; accepted: ${accepted}.`,
      'Correct the address of the request.',
    ),
  );
}

/**
 * Parses a query or path parameter that is a non-negative integer.
 *
 * @throws RefusalError when it is not an integer from `min` to `max`.
 */
export function parseInteger(
  name: string,
  text: string,
  min: number,
  max: number,
): number {
  const value = /^\d{1,16}$/.test(text) ? Number(text) : NaN;
  if (value >= min && value <= max) return value;
  throw invalidParameter(
    name,
    `cannot be ${JSON.stringify(text)}`,
    `a whole number from ${min} to ${max}`,
  );
}

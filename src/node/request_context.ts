import {randomUUID} from 'node:crypto';
import {IncomingMessage} from 'node:http';
import {Either, Left, Right} from 'purify-ts';
import {HOUR, Millis, MINUTE} from '../common/base/clock.js';
import {refuse, Refusal, RefusalKind} from '../common/base/refusal.js';
import {forwardedRequestHeaders} from './proxy_headers.js';

/** Maximum time to the deadline in the header `x-deadline-ms`. */
export const MAX_DEADLINE_MS: Millis = 10 * MINUTE;

/**
 * Maximum age of a non-idempotent request. Claims are kept for 24 h; the
 * remaining hour allows for clock differences.
 */
export const MAX_REQUEST_AGE_MS: Millis = 23 * HOUR;

/** How far the creation time of a request may be in the future. */
export const MAX_REQUEST_LEAD_MS: Millis = 1 * HOUR;

/** Maximum length of request ids and idempotency keys in characters. */
const MAX_ID_LENGTH = 200;

/** A request's properties, as read from its request line and headers. */
export interface RequestContext {
  readonly id: string;
  readonly service: string;
  readonly method: string;
  /** Path and query of the request to the target. */
  readonly path: string;
  readonly idempotent: boolean;
  /** Key of the claim; undefined for idempotent requests. */
  readonly claimKey: string | undefined;
  /** Local time in milliseconds. */
  readonly arrivedAt: Millis;
  /** Local time in milliseconds after which a response is useless. */
  readonly deadline: Millis;
  /** Headers to send to the target. */
  readonly headers: Readonly<Record<string, string | string[]>>;
}

/** Input of `readContext`. */
export interface ContextInput {
  readonly request: IncomingMessage;
  readonly url: URL;
  readonly service: string;
  /** Time to the deadline, for requests without `x-deadline-ms`. */
  readonly defaultDeadlineMs: Millis;
  /** Local time in milliseconds. */
  readonly now: Millis;
  /** Unix time in milliseconds. */
  readonly unixNow: Millis;
}

/** Methods that are idempotent unless `x-idempotent: false` is sent. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);

const API_PREFIX = '/v1';

/** Returns the caller's request id, or a new one if missing or too long. */
export function readRequestId(request: IncomingMessage): string {
  const given = firstHeaderValue(request, 'x-request-id');
  if (given === undefined || given === '' || given.length > MAX_ID_LENGTH) {
    return randomUUID();
  }
  return given;
}

/** Reads the headers. The refusal is a `bad_request` that names the error. */
export function readContext(
  input: ContextInput,
  id: string,
): Either<Refusal, RequestContext> {
  const {request, url, now} = input;
  const method = request.method ?? 'GET';
  return readIdempotent(request, method).chain(idempotent =>
    readDeadline(input).chain(deadlineMs =>
      readClaimKey(input, idempotent).map(claimKey => ({
        id,
        service: input.service,
        method,
        path: url.pathname.slice(API_PREFIX.length) + url.search,
        idempotent,
        claimKey,
        arrivedAt: now,
        deadline: now + deadlineMs,
        headers: {
          ...forwardedRequestHeaders(request.headers),
          'x-request-id': id,
        },
      })),
    ),
  );
}

function firstHeaderValue(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function badRequest(message: string, remedy: string): Either<Refusal, never> {
  return Left(refuse(RefusalKind.BAD_REQUEST, message, remedy));
}

function readIdempotent(
  request: IncomingMessage,
  method: string,
): Either<Refusal, boolean> {
  const value = firstHeaderValue(request, 'x-idempotent');
  if (value === undefined) return Right(IDEMPOTENT_METHODS.has(method));
  if (value === 'true') return Right(true);
  if (value === 'false') return Right(false);
  return badRequest(
    'The header x-idempotent has an unknown value.',
    'Send x-idempotent: true or x-idempotent: false.',
  );
}

/** Reads a header of 1 to 15 decimal digits; undefined if it is invalid. */
function readDigits(
  request: IncomingMessage,
  name: string,
): number | undefined {
  const value = firstHeaderValue(request, name);
  return value !== undefined && /^\d{1,15}$/.test(value)
    ? Number(value)
    : undefined;
}

function readDeadline(input: ContextInput): Either<Refusal, Millis> {
  const {request, defaultDeadlineMs} = input;
  if (firstHeaderValue(request, 'x-deadline-ms') === undefined) {
    return Right(defaultDeadlineMs);
  }
  const value = readDigits(request, 'x-deadline-ms');
  if (value === undefined || value < 1 || value > MAX_DEADLINE_MS) {
    return badRequest(
      'The header x-deadline-ms is not a valid number of milliseconds.',
      `Send a whole number from 1 to ${MAX_DEADLINE_MS}, counted from now.`,
    );
  }
  return Right(value);
}

/** Reads the claim key of a non-idempotent request and checks its age. */
function readClaimKey(
  input: ContextInput,
  idempotent: boolean,
): Either<Refusal, string | undefined> {
  if (idempotent) return Right(undefined);
  const {request, service, unixNow} = input;
  const key = firstHeaderValue(request, 'idempotency-key');
  if (key === undefined || key === '' || key.length > MAX_ID_LENGTH) {
    return badRequest(
      'A non-idempotent request needs the header idempotency-key.',
      `Send a key of 1 to ${MAX_ID_LENGTH} characters, the same on each ` +
        'retry, or mark the request with x-idempotent: true.',
    );
  }
  const created = readDigits(request, 'x-request-created');
  if (created === undefined) {
    return badRequest(
      'A non-idempotent request needs the header x-request-created.',
      'Send the Unix time in ms at which the request was first created, the ' +
        'same on each retry.',
    );
  }
  if (unixNow - created > MAX_REQUEST_AGE_MS) {
    return badRequest(
      'The request was created more than 23 hours ago.',
      'Find out whether it was run; if not, send it as a new request with a ' +
        'new idempotency-key.',
    );
  }
  if (created - unixNow > MAX_REQUEST_LEAD_MS) {
    return badRequest(
      'The header x-request-created is more than 1 hour in the future.',
      'Set the clock of the caller, and send Unix time in milliseconds.',
    );
  }
  // Requests to different services may use the same idempotency key.
  return Right(`${service}/${key}`);
}

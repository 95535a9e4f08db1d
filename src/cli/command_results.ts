import {Either, Left, Right} from 'purify-ts';
import {Ran, Refusal, RefusalKind} from '../common/base/refusal.js';
import {formatFaults} from '../common/tickets/checked_yaml.js';
import {Fault} from '../common/tickets/types.js';
import {DaemonResponse, RequestError} from './daemon_client.js';
import {ExitCode} from './exit_code.js';
import {replaceControlCharacters} from './text_table.js';
import {CommandResult} from './types.js';

/** Creates a result with an error message. */
export function errorResult(
  exit: ExitCode,
  text: string,
  data: unknown,
): CommandResult {
  return {exit, data, messages: [{level: 'error', text}]};
}

/** Creates the result for invalid arguments or an invalid file. */
export function badInputResult(message: string, faults?: readonly Fault[]) {
  const data = {error: 'bad_input', message, ...(faults ? {faults} : {})};
  return errorResult(ExitCode.BAD_INPUT, message, data);
}

/** Creates the result for a job or ticket that fails validation. */
export function validationErrorResult(
  subject: string,
  faults: readonly Fault[],
): CommandResult {
  return badInputResult(
    `The ${subject} is not valid:\n${formatFaults(faults)}`,
    faults,
  );
}

/**
 * Creates the result for a request that got no usable response.
 *
 * @param outcomeHint tells the operator how to find out the outcome of a
 *     request that changes something; undefined if the request only reads.
 */
export function requestErrorResult(
  {kind, address, reason}: RequestError,
  outcomeHint?: string,
): CommandResult {
  if (kind === 'broken' && outcomeHint !== undefined) {
    const message =
      `The daemon at ${address} got the request, but its answer did not ` +
      `arrive (${reason}). The outcome is unknown. ${outcomeHint}`;
    return errorResult(ExitCode.UNKNOWN_OUTCOME, message, {
      error: RefusalKind.UNKNOWN_OUTCOME,
      message,
      address,
    });
  }
  const message =
    `No daemon answers at ${address} (${reason}). Start one there, or name ` +
    'another with --daemon http://IP:PORT or JASMINEGAUGE_DAEMON.';
  return errorResult(ExitCode.NO_DAEMON, message, {
    error: 'no_daemon',
    message,
    address,
  });
}

/** Creates the result for an error response of the daemon. */
function refusalResult(
  refusal: Partial<Refusal>,
  status: number,
  outcomeHint?: string,
): CommandResult {
  const parts = [
    replaceControlCharacters(
      refusal.message ?? `The daemon answered with status ${status}.`,
    ),
    replaceControlCharacters(refusal.remedy ?? ''),
  ];
  const isOutcomeUnknown =
    refusal.ran === Ran.UNKNOWN && outcomeHint !== undefined;
  if (isOutcomeUnknown) parts.push(outcomeHint);
  const isBadRequest =
    refusal.error === RefusalKind.BAD_REQUEST ||
    refusal.error === RefusalKind.BODY_TOO_LARGE;
  const exit = isOutcomeUnknown
    ? ExitCode.UNKNOWN_OUTCOME
    : isBadRequest
      ? ExitCode.BAD_INPUT
      : ExitCode.REFUSED;
  return errorResult(exit, parts.filter(Boolean).join(' '), refusal);
}

/**
 * Returns the body of a successful response, or the result that reports the
 * failure.
 *
 * @param outcomeHint see `requestErrorResult`.
 */
export function responseBody<T>(
  response: Either<RequestError, DaemonResponse>,
  outcomeHint?: string,
): Either<CommandResult, T> {
  return response
    .mapLeft(error => requestErrorResult(error, outcomeHint))
    .chain(({status, body}) => {
      const isObject = typeof body === 'object' && body !== null;
      if (status >= 200 && status < 300 && isObject) return Right(body as T);
      return Left(refusalResult(isObject ? body : {}, status, outcomeHint));
    });
}

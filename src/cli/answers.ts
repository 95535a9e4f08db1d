import {Either, Left, Right} from 'purify-ts';
import {Ran, Refusal, RefusalKind} from '../common/base/refusal.js';
import {formatFaults} from '../common/tickets/checked_yaml.js';
import {Fault} from '../common/tickets/types.js';
import {DaemonAnswer, NoAnswer} from './daemon_client.js';
import {ExitCode} from './exit_code.js';
import {printable} from './text_table.js';
import {CommandResult} from './types.js';

/** Builds a result that says what went wrong. */
export function failure(
  exit: ExitCode,
  text: string,
  data: unknown,
): CommandResult {
  return {exit, data, messages: [{level: 'error', text}]};
}

/** Builds the result for arguments or a file with faults. */
export function badInput(message: string, faults?: readonly Fault[]) {
  const data = {error: 'bad_input', message, ...(faults ? {faults} : {})};
  return failure(ExitCode.BAD_INPUT, message, data);
}

/** Builds the result for a file with faults. */
export function faultyFile(
  what: string,
  faults: readonly Fault[],
): CommandResult {
  return badInput(`The ${what} is not valid:\n${formatFaults(faults)}`, faults);
}

/**
 * Builds the result when there is no answer.
 *
 * @param askAgain how to learn the outcome, for a request that changes
 *     something; undefined for a request that only reads.
 */
export function noAnswer(
  {kind, address, reason}: NoAnswer,
  askAgain?: string,
): CommandResult {
  if (kind === 'broken' && askAgain !== undefined) {
    const message =
      `The daemon at ${address} got the request, but its answer did not ` +
      `arrive (${reason}). The outcome is unknown. ${askAgain}`;
    return failure(ExitCode.UNKNOWN, message, {
      error: RefusalKind.UNKNOWN_OUTCOME,
      message,
      address,
    });
  }
  const message =
    `No daemon answers at ${address} (${reason}). Start one there, or name ` +
    'another with --daemon http://IP:PORT or JASMINEGAUGE_DAEMON.';
  return failure(ExitCode.NO_DAEMON, message, {
    error: 'no_daemon',
    message,
    address,
  });
}

function refused(
  refusal: Partial<Refusal>,
  status: number,
  askAgain?: string,
): CommandResult {
  const parts = [
    printable(refusal.message ?? `The daemon answered with status ${status}.`),
    printable(refusal.remedy ?? ''),
  ];
  const unknown = refusal.ran === Ran.UNKNOWN && askAgain !== undefined;
  if (unknown) parts.push(askAgain);
  const badRequest =
    refusal.error === RefusalKind.BAD_REQUEST ||
    refusal.error === RefusalKind.BODY_TOO_LARGE;
  const exit = unknown
    ? ExitCode.UNKNOWN
    : badRequest
      ? ExitCode.BAD_INPUT
      : ExitCode.REFUSED;
  return failure(exit, parts.filter(Boolean).join(' '), refusal);
}

/**
 * Returns the body of a successful answer, or the result to end with.
 *
 * @param askAgain see `noAnswer`.
 */
export function bodyOf<T>(
  answer: Either<NoAnswer, DaemonAnswer>,
  askAgain?: string,
): Either<CommandResult, T> {
  return answer
    .mapLeft(none => noAnswer(none, askAgain))
    .chain(({status, body}) => {
      const isObject = typeof body === 'object' && body !== null;
      if (status >= 200 && status < 300 && isObject) return Right(body as T);
      return Left(refused(isObject ? body : {}, status, askAgain));
    });
}

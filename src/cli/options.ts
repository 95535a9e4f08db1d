import {Either, Left, Right} from 'purify-ts';
import {badInputResult} from './command_results.js';
import {CommandOption, CommandResult} from './types.js';

/** Largest value of `--wait-ms`: 10 minutes. */
const MAX_WAIT_MS = 600_000;

/** Option `--wait-ms` of the commands that apply a ticket. */
export const WAIT_OPTION: CommandOption = {
  value: 'N',
  summary:
    'wait up to N ms until every instance reports the ticket (default 10000)',
};

/** Parses an integer from `min` to `max`, both included. */
export function parseWholeNumber(
  name: string,
  text: string,
  min: number,
  max: number,
): Either<CommandResult, number> {
  const value = /^\d{1,16}$/.test(text) ? Number(text) : NaN;
  if (value >= min && value <= max) return Right(value);
  return Left(
    badInputResult(
      `${name} cannot be ${JSON.stringify(text)}; ` +
        `accepted: a whole number from ${min} to ${max}.`,
    ),
  );
}

/** Parses the value of `--wait-ms`, in milliseconds. */
export function parseWaitMs(
  text: string | undefined,
  defaultMs: number,
): Either<CommandResult, number> {
  if (text === undefined) return Right(defaultMs);
  return parseWholeNumber('--wait-ms', text, 0, MAX_WAIT_MS);
}

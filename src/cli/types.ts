import {Either} from 'purify-ts';
import {Clock, Millis} from '../common/base/clock.js';
import {DaemonClient} from './daemon_client.js';
import {ExitCode} from './exit_code.js';

/** Level of a message to the operator. */
export type MessageLevel = 'success' | 'info' | 'warn' | 'error';

/** Output and exit code of a command. */
export interface CommandResult {
  readonly exit: ExitCode;
  /** Printed on standard output with `--json`, instead of `text`. */
  readonly data: unknown;
  /** Printed on standard output without `--json`. */
  readonly text?: string;
  /** Printed on standard error without `--json`. */
  readonly messages?: readonly {
    readonly level: MessageLevel;
    readonly text: string;
  }[];
}

/** What a command uses apart from its arguments; replaced in tests. */
export interface CommandContext {
  readonly client: DaemonClient;
  readonly clock: Clock;
  sleep(duration: Millis): Promise<void>;
  /** Reads a text file. The error is a message for the operator. */
  readFile(path: string): Either<string, string>;
}

/** Arguments that are valid for the command. */
export interface CommandArguments {
  /** Values of the command's parameters, in order; an optional one is last. */
  readonly parameters: readonly string[];
  /** Values of the options that are set, by camel-case name. */
  readonly options: Readonly<Record<string, string>>;
}

/** An option of a command. Every such option takes a value. */
export interface CommandOption {
  /** Placeholder of the value in the help text. */
  readonly value: string;
  readonly summary: string;
  readonly required?: boolean;
}

/** A command of `jasminegaugectl`. */
export interface Command {
  readonly summary: string;
  /** Names of the required positional parameters. */
  readonly parameters: readonly string[];
  /** Name of a parameter that may follow them. */
  readonly optionalParameter?: string;
  /** Options by camel-case name. */
  readonly options: Readonly<Record<string, CommandOption>>;
  readonly example: string;
  run(args: CommandArguments, context: CommandContext): Promise<CommandResult>;
}

/** Arguments before they are checked against the command. */
export interface ParsedArguments {
  /** Words of the command name, then the values of its parameters. */
  readonly input: readonly string[];
  /** By camel-case name. A missing value of an option is an empty string. */
  readonly flags: Readonly<Record<string, unknown>>;
  /** Version of the program. */
  readonly version: string;
}

/** Types of the flags, by camel-case name. */
export type FlagTypes = Readonly<Record<string, 'string' | 'boolean'>>;

/**
 * Parses the command line. Throws an error with a message for the operator if
 * the arguments are malformed.
 */
export type ArgumentParser = (
  argv: readonly string[],
  flagTypes: FlagTypes,
) => ParsedArguments;

/** Destination of results and messages. */
export interface CommandOutput {
  /** Writes text and a newline to standard output. */
  print(text: string): void;
  /** Writes a message to standard error. */
  log(level: MessageLevel, text: string): void;
}

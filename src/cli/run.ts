import {Either, Left, Right} from 'purify-ts';
import {validate} from '../common/tickets/checked_yaml.js';
import {urlField} from '../common/tickets/fields.js';
import {badInputResult} from './command_results.js';
import {COMMANDS} from './command_table.js';
import {DaemonClient} from './daemon_client.js';
import {ExitCode} from './exit_code.js';
import {commandHelp, flagName, programHelp} from './help.js';
import {
  ArgumentParser,
  Command,
  CommandArguments,
  CommandContext,
  CommandOutput,
  CommandResult,
  FlagTypes,
  ParsedArguments,
} from './types.js';

/** Daemon address used when neither `--daemon` nor the variable is set. */
export const DEFAULT_DAEMON = 'http://127.0.0.1:7102';

/** Environment variable with the address of the daemon. */
export const DAEMON_VARIABLE = 'JASMINEGAUGE_DAEMON';

const GLOBAL_FLAGS: FlagTypes = {
  daemon: 'string',
  json: 'boolean',
  help: 'boolean',
  version: 'boolean',
};

/**
 * Returns the types of the flags of all commands. Flags are parsed before the
 * command is known, so a flag must have the same type in every command.
 */
function allFlagTypes(): FlagTypes {
  const options = Object.values(COMMANDS).flatMap(command =>
    Object.keys(command.options).map(name => [name, 'string'] as const),
  );
  return {...Object.fromEntries(options), ...GLOBAL_FLAGS};
}

/** A command with its name and the positional arguments after the name. */
interface FoundCommand {
  readonly name: string;
  readonly command: Command;
  readonly positionals: readonly string[];
}

/** Finds the command that `input` starts with; two-word names come first. */
function findCommand(input: readonly string[]): FoundCommand | undefined {
  for (const length of [2, 1]) {
    const name = input.slice(0, length).join(' ');
    if (input.length >= length && Object.hasOwn(COMMANDS, name)) {
      return {name, command: COMMANDS[name], positionals: input.slice(length)};
    }
  }
  return undefined;
}

/**
 * Whether the words of `input` begin the name of a command. Always true for an
 * empty `input`.
 */
function isCommandPrefix(input: readonly string[]): boolean {
  return Object.keys(COMMANDS).some(name =>
    input.every((word, i) => name.split(' ')[i] === word),
  );
}

/** Creates the result of a usage error, which refers to the help. */
function usageErrorResult(text: string, name?: string): CommandResult {
  const commandName = name === undefined ? '' : `${name} `;
  return badInputResult(`${text} See jasminegaugectl ${commandName}--help.`);
}

/**
 * Checks the positional arguments and the flags against the command. The error
 * lists all faults.
 */
function checkArguments(
  {name, command, positionals}: FoundCommand,
  flags: ParsedArguments['flags'],
): Either<CommandResult, CommandArguments> {
  const {parameters, optionalParameter} = command;
  const most = parameters.length + (optionalParameter === undefined ? 0 : 1);
  const options: Record<string, string> = {};
  const faults: string[] = [];
  if (positionals.length < parameters.length) {
    faults.push(`${parameters[positionals.length]} is missing.`);
  }
  if (positionals.length > most) {
    faults.push(`${JSON.stringify(positionals[most])} is too much.`);
  }
  for (const [flag, value] of Object.entries(flags)) {
    if (Object.hasOwn(GLOBAL_FLAGS, flag)) continue;
    if (!Object.hasOwn(command.options, flag)) {
      const prefix = flag.length === 1 ? `-${flag}` : flagName(flag);
      faults.push(`${prefix} is not an option of ${name}.`);
    } else if (typeof value !== 'string' || value === '') {
      faults.push(`${flagName(flag)} needs a value.`);
    } else {
      options[flag] = value;
    }
  }
  for (const [option, {required}] of Object.entries(command.options)) {
    if (required === true && flags[option] === undefined) {
      faults.push(`${flagName(option)} is missing.`);
    }
  }
  if (faults.length > 0) return Left(usageErrorResult(faults.join(' '), name));
  return Right({parameters: positionals, options});
}

/** Returns the address from `--daemon`, the environment or the default. */
function daemonAddress(
  flag: unknown,
  env: Readonly<Record<string, string | undefined>>,
): Either<CommandResult, string> {
  const [source, text] =
    flag !== undefined
      ? ['--daemon', flag]
      : [DAEMON_VARIABLE, env[DAEMON_VARIABLE] ?? DEFAULT_DAEMON];
  return validate(urlField(), text, source).mapLeft(([fault]) =>
    badInputResult(`${source} ${fault.message}; accepted: ${fault.accepted}.`),
  );
}

/** Access to the process that runs a command; replaced in tests. */
export interface RunEnvironment {
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly output: CommandOutput;
  readonly parse: ArgumentParser;
  readonly context: Omit<CommandContext, 'client'>;
}

/**
 * Prints the result of a command and returns its exit code. As JSON, only the
 * data is printed; messages are left out.
 */
function printResult(
  result: CommandResult,
  json: boolean,
  output: CommandOutput,
): ExitCode {
  if (json) {
    output.print(JSON.stringify(result.data, null, 2));
    return result.exit;
  }
  for (const {level, text} of result.messages ?? []) output.log(level, text);
  if (result.text !== undefined) output.print(result.text);
  return result.exit;
}

/** Runs the command that `argv` names and returns the exit code. */
export async function run(
  argv: readonly string[],
  {env, output, parse, context}: RunEnvironment,
): Promise<ExitCode> {
  let parsed: ParsedArguments;
  try {
    parsed = parse(argv, allFlagTypes());
  } catch (error) {
    const result = usageErrorResult((error as Error).message);
    return printResult(result, argv.includes('--json'), output);
  }
  const {input, flags, version} = parsed;
  const json = flags.json === true;
  const found = findCommand(input);
  if (flags.version === true) {
    output.print(version);
    return ExitCode.SUCCESS;
  }
  if (flags.help === true && (found !== undefined || isCommandPrefix(input))) {
    output.print(
      found === undefined
        ? programHelp()
        : commandHelp(found.name, found.command),
    );
    return ExitCode.SUCCESS;
  }
  if (found === undefined) {
    const text =
      input.length === 0
        ? 'No command is given.'
        : `There is no command ${JSON.stringify(input.slice(0, 2).join(' '))}.`;
    return printResult(usageErrorResult(text), json, output);
  }
  const result = await checkArguments(found, flags)
    .chain(args =>
      daemonAddress(flags.daemon, env).map(address => ({args, address})),
    )
    .caseOf<Promise<CommandResult>>({
      Left: async failed => failed,
      Right: ({args, address}) =>
        found.command.run(args, {
          ...context,
          client: new DaemonClient(address),
        }),
    });
  return printResult(result, json, output);
}

import {COMMANDS} from './command_table.js';
import {ExitCode} from './exit_code.js';
import {Command} from './types.js';

const PROGRAM = 'jasminegaugectl';

/** Options of every command, each with its help text. */
const GLOBAL_OPTIONS: readonly (readonly [string, string])[] = [
  [
    '--daemon http://IP:PORT',
    'operator address of a daemon (default JASMINEGAUGE_DAEMON, ' +
      'then http://127.0.0.1:7102)',
  ],
  ['--json', 'print the answer as JSON'],
  ['--help', 'show this help'],
  ['--version', 'show the version'],
];

const EXIT_CODE_TEXT: Readonly<Record<ExitCode, string>> = {
  [ExitCode.SUCCESS]: 'done',
  [ExitCode.REFUSED]: 'refused by the system',
  [ExitCode.BAD_INPUT]: 'faults in the arguments or the file',
  [ExitCode.NO_DAEMON]: 'no daemon answers',
  [ExitCode.UNKNOWN_OUTCOME]: 'outcome unknown',
  [ExitCode.NOT_FULLY_IN_FORCE]: 'accepted, but not yet in force everywhere',
};

/** Returns the command line flag of an option with a camel-case name. */
export function flagName(name: string): string {
  return `--${name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
}

/** Formats names and texts as two indented columns. */
function formatColumns(rows: readonly (readonly [string, string])[]): string {
  const width = Math.max(...rows.map(([name]) => name.length));
  return rows
    .map(([name, text]) => `  ${name.padEnd(width)}  ${text}`)
    .join('\n');
}

/** Formats the usage line; optional options are in brackets. */
function formatUsage(name: string, command: Command): string {
  const options = Object.entries(command.options).map(
    ([option, {value, required}]) => {
      const text = `${flagName(option)} ${value}`;
      return required === true ? text : `[${text}]`;
    },
  );
  return [name, ...parameterNames(command), ...options].join(' ');
}

/** Names of the parameters as shown; an optional one is in brackets. */
function parameterNames({parameters, optionalParameter}: Command): string[] {
  if (optionalParameter === undefined) return [...parameters];
  return [...parameters, `[${optionalParameter}]`];
}

/** Returns the output of `--help` without a command. */
export function programHelp(): string {
  return [
    `Usage: ${PROGRAM} COMMAND [options]`,
    '',
    'Commands:',
    formatColumns(
      Object.entries(COMMANDS).map(([name, command]) => [
        [name, ...parameterNames(command)].join(' '),
        command.summary,
      ]),
    ),
    '',
    'Options of every command:',
    formatColumns(GLOBAL_OPTIONS),
    '',
    'Exit codes:',
    formatColumns(
      Object.entries(EXIT_CODE_TEXT).map(
        ([code, text]) => [code, text] as const,
      ),
    ),
    '',
    `Example: ${COMMANDS.status.example}`,
    'The reference is docs/CLI.md.',
  ].join('\n');
}

/** Returns the output of `--help` for a command. */
export function commandHelp(name: string, command: Command): string {
  const options = Object.entries(command.options).map(
    ([option, {value, summary}]) =>
      [`${flagName(option)} ${value}`, summary] as const,
  );
  return [
    `Usage: ${PROGRAM} ${formatUsage(name, command)}`,
    '',
    command.summary,
    '',
    'Options:',
    formatColumns([...options, ...GLOBAL_OPTIONS]),
    '',
    `Example: ${command.example}`,
  ].join('\n');
}

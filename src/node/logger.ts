import {ConsolaInstance, createConsola, LogLevels, LogObject} from 'consola';

/** Log levels that the settings accept. */
export const LogLevel = {
  ERROR: 'error',
  WARN: 'warn',
  INFO: 'info',
  DEBUG: 'debug',
} as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = {
  [LogLevel.ERROR]: LogLevels.error,
  [LogLevel.WARN]: LogLevels.warn,
  [LogLevel.INFO]: LogLevels.info,
  [LogLevel.DEBUG]: LogLevels.debug,
};

/** Writes a log entry to stderr as one line of JSON. */
function writeJsonLine(entry: LogObject): void {
  const [message, fields] = entry.args as [unknown, unknown];
  const line = {
    time: entry.date.toISOString(),
    level: entry.type,
    part: entry.tag,
    message: String(message),
    ...(typeof fields === 'object' ? fields : {}),
  };
  process.stderr.write(`${JSON.stringify(line)}\n`);
}

/**
 * Creates the logger of a process. It writes to stderr: formatted text on a
 * terminal, otherwise one JSON document per line. `withTag` adds the name of a
 * component to each entry.
 */
export function createLogger(level: LogLevel): ConsolaInstance {
  const options = {level: CONSOLA_LEVELS[level], stdout: process.stderr};
  if (process.stderr.isTTY) return createConsola(options);
  return createConsola({...options, reporters: [{log: writeJsonLine}]});
}

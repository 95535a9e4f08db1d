import {CommandResult} from './types.js';

/**
 * Returns a warning if the report is stale, that is, if the daemon has not
 * confirmed the newest ticket for too long.
 */
export function staleWarnings(report: {
  readonly stale: boolean;
  readonly ticketAgeMs: number;
}): NonNullable<CommandResult['messages']> {
  if (!report.stale) return [];
  const text =
    `The daemon has not confirmed the newest ticket for ${report.ticketAgeMs} ms. ` +
    'It may be cut off; ask another with --daemon http://IP:PORT.';
  return [{level: 'warn', text}];
}

import {AuditEntry} from '../../common/tickets/types.js';
import {responseBody} from '../command_results.js';
import {formatAuditTable} from '../audit_table.js';
import {ExitCode} from '../exit_code.js';
import {Command, CommandResult} from '../types.js';

/** Command `audit`. */
export const AUDIT: Command = {
  summary: 'List accepted and refused tickets, oldest first.',
  parameters: [],
  options: {},
  example: 'jasminegaugectl audit --json',
  async run(unusedArguments, {client}) {
    type AuditResponse = {readonly entries: readonly AuditEntry[]};
    return responseBody<AuditResponse>(await client.get('/v1/audit'))
      .map<CommandResult>(response => ({
        exit: ExitCode.SUCCESS,
        data: response,
        text: formatAuditTable(response.entries),
      }))
      .extract();
  },
};

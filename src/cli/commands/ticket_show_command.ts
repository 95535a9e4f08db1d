import {AuditEntry} from '../../common/tickets/types.js';
import {responseBody} from '../command_results.js';
import {formatAuditTable} from '../audit_table.js';
import {ExitCode} from '../exit_code.js';
import {parseWholeNumber} from '../options.js';
import {Command, CommandResult} from '../types.js';

/** Command `ticket show N`. */
export const TICKET_SHOW: Command = {
  summary: 'Show what became of the tickets with a number.',
  parameters: ['N'],
  options: {},
  example: 'jasminegaugectl ticket show 42',
  async run({parameters: [text]}, {client}) {
    interface TicketResponse {
      readonly number: number;
      readonly accepted: boolean;
      readonly entries: readonly AuditEntry[];
    }
    const number = parseWholeNumber('N', text, 0, Number.MAX_SAFE_INTEGER);
    return number.caseOf({
      Left: async result => result,
      Right: async value =>
        responseBody<TicketResponse>(await client.get(`/v1/tickets/${value}`))
          .map<CommandResult>(response => ({
            exit: ExitCode.SUCCESS,
            data: response,
            text: formatAuditTable(response.entries),
          }))
          .extract(),
    });
  },
};

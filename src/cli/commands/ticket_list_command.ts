import {AuditEntry} from '../../common/tickets/types.js';
import {TicketReport} from '../../node/api_types.js';
import {responseBody} from '../command_results.js';
import {ExitCode} from '../exit_code.js';
import {staleWarnings} from '../stale_warnings.js';
import {formatTable, formatTime} from '../text_table.js';
import {Command, CommandResult} from '../types.js';

/** Command `ticket list`. */
export const TICKET_LIST: Command = {
  summary: 'List the current number and the last accepted tickets.',
  parameters: [],
  options: {},
  example: 'jasminegaugectl ticket list',
  async run(unusedArguments, {client}) {
    type TicketsResponse = TicketReport & {tickets: readonly AuditEntry[]};
    return responseBody<TicketsResponse>(await client.get('/v1/tickets'))
      .map<CommandResult>(response => ({
        exit: ExitCode.SUCCESS,
        data: response,
        text:
          `current number: ${response.configuration.number}\n` +
          formatTable(
            ['NUMBER', 'BASE', 'TIME', 'AUTHOR', 'CHANGED', 'COMMENT'],
            response.tickets.map(entry => [
              entry.number,
              entry.base,
              formatTime(entry.timeMs),
              entry.author,
              entry.touched.join(' '),
              entry.comment,
            ]),
          ),
        messages: staleWarnings(response),
      }))
      .extract();
  },
};

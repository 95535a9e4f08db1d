import {StatusReport} from '../../node/api_types.js';
import {responseBody} from '../command_results.js';
import {ExitCode} from '../exit_code.js';
import {staleWarnings} from '../stale_warnings.js';
import {formatTable} from '../text_table.js';
import {Command, CommandResult} from '../types.js';

function formatStatus(status: StatusReport): string {
  const jobs = Object.entries(status.jobs).map(
    ([state, count]) => `${state} ${count}`,
  );
  return [
    formatTable(
      ['INSTANCE', status.instance],
      [
        ['data centre', status.dataCentre],
        ['leader', status.leader ?? 'none'],
        ['members', status.members.join(', ') || 'none'],
        ['epoch', status.epoch ?? 'none'],
        ['ticket', `${status.ticketNumber}${status.stale ? ' (stale)' : ''}`],
        ['ticket age', `${status.ticketAgeMs} ms`],
        ['log', status.logAvailable ? 'available' : 'unavailable'],
        ['jobs', jobs.join(', ') || 'none'],
      ],
    ),
    formatTable(
      ['ENTRY INSTANCE', 'DATA CENTRE', 'STATE', 'TICKET'],
      status.instances.map(entry => [
        entry.id,
        entry.dataCentre,
        entry.state,
        entry.ticketNumber ?? 'no answer',
      ]),
    ),
    formatTable(
      ['SERVICE', 'TARGETS', 'EJECTED', 'LEAVING', 'IN FLIGHT', 'QUEUED'],
      status.services.map(service => [
        service.service,
        service.targets,
        service.ejected,
        service.leaving,
        service.inFlight,
        service.queued,
      ]),
    ),
  ].join('\n\n');
}

/** Command `status`. */
export const STATUS: Command = {
  summary: 'Show the state of an entry instance and its data centre.',
  parameters: [],
  options: {},
  example: 'jasminegaugectl status --daemon http://10.0.0.7:7102',
  async run(unusedArguments, {client}) {
    return responseBody<StatusReport>(await client.get('/v1/status'))
      .map<CommandResult>(status => ({
        exit: ExitCode.SUCCESS,
        data: status,
        text: formatStatus(status),
        messages: staleWarnings(status),
      }))
      .extract();
  },
};

import {InstanceReport} from '../../node/api_types.js';
import {responseBody} from '../command_results.js';
import {ExitCode} from '../exit_code.js';
import {formatTable} from '../text_table.js';
import {Command, CommandResult} from '../types.js';

/** Returns the ticket number of an entry instance; workers have none. */
function ticketCell({role, ticketNumber}: InstanceReport): unknown {
  if (role !== 'entry') return undefined;
  return ticketNumber ?? 'no answer';
}

/** Command `instances`. */
export const INSTANCES: Command = {
  summary: 'List the instances that the daemon knows.',
  parameters: [],
  options: {},
  example: 'jasminegaugectl instances',
  async run(unusedArguments, {client}) {
    type InstancesResponse = {readonly instances: readonly InstanceReport[]};
    return responseBody<InstancesResponse>(await client.get('/v1/instances'))
      .map<CommandResult>(response => ({
        exit: ExitCode.SUCCESS,
        data: response,
        text: formatTable(
          [
            'INSTANCE',
            'ROLE',
            'DATA CENTRE',
            'RACK',
            'ADDRESS',
            'STATE',
            'REASON',
            'TICKET',
          ],
          response.instances.map(instance => [
            `${instance.id}#${instance.start}`,
            instance.role,
            instance.dataCentre,
            instance.rack,
            `${instance.host}:${instance.port}`,
            instance.state,
            instance.reason,
            ticketCell(instance),
          ]),
        ),
      }))
      .extract();
  },
};

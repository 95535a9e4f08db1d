import {parseTicket} from '../../common/tickets/ticket_file.js';
import {badInputResult, validationErrorResult} from '../command_results.js';
import {ExitCode} from '../exit_code.js';
import {Command, CommandResult} from '../types.js';

/** Command `ticket validate FILE`; needs no daemon. */
export const TICKET_VALIDATE: Command = {
  summary: 'Check a ticket file without a daemon.',
  parameters: ['FILE'],
  options: {},
  example: 'jasminegaugectl ticket validate quota.yaml',
  async run({parameters: [file]}, context) {
    return context
      .readFile(file)
      .mapLeft(badInputResult)
      .chain(text =>
        parseTicket(text, file).mapLeft(faults =>
          validationErrorResult('ticket', faults),
        ),
      )
      .map<CommandResult>(ticket => ({
        exit: ExitCode.SUCCESS,
        data: {valid: true, ticket},
        messages: [{level: 'success', text: `${file} is a valid ticket.`}],
      }))
      .extract();
  },
};

import {parseTicket} from '../../common/tickets/ticket_file.js';
import {badInputResult, validationErrorResult} from '../command_results.js';
import {parseWaitMs, WAIT_OPTION} from '../options.js';
import {applyTicket, DEFAULT_WAIT_MS} from '../apply_ticket.js';
import {Command} from '../types.js';

/** Command `ticket apply FILE`. */
export const TICKET_APPLY: Command = {
  summary: 'Apply a ticket and wait until it is in force everywhere.',
  parameters: ['FILE'],
  options: {waitMs: WAIT_OPTION},
  example: 'jasminegaugectl ticket apply quota.yaml --wait-ms 20000',
  async run({parameters: [file], options}, context) {
    const ticket = context
      .readFile(file)
      .mapLeft(badInputResult)
      .chain(text =>
        parseTicket(text, file).mapLeft(faults =>
          validationErrorResult('ticket', faults),
        ),
      );
    const wait = parseWaitMs(options.waitMs, DEFAULT_WAIT_MS);
    return ticket
      .chain(parsed => wait.map(waitMs => ({parsed, waitMs})))
      .caseOf({
        Left: async result => result,
        Right: ({parsed, waitMs}) => applyTicket(parsed, waitMs, context),
      });
  },
};

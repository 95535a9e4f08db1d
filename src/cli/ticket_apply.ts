import {Millis, SECOND} from '../common/base/clock.js';
import {Ticket} from '../common/tickets/types.js';
import {
  AcceptedTicket,
  EntryInstanceReport,
  StatusReport,
} from '../node/api_types.js';
import {bodyOf} from './answers.js';
import {ExitCode} from './exit_code.js';
import {CommandContext, CommandResult} from './types.js';

/** A change is in force everywhere within 7 s, unless an instance is cut off. */
export const DEFAULT_WAIT_MS: Millis = 10 * SECOND;

/** Far below the 7 s, and cheap for a daemon. */
const POLL_MS: Millis = 250;

/** Instances that do not report `number` yet; undefined without an answer. */
async function lagging(
  number: number,
  context: CommandContext,
): Promise<readonly EntryInstanceReport[] | undefined> {
  const answer = await context.client.get('/v1/status');
  return bodyOf<StatusReport>(answer)
    .map(status =>
      status.instances.filter(
        ({state, ticketNumber}) =>
          state !== 'gone' && (ticketNumber === null || ticketNumber < number),
      ),
    )
    .toMaybe()
    .extract();
}

function describe({id, ticketNumber}: EntryInstanceReport): string {
  return ticketNumber === null
    ? `${id} (does not answer)`
    : `${id} (at ${ticketNumber})`;
}

async function waitForAll(
  accepted: AcceptedTicket,
  waitMs: Millis,
  context: CommandContext,
): Promise<CommandResult> {
  const {number} = accepted;
  const end = context.clock.now() + waitMs;
  for (;;) {
    const late = await lagging(number, context);
    if (late !== undefined && late.length === 0) {
      return {
        exit: ExitCode.DONE,
        data: {...accepted, inForce: true, lagging: []},
        messages: [
          {
            level: 'success',
            text: `Ticket ${number} is in force at every entry instance.`,
          },
        ],
      };
    }
    const left = end - context.clock.now();
    if (left > 0) {
      await context.sleep(Math.min(POLL_MS, left));
      continue;
    }
    const names = late?.map(describe).join(', ');
    const reason =
      names === undefined
        ? `the daemon at ${context.client.address} does not tell where it is in force`
        : `it is not in force yet at ${names}`;
    const text =
      `Ticket ${number} was accepted, but ${reason}. An instance that is cut ` +
      'off takes it over when it is connected again; see jasminegaugectl status.';
    return {
      exit: ExitCode.NOT_EVERYWHERE,
      data: {
        ...accepted,
        inForce: false,
        lagging: late?.map(({id}) => id) ?? null,
      },
      messages: [{level: 'warn', text}],
    };
  }
}

/**
 * Submits a ticket and waits until every listed entry instance reports it.
 *
 * @param waitMs longest wait after the acceptance; 0 looks once.
 */
export async function applyTicket(
  ticket: Ticket,
  waitMs: Millis,
  context: CommandContext,
): Promise<CommandResult> {
  const answer = await context.client.post('/v1/tickets', ticket);
  const askAgain =
    'Ask for the outcome with: ' +
    `jasminegaugectl ticket show ${ticket.number} --daemon ${context.client.address}`;
  return bodyOf<AcceptedTicket>(answer, askAgain).caseOf({
    Left: async result => result,
    Right: accepted => waitForAll(accepted, waitMs, context),
  });
}

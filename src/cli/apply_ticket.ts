import {Millis, SECOND} from '../common/base/clock.js';
import {Ticket} from '../common/tickets/types.js';
import {
  AcceptedTicket,
  EntryInstanceReport,
  StatusReport,
} from '../node/api_types.js';
import {responseBody} from './command_results.js';
import {ExitCode} from './exit_code.js';
import {CommandContext, CommandResult} from './types.js';

/**
 * Default of `--wait-ms`. An accepted ticket is in force at every connected
 * instance within 7 s.
 */
export const DEFAULT_WAIT_MS: Millis = 10 * SECOND;

/** Far below the 7 s, and a light load for the daemon. */
const POLL_INTERVAL_MS: Millis = 250;

/**
 * Returns the entry instances that do not report ticket `number` yet, or
 * undefined if the request fails. The queried instance is checked even if it is
 * missing from its own list.
 */
async function fetchLaggingInstances(
  number: number,
  context: CommandContext,
): Promise<readonly EntryInstanceReport[] | undefined> {
  const response = await context.client.get('/v1/status');
  return responseBody<StatusReport>(response)
    .map(status => {
      const {instance, dataCentre, ticketNumber, instances} = status;
      const listed = instances.some(({id}) => id === instance);
      const queried: EntryInstanceReport = {
        id: instance,
        start: 0,
        dataCentre,
        state: 'live',
        ticketNumber,
      };
      return (listed ? instances : [queried, ...instances]).filter(
        entry =>
          entry.state !== 'gone' &&
          (entry.ticketNumber === null || entry.ticketNumber < number),
      );
    })
    .toMaybe()
    .extract();
}

/** Describes an instance that lags, for the warning. */
function describeInstance({id, ticketNumber}: EntryInstanceReport): string {
  return ticketNumber === null
    ? `${id} (does not answer)`
    : `${id} (at ${ticketNumber})`;
}

/**
 * Polls until every entry instance reports the ticket. The wait ends after
 * `waitMs`, but there is at least one poll.
 */
async function waitUntilInForce(
  accepted: AcceptedTicket,
  waitMs: Millis,
  context: CommandContext,
): Promise<CommandResult> {
  const {number} = accepted;
  const deadlineMs = context.clock.now() + waitMs;
  for (;;) {
    const lagging = await fetchLaggingInstances(number, context);
    if (lagging !== undefined && lagging.length === 0) {
      return {
        exit: ExitCode.SUCCESS,
        data: {...accepted, inForce: true, lagging: []},
        messages: [
          {
            level: 'success',
            text: `Ticket ${number} is in force at every entry instance.`,
          },
        ],
      };
    }
    const remainingMs = deadlineMs - context.clock.now();
    if (remainingMs > 0) {
      await context.sleep(Math.min(POLL_INTERVAL_MS, remainingMs));
      continue;
    }
    const laggingText = lagging?.map(describeInstance).join(', ');
    const reason =
      laggingText === undefined
        ? `the daemon at ${context.client.address} does not tell where it is in force`
        : `it is not in force yet at ${laggingText}`;
    const text =
      `Ticket ${number} was accepted, but ${reason}. An instance that is cut ` +
      'off takes it over when it is connected again; see jasminegaugectl status.';
    return {
      exit: ExitCode.NOT_FULLY_IN_FORCE,
      data: {
        ...accepted,
        inForce: false,
        lagging: lagging?.map(({id}) => id) ?? null,
      },
      messages: [{level: 'warn', text}],
    };
  }
}

/**
 * Submits a ticket and waits until every listed entry instance reports it.
 *
 * @param waitMs longest wait after the ticket is accepted; 0 polls once.
 */
export async function applyTicket(
  ticket: Ticket,
  waitMs: Millis,
  context: CommandContext,
): Promise<CommandResult> {
  const response = await context.client.post('/v1/tickets', ticket);
  const outcomeHint =
    'Ask for the outcome with: ' +
    `jasminegaugectl ticket show ${ticket.number} --daemon ${context.client.address}`;
  return responseBody<AcceptedTicket>(response, outcomeHint).caseOf({
    Left: async result => result,
    Right: accepted => waitUntilInForce(accepted, waitMs, context),
  });
}

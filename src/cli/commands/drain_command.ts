import {Either, EitherAsync, Left, Right} from 'purify-ts';
import {validateTicket} from '../../common/tickets/ticket_schema.js';
import {Configuration, Ticket} from '../../common/tickets/types.js';
import {InstanceReport, TicketReport} from '../../node/api_types.js';
import {
  badInputResult,
  responseBody,
  validationErrorResult,
} from '../command_results.js';
import {ExitCode} from '../exit_code.js';
import {parseWaitMs, WAIT_OPTION} from '../options.js';
import {staleWarnings} from '../stale_warnings.js';
import {applyTicket, DEFAULT_WAIT_MS} from '../apply_ticket.js';
import {
  Command,
  CommandArguments,
  CommandContext,
  CommandResult,
} from '../types.js';

/**
 * What `drain` takes out of use: the section of the ticket and the role of the
 * instance.
 */
const DRAIN_KINDS = {
  worker: {section: 'workers', role: 'worker'},
  instance: {section: 'instances', role: 'entry'},
} as const;
type DrainKind = keyof typeof DRAIN_KINDS;

function parseDrainKind(text: string): Either<CommandResult, DrainKind> {
  if (Object.hasOwn(DRAIN_KINDS, text)) return Right(text as DrainKind);
  const accepted = Object.keys(DRAIN_KINDS).join(', ');
  return Left(
    badInputResult(
      `KIND cannot be ${JSON.stringify(text)}; accepted: ${accepted}.`,
    ),
  );
}

/** Returns the state in the configuration; undefined if none is set. */
function currentState(
  {workers, instances}: Configuration,
  kind: DrainKind,
  name: string,
): string | undefined {
  const section = {workers, instances}[DRAIN_KINDS[kind].section];
  return Object.hasOwn(section, name) ? section[name].state : undefined;
}

/** Creates a ticket, based on `baseNumber`, that sets the state to leaving. */
function buildDrainTicket(
  kind: DrainKind,
  name: string,
  baseNumber: number,
  {author, comment}: CommandArguments['options'],
): Either<CommandResult, Ticket> {
  const ticket = {
    number: baseNumber + 1,
    base: baseNumber,
    author,
    ...(comment === undefined ? {} : {comment}),
    changes: {[DRAIN_KINDS[kind].section]: {[name]: {state: 'leaving'}}},
  };
  return validateTicket(ticket, 'arguments').mapLeft(faults =>
    validationErrorResult('ticket', faults),
  );
}

/**
 * Returns a warning if the name is not listed. It is no error, because the list
 * may lag or be empty.
 */
async function unlistedWarnings(
  kind: DrainKind,
  name: string,
  {client}: CommandContext,
): Promise<CommandResult['messages']> {
  type InstancesResponse = {readonly instances: readonly InstanceReport[]};
  const response = await client.get('/v1/instances');
  const listed = responseBody<InstancesResponse>(response)
    .map(({instances}) =>
      instances.some(
        instance =>
          instance.id === name && instance.role === DRAIN_KINDS[kind].role,
      ),
    )
    .orDefault(true);
  if (listed) return [];
  const text =
    `No ${kind} ${name} is listed. The ticket is applied all the same; check ` +
    'the name with jasminegaugectl instances.';
  return [{level: 'warn', text}];
}

/**
 * Applies a ticket that sets a worker or an entry instance to leaving, unless it
 * is leaving or gone already.
 */
async function drain(
  {parameters: [kindText, name], options}: CommandArguments,
  context: CommandContext,
): Promise<CommandResult> {
  const pipeline = EitherAsync<CommandResult, CommandResult>(
    async ({liftEither, fromPromise}) => {
      const kind = await liftEither(parseDrainKind(kindText));
      const waitMs = await liftEither(
        parseWaitMs(options.waitMs, DEFAULT_WAIT_MS),
      );
      const report = await fromPromise(
        context.client
          .get('/v1/tickets')
          .then(response => responseBody<TicketReport>(response)),
      );
      const {number} = report.configuration;
      const ticket = await liftEither(
        buildDrainTicket(kind, name, number, options),
      );
      const state = currentState(report.configuration, kind, name);
      if (state === 'leaving' || state === 'gone') {
        const text = `The ${kind} ${name} is ${state} already; no ticket was made.`;
        return {
          exit: ExitCode.SUCCESS,
          data: {number: null, state},
          messages: [{level: 'info', text}],
        };
      }
      const warnings = await unlistedWarnings(kind, name, context);
      const result = await applyTicket(ticket, waitMs, context);
      const ticketText =
        `Ticket ${ticket.number} (base ${ticket.base}) ` +
        `sets the ${kind} ${name} to leaving.`;
      return {
        ...result,
        messages: [
          ...staleWarnings(report),
          ...(warnings ?? []),
          {level: 'info', text: ticketText},
          ...(result.messages ?? []),
        ],
      };
    },
  );
  return (await pipeline.run()).extract();
}

/** Command `drain KIND NAME`. */
export const DRAIN: Command = {
  summary: 'Take a worker or an entry instance out of use, with a ticket.',
  parameters: ['worker|instance', 'NAME'],
  options: {
    author: {
      value: 'AUTHOR',
      summary: 'who makes the change, for the audit trail',
      required: true,
    },
    comment: {value: 'TEXT', summary: 'why, for the audit trail'},
    waitMs: WAIT_OPTION,
  },
  example: 'jasminegaugectl drain worker w-0042 --author mere',
  run: drain,
};

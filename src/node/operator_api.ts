import {Either} from 'purify-ts';
import {refuse, RefusalKind} from '../common/base/refusal.js';
import {JobState} from '../common/jobs/types.js';
import {parseTicket} from '../common/tickets/ticket_file.js';
import {validateTicket} from '../common/tickets/ticket_schema.js';
import {Fault, Ticket} from '../common/tickets/types.js';
import {
  invalidParameter,
  parseInteger,
  readQuery,
  validationRefusal,
  sendResult,
} from './api_responses.js';
import {OperatorBackend} from './api_types.js';
import {addJobRoutes} from './job_api.js';
import {
  Exchange,
  JsonServer,
  readBody,
  readJson,
  RefusalError,
  sendJson,
} from './json_server.js';

/** Maximum number of jobs in a list if the request gives no limit. */
export const DEFAULT_JOB_LIMIT = 1000;

/** A response with this many jobs has a few MB. */
export const MAX_JOB_LIMIT = 10_000;

const YAML_TYPES: ReadonlySet<string> = new Set([
  'application/yaml',
  'application/x-yaml',
  'text/yaml',
]);

const TICKET_DOCS = 'docs/TICKETS.md';

/** Stands for the file name in the faults of a request body. */
const BODY_SOURCE = 'body';

async function readTicket(
  exchange: Exchange,
  maxBytes: number,
): Promise<Either<readonly Fault[], Ticket>> {
  const contentType = (exchange.request.headers['content-type'] ?? '')
    .split(';')[0]
    .trim();
  if (YAML_TYPES.has(contentType.toLowerCase())) {
    const text = (await readBody(exchange, maxBytes)).toString('utf8');
    return parseTicket(text, BODY_SOURCE);
  }
  return validateTicket(await readJson(exchange, maxBytes), BODY_SOURCE);
}

function addTicketRoutes(server: JsonServer, backend: OperatorBackend): void {
  const maxBytes = server.limits.maxBodyBytes;
  const withTicket = async (
    exchange: Exchange,
    handleTicket: (ticket: Ticket) => Promise<void>,
  ) => {
    const ticket = await readTicket(exchange, maxBytes);
    await ticket.caseOf({
      Left: async faults => {
        const refusal = validationRefusal('ticket', faults, TICKET_DOCS);
        sendJson(exchange.response, 400, refusal);
      },
      Right: handleTicket,
    });
  };
  server
    .route('POST', '/v1/tickets', exchange =>
      withTicket(exchange, async ticket => {
        const result = await backend.submitTicket(ticket);
        sendResult(exchange.response, result, 201);
      }),
    )
    .route('POST', '/v1/tickets/validate', exchange =>
      withTicket(exchange, async ticket => {
        const current = backend.ticketState().configuration.number;
        sendJson(exchange.response, 200, {
          valid: true,
          ticket,
          current,
          baseIsCurrent: ticket.base === current,
        });
      }),
    )
    .route('GET', '/v1/tickets', exchange => {
      readQuery(exchange, []);
      sendJson(exchange.response, 200, {
        ...backend.ticketState(),
        tickets: backend.audit().filter(entry => entry.outcome === 'accepted'),
      });
    })
    .route('GET', '/v1/tickets/{number}', exchange =>
      showTicket(exchange, backend),
    );
}

function showTicket(exchange: Exchange, backend: OperatorBackend): void {
  readQuery(exchange, []);
  const number = parseInteger(
    'number',
    exchange.parameters.number,
    0,
    Number.MAX_SAFE_INTEGER,
  );
  const entries = backend.audit().filter(entry => entry.number === number);
  if (entries.length === 0) {
    throw new RefusalError(
      refuse(
        RefusalKind.NOT_FOUND,
        `No ticket ${number} is among the last tickets read.`,
        'List the known tickets at /v1/audit.',
      ),
    );
  }
  const accepted = entries.some(entry => entry.outcome === 'accepted');
  sendJson(exchange.response, 200, {number, accepted, entries});
}

async function listJobs(exchange: Exchange, backend: OperatorBackend) {
  const query = readQuery(exchange, ['state', 'team', 'limit']);
  const states = Object.values(JobState);
  const state = states.find(known => known === query.state);
  if (query.state !== undefined && state === undefined) {
    throw invalidParameter(
      'state',
      `cannot be ${JSON.stringify(query.state)}`,
      `one of ${states.join(', ')}`,
    );
  }
  const limit =
    query.limit === undefined
      ? DEFAULT_JOB_LIMIT
      : parseInteger('limit', query.limit, 1, MAX_JOB_LIMIT);
  // One job more than the limit tells whether the list is complete.
  const result = await backend.jobs({
    ...(state === undefined ? {} : {state}),
    ...(query.team === undefined ? {} : {team: query.team}),
    limit: limit + 1,
  });
  sendResult(exchange.response, result, 200, jobs => ({
    jobs: jobs.slice(0, limit),
    complete: jobs.length <= limit,
  }));
}

/**
 * Adds the operator routes: tickets, status, jobs, instances and the audit
 * trail, and the job routes. docs/CLI.md describes the paths and responses.
 */
export function addOperatorRoutes(
  server: JsonServer,
  backend: OperatorBackend,
): void {
  addTicketRoutes(server, backend);
  server
    .route('GET', '/v1/status', async exchange => {
      sendJson(exchange.response, 200, await backend.status());
    })
    .route('GET', '/v1/instances', exchange => {
      sendJson(exchange.response, 200, {instances: backend.instances()});
    })
    .route('GET', '/v1/audit', exchange => {
      sendJson(exchange.response, 200, {entries: backend.audit()});
    })
    .route('GET', '/v1/jobs', exchange => listJobs(exchange, backend));
  addJobRoutes(server, backend);
}

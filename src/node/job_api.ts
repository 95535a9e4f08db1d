import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {MINUTE} from '../common/base/clock.js';
import {Ran, refuse, RefusalKind} from '../common/base/refusal.js';
import {JobId, JobState, JobView, Submission} from '../common/jobs/types.js';
import {check} from '../common/tickets/checked_yaml.js';
import {
  booleanField,
  choiceField,
  durationField,
  nameField,
  strictFields,
  textField,
} from '../common/tickets/fields.js';
import {SIZE_SCHEMA, TICKET_DEFAULTS} from '../common/tickets/ticket_schema.js';
import {
  Configuration,
  Fault,
  JobClassConfiguration,
  Urgency,
} from '../common/tickets/types.js';
import {
  parseWhole,
  readQuery,
  refuseFaults,
  sendEither,
} from './api_answers.js';
import {CancelAnswer, JobBackend} from './api_types.js';
import {
  Exchange,
  JsonServer,
  readJson,
  RefusedRequest,
  sendJson,
} from './json_server.js';

/** Longest time that a caller may wait for a result in one request. */
export const MAX_RESULT_WAIT_MS = MINUTE;

const MAX_KEY_CHARACTERS = 200;

/** Source that faults of a body name in place of a file. */
const BODY = 'body';

const SUBMISSION_SCHEMA = strictFields({
  key: textField(MAX_KEY_CHARACTERS),
  class: nameField(),
  team: nameField(),
  urgency: choiceField(Object.values(Urgency)).optional(),
  size: SIZE_SCHEMA.optional(),
  runMs: durationField().optional(),
  idempotent: booleanField().optional(),
  payload: z.unknown().optional(),
  dataCentre: nameField().optional(),
});

/** States that a job does not leave. */
const FINAL_STATES: ReadonlySet<JobState> = new Set([
  JobState.FINISHED,
  JobState.FAILED,
  JobState.CANCELLED,
  JobState.INTERRUPTED,
]);

/** A job with its home, as a caller asked for it. */
export interface JobRequest {
  readonly submission: Submission;
  /** Undefined when the key chooses the home. */
  readonly dataCentre: string | undefined;
}

/** Whether a job has reached a state that it does not leave. */
export function isFinal(job: JobView): boolean {
  return FINAL_STATES.has(job.state);
}

function fault(field: string, message: string, accepted: string): Fault {
  return {file: BODY, field, message, accepted};
}

function listNames(names: readonly string[]): string {
  return names.length === 0 ? 'none is configured' : names.join(', ');
}

/** Faults of fields that only a configured class makes optional. */
function missingFields(
  given: {class: string; size?: unknown; runMs?: unknown},
  configuration: Configuration,
): Fault[] {
  const classes = listNames(Object.keys(configuration.jobClasses));
  const accepted = `a value, or a class with defaults: ${classes}`;
  return (['size', 'runMs'] as const)
    .filter(name => given[name] === undefined)
    .map(name =>
      fault(
        name,
        `is missing, and class ${given.class} is not configured`,
        accepted,
      ),
    );
}

/**
 * Checks the body of a submission and fills in the defaults of its class. A
 * class that is not configured is accepted when the body leaves out neither
 * the size nor the run time.
 *
 * @returns the job, or all faults.
 */
export function parseSubmission(
  body: unknown,
  configuration: Configuration,
  dataCentres: readonly string[],
): Either<readonly Fault[], JobRequest> {
  return check(SUBMISSION_SCHEMA, body, BODY).chain(given => {
    const {dataCentre} = given;
    const jobClass: JobClassConfiguration | undefined = Object.hasOwn(
      configuration.jobClasses,
      given.class,
    )
      ? configuration.jobClasses[given.class]
      : undefined;
    const size = given.size ?? jobClass?.size;
    const runMs = given.runMs ?? jobClass?.runMs;
    const faults = missingFields({...given, size, runMs}, configuration);
    if (dataCentre !== undefined && !dataCentres.includes(dataCentre)) {
      const accepted = `one of ${listNames(dataCentres)}`;
      faults.push(
        fault(
          'dataCentre',
          `cannot be ${JSON.stringify(dataCentre)}`,
          accepted,
        ),
      );
    }
    if (faults.length > 0 || size === undefined || runMs === undefined) {
      return Left(faults);
    }
    const defaults = jobClass ?? TICKET_DEFAULTS.jobClass;
    const submission: Submission = {
      key: given.key,
      jobClass: given.class,
      team: given.team,
      urgency: given.urgency ?? defaults.urgency,
      size,
      runMs,
      idempotent: given.idempotent ?? defaults.idempotent,
      ...(given.payload === undefined ? {} : {payload: given.payload}),
    };
    return Right({submission, dataCentre});
  });
}

/**
 * Tells whether a job was run, at least in part. `no` needs a job that was
 * cancelled before any start was sent.
 */
export function ranOf(job: JobView): Ran {
  if (job.attempts === 0) {
    return job.state === JobState.CANCELLED ? Ran.NO : Ran.UNKNOWN;
  }
  const worked =
    job.state === JobState.FINISHED ||
    job.state === JobState.FAILED ||
    job.state === JobState.RUNNING ||
    job.checkpoint > 0;
  return worked ? Ran.YES : Ran.UNKNOWN;
}

const RESULT_SUFFIX = '/result';

function requireId(id: string): JobId {
  if (/^[^/]+\/[^/]+$/.test(id)) return id;
  throw new RefusedRequest(
    refuse(
      RefusalKind.NOT_FOUND,
      `There is no job ${JSON.stringify(id)}.`,
      'Use the id from the answer to the submission: DATA-CENTRE/DIGEST.',
    ),
  );
}

async function submit(
  exchange: Exchange,
  server: JsonServer,
  jobs: JobBackend,
) {
  const {request, response} = exchange;
  const body = await readJson(request, server.limits.maxBodyBytes);
  const parsed = parseSubmission(
    body,
    jobs.configuration(),
    jobs.dataCentres(),
  );
  await parsed.caseOf({
    Left: async faults => {
      sendJson(response, 400, refuseFaults('job', faults, 'docs/API.md'));
    },
    Right: async ({submission, dataCentre}) => {
      sendEither(response, await jobs.submitJob(submission, dataCentre), 201);
    },
  });
}

async function show(exchange: Exchange, jobs: JobBackend) {
  const id = exchange.parameters.id;
  if (!id.endsWith(RESULT_SUFFIX)) {
    readQuery(exchange, []);
    sendEither(exchange.response, await jobs.job(requireId(id)));
    return;
  }
  const {waitMs} = readQuery(exchange, ['waitMs']);
  const wait = parseWhole('waitMs', waitMs ?? '0', 0, MAX_RESULT_WAIT_MS);
  const job = requireId(id.slice(0, -RESULT_SUFFIX.length));
  const result = await jobs.jobResult(job, wait);
  sendEither(exchange.response, result, view => (isFinal(view) ? 200 : 202));
}

async function cancel(exchange: Exchange, jobs: JobBackend) {
  const result = await jobs.cancelJob(requireId(exchange.parameters.id));
  sendEither<JobView>(exchange.response, result, 200, (job): CancelAnswer => ({
    job,
    ran: ranOf(job),
  }));
}

/**
 * Adds the job routes: `POST /v1/jobs`, `GET /v1/jobs/{id}`,
 * `GET /v1/jobs/{id}/result?waitMs=` and `DELETE /v1/jobs/{id}`. An id contains
 * a slash, which may be sent as it is or escaped.
 *
 * A result answers 200 in a final state and 202 otherwise.
 */
export function addJobRoutes(server: JsonServer, jobs: JobBackend): void {
  server
    .route('POST', '/v1/jobs', exchange => submit(exchange, server, jobs))
    .route('GET', '/v1/jobs/{id...}', exchange => show(exchange, jobs))
    .route('DELETE', '/v1/jobs/{id...}', exchange => cancel(exchange, jobs));
}

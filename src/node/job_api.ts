import {MINUTE} from '../common/base/clock.js';
import {Ran, refuse, RefusalKind} from '../common/base/refusal.js';
import {JobId, JobState, JobView} from '../common/jobs/types.js';
import {
  parseInteger,
  readQuery,
  validationRefusal,
  sendResult,
} from './api_responses.js';
import {CancelResponse, JobBackend} from './api_types.js';
import {parseSubmission} from './job_submission.js';
import {
  Exchange,
  JsonServer,
  readJson,
  RefusalError,
  sendJson,
} from './json_server.js';

/** Maximum `waitMs` of a request for a result. */
export const MAX_RESULT_WAIT_MS = MINUTE;

/** States that a job never leaves. */
const FINAL_STATES: ReadonlySet<JobState> = new Set([
  JobState.FINISHED,
  JobState.FAILED,
  JobState.CANCELLED,
  JobState.INTERRUPTED,
]);

/** Returns whether a job is in a state that it never leaves. */
export function isFinal(job: JobView): boolean {
  return FINAL_STATES.has(job.state);
}

/**
 * Tells whether a job was run, at least in part. The answer is `no` only for a
 * job that was cancelled before any start was sent to a worker.
 */
export function determineRan(job: JobView): Ran {
  if (job.attempts === 0) {
    return job.state === JobState.CANCELLED ? Ran.NO : Ran.UNKNOWN;
  }
  const hasRun =
    job.state === JobState.FINISHED ||
    job.state === JobState.FAILED ||
    job.state === JobState.RUNNING ||
    job.checkpoint > 0;
  return hasRun ? Ran.YES : Ran.UNKNOWN;
}

const RESULT_SUFFIX = '/result';

function parseJobId(id: string): JobId {
  if (/^[^/]+\/[^/]+$/.test(id)) return id;
  throw new RefusalError(
    refuse(
      RefusalKind.NOT_FOUND,
      `There is no job ${JSON.stringify(id)}.`,
      'Use the id from the answer to the submission: DATA-CENTRE/DIGEST.',
    ),
  );
}

async function submitJob(
  exchange: Exchange,
  server: JsonServer,
  backend: JobBackend,
) {
  const {response} = exchange;
  const body = await readJson(exchange, server.limits.maxBodyBytes);
  const parsed = parseSubmission(
    body,
    backend.configuration(),
    backend.dataCentres(),
  );
  await parsed.caseOf({
    Left: async faults => {
      sendJson(response, 400, validationRefusal('job', faults, 'docs/API.md'));
    },
    Right: async ({submission, dataCentre}) => {
      sendResult(
        response,
        await backend.submitJob(submission, dataCentre),
        201,
      );
    },
  });
}

async function showJob(exchange: Exchange, backend: JobBackend) {
  const id = exchange.parameters.id;
  if (!id.endsWith(RESULT_SUFFIX)) {
    readQuery(exchange, []);
    sendResult(exchange.response, await backend.job(parseJobId(id)));
    return;
  }
  const {waitMs} = readQuery(exchange, ['waitMs']);
  const wait = parseInteger('waitMs', waitMs ?? '0', 0, MAX_RESULT_WAIT_MS);
  const jobId = parseJobId(id.slice(0, -RESULT_SUFFIX.length));
  const result = await backend.jobResult(jobId, wait);
  sendResult(exchange.response, result, view => (isFinal(view) ? 200 : 202));
}

async function cancelJob(exchange: Exchange, backend: JobBackend) {
  const result = await backend.cancelJob(parseJobId(exchange.parameters.id));
  sendResult<JobView>(
    exchange.response,
    result,
    200,
    (job): CancelResponse => ({
      job,
      ran: determineRan(job),
    }),
  );
}

/**
 * Adds the job routes: `POST /v1/jobs`, `GET /v1/jobs/{id}`,
 * `GET /v1/jobs/{id}/result?waitMs=` and `DELETE /v1/jobs/{id}`. A job id
 * contains a slash, which may be sent as it is or percent-encoded.
 *
 * The status of a result is 200 if the job is in a final state, otherwise 202.
 */
export function addJobRoutes(server: JsonServer, backend: JobBackend): void {
  server
    .route('POST', '/v1/jobs', exchange => submitJob(exchange, server, backend))
    .route('GET', '/v1/jobs/{id...}', exchange => showJob(exchange, backend))
    .route('DELETE', '/v1/jobs/{id...}', exchange =>
      cancelJob(exchange, backend),
    );
}

import {Millis} from '../../../common/base/clock.js';
import {JobPhase, RecordKind} from '../../../common/batch/job_records.js';
import {JobStatus, NeighbourStatus} from '../job_lookup.js';
import {IntakeResult} from '../pending_write.js';

/**
 * Paths of requests between instances. They name the version of the messages:
 * an instance of another version answers 404 and has done nothing.
 */
export const RECORDS_PATH = '/intake/1/records/';
export const JOBS_PATH = '/intake/1/jobs/';
export const ALIVE_PATH = '/intake/1/alive';
/** The store may be slow for all, and is known to be. */
export const SUSPECTED_PATH = '/intake/1/slow/suspected';
export const SLOW_PATH = '/intake/1/slow';

/** Header with the time in ms that the sender waits for the response. */
export const DEADLINE_HEADER = 'deadline-ms';

/**
 * Header with the time in ms of an append that the sender has measured; 0 if it
 * has measured none lately.
 */
export const APPEND_TIME_HEADER = 'append-ms';

/** Header with the name of the instance that sends a request. */
export const SENDER_HEADER = 'sender';

/** Keys that may be forwarded: submissions and cancellations of callers. */
const FORWARDED_KEY = new RegExp(
  `^[${RecordKind.SUBMISSION}${RecordKind.CANCELLATION}][0-9A-Za-z]{1,64}$`,
);

/** Ids of jobs that may be looked up. */
const JOB_ID = /^[0-9A-Za-z]{1,64}$/;

const RESULTS: ReadonlySet<unknown> = new Set(Object.values(IntakeResult));
const PHASES: ReadonlySet<unknown> = new Set(Object.values(JobPhase));

/** Whether a record with this key may be stored for another instance. */
export function isForwardedKey(key: string): boolean {
  return FORWARDED_KEY.test(key);
}

/** Whether a job with this id may be looked up for another instance. */
export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

/** Outcome of a write that an instance makes for another one. */
export interface ForwardedWrite {
  readonly result: IntakeResult;
  /** Time of the latest append; 0 if none was measured lately. */
  readonly appendMs: Millis;
}

/** Encodes the outcome of a write. */
export function encodeWrite({result, appendMs}: ForwardedWrite): string {
  return JSON.stringify({result, appendMs});
}

/** Decodes the outcome of a write; one that isn't valid is unknown. */
export function decodeWrite(body: Uint8Array): ForwardedWrite {
  const {result, appendMs} = parseObject(body);
  return {
    result: RESULTS.has(result)
      ? (result as IntakeResult)
      : IntakeResult.UNKNOWN,
    appendMs: decodeAppendTime(appendMs),
  };
}

/** Decodes the time of an append in ms; 0 if it isn't valid. */
export function decodeAppendTime(value: unknown): Millis {
  const appendMs = Number(value);
  return appendMs > 0 && Number.isFinite(appendMs) ? appendMs : 0;
}

/** Encodes the status of a job; undefined if there is no such job. */
export function encodeStatus(status: JobStatus | undefined): string {
  return JSON.stringify({status: status ?? null});
}

/** Decodes the status of a job; undefined if the response isn't valid. */
export function decodeStatus(body: Uint8Array): NeighbourStatus | undefined {
  const {status} = parseObject(body);
  if (status === null) return {status: undefined};
  if (typeof status !== 'object') return undefined;
  const {phase, ageMs} = status as {phase?: JobPhase; ageMs?: Millis};
  if (!PHASES.has(phase) || !Number.isFinite(ageMs)) return undefined;
  return {status: {phase: phase!, ageMs: ageMs!}};
}

/** Returns the fields of a JSON object; none for anything else. */
function parseObject(body: Uint8Array): Readonly<Record<string, unknown>> {
  try {
    const value: unknown = JSON.parse(Buffer.from(body).toString());
    if (typeof value !== 'object' || value === null) return {};
    return value as Record<string, unknown>;
  } catch {
    return {};
  }
}

import {Packr} from 'msgpackr';
import {
  ReportedEnd,
  ReportedRun,
  RunOutcome,
  WorkerReport,
} from '../../common/batch/types.js';
import {
  RenewalResponse,
  WorkerCallResult,
} from '../../common/batch/worker_calls.js';
import {asArray, asNumber, asString, decodeCode} from './frame_fields.js';
import {RelayResponse, ReplyFrame} from './relay_messages.js';

const packr = new Packr({useRecords: false});

const RESULT_CODES: Readonly<Record<WorkerCallResult, number>> = {
  [WorkerCallResult.ACCEPTED]: 0,
  [WorkerCallResult.FENCED]: 1,
  [WorkerCallResult.SUPERSEDED]: 2,
  [WorkerCallResult.LATE]: 3,
  [WorkerCallResult.FULL]: 4,
  [WorkerCallResult.TICKET]: 5,
  [WorkerCallResult.UNHEALTHY]: 6,
  [WorkerCallResult.REPLACED]: 7,
  [WorkerCallResult.INVALID]: 8,
  [WorkerCallResult.NOT_SENT]: 9,
  [WorkerCallResult.UNKNOWN]: 10,
};

const OUTCOME_CODES: Readonly<Record<RunOutcome, number>> = {
  [RunOutcome.DONE]: 0,
  [RunOutcome.FAILED]: 1,
  [RunOutcome.STOPPED]: 2,
  [RunOutcome.LEASE_EXPIRED]: 3,
  [RunOutcome.BROKEN]: 4,
  [RunOutcome.ALONE]: 5,
};

const RESULTS_BY_CODE = new Map(
  Object.values(WorkerCallResult).map(result => [RESULT_CODES[result], result]),
);

const OUTCOMES_BY_CODE = new Map(
  Object.values(RunOutcome).map(outcome => [OUTCOME_CODES[outcome], outcome]),
);

/** Encodes a frame from a relay by position, without field names. */
export function packReply({responses, isDraining}: ReplyFrame): Uint8Array {
  return packr.pack([isDraining, responses.map(packResponse)]);
}

function packResponse({id, response}: RelayResponse): readonly unknown[] {
  const {result, clockMs = null, report} = response;
  const code = RESULT_CODES[result];
  if (report === undefined) return [id, code, clockMs];
  return [id, code, clockMs, packReport(report)];
}

function packReport(report: WorkerReport): readonly unknown[] {
  const {born, clockMs, running, ends} = report;
  return [born, clockMs, running.map(packRun), ends.map(packEnd)];
}

function packRun(run: ReportedRun): readonly unknown[] {
  return [run.task, run.attempt, run.checkpoint, run.percent, run.gauge];
}

function packEnd(end: ReportedEnd): readonly unknown[] {
  const code = OUTCOME_CODES[end.end];
  return [end.sequence, end.task, end.attempt, code, end.checkpoint];
}

/**
 * Decodes a frame from a relay.
 * @throws Error if the frame is malformed.
 */
export function unpackReply(frame: Uint8Array): ReplyFrame {
  const [isDraining, responses] = asArray(packr.unpack(frame), 'a frame');
  return {
    responses: asArray(responses, 'responses').map(unpackResponse),
    isDraining: isDraining === true,
  };
}

function unpackResponse(entry: unknown): RelayResponse {
  const [id, code, clock, report] = asArray(entry, 'a response');
  const result = decodeCode(RESULTS_BY_CODE, code, 'result');
  const clockMs = clock === null ? undefined : asNumber(clock, 'clock');
  const response: RenewalResponse =
    report === undefined
      ? {result, clockMs}
      : {result, clockMs, report: unpackReport(report)};
  return {id: asNumber(id, 'number of a response'), response};
}

function unpackReport(fields: unknown): WorkerReport {
  const [born, clock, running, ends] = asArray(fields, 'a report');
  return {
    born: asNumber(born, 'incarnation'),
    clockMs: asNumber(clock, 'clock'),
    running: asArray(running, 'running runs').map(unpackRun),
    ends: asArray(ends, 'ends').map(unpackEnd),
  };
}

function unpackRun(fields: unknown): ReportedRun {
  const [task, attempt, checkpoint, percent, gauge] = asArray(fields, 'a run');
  return {
    task: asString(task, 'task'),
    attempt: asNumber(attempt, 'attempt'),
    checkpoint: asString(checkpoint, 'checkpoint'),
    percent: asNumber(percent, 'percent'),
    gauge: asNumber(gauge, 'gauge'),
  };
}

function unpackEnd(fields: unknown): ReportedEnd {
  const [sequence, task, attempt, code, checkpoint] = asArray(fields, 'an end');
  return {
    sequence: asNumber(sequence, 'number of an end'),
    task: asString(task, 'task'),
    attempt: asNumber(attempt, 'attempt'),
    end: decodeCode(OUTCOMES_BY_CODE, code, 'outcome'),
    checkpoint: asString(checkpoint, 'checkpoint'),
  };
}

import {Packr} from 'msgpackr';
import {
  RenewalResponse,
  WorkerCallResult,
} from '../../common/batch/worker_calls.js';
import {asArray, asNumber, decodeCode} from './frame_fields.js';
import {RelayResponse, ReplyFrame} from './relay_messages.js';
import {ReportPacker} from './report_packer.js';
import {ReportUnpacker} from './report_unpacker.js';

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

const RESULTS_BY_CODE = new Map(
  Object.values(WorkerCallResult).map(result => [RESULT_CODES[result], result]),
);

/**
 * Encodes a frame from a relay by position, without field names.
 * @param reports encoder of the reports on the link of this frame.
 */
export function packReply(
  {responses, isDraining}: ReplyFrame,
  reports: ReportPacker,
): Uint8Array {
  const packed = responses.map(response => packResponse(response, reports));
  return packr.pack([isDraining, packed]);
}

function packResponse(
  {id, worker, response}: RelayResponse,
  reports: ReportPacker,
): readonly unknown[] {
  const {result, clockMs = null, report} = response;
  const fields: unknown[] = [id, worker, RESULT_CODES[result], clockMs];
  if (report !== undefined) fields.push(reports.pack(worker, report));
  return fields;
}

/**
 * Decodes a frame from a relay.
 * @param reports decoder of the reports on the link of this frame.
 * @throws Error if the frame is malformed.
 */
export function unpackReply(
  frame: Uint8Array,
  reports: ReportUnpacker,
): ReplyFrame {
  const [isDraining, responses] = asArray(packr.unpack(frame), 'a frame');
  return {
    responses: asArray(responses, 'responses').map(entry =>
      unpackResponse(entry, reports),
    ),
    isDraining: isDraining === true,
  };
}

function unpackResponse(
  entry: unknown,
  reports: ReportUnpacker,
): RelayResponse {
  const [id, number, code, clock, report] = asArray(entry, 'a response');
  const worker = asNumber(number, 'number of a worker');
  const result = decodeCode(RESULTS_BY_CODE, code, 'result');
  const clockMs = clock === null ? undefined : asNumber(clock, 'clock');
  const response: RenewalResponse =
    report === undefined
      ? {result, clockMs}
      : {result, clockMs, report: reports.unpack(worker, report)};
  return {id: asNumber(id, 'number of a response'), worker, response};
}

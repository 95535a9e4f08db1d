import {IncomingMessage, ServerResponse} from 'node:http';
import {Either} from 'purify-ts';
import {Clock, Millis, SECOND} from '../../../common/base/clock.js';
import {AppendReport} from '../../../common/batch/admission/append_pace.js';
import {
  RecordKind,
  unpackSubmission,
} from '../../../common/batch/job_records.js';
import {DecisionLog} from '../../../common/batch/scheduler_state.js';
import {KeyedRecord} from '../../../common/batch/store.js';
import {JobStatus, LogUnavailableError} from '../job_lookup.js';
import {
  ALIVE_PATH,
  APPEND_TIME_HEADER,
  DEADLINE_HEADER,
  decodeAppendTime,
  encodeStatus,
  encodeWrite,
  ForwardedWrite,
  isForwardedKey,
  isJobId,
  JOBS_PATH,
  RECORDS_PATH,
  SENDER_HEADER,
  SLOW_PATH,
  SUSPECTED_PATH,
} from './neighbour_messages.js';

/** Longest time that a request may ask for; callers wait 3 s at most. */
const MAX_DEADLINE_MS: Millis = 3 * SECOND;

/**
 * Requests in progress at most. A slow store takes about 0.5 s for a batch, in
 * which 42 instances pass about 20 submissions; beyond this they find another
 * instance.
 */
const MAX_REQUESTS = 128;

/** Bodies of requests in progress at most, in bytes; a body has up to 262 kB. */
const MAX_BODY_BYTES_IN_PROGRESS = 8_000_000;

/** What an instance does for others. It passes nothing on to a third one. */
export interface NeighbourService {
  /** Largest record that can be stored, in bytes. */
  readonly maxRecordBytes: number;
  /**
   * @param deadline local time by which the result is returned.
   * @param sender instance that could not store the record.
   */
  storeForwarded(
    record: KeyedRecord,
    deadline: Millis,
    sender: AppendReport,
  ): Promise<ForwardedWrite>;
  /** Called when the collector tells that the store is slow. */
  onSlowStore(collector: AppendReport, isConfirmed: boolean): void;
  /** Returns an error if the log can't be read. */
  lookUpForwarded(
    id: string,
  ): Promise<Either<LogUnavailableError, JobStatus | undefined>>;
}

interface Reply {
  readonly status: number;
  readonly text?: string;
}

/** Serves writes and look-ups of instances that the store turns away. */
export class NeighbourApi {
  private requests = 0;
  private bodyBytes = 0;

  constructor(
    private readonly service: NeighbourService,
    private readonly clock: Clock,
    private readonly decisions: DecisionLog,
  ) {}

  /** Listener of the HTTP server for requests between instances. */
  readonly listener = (
    request: IncomingMessage,
    response: ServerResponse,
  ): void => {
    void this.serve(request, response);
  };

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.requests++;
    const {status, text = ''} = await this.handleSafely(request);
    this.requests--;
    // A body that was not read ends the connection.
    if (!request.complete) response.setHeader('connection', 'close');
    response.setHeader('content-length', Buffer.byteLength(text));
    response.writeHead(status).end(text);
  }

  /** After an unexpected error the record may be stored. */
  private async handleSafely(request: IncomingMessage): Promise<Reply> {
    try {
      return await this.handle(request);
    } catch (error) {
      const {url} = request;
      const text = error instanceof Error ? error.stack : String(error);
      this.decisions.decide('fault', {part: 'neighbour', url, error: text});
      return {status: 502};
    }
  }

  private async handle(request: IncomingMessage): Promise<Reply> {
    const {method, url = '', headers} = request;
    const deadlineMs = Number(headers[DEADLINE_HEADER]);
    const isStore = method === 'POST' && url.startsWith(RECORDS_PATH);
    const isLookUp = method === 'GET' && url.startsWith(JOBS_PATH);
    if (method === 'GET' && url === ALIVE_PATH) return {status: 200};
    if (method === 'POST' && (url === SLOW_PATH || url === SUSPECTED_PATH)) {
      this.service.onSlowStore(senderOf(request), url === SLOW_PATH);
      return {status: 200};
    }
    if (!isStore && !isLookUp) return {status: 404};
    if (!(deadlineMs > 0)) return {status: 400};
    if (this.requests > MAX_REQUESTS) return {status: 429};
    if (isLookUp) return this.lookUp(url.slice(JOBS_PATH.length));
    const deadline = this.clock.now() + Math.min(deadlineMs, MAX_DEADLINE_MS);
    return this.store(request, url.slice(RECORDS_PATH.length), deadline);
  }

  private async store(
    request: IncomingMessage,
    key: string,
    deadline: Millis,
  ): Promise<Reply> {
    const bytes = Number(request.headers['content-length']);
    if (!isForwardedKey(key) || !(bytes > 0)) return {status: 400};
    if (bytes > this.service.maxRecordBytes) return {status: 413};
    if (this.bodyBytes + bytes > MAX_BODY_BYTES_IN_PROGRESS) {
      return {status: 429};
    }
    this.bodyBytes += bytes;
    try {
      const value = await this.readBody(request, deadline);
      if (value === undefined || !isValidRecord(key, value)) {
        return {status: 400};
      }
      const record = {key, value};
      const write = await this.service.storeForwarded(
        record,
        deadline,
        senderOf(request),
      );
      const {result} = write;
      const {instance: from} = senderOf(request);
      this.decisions.decide('store-forwarded', {key, from, result});
      return {status: 200, text: encodeWrite(write)};
    } finally {
      this.bodyBytes -= bytes;
    }
  }

  /** Reads a body; undefined if it does not end before the deadline. */
  private readBody(
    request: IncomingMessage,
    deadline: Millis,
  ): Promise<Buffer | undefined> {
    return new Promise(resolve => {
      const chunks: Buffer[] = [];
      const timer = setTimeout(
        () => resolve(undefined),
        deadline - this.clock.now(),
      );
      const settle = (body: Buffer | undefined) => {
        clearTimeout(timer);
        resolve(body);
      };
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => settle(Buffer.concat(chunks)));
      request.on('error', () => settle(undefined));
      request.on('close', () => settle(undefined));
    });
  }

  private async lookUp(id: string): Promise<Reply> {
    if (!isJobId(id)) return {status: 400};
    const found = await this.service.lookUpForwarded(id);
    return found.caseOf<Reply>({
      Left: () => ({status: 503}),
      Right: status => ({status: 200, text: encodeStatus(status)}),
    });
  }
}

function senderOf({headers}: IncomingMessage): AppendReport {
  const instance = headers[SENDER_HEADER];
  return {
    instance: typeof instance === 'string' ? instance : '',
    appendMs: decodeAppendTime(headers[APPEND_TIME_HEADER]),
  };
}

/** Whether an instance that reads the record can decode it. */
function isValidRecord(key: string, value: Uint8Array): boolean {
  if (key[0] !== RecordKind.SUBMISSION) return value.length > 0;
  try {
    unpackSubmission(value);
    return true;
  } catch {
    return false;
  }
}

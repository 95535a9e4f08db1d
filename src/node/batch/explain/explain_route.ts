import {IncomingMessage, ServerResponse} from 'node:http';
import {Clock, Millis} from '../../../common/base/clock.js';
import {RefusalKind} from '../../../common/base/refusal.js';
import {ExplanationLimit} from '../../../common/batch/explain/explanation_limit.js';
import {DecisionLog} from '../../../common/batch/scheduler_state.js';
import {EXPLAIN_PATH} from './explain_client.js';
import {ExplainReply, faultsReply, refusal} from './explain_reply.js';
import {decodeExplainRequest, ExplainRequest} from './explain_request.js';
import {ExplainService} from './explain_service.js';

/**
 * Largest body of a request, in bytes: the default of the largest job that
 * callers may submit (262,144), and the other fields.
 */
const MAX_BODY_BYTES = 270_000;

/** Time for the body of a request; a job has at most some 100 kB. */
const BODY_TIMEOUT_MS: Millis = 500;

/** Seconds after which a caller that was refused may ask again. */
const RETRY_AFTER_S = 1;

/** Answers requests to explain jobs on an HTTP listener. */
export class ExplainRoute {
  private readonly limit = new ExplanationLimit();

  constructor(
    private readonly service: ExplainService,
    private readonly clock: Clock,
    private readonly decisions: DecisionLog,
  ) {}

  /** Returns whether the path is that of explanations, which it then answers. */
  readonly handle = (
    request: IncomingMessage,
    response: ServerResponse,
  ): boolean => {
    if ((request.url ?? '').split('?')[0] !== EXPLAIN_PATH) return false;
    void this.serve(request, response);
    return true;
  };

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const startedAt = this.clock.now();
    if (!this.limit.tryBegin(startedAt)) {
      const message =
        'Another explanation is under way, or there were three in the last ' +
        'second. Ask again in a second.';
      send(response, refusal(429, RefusalKind.OVERLOADED, message));
      return;
    }
    const fields: Partial<ExplainRequest> = {};
    const reply = await this.answerSafely(request, fields).finally(() =>
      this.limit.end(),
    );
    send(response, reply);
    this.decisions.decide('explain', {
      ...fields,
      status: reply.status,
      ms: Math.round(this.clock.now() - startedAt),
    });
  }

  private async answerSafely(
    request: IncomingMessage,
    fields: Partial<ExplainRequest>,
  ): Promise<ExplainReply> {
    try {
      return await this.answer(request, fields);
    } catch (error) {
      const text = error instanceof Error ? error.stack : String(error);
      this.decisions.decide('fault', {part: 'explain', error: text});
      const message = 'Unexpected error; the log of the instance shows it.';
      return refusal(500, RefusalKind.TARGET_FAILED, message);
    }
  }

  /** @param fields receives what the request asks for, for the log. */
  private async answer(
    request: IncomingMessage,
    fields: Partial<ExplainRequest>,
  ): Promise<ExplainReply> {
    if (request.method !== 'POST') {
      return refusal(405, RefusalKind.BAD_REQUEST, 'Use POST.');
    }
    const body = await readBody(request);
    if (body === undefined) {
      const message =
        `The request is not complete after ${BODY_TIMEOUT_MS} ms, or larger ` +
        `than ${MAX_BODY_BYTES} bytes.`;
      return refusal(413, RefusalKind.BODY_TOO_LARGE, message);
    }
    return decodeExplainRequest(body).caseOf({
      Left: faults => Promise.resolve(faultsReply(faults)),
      Right: asked => {
        const {id, queue, isForwarded} = asked;
        Object.assign(fields, {id, queue, isForwarded});
        return this.service.answer(asked);
      },
    });
  }
}

/** Reads a body; undefined if it is too large or too slow, or breaks off. */
function readBody(request: IncomingMessage): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const end = (body?: Buffer): void => {
      clearTimeout(timer);
      request.removeAllListeners('data');
      request.pause();
      resolve(body);
    };
    const timer = setTimeout(end, BODY_TIMEOUT_MS);
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > MAX_BODY_BYTES) end();
      else chunks.push(chunk);
    });
    request.on('end', () => end(Buffer.concat(chunks)));
    request.on('error', () => end());
    request.on('close', () => end());
  });
}

/** Sends a reply and closes the connection, whose body may not be read. */
function send(response: ServerResponse, {status, body}: ExplainReply): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(text)),
    connection: 'close',
    ...(status === 429 && {'retry-after': String(RETRY_AFTER_S)}),
  });
  response.end(text);
}

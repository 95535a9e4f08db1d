import {ServerResponse} from 'node:http';
import {Either, Left, Right} from 'purify-ts';
import {Dispatcher} from 'undici';
import {Millis} from '../common/base/clock.js';
import {AttemptOutcome} from '../common/routing/types.js';
import {answerHeaders, Headers} from './proxy_headers.js';
import {framingOf, Framing} from './answer_framing.js';
import {BodyTooLargeError} from './request_body.js';

/** The beginning of a target's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Headers;
}

/** Faults of a request that show only when it is sent. */
export const RequestFault = {
  BODY_TOO_LARGE: 'body-too-large',
  MALFORMED: 'malformed',
} as const;
export type RequestFault = (typeof RequestFault)[keyof typeof RequestFault];

/** undici's codes for requests that it does not send. */
const MALFORMED_CODES: ReadonlySet<string | undefined> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
  'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH',
]);

function faultOf(error: Error): RequestFault | undefined {
  if (error instanceof BodyTooLargeError) return RequestFault.BODY_TOO_LARGE;
  const {code} = error as NodeJS.ErrnoException;
  return MALFORMED_CODES.has(code) ? RequestFault.MALFORMED : undefined;
}

/** An attempt without a whole answer. */
export interface AttemptFailure {
  readonly outcome: AttemptOutcome;
  /** False only when provably no byte of the request was sent. */
  readonly sent: boolean;
  readonly reason: string;
  /** Set when the request itself is at fault and not the target. */
  readonly fault?: RequestFault;
}

/** Why an attempt is ended from this side. */
export class AttemptAbort extends Error {
  constructor(
    readonly outcome: AttemptOutcome,
    message: string,
  ) {
    super(message);
  }
}

/** Limits of an attempt. */
export interface AttemptLimits {
  readonly callerIdleMs: Millis;
  /** Most that is kept of an answer that can't be paused, in bytes. */
  readonly unpausedAnswerBytes: number;
}

type State = 'waiting' | 'sent' | 'answering' | 'ended';

/** One request to one target, and the relay of its answer to the caller. */
export class Attempt {
  private state: State = 'waiting';
  private controller: Dispatcher.DispatchController | undefined;
  private framing: Framing | undefined;
  private response: ServerResponse | undefined;
  /** What arrived before the relay began. */
  private early: Buffer[] = [];
  private complete = false;
  private discarded = false;
  private received = 0;
  private stalled: NodeJS.Timeout | undefined;
  private aborted: AttemptAbort | undefined;
  private failed: AttemptFailure | undefined;
  private resolveHead!: (head: Either<AttemptFailure, AnswerHead>) => void;
  private resolveEnd!: (end: Either<AttemptFailure, void>) => void;

  /** Resolves with the head of the answer, or with the failure before it. */
  readonly head = new Promise<Either<AttemptFailure, AnswerHead>>(resolve => {
    this.resolveHead = resolve;
  });

  private readonly end = new Promise<Either<AttemptFailure, void>>(resolve => {
    this.resolveEnd = resolve;
  });

  constructor(
    target: Dispatcher,
    private readonly options: Dispatcher.DispatchOptions,
    private readonly limits: AttemptLimits,
  ) {
    target.dispatch(options, {
      onRequestStart: controller => this.start(controller),
      onResponseStart: (unusedController, status, headers) =>
        this.begin(status, headers),
      onResponseData: (unusedController, chunk) => this.data(chunk),
      onResponseEnd: () => this.finish(),
      onResponseError: (unusedController, error) => this.fail(error),
    });
  }

  /** Ends the attempt from this side. */
  abort(abort: AttemptAbort): void {
    if (this.state === 'ended') return;
    this.aborted = abort;
    // Without a controller nothing has been sent; `start` stops the request
    // when its turn on a connection comes.
    if (this.controller === undefined) this.fail(abort);
    else this.controller.abort(abort);
  }

  /** Drops the answer. A short one is read so that its connection is kept. */
  discard(): void {
    this.discarded = true;
    this.early = [];
    const length = this.framing?.length;
    if (length !== undefined && length <= this.limits.unpausedAnswerBytes) {
      return;
    }
    this.abort(new AttemptAbort(AttemptOutcome.CANCELLED, 'not needed'));
  }

  /**
   * Passes the answer on. When the target breaks off, the caller's connection
   * is reset, so that the part that was passed on can't be taken for a whole
   * answer.
   */
  relay(
    response: ServerResponse,
    head: AnswerHead,
  ): Promise<Either<AttemptFailure, void>> {
    this.response = response;
    response.writeHead(head.status, answerHeaders(head.headers));
    response.on('drain', this.drained);
    const early = this.early;
    this.early = [];
    for (const chunk of early) this.pass(chunk);
    if (this.failed !== undefined) this.cut();
    else if (this.complete) this.close();
    return this.end;
  }

  private start(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.aborted !== undefined) {
      // Aborting before the first write keeps the request from being sent.
      controller.abort(this.aborted);
      return;
    }
    this.state = 'sent';
  }

  private begin(status: number, headers: Headers): void {
    // Answers below 200 are announcements; the final one follows.
    if (status < 200) return;
    const framing = framingOf(this.options.method, status, headers);
    if (framing === undefined) {
      this.controller?.abort(
        new AttemptAbort(
          AttemptOutcome.BROKEN,
          'the answer has neither content-length nor chunked encoding, so ' +
            'its end is unknown',
        ),
      );
      return;
    }
    this.framing = framing;
    this.state = 'answering';
    this.resolveHead(Right({status, headers}));
  }

  private data(chunk: Buffer): void {
    this.received += chunk.length;
    if (this.discarded) return;
    if (this.response === undefined) this.early.push(chunk);
    else this.pass(chunk);
  }

  private pass(chunk: Buffer): void {
    const {response} = this;
    if (response === undefined || response.destroyed) return;
    if (response.write(chunk)) return;
    this.stalled ??= setTimeout(() => {
      this.abort(
        new AttemptAbort(
          AttemptOutcome.CANCELLED,
          'the caller stopped reading',
        ),
      );
    }, this.limits.callerIdleMs);
    if (this.framing?.pausable === true) {
      this.controller?.pause();
    } else if (response.writableLength > this.limits.unpausedAnswerBytes) {
      this.abort(
        new AttemptAbort(
          AttemptOutcome.CANCELLED,
          'the caller reads too slowly',
        ),
      );
    }
  }

  private readonly drained = (): void => {
    clearTimeout(this.stalled);
    this.stalled = undefined;
    this.controller?.resume();
  };

  private finish(): void {
    if (this.state === 'ended') return;
    const length = this.framing?.length;
    if (length !== undefined && length !== this.received) {
      this.fail(new Error('the answer is shorter than announced'));
      return;
    }
    this.complete = true;
    if (this.response !== undefined) this.close();
    if (this.discarded) this.settle(Right(undefined));
  }

  private close(): void {
    this.response?.end();
    this.settle(Right(undefined));
  }

  private fail(error: Error): void {
    if (this.state === 'ended') return;
    const abort = error instanceof AttemptAbort ? error : this.aborted;
    const sent = this.state !== 'waiting';
    const broken = sent ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_SENT;
    const fault = faultOf(error);
    this.failed = {
      // A fault of the request says nothing about the target.
      outcome: abort?.outcome ?? (fault ? AttemptOutcome.CANCELLED : broken),
      sent,
      reason: error.message,
      fault,
    };
    this.resolveHead(Left(this.failed));
    if (this.response !== undefined) this.cut();
    this.settle(Left(this.failed));
  }

  /** Resets the caller's connection; a plain close could look like an end. */
  private cut(): void {
    const {response} = this;
    if (response === undefined || response.writableEnded) return;
    const {socket} = response;
    if (socket === null) response.destroy();
    else socket.resetAndDestroy();
  }

  private settle(end: Either<AttemptFailure, void>): void {
    this.state = 'ended';
    clearTimeout(this.stalled);
    this.response?.off('drain', this.drained);
    this.resolveEnd(end);
  }
}

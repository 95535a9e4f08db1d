import {ServerResponse} from 'node:http';
import {Either, Left, Right} from 'purify-ts';
import {Dispatcher} from 'undici';
import {Millis} from '../common/base/clock.js';
import {AttemptOutcome} from '../common/routing/types.js';
import {forwardedResponseHeaders, Headers} from './proxy_headers.js';
import {readFraming, ResponseFraming} from './response_framing.js';
import {BodyAbortedError, BodyTooLargeError} from './request_body.js';

/** Status and headers of a target's response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: Headers;
}

/** Errors of a request that are found only while it is sent. */
export const RequestFault = {
  BODY_TOO_LARGE: 'body-too-large',
  /** The caller disconnected before it had sent the complete body. */
  BODY_BROKEN: 'body-broken',
  MALFORMED: 'malformed',
} as const;
export type RequestFault = (typeof RequestFault)[keyof typeof RequestFault];

/** Error codes of undici for requests that it refuses to send. */
const MALFORMED_CODES: ReadonlySet<string | undefined> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
  'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH',
]);

function requestFaultOf(error: Error): RequestFault | undefined {
  if (error instanceof BodyTooLargeError) return RequestFault.BODY_TOO_LARGE;
  if (error instanceof BodyAbortedError) return RequestFault.BODY_BROKEN;
  const {code} = error as NodeJS.ErrnoException;
  return MALFORMED_CODES.has(code) ? RequestFault.MALFORMED : undefined;
}

/** Failure of an attempt: it got no complete response. */
export interface AttemptFailure {
  readonly outcome: AttemptOutcome;
  /** False only if provably no byte of the request was sent. */
  readonly sent: boolean;
  readonly reason: string;
  /** Set if the proxy aborted the attempt. */
  readonly abort?: AttemptAbort;
  /** Set if the request caused the failure and not the target. */
  readonly fault?: RequestFault;
}

/** The reason why the proxy aborts an attempt. */
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
  /** Time in milliseconds for which a caller may read nothing. */
  readonly callerIdleTimeoutMs: Millis;
  /** Maximum number of bytes buffered of a response that can't be paused. */
  readonly maxUnpausedResponseBytes: number;
}

type AttemptState = 'waiting' | 'sent' | 'answering' | 'ended';

/**
 * Sends a request to one target and relays the response to the caller, with
 * backpressure.
 */
export class Attempt {
  private state: AttemptState = 'waiting';
  private controller: Dispatcher.DispatchController | undefined;
  private framing: ResponseFraming | undefined;
  private response: ServerResponse | undefined;
  /** Chunks of the response body that arrived before `relay` was called. */
  private buffered: Buffer[] = [];
  private responseComplete = false;
  private discarded = false;
  private receivedBytes = 0;
  private callerIdleTimer: NodeJS.Timeout | undefined;
  private abortReason: AttemptAbort | undefined;
  private failure: AttemptFailure | undefined;
  private resolveHead!: (head: Either<AttemptFailure, ResponseHead>) => void;
  private resolveEnd!: (end: Either<AttemptFailure, void>) => void;

  /** Resolves with the head of the response, or with the failure before it. */
  readonly head = new Promise<Either<AttemptFailure, ResponseHead>>(resolve => {
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
      onRequestStart: controller => this.onRequestStart(controller),
      onResponseStart: (unusedController, status, headers) =>
        this.onResponseStart(status, headers),
      onResponseData: (unusedController, chunk) => this.onResponseData(chunk),
      onResponseEnd: () => this.onResponseEnd(),
      onResponseError: (unusedController, error) => this.fail(error),
    });
  }

  /** Aborts the attempt. */
  abort(abort: AttemptAbort): void {
    if (this.state === 'ended') return;
    this.abortReason = abort;
    // Without a controller nothing has been sent. `onRequestStart` aborts the
    // request when a connection becomes available for it.
    if (this.controller === undefined) this.fail(abort);
    else this.controller.abort(abort);
  }

  /**
   * Discards the response. A short one is read to its end so that the
   * connection can be reused.
   */
  discard(): void {
    this.discarded = true;
    this.buffered = [];
    const length = this.framing?.bodyLength;
    if (
      length !== undefined &&
      length <= this.limits.maxUnpausedResponseBytes
    ) {
      return;
    }
    this.abort(
      new AttemptAbort(AttemptOutcome.CANCELLED, 'the response is not needed'),
    );
  }

  /**
   * Relays the response to the caller. If the target fails midway, the caller's
   * connection is reset, so that a truncated response can't be mistaken for a
   * complete one.
   */
  relay(
    response: ServerResponse,
    head: ResponseHead,
  ): Promise<Either<AttemptFailure, void>> {
    this.response = response;
    response.writeHead(head.status, forwardedResponseHeaders(head.headers));
    response.on('drain', this.onDrain);
    const chunks = this.buffered;
    this.buffered = [];
    for (const chunk of chunks) this.writeToCaller(chunk);
    if (this.failure !== undefined) this.resetCaller();
    else if (this.responseComplete) this.endResponse();
    return this.end;
  }

  private onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.abortReason !== undefined) {
      // undici sends nothing if the request is aborted before the first write.
      controller.abort(this.abortReason);
      return;
    }
    this.state = 'sent';
  }

  private onResponseStart(status: number, headers: Headers): void {
    // Responses with a status below 200 are interim; the final one follows.
    if (status < 200) return;
    const framing = readFraming(this.options.method, status, headers);
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

  private onResponseData(chunk: Buffer): void {
    this.receivedBytes += chunk.length;
    if (this.discarded) return;
    if (this.response === undefined) this.buffered.push(chunk);
    else this.writeToCaller(chunk);
  }

  private writeToCaller(chunk: Buffer): void {
    const {response} = this;
    if (response === undefined || response.destroyed) return;
    if (response.write(chunk)) return;
    this.callerIdleTimer ??= setTimeout(() => {
      this.abort(
        new AttemptAbort(
          AttemptOutcome.CANCELLED,
          'the caller stopped reading',
        ),
      );
    }, this.limits.callerIdleTimeoutMs);
    if (this.framing?.pausable === true) {
      this.controller?.pause();
    } else if (response.writableLength > this.limits.maxUnpausedResponseBytes) {
      this.abort(
        new AttemptAbort(
          AttemptOutcome.CANCELLED,
          'the caller reads too slowly',
        ),
      );
    }
  }

  private readonly onDrain = (): void => {
    clearTimeout(this.callerIdleTimer);
    this.callerIdleTimer = undefined;
    this.controller?.resume();
  };

  private onResponseEnd(): void {
    if (this.state === 'ended') return;
    const length = this.framing?.bodyLength;
    if (length !== undefined && length !== this.receivedBytes) {
      this.fail(new Error('the response is shorter than its content-length'));
      return;
    }
    this.responseComplete = true;
    if (this.response !== undefined) this.endResponse();
    if (this.discarded) this.settle(Right(undefined));
  }

  private endResponse(): void {
    this.response?.end();
    this.settle(Right(undefined));
  }

  private fail(error: Error): void {
    if (this.state === 'ended') return;
    const abort = error instanceof AttemptAbort ? error : this.abortReason;
    const sent = this.state !== 'waiting';
    const failed = sent ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_SENT;
    const fault = requestFaultOf(error);
    this.failure = {
      // An error of the request says nothing about the target's health.
      outcome: abort?.outcome ?? (fault ? AttemptOutcome.CANCELLED : failed),
      sent,
      reason: error.message,
      abort,
      fault,
    };
    this.resolveHead(Left(this.failure));
    if (this.response !== undefined) this.resetCaller();
    this.settle(Left(this.failure));
  }

  /** Resets the caller's connection; a close could mark the end of the body. */
  private resetCaller(): void {
    const {response} = this;
    if (response === undefined || response.writableEnded) return;
    const {socket} = response;
    if (socket === null) response.destroy();
    else socket.resetAndDestroy();
  }

  private settle(end: Either<AttemptFailure, void>): void {
    this.state = 'ended';
    clearTimeout(this.callerIdleTimer);
    this.response?.off('drain', this.onDrain);
    this.resolveEnd(end);
  }
}

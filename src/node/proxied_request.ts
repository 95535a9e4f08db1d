import {Either} from 'purify-ts';
import {Refusal} from '../common/base/refusal.js';
import {RequestPriority} from '../common/routing/admission.js';
import {AttemptOutcome} from '../common/routing/types.js';
import {AdmissionQueue, QueuedRequest} from './admission_queue.js';
import {AttemptAbort} from './attempt.js';
import {Exchange, sendRefusal} from './json_server.js';
import {bodyTooLarge, deadlinePassed} from './proxy_refusals.js';
import {RequestEnd, RequestEndKind} from './proxy_types.js';
import {BodyTooLargeError, RequestBody} from './request_body.js';
import {RequestClaim, AbortableWait} from './request_claim.js';
import {RequestContext} from './request_context.js';
import {
  ProxyResources,
  RequestAttempts,
  AttemptsResult,
} from './request_attempts.js';

/** Status codes by which a target signals overload. */
const OVERLOADED_STATUS_CODES: ReadonlySet<number> = new Set([429, 503]);

/** One request, from its headers to the end of the response. */
export class ProxiedRequest {
  private readonly abortController = new AbortController();
  private readonly claim: RequestClaim;
  private refusal: Refusal | undefined;
  private status = 0;
  private attempts = 0;
  private truncated = false;
  private deadlineTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly resources: ProxyResources,
    private readonly queue: AdmissionQueue,
    private readonly exchange: Exchange,
    private readonly context: RequestContext,
  ) {
    this.claim = new RequestClaim(resources.claims, context.claimKey);
  }

  /** Processes the request; resolves when the response has ended. */
  async run(): Promise<RequestEnd> {
    const {response} = this.exchange;
    const onClose = () =>
      this.cancel(AttemptOutcome.CANCELLED, 'the caller disconnected');
    response.once('close', onClose);
    this.deadlineTimer = setTimeout(
      () => this.cancel(AttemptOutcome.TIMED_OUT, 'deadline passed'),
      Math.max(0, this.context.deadline - this.resources.clock.now()),
    );
    try {
      const refusal = await this.handle();
      if (refusal !== undefined) this.sendRefusalResponse(refusal);
      return this.describeEnd();
    } finally {
      clearTimeout(this.deadlineTimer);
      response.off('close', onClose);
    }
  }

  private cancel(outcome: AttemptOutcome, reason: string): void {
    this.abortController.abort(new AttemptAbort(outcome, reason));
  }

  private get abortReason(): AttemptAbort | undefined {
    return this.abortController.signal.reason as AttemptAbort | undefined;
  }

  /** Processes the request and returns the refusal to send, if any. */
  private async handle(): Promise<Refusal | undefined> {
    const body = await this.receiveBody();
    if (!(body instanceof RequestBody)) return body;
    // Each claim writes a record to the log, so a request that would be refused
    // anyway doesn't claim its key.
    const earlyRefusal = refusalOf(
      this.queue.check(this.priority, this.context.deadline),
    );
    if (earlyRefusal !== undefined) return earlyRefusal;
    const claimRefusal = await this.claim.acquire(this.unlessAborted);
    if (claimRefusal !== undefined) return claimRefusal;
    const queued = this.queue.enqueue(this.priority, this.context.deadline);
    const attempts = new RequestAttempts(
      this.resources,
      this.context,
      body,
      this.abortController.signal,
    );
    try {
      return await this.sendWhenAdmitted(queued, attempts);
    } finally {
      this.attempts = attempts.count;
      if (!attempts.mayHaveRun) this.claim.end('released');
      queued.finish(this.reportsOverload(attempts), this.timedOut);
    }
  }

  private get priority(): RequestPriority {
    return this.context.claimKey === undefined
      ? RequestPriority.NORMAL
      : RequestPriority.HIGH;
  }

  /** Awaits a promise; rejects with the abort reason if there is an abort. */
  private readonly unlessAborted: AbortableWait = promise => {
    const {signal} = this.abortController;
    return new Promise((resolve, reject) => {
      const onAbort = () => reject(signal.reason as AttemptAbort);
      if (signal.aborted) onAbort();
      signal.addEventListener('abort', onAbort, {once: true});
      promise
        .then(resolve, reject)
        .finally(() => signal.removeEventListener('abort', onAbort));
    });
  };

  private async receiveBody(): Promise<RequestBody | Refusal> {
    const {options} = this.resources;
    try {
      return await this.unlessAborted(
        RequestBody.receive(this.exchange, options),
      );
    } catch (error) {
      if (error instanceof BodyTooLargeError) {
        return bodyTooLarge(error.limit, false);
      }
      return deadlinePassed(false);
    }
  }

  private async sendWhenAdmitted(
    queued: QueuedRequest,
    attempts: RequestAttempts,
  ): Promise<Refusal | undefined> {
    for (;;) {
      const refusal = await this.waitForAdmission(queued);
      if (refusal !== undefined) return refusal;
      const result = await attempts.run();
      if (result.kind !== 'full') return this.forwardResponse(result, attempts);
      queued.requeue();
    }
  }

  private async waitForAdmission(
    queued: QueuedRequest,
  ): Promise<Refusal | undefined> {
    try {
      return refusalOf(await this.unlessAborted(queued.admitted));
    } catch (error) {
      if (error instanceof AttemptAbort) return deadlinePassed(false);
      throw error;
    }
  }

  private async forwardResponse(
    result: AttemptsResult,
    attempts: RequestAttempts,
  ): Promise<Refusal | undefined> {
    if (result.kind !== 'answer') return result.refusal;
    // The deadline applies to the response head; the body may take longer.
    clearTimeout(this.deadlineTimer);
    this.status = result.head.status;
    this.claim.end(result.head.status);
    const relayEnd = await attempts.relay(
      result.started,
      result.head,
      this.exchange,
    );
    // Resetting the caller's connection calls `onClose`, too. The failure has
    // this request's abort reason only if the caller disconnected first.
    this.truncated = relayEnd.caseOf({
      Left: ({abort}) => abort === undefined || abort !== this.abortReason,
      Right: () => false,
    });
    await this.waitForFlush();
    return undefined;
  }

  /**
   * Waits until the rest of the response is written, or destroys it after
   * `callerIdleTimeoutMs`.
   */
  private waitForFlush(): Promise<void> {
    const {response} = this.exchange;
    if (response.writableFinished || response.destroyed) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const timer = setTimeout(
        () => response.destroy(),
        this.resources.options.callerIdleTimeoutMs,
      );
      const onDone = () => {
        clearTimeout(timer);
        resolve();
      };
      response.once('finish', onDone).once('close', onDone);
    });
  }

  private get timedOut(): boolean {
    return this.abortReason?.outcome === AttemptOutcome.TIMED_OUT;
  }

  /** Whether the target is overloaded; undefined if the run doesn't show it. */
  private reportsOverload(attempts: RequestAttempts): boolean | undefined {
    if (!attempts.mayHaveRun) return undefined;
    if (this.timedOut) return true;
    if (this.status === 0) return undefined;
    return OVERLOADED_STATUS_CODES.has(this.status);
  }

  private sendRefusalResponse(refusal: Refusal): void {
    this.refusal = refusal;
    const {request, response} = this.exchange;
    // The rest of the body isn't read, so the connection can't be reused.
    if (!request.complete && !response.headersSent) {
      response.setHeader('connection', 'close');
    }
    sendRefusal(response, refusal);
    this.status = response.statusCode;
  }

  private describeEnd(): RequestEnd {
    const {context, refusal, status, attempts} = this;
    return {
      service: context.service,
      kind: this.endKind(),
      latencyMs: this.resources.clock.now() - context.arrivedAt,
      attempts,
      status,
      refusal: refusal?.error,
    };
  }

  private endKind(): RequestEndKind {
    if (this.truncated) return RequestEndKind.CUT;
    if (this.abortReason?.outcome === AttemptOutcome.CANCELLED) {
      return RequestEndKind.CANCELLED;
    }
    return this.refusal === undefined
      ? RequestEndKind.ANSWERED
      : RequestEndKind.REFUSED;
  }
}

function refusalOf(admitted: Either<Refusal, void>): Refusal | undefined {
  return admitted.caseOf<Refusal | undefined>({
    Left: refusal => refusal,
    Right: () => undefined,
  });
}

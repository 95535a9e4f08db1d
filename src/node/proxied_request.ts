import {Either} from 'purify-ts';
import {Refusal} from '../common/base/refusal.js';
import {RequestPriority} from '../common/routing/admission.js';
import {AttemptOutcome} from '../common/routing/types.js';
import {AdmissionQueue, QueuePlace} from './admission_queue.js';
import {AttemptAbort} from './attempt.js';
import {Exchange, sendRefusal} from './json_server.js';
import {bodyTooLarge, deadlinePassed} from './proxy_refusals.js';
import {RequestEnd, RequestEndKind} from './proxy_types.js';
import {BodyTooLargeError, RequestBody} from './request_body.js';
import {RequestClaim, Wanted} from './request_claim.js';
import {RequestContext} from './request_context.js';
import {ProxyParts, TargetTrials, TrialsEnd} from './target_trials.js';

/** Answers by which a target says that it has too much to do. */
const OVERLOADED_STATUS: ReadonlySet<number> = new Set([429, 503]);

/** The life of one request, from its headers to the end of the exchange. */
export class ProxiedRequest {
  private readonly stop = new AbortController();
  private readonly claim: RequestClaim;
  private refusal: Refusal | undefined;
  private status = 0;
  private attempts = 0;
  private cut = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly parts: ProxyParts,
    private readonly queue: AdmissionQueue,
    private readonly exchange: Exchange,
    private readonly context: RequestContext,
  ) {
    this.claim = new RequestClaim(parts.claims, context.claimKey);
  }

  /** Serves the request; resolves when the exchange has ended. */
  async run(): Promise<RequestEnd> {
    const {response} = this.exchange;
    const gone = () => this.cancel(AttemptOutcome.CANCELLED, 'caller gone');
    response.once('close', gone);
    this.timer = setTimeout(
      () => this.cancel(AttemptOutcome.TIMED_OUT, 'deadline passed'),
      Math.max(0, this.context.deadline - this.parts.clock.now()),
    );
    try {
      const refusal = await this.serve();
      if (refusal !== undefined) this.refuse(refusal);
      return this.describeEnd();
    } finally {
      clearTimeout(this.timer);
      response.off('close', gone);
    }
  }

  private cancel(outcome: AttemptOutcome, reason: string): void {
    this.stop.abort(new AttemptAbort(outcome, reason));
  }

  private get stopped(): AttemptAbort | undefined {
    return this.stop.signal.reason as AttemptAbort | undefined;
  }

  /** Does the work; the result is the refusal to send, if any. */
  private async serve(): Promise<Refusal | undefined> {
    const body = await this.receiveBody();
    if (!(body instanceof RequestBody)) return body;
    // A claim costs a record in the log, so none is asked for in vain.
    const hopeless = refusalOf(
      this.queue.check(this.priority, this.context.deadline),
    );
    if (hopeless !== undefined) return hopeless;
    const unclaimed = await this.claim.get(this.wanted);
    if (unclaimed !== undefined) return unclaimed;
    const place = this.queue.enter(this.priority, this.context.deadline);
    const trials = new TargetTrials(
      this.parts,
      this.context,
      body,
      this.stop.signal,
    );
    try {
      return await this.serveAdmitted(place, trials);
    } finally {
      this.attempts = trials.attempts;
      if (!trials.mayHaveRun) this.claim.end('released');
      place.leave(this.overloaded(trials), this.timedOut);
    }
  }

  private get priority(): RequestPriority {
    return this.context.claimKey === undefined
      ? RequestPriority.NORMAL
      : RequestPriority.HIGH;
  }

  /** Waits for `work`, but not longer than the request is wanted. */
  private readonly wanted: Wanted = work => {
    const {signal} = this.stop;
    return new Promise((resolve, reject) => {
      const stopped = () => reject(signal.reason as AttemptAbort);
      if (signal.aborted) stopped();
      signal.addEventListener('abort', stopped, {once: true});
      work
        .then(resolve, reject)
        .finally(() => signal.removeEventListener('abort', stopped));
    });
  };

  private async receiveBody(): Promise<RequestBody | Refusal> {
    const {request} = this.exchange;
    const {options} = this.parts;
    try {
      return await this.wanted(RequestBody.receive(request, options));
    } catch (error) {
      if (error instanceof BodyTooLargeError) {
        return bodyTooLarge(error.limit, false);
      }
      return deadlinePassed(false);
    }
  }

  private async serveAdmitted(
    place: QueuePlace,
    trials: TargetTrials,
  ): Promise<Refusal | undefined> {
    for (;;) {
      const refusal = await this.admitted(place);
      if (refusal !== undefined) return refusal;
      const end = await trials.run();
      if (end.kind !== 'full') return this.conclude(end, trials);
      place.putBack();
    }
  }

  private async admitted(place: QueuePlace): Promise<Refusal | undefined> {
    try {
      return refusalOf(await this.wanted(place.admitted));
    } catch (error) {
      if (error instanceof AttemptAbort) return deadlinePassed(false);
      throw error;
    }
  }

  private async conclude(
    end: TrialsEnd,
    trials: TargetTrials,
  ): Promise<Refusal | undefined> {
    if (end.kind !== 'answer') return end.refusal;
    // The deadline is for the beginning of the answer; a stream may go on.
    clearTimeout(this.timer);
    this.status = end.head.status;
    this.claim.end(end.head.status);
    const relayed = await trials.relay(end.trial, end.head, this.exchange);
    // Cutting the connection looks like a caller that goes away, too.
    this.cut = relayed.caseOf({
      Left: ({abort}) => abort === undefined || abort !== this.stopped,
      Right: () => false,
    });
    await this.flushed();
    return undefined;
  }

  /** Waits until the caller has taken the rest of the answer. */
  private flushed(): Promise<void> {
    const {response} = this.exchange;
    if (response.writableFinished || response.destroyed) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const timer = setTimeout(
        () => response.destroy(),
        this.parts.options.callerIdleMs,
      );
      const done = () => {
        clearTimeout(timer);
        resolve();
      };
      response.once('finish', done).once('close', done);
    });
  }

  private get timedOut(): boolean {
    return this.stopped?.outcome === AttemptOutcome.TIMED_OUT;
  }

  /** What the end says about the load; undefined when it says nothing. */
  private overloaded(trials: TargetTrials): boolean | undefined {
    if (!trials.mayHaveRun) return undefined;
    if (this.timedOut) return true;
    if (this.status === 0) return undefined;
    return OVERLOADED_STATUS.has(this.status);
  }

  private refuse(refusal: Refusal): void {
    this.refusal = refusal;
    const {request, response} = this.exchange;
    // What is left of the body is not read, so the connection can't be reused.
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
      latencyMs: this.parts.clock.now() - context.arrivedAt,
      attempts,
      status,
      refusal: refusal?.error,
    };
  }

  private endKind(): RequestEndKind {
    if (this.cut) return RequestEndKind.CUT;
    if (this.stopped?.outcome === AttemptOutcome.CANCELLED) {
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

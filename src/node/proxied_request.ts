import {Either, Left} from 'purify-ts';
import {Dispatcher} from 'undici';
import {refuse, Refusal, RefusalKind} from '../common/base/refusal.js';
import {AttemptOutcome, Choice} from '../common/routing/types.js';
import {AnswerHead, Attempt, AttemptAbort, AttemptFailure} from './attempt.js';
import {Exchange, sendRefusal} from './json_server.js';
import {
  alreadyClaimed,
  attemptFailed,
  bodyTooLarge,
  deadlinePassed,
} from './proxy_refusals.js';
import {
  LeavingNotice,
  ProxyDependencies,
  ProxyOptions,
  RequestEnd,
  RequestEndKind,
} from './proxy_types.js';
import {BodyTooLargeError, RequestBody} from './request_body.js';
import {RequestContext} from './request_context.js';
import {TargetPools} from './target_pools.js';

/** What a request shares with the others of its proxy. */
export interface ProxyParts extends ProxyDependencies {
  readonly pools: TargetPools;
  readonly options: ProxyOptions;
  readonly targetLeaving: (notice: LeavingNotice) => void;
}

/** Answers of a target that say that another one may do better. */
const RETRIED_STATUS: ReadonlySet<number> = new Set([502, 503, 504]);

/** A started attempt with its choice. */
interface Trial {
  readonly choice: Choice;
  readonly attempt: Attempt;
}

/** The life of one request, from its headers to the end of the exchange. */
export class ProxiedRequest {
  private readonly tried: string[] = [];
  private readonly stop = new AbortController();
  private mayHaveRun = false;
  private claimHeld = false;
  private refusal: Refusal | undefined;
  private status = 0;
  private body!: RequestBody;

  constructor(
    private readonly parts: ProxyParts,
    private readonly exchange: Exchange,
    private readonly context: RequestContext,
  ) {}

  /** Serves the request; resolves when the exchange has ended. */
  async run(): Promise<RequestEnd> {
    const {response} = this.exchange;
    const gone = () => this.cancel(AttemptOutcome.CANCELLED, 'caller gone');
    response.once('close', gone);
    const wait = this.context.deadline - this.parts.clock.now();
    const timer = setTimeout(
      () => this.cancel(AttemptOutcome.TIMED_OUT, 'deadline passed'),
      Math.max(0, wait),
    );
    const stopTimer = () => clearTimeout(timer);
    this.stop.signal.addEventListener('abort', stopTimer);
    try {
      const refusal = await this.serve(stopTimer);
      if (refusal !== undefined) this.refuse(refusal);
      return this.describeEnd();
    } finally {
      stopTimer();
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
  private async serve(answering: () => void): Promise<Refusal | undefined> {
    const early = (await this.receiveBody()) ?? (await this.claim());
    if (early !== undefined) return early;
    const refusal = await this.tryTargets(answering);
    if (this.claimHeld && !this.mayHaveRun) this.endClaim('released');
    return refusal;
  }

  /** Waits for `work`, but not longer than the request is wanted. */
  private wanted<T>(work: Promise<T>): Promise<T> {
    const {signal} = this.stop;
    return new Promise((resolve, reject) => {
      const stopped = () => reject(signal.reason as AttemptAbort);
      if (signal.aborted) stopped();
      signal.addEventListener('abort', stopped, {once: true});
      work
        .then(resolve, reject)
        .finally(() => signal.removeEventListener('abort', stopped));
    });
  }

  private async receiveBody(): Promise<Refusal | undefined> {
    const {request} = this.exchange;
    const {options} = this.parts;
    try {
      this.body = await this.wanted(RequestBody.receive(request, options));
      return undefined;
    } catch (error) {
      // The rest of the body is not read, so the connection can't be reused.
      this.exchange.response.setHeader('connection', 'close');
      if (error instanceof BodyTooLargeError) {
        return bodyTooLarge(error.limit, false);
      }
      return deadlinePassed(false);
    }
  }

  /** Gets the claim of a non-idempotent request. */
  private async claim(): Promise<Refusal | undefined> {
    const {claimKey} = this.context;
    if (claimKey === undefined) return undefined;
    const {claims} = this.parts;
    const asked = claims.claim(claimKey);
    try {
      const answer = await this.wanted(asked);
      return answer.caseOf<Refusal | undefined>({
        Left: refusal => refusal,
        Right: claim => {
          if (!claim.granted) return alreadyClaimed(claim.held);
          this.claimHeld = true;
          return undefined;
        },
      });
    } catch (error) {
      if (!(error instanceof AttemptAbort)) throw error;
      // Nothing is sent under a claim that comes too late.
      void asked.then(answer =>
        answer.ifRight(claim => {
          if (claim.granted) claims.ended(claimKey, 'released');
        }),
      );
      return deadlinePassed(false);
    }
  }

  private endClaim(outcome: number | 'released'): void {
    const {claimKey} = this.context;
    if (!this.claimHeld || claimKey === undefined) return;
    this.claimHeld = false;
    this.parts.claims.ended(claimKey, outcome);
  }

  private async tryTargets(
    answering: () => void,
  ): Promise<Refusal | undefined> {
    let next = this.choose();
    for (;;) {
      if (next.isLeft()) return next.extract() as Refusal;
      const trial = this.begin(next.extract() as Choice);
      const head = await trial.attempt.head;
      if (head.isLeft()) {
        const failure = head.extract() as AttemptFailure;
        this.finish(trial, failure.outcome);
        if (failure.sent) this.mayHaveRun = true;
        next = this.another(failure).mapLeft(() => this.explain(failure));
        continue;
      }
      const answer = head.extract() as AnswerHead;
      this.mayHaveRun = true;
      this.noteLeaving(trial.choice, answer);
      next = this.anotherAfter(answer);
      if (next.isLeft()) return this.relay(trial, answer, answering);
      trial.attempt.discard();
      this.finish(trial, AttemptOutcome.FAILED);
    }
  }

  private choose(): Either<Refusal, Choice> {
    const {router, clock} = this.parts;
    if (this.stopped !== undefined) return Left(deadlinePassed(false));
    const {service, idempotent, deadline} = this.context;
    const request = {service, idempotent, deadline, tried: this.tried};
    return router.choose(request, clock.now());
  }

  /** Chooses another target after a failure, if the request may be repeated. */
  private another(failure: AttemptFailure): Either<unknown, Choice> {
    const safe = !failure.sent || this.context.idempotent;
    const over = this.stopped !== undefined || failure.fault !== undefined;
    if (!safe || over || !this.body.repeatable) return Left(undefined);
    return this.choose();
  }

  /** Chooses another target if the answer asks for it. */
  private anotherAfter(answer: AnswerHead): Either<Refusal, Choice> {
    const retry =
      RETRIED_STATUS.has(answer.status) &&
      this.context.idempotent &&
      this.body.repeatable;
    return retry ? this.choose() : Left(keepAnswer());
  }

  private begin(choice: Choice): Trial {
    this.tried.push(choice.target.id);
    const {pools, options} = this.parts;
    const attempt = new Attempt(
      pools.get(choice.target),
      this.dispatchOptions(),
      options,
    );
    const {signal} = this.stop;
    const abort = () => attempt.abort(signal.reason as AttemptAbort);
    if (signal.aborted) abort();
    else signal.addEventListener('abort', abort);
    return {choice, attempt};
  }

  private dispatchOptions(): Dispatcher.DispatchOptions {
    const {method, path, headers} = this.context;
    const {body} = this;
    const streamedLength = body.repeatable ? undefined : body.length;
    return {
      method,
      path,
      body: body.content() as Dispatcher.DispatchOptions['body'],
      headers:
        streamedLength === undefined
          ? headers
          : {...headers, 'content-length': String(streamedLength)},
    };
  }

  private finish({choice}: Trial, outcome: AttemptOutcome): void {
    const {router, clock} = this.parts;
    router.finish(choice, outcome, clock.now());
  }

  private noteLeaving({target}: Choice, answer: AnswerHead): void {
    if (answer.headers['x-leaving'] !== 'true') return;
    this.parts.targetLeaving({target: target.id, start: target.start});
  }

  private async relay(
    trial: Trial,
    answer: AnswerHead,
    answering: () => void,
  ): Promise<Refusal | undefined> {
    answering();
    this.status = answer.status;
    this.endClaim(answer.status);
    const end = await trial.attempt.relay(this.exchange.response, answer);
    const outcome =
      answer.status >= 500 ? AttemptOutcome.FAILED : AttemptOutcome.SUCCEEDED;
    this.finish(
      trial,
      end.caseOf({
        Left: failure => failure.outcome,
        Right: () => outcome,
      }),
    );
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

  private explain(failure: AttemptFailure): Refusal {
    const {maxBodyBytes} = this.parts.options;
    return attemptFailed(failure, this.mayHaveRun, maxBodyBytes);
  }

  private refuse(refusal: Refusal): void {
    this.refusal = refusal;
    const {request, response} = this.exchange;
    if (!request.complete) response.setHeader('connection', 'close');
    sendRefusal(response, refusal);
    this.status = response.statusCode;
  }

  private describeEnd(): RequestEnd {
    const {context, refusal, status} = this;
    return {
      service: context.service,
      kind: this.endKind(),
      latencyMs: this.parts.clock.now() - context.arrivedAt,
      attempts: this.tried.length,
      status,
      refusal: refusal?.error,
    };
  }

  private endKind(): RequestEndKind {
    if (this.stopped?.outcome === AttemptOutcome.CANCELLED) {
      return RequestEndKind.CANCELLED;
    }
    if (this.refusal !== undefined) return RequestEndKind.REFUSED;
    return this.exchange.response.writableEnded
      ? RequestEndKind.ANSWERED
      : RequestEndKind.CUT;
  }
}

/** Stands for "no further attempt" beside an answer that is passed on. */
function keepAnswer(): Refusal {
  return refuse(RefusalKind.TARGET_FAILED, 'The answer is passed on.', '');
}

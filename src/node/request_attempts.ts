import {Either, Left} from 'purify-ts';
import {Dispatcher} from 'undici';
import {Millis} from '../common/base/clock.js';
import {refuse, Refusal, RefusalKind} from '../common/base/refusal.js';
import {AttemptOutcome, TargetSelection} from '../common/routing/types.js';
import {Exchange} from './json_server.js';
import {
  ResponseHead,
  Attempt,
  AttemptAbort,
  AttemptFailure,
} from './attempt.js';
import {attemptFailed, deadlinePassed} from './proxy_refusals.js';
import {LeavingNotice, ProxyDependencies, ProxyOptions} from './proxy_types.js';
import {RequestBody} from './request_body.js';
import {RequestContext} from './request_context.js';
import {ServiceLatency} from './service_latency.js';
import {TargetPools} from './target_pools.js';

/** Dependencies and state that the requests of a proxy share. */
export interface ProxyResources extends ProxyDependencies {
  readonly pools: TargetPools;
  readonly options: ProxyOptions;
  readonly reportLeaving: (notice: LeavingNotice) => void;
  readonly latency: (service: string) => ServiceLatency;
}

/** Status codes of a target after which another target may succeed. */
const RETRYABLE_STATUS_CODES: ReadonlySet<number> = new Set([502, 503, 504]);

/** A started attempt and the target that was selected for it. */
interface StartedAttempt {
  readonly selection: TargetSelection;
  readonly attempt: Attempt;
  /** Milliseconds from the selection to the start of the response. */
  latency?: Millis;
}

type HeadResult = Either<AttemptFailure, ResponseHead>;

/** A response to relay, or the refusal if there is none. */
export type AttemptsResult =
  | {
      readonly kind: 'answer';
      readonly started: StartedAttempt;
      readonly head: ResponseHead;
    }
  | {readonly kind: 'refusal'; readonly refusal: Refusal}
  /** All targets are at their limits, and nothing was sent. */
  | {readonly kind: 'full'; readonly refusal: Refusal};

/** The attempts of one request: the first one, its retries and a hedge. */
export class RequestAttempts {
  private readonly triedTargets: string[] = [];
  private sent = false;

  constructor(
    private readonly resources: ProxyResources,
    private readonly context: RequestContext,
    private readonly body: RequestBody,
    private readonly signal: AbortSignal,
  ) {}

  /** Number of attempts that were started. */
  get count(): number {
    return this.triedTargets.length;
  }

  /** False only if provably no byte was sent to a target. */
  get mayHaveRun(): boolean {
    return this.sent;
  }

  /** Makes attempts until a target responds or no retry is permitted. */
  async run(): Promise<AttemptsResult> {
    let next = this.selectTarget();
    if (next.isLeft()) {
      const refusal = next.extract() as Refusal;
      const full = refusal.error === RefusalKind.OVERLOADED;
      return {kind: full ? 'full' : 'refusal', refusal};
    }
    for (;;) {
      if (next.isLeft()) {
        return {kind: 'refusal', refusal: next.extract() as Refusal};
      }
      const {started, head} = await this.firstResponseHead(
        next.extract() as TargetSelection,
      );
      if (head.isLeft()) {
        const failure = head.extract() as AttemptFailure;
        this.recordFailure(started, failure);
        next = this.selectAfterFailure(failure).mapLeft(() =>
          this.refusalFor(failure),
        );
        continue;
      }
      const response = head.extract() as ResponseHead;
      this.recordResponse(started, response);
      next = this.selectAfterResponse(response);
      if (next.isLeft()) return {kind: 'answer', started, head: response};
      started.attempt.discard();
      this.releaseTarget(started, AttemptOutcome.FAILED);
    }
  }

  /**
   * Relays a response to the caller. Resolves when the target's response has
   * ended, which can be before the caller has received all of it.
   */
  async relay(
    started: StartedAttempt,
    head: ResponseHead,
    {response}: Exchange,
  ): Promise<Either<AttemptFailure, void>> {
    const completeOutcome =
      head.status >= 500 ? AttemptOutcome.FAILED : AttemptOutcome.SUCCEEDED;
    const end = await started.attempt.relay(response, head);
    this.releaseTarget(
      started,
      end.caseOf({Left: ({outcome}) => outcome, Right: () => completeOutcome}),
    );
    const {service} = this.context;
    if (end.isRight() && started.latency !== undefined) {
      this.resources.latency(service).observe(started.latency);
    }
    return end;
  }

  private get aborted(): boolean {
    return this.signal.aborted;
  }

  private selectTarget(): Either<Refusal, TargetSelection> {
    const {router, clock} = this.resources;
    if (this.aborted) return Left(deadlinePassed(this.sent));
    const {service, idempotent, deadline} = this.context;
    const request = {service, idempotent, deadline, tried: this.triedTargets};
    return router.choose(request, clock.now());
  }

  /** Starts an attempt and returns its response head or that of its hedge. */
  private async firstResponseHead(
    selection: TargetSelection,
  ): Promise<{started: StartedAttempt; head: HeadResult}> {
    const started = this.startAttempt(selection);
    const delay = this.hedgeDelay();
    if (delay === undefined || !(await isSlowerThan(started, delay))) {
      return {started, head: await started.attempt.head};
    }
    const second = this.selectTarget();
    if (second.isLeft()) return {started, head: await started.attempt.head};
    const hedge = this.startAttempt(second.extract() as TargetSelection);
    const heads = [started, hedge].map(async raced => ({
      started: raced,
      head: await raced.attempt.head,
    }));
    const first = await Promise.race(heads);
    const other = first.started === started ? hedge : started;
    if (first.head.isLeft()) {
      this.recordFailure(first.started, first.head.extract() as AttemptFailure);
      return {started: other, head: await other.attempt.head};
    }
    this.cancelSlower(other);
    return first;
  }

  /** Milliseconds until a hedge is sent; undefined if none may be sent. */
  private hedgeDelay(): number | undefined {
    const {options, latency} = this.resources;
    const {idempotent, service} = this.context;
    if (!options.hedging || !idempotent || !this.body.repeatable) {
      return undefined;
    }
    return this.triedTargets.length > 1 ? undefined : latency(service).p95;
  }

  /** Aborts the attempt that lost against the other one of a hedged pair. */
  private cancelSlower(started: StartedAttempt): void {
    this.sent = true;
    const {CANCELLED} = AttemptOutcome;
    started.attempt.abort(
      new AttemptAbort(CANCELLED, 'another attempt responded first'),
    );
    this.releaseTarget(started, CANCELLED);
  }

  /** Selects another target after a failure, if a retry is permitted. */
  private selectAfterFailure(
    failure: AttemptFailure,
  ): Either<unknown, TargetSelection> {
    const repeatable = !failure.sent || this.context.idempotent;
    const done = this.aborted || failure.fault !== undefined;
    if (!repeatable || done || !this.body.repeatable) return Left(undefined);
    return this.selectTarget();
  }

  /** Selects another target if the status of the response permits a retry. */
  private selectAfterResponse(
    response: ResponseHead,
  ): Either<Refusal, TargetSelection> {
    const retryable =
      RETRYABLE_STATUS_CODES.has(response.status) &&
      this.context.idempotent &&
      this.body.repeatable;
    return retryable ? this.selectTarget() : Left(NO_FURTHER_ATTEMPT);
  }

  private startAttempt(selection: TargetSelection): StartedAttempt {
    this.triedTargets.push(selection.target.id);
    const {pools, options} = this.resources;
    const target = pools.get(selection.target);
    const attempt = new Attempt(target, this.dispatchOptions(), options);
    const abort = () => attempt.abort(this.signal.reason as AttemptAbort);
    if (this.aborted) abort();
    else this.signal.addEventListener('abort', abort, {once: true});
    return {selection, attempt};
  }

  private dispatchOptions(): Dispatcher.DispatchOptions {
    const {method, path, headers} = this.context;
    const {body} = this;
    const length = body.repeatable ? undefined : body.length;
    return {
      method,
      path,
      body: body.content() as Dispatcher.DispatchOptions['body'],
      headers:
        length === undefined
          ? headers
          : {...headers, 'content-length': String(length)},
    };
  }

  private recordFailure(
    started: StartedAttempt,
    failure: AttemptFailure,
  ): void {
    if (failure.sent) this.sent = true;
    const {CANCELLED, TIMED_OUT} = AttemptOutcome;
    // A timeout because the caller sent its body slowly isn't held against the
    // target.
    const callerWasSlow = failure.outcome === TIMED_OUT && !this.body.received;
    this.releaseTarget(started, callerWasSlow ? CANCELLED : failure.outcome);
  }

  private recordResponse(
    started: StartedAttempt,
    response: ResponseHead,
  ): void {
    const {selection} = started;
    this.sent = true;
    started.latency = this.resources.clock.now() - selection.chosenAt;
    if (response.headers['x-leaving'] !== 'true') return;
    const {id, start} = selection.target;
    this.resources.reportLeaving({target: id, start});
  }

  /**
   * Reports the outcome to the router and releases the place at the target.
   * With a streamed body the latency depends on the caller, so it isn't
   * measured.
   */
  private releaseTarget(
    {selection, latency}: StartedAttempt,
    outcome: AttemptOutcome,
  ): void {
    const {router, clock} = this.resources;
    const measured = this.body.repeatable ? latency : 'unmeasured';
    router.finish(selection, outcome, clock.now(), measured);
  }

  private refusalFor(failure: AttemptFailure): Refusal {
    const {maxBodyBytes} = this.resources.options;
    return attemptFailed(failure, this.sent, maxBodyBytes);
  }
}

/** Placeholder for "no retry", never sent to a caller. */
const NO_FURTHER_ATTEMPT = refuse(
  RefusalKind.TARGET_FAILED,
  'The answer is passed on.',
  'None is needed.',
);

/** Tells whether the response head takes longer than `delay` milliseconds. */
async function isSlowerThan(
  {attempt}: StartedAttempt,
  delay: number,
): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<boolean>(resolve => {
    timer = setTimeout(() => resolve(true), delay);
  });
  const slow = await Promise.race([attempt.head.then(() => false), timeout]);
  clearTimeout(timer);
  return slow;
}

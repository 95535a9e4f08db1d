import {Either, Left, Right} from 'purify-ts';
import {Millis} from '../base/clock.js';
import {refuse, Refusal, RefusalKind} from '../base/refusal.js';
import {ConcurrencyLimit} from './concurrency_limit.js';

/** Priority of waiting requests; lower numbers run first. */
export const RequestPriority = {
  /** Requests that hold a claim, for which a record was written to the log. */
  HIGH: 0,
  NORMAL: 1,
} as const;
export type RequestPriority =
  (typeof RequestPriority)[keyof typeof RequestPriority];

/** A request to be admitted. */
export interface AdmissionRequest {
  readonly priority: RequestPriority;
  /** Local time in milliseconds after which a response is useless. */
  readonly deadline: Millis;
}

/** What the caller must do with a request that it offered. */
export type AdmissionAction<R> =
  | {readonly kind: 'run'; readonly request: R}
  | {readonly kind: 'refuse'; readonly request: R; readonly refusal: Refusal};

/** Admission limits of one service. */
export interface AdmissionLimits {
  /** Maximum number of waiting requests. */
  readonly queueLimit: number;
  /** Concurrent requests that the targets accept from this instance. */
  readonly capacity: number;
}

/** Result of a request that ran. */
export interface RunResult {
  /** Time in milliseconds from the start of the run to its end. */
  readonly serviceTime: Millis;
  /** `undefined` when the result says nothing about the load. */
  readonly overloaded: boolean | undefined;
  /** The deadline ended the run; it would have taken longer. */
  readonly timedOut?: boolean;
}

/**
 * Fraction of the time to its deadline that a request may wait in the queue. If
 * requests wait until close to the deadline, every run times out, and each
 * timeout reduces the concurrency limit.
 */
const MAX_WAIT_FRACTION = 0.25;

/** Weight of a new sample in the mean service time. */
const SERVICE_TIME_WEIGHT = 0.1;

/**
 * Time for which the queue pauses after the router found all targets full, or
 * until a request of this service ends. Other services may occupy the targets,
 * and the queue isn't told when their requests end.
 */
export const TARGETS_FULL_WAIT_MS: Millis = 10;

/**
 * Bounded priority queue of one service. It refuses a request as soon as a
 * response before the deadline is unlikely, so that no request waits in vain
 * and targets do no wasted work. Every refusal has `ran: "no"`.
 */
export class AdmissionController<R extends AdmissionRequest> {
  private readonly limit: ConcurrencyLimit;
  private queueLimit: number;
  /** Waiting requests in the order in which they run. */
  private queue: R[] = [];
  /** Requests that a more urgent one removed from the full queue. */
  private readonly displaced: R[] = [];
  private running = 0;
  /** Mean service time; 0 before the first run has ended. */
  private serviceTime: Millis = 0;
  private blockedUntil: Millis = -Infinity;
  /** Lower bound of the deadlines of the waiting requests. */
  private earliestDeadline: Millis = Infinity;

  constructor(limits: AdmissionLimits) {
    this.queueLimit = limits.queueLimit;
    this.limit = new ConcurrencyLimit(limits.capacity);
  }

  /** Changes the limits. Requests that wait already stay in the queue. */
  update(limits: AdmissionLimits): void {
    this.queueLimit = limits.queueLimit;
    this.limit.setCapacity(limits.capacity);
  }

  get waiting(): number {
    return this.queue.length;
  }

  get concurrencyLimit(): number {
    return this.limit.value;
  }

  /** Returns the refusal that the request would get now, if any. */
  check(request: R, now: Millis): Either<Refusal, void> {
    if (now >= request.deadline) return Left(deadlinePassed());
    if (this.hasCapacity && this.queue.length === 0) return Right(undefined);
    const ahead = this.queuePosition(request);
    const wait = this.expectedWait(ahead);
    const timeLeft = request.deadline - now;
    const waitTooLong = wait > timeLeft * MAX_WAIT_FRACTION;
    if (waitTooLong || wait + this.serviceTime > timeLeft) {
      return Left(overloaded('The request would wait too long.', wait));
    }
    const full = this.queue.length >= this.queueLimit;
    if (full && ahead === this.queue.length) {
      return Left(overloaded('The queue of the service is full.', wait));
    }
    return Right(undefined);
  }

  /** Queues or refuses the request. `dispatch` yields it when it may run. */
  offer(request: R, now: Millis): Either<Refusal, void> {
    return this.check(request, now).ifRight(() => {
      this.insert(this.queuePosition(request), request);
      // With a queue limit of 0, a request that can run at once is accepted.
      const startable = this.hasCapacity ? 1 : 0;
      if (this.queue.length > this.queueLimit + startable) {
        this.displaced.push(this.queue.pop()!);
      }
    });
  }

  /** Yields the requests to run now and the requests to refuse now. */
  *dispatch(now: Millis): Generator<AdmissionAction<R>> {
    for (const request of this.displaced.splice(0)) {
      const refusal = overloaded(
        'A more urgent request took the last place in the queue.',
        this.expectedWait(this.queue.length),
      );
      yield {kind: 'refuse', request, refusal};
    }
    for (const request of this.removeExpired(now)) {
      yield {kind: 'refuse', request, refusal: deadlinePassed()};
    }
    if (now < this.blockedUntil) return;
    this.blockedUntil = -Infinity;
    while (this.hasCapacity) {
      const request = this.queue.shift();
      if (request === undefined) return;
      if (this.cannotEndInTime(request, now)) {
        yield {kind: 'refuse', request, refusal: deadlinePassed()};
        continue;
      }
      this.running++;
      yield {kind: 'run', request};
    }
  }

  /**
   * Tells whether less time is left than the mean service time. Such a run
   * would delay other requests and miss its deadline anyway. If nothing is
   * running, the request is tried, so that a wrong mean can be corrected.
   */
  private cannotEndInTime({deadline}: R, now: Millis): boolean {
    return this.running > 0 && deadline - now < this.serviceTime;
  }

  /** Counts the end of a run and adapts the concurrency limit. */
  finish(result: RunResult, now: Millis): void {
    // A run that timed out before the mean service time isn't counted: it spent
    // most of its time in the queue, and counting it reduced the limit to 1.
    const cutShort =
      result.timedOut === true && result.serviceTime < this.serviceTime;
    if (result.overloaded !== undefined && !cutShort) {
      const weight = this.serviceTime === 0 ? 1 : SERVICE_TIME_WEIGHT;
      this.serviceTime += (result.serviceTime - this.serviceTime) * weight;
      if (result.overloaded) this.limit.onOverload(this.serviceTime, now);
      else this.limit.onSuccess(this.queue.length > 0);
    }
    this.running--;
    this.blockedUntil = -Infinity;
  }

  /**
   * Returns a request that found all targets full to the queue, before the
   * others of its priority.
   */
  requeue(request: R, now: Millis): void {
    this.running--;
    const {priority} = request;
    const insertAt = this.queue.findIndex(other => other.priority >= priority);
    this.insert(insertAt < 0 ? this.queue.length : insertAt, request);
    this.blockedUntil = now + TARGETS_FULL_WAIT_MS;
  }

  /** Removes a waiting request whose caller has disconnected. */
  cancel(request: R): void {
    const index = this.queue.indexOf(request);
    if (index >= 0) this.queue.splice(index, 1);
  }

  /**
   * Returns when `dispatch` must be called next if no request is offered or
   * ends before; undefined if the queue is empty.
   */
  nextDispatchTime(): Millis | undefined {
    if (this.queue.length === 0) return undefined;
    return this.blockedUntil > -Infinity
      ? Math.min(this.earliestDeadline, this.blockedUntil)
      : this.earliestDeadline;
  }

  private insert(index: number, request: R): void {
    this.queue.splice(index, 0, request);
    this.earliestDeadline = Math.min(this.earliestDeadline, request.deadline);
  }

  /** Removes the waiting requests whose deadline has passed. */
  private removeExpired(now: Millis): R[] {
    if (now < this.earliestDeadline) return [];
    const expired = this.queue.filter(({deadline}) => now >= deadline);
    this.queue = this.queue.filter(({deadline}) => now < deadline);
    this.earliestDeadline = this.queue.reduce(
      (earliestDeadline, {deadline}) => Math.min(earliestDeadline, deadline),
      Infinity,
    );
    return expired;
  }

  private get hasCapacity(): boolean {
    return this.running < this.limit.value;
  }

  /** Number of waiting requests that run before a new one of this priority. */
  private queuePosition({priority}: R): number {
    let index = this.queue.length;
    while (index > 0 && this.queue[index - 1].priority > priority) index--;
    return index;
  }

  /** Expected wait behind `ahead` requests, from the mean service time. */
  private expectedWait(ahead: number): Millis {
    return ((ahead + 1) * this.serviceTime) / this.limit.value;
  }
}

function overloaded(message: string, wait: Millis): Refusal {
  return refuse(
    RefusalKind.OVERLOADED,
    message,
    'Send the request again after retryAfterMs, to any entry instance.',
    // At least 1 ms: an immediate retry finds the same queue.
    Math.max(1, Math.ceil(wait)),
  );
}

function deadlinePassed(): Refusal {
  return refuse(
    RefusalKind.DEADLINE_PASSED,
    'The deadline passed while the request waited.',
    'Send the request again, with a longer x-deadline-ms if possible.',
    TARGETS_FULL_WAIT_MS,
  );
}

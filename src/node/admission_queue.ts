import {Either, Left, Right} from 'purify-ts';
import {Clock} from '../common/base/clock.js';
import {Disposable} from '../common/base/disposable.js';
import {Refusal} from '../common/base/refusal.js';
import {
  AdmissionController,
  AdmissionLimits,
  AdmissionRequest,
  RequestPriority,
} from '../common/routing/admission.js';

/** A request that waits for admission. */
interface WaitingRequest extends AdmissionRequest {
  resolve(admitted: Either<Refusal, void>): void;
}

/** Maximum delay of a Node.js timer; later times need more than one timer. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * The request queue of one service. Wraps an `AdmissionController` in promises
 * and calls it from a timer.
 */
export class AdmissionQueue implements Disposable {
  private readonly controller: AdmissionController<WaitingRequest>;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly clock: Clock,
    limits: AdmissionLimits,
  ) {
    this.controller = new AdmissionController(limits);
  }

  update(limits: AdmissionLimits): void {
    this.controller.update(limits);
    this.dispatch();
  }

  get waiting(): number {
    return this.controller.waiting;
  }

  /** Returns the refusal that a request would get now, if any. */
  check(priority: RequestPriority, deadline: number): Either<Refusal, void> {
    const waiter = {priority, deadline, resolve: () => undefined};
    return this.controller.check(waiter, this.clock.now());
  }

  /** Queues a request; its `admitted` resolves when it may run. */
  enqueue(priority: RequestPriority, deadline: number): QueuedRequest {
    return new QueuedRequest(
      this.clock,
      this.controller,
      () => this.dispatch(),
      {
        priority,
        deadline,
      },
    );
  }

  dispose(): void {
    clearTimeout(this.timer);
  }

  /** Admits and refuses the requests that are due, and sets the next timer. */
  private dispatch(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    const now = this.clock.now();
    for (const action of this.controller.dispatch(now)) {
      const {resolve} = action.request;
      resolve(action.kind === 'run' ? Right(undefined) : Left(action.refusal));
    }
    const next = this.controller.nextDispatchTime();
    if (next === undefined) return;
    // Timers may fire slightly early; an extra millisecond avoids an idle call.
    const delay = Math.min(Math.max(0, next - now) + 1, MAX_TIMER_MS);
    this.timer = setTimeout(() => this.dispatch(), delay);
  }
}

/** One request in the queue, and then while it runs. */
export class QueuedRequest {
  private state: 'waiting' | 'running' | 'over' = 'waiting';
  private startedAt = 0;
  private waiter!: WaitingRequest;
  /** Resolves when the request may run or is refused. */
  admitted: Promise<Either<Refusal, void>>;

  constructor(
    private readonly clock: Clock,
    private readonly controller: AdmissionController<WaitingRequest>,
    private readonly dispatch: () => void,
    private readonly request: AdmissionRequest,
  ) {
    this.admitted = this.waitInQueue(waiter => {
      const offered = this.controller.offer(waiter, this.clock.now());
      offered.ifLeft(refusal => waiter.resolve(Left(refusal)));
    });
  }

  /** Returns the request to the front of the queue if all targets were full. */
  requeue(): void {
    if (this.state !== 'running') return;
    this.state = 'waiting';
    this.admitted = this.waitInQueue(waiter =>
      this.controller.requeue(waiter, this.clock.now()),
    );
  }

  /**
   * Removes the request from the queue, or reports the end of its run.
   *
   * @param overloaded undefined if the run says nothing about the load
   * @param timedOut whether the deadline ended the run
   */
  finish(overloaded: boolean | undefined, timedOut: boolean): void {
    const {state} = this;
    this.state = 'over';
    if (state === 'over') return;
    if (state === 'waiting') {
      this.controller.cancel(this.waiter);
    } else {
      const now = this.clock.now();
      const serviceTime = now - this.startedAt;
      this.controller.finish({serviceTime, overloaded, timedOut}, now);
    }
    this.dispatch();
  }

  private waitInQueue(
    insert: (waiter: WaitingRequest) => void,
  ): Promise<Either<Refusal, void>> {
    return new Promise(resolve => {
      this.waiter = {
        ...this.request,
        resolve: admitted => {
          this.state = admitted.isRight() ? 'running' : 'over';
          this.startedAt = this.clock.now();
          resolve(admitted);
        },
      };
      insert(this.waiter);
      this.dispatch();
    });
  }
}

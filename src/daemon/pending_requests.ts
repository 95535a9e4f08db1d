import {Either, Left} from 'purify-ts';
import {Millis} from '../common/base/clock.js';
import {Disposable} from '../common/base/disposable.js';
import {Refusal, RefusalKind, refuseUnknown} from '../common/base/refusal.js';
import {RequestId, SchedulerAnswer} from '../common/jobs/types.js';

/** Answer to a request, or the refusal. */
export type RequestResult = Either<Refusal, SchedulerAnswer>;

interface PendingRequest {
  readonly resolve: (answer: RequestResult) => void;
  readonly timer: NodeJS.Timeout;
}

function unknownOutcome(): Refusal {
  return refuseUnknown(
    RefusalKind.UNKNOWN_OUTCOME,
    'The record was not confirmed within the time limit.',
    'Send the request again with the same key to get the outcome.',
  );
}

/** Requests to the local scheduler that have not been answered yet. */
export class PendingRequests implements Disposable {
  private readonly pending = new Map<RequestId, PendingRequest>();
  private lastId = 0;

  /**
   * Calls `transmit` with a new request id and waits for the answer; without
   * one within `timeoutMs` the outcome is unknown.
   */
  send(
    transmit: (id: RequestId) => void,
    timeoutMs: Millis,
  ): Promise<RequestResult> {
    const id = String(++this.lastId);
    return new Promise(resolve => {
      const timer = setTimeout(
        () => this.settle(id, Left(unknownOutcome())),
        timeoutMs,
      );
      this.pending.set(id, {resolve, timer});
      transmit(id);
    });
  }

  /** Resolves a request; ignores an answer that arrives after the timeout. */
  settle(id: RequestId, answer: RequestResult): void {
    const request = this.pending.get(id);
    if (request === undefined) return;
    this.pending.delete(id);
    clearTimeout(request.timer);
    request.resolve(answer);
  }

  /** Resolves all pending requests with an unknown outcome. */
  dispose(): void {
    for (const id of [...this.pending.keys()]) {
      this.settle(id, Left(unknownOutcome()));
    }
  }
}

import {Millis} from '../base/clock.js';
import {StartRequest, WorkerReport} from './types.js';

/** Outcome of a call to a worker. */
export const WorkerCallResult = {
  /** The worker executed the request. */
  ACCEPTED: 'accepted',
  /** The worker has seen a higher fencing token. */
  FENCED: 'fenced',
  /** The attempt is not higher than one that was stopped or ended there. */
  SUPERSEDED: 'superseded',
  /** The lease in the request had expired when it arrived. */
  LATE: 'late',
  /** The worker has not enough free resources for the task. */
  FULL: 'full',
  /** The worker is not permitted to run the step. */
  TICKET: 'ticket',
  /** The worker is unhealthy and did not execute the request. */
  UNHEALTHY: 'unhealthy',
  /** Another incarnation responded; the intended one is gone. */
  REPLACED: 'replaced',
  /** The request is malformed. */
  INVALID: 'invalid',
  /** The request was not sent. */
  NOT_SENT: 'not-sent',
  /** No response; the request may be executed now, later or never. */
  UNKNOWN: 'unknown',
} as const;
export type WorkerCallResult =
  (typeof WorkerCallResult)[keyof typeof WorkerCallResult];

/** Results that prove that the request was not executed. */
export const DEFINITE_REJECTIONS: ReadonlySet<WorkerCallResult> = new Set([
  WorkerCallResult.FENCED,
  WorkerCallResult.SUPERSEDED,
  WorkerCallResult.LATE,
  WorkerCallResult.FULL,
  WorkerCallResult.TICKET,
  WorkerCallResult.UNHEALTHY,
  WorkerCallResult.REPLACED,
  WorkerCallResult.INVALID,
  WorkerCallResult.NOT_SENT,
]);

/** A worker's response to a request. */
export interface WorkerResponse {
  readonly result: WorkerCallResult;
  /** The worker's monotonic clock, if the response carried it. */
  readonly clockMs?: Millis;
}

/** Id and network address of a worker. */
export interface WorkerAddress {
  readonly id: string;
  readonly address: string;
  /** Data centre of the worker, if it is known. */
  readonly dataCentre?: string;
}

/** A lease renewal, which also polls for a report. */
export interface LeaseRenewal {
  readonly fencingToken: number;
  /** Last end that is durable; the worker may discard ends up to it. */
  readonly acknowledgedEnd: number;
  /** End of the lease on the worker's clock; undefined keeps the lease. */
  readonly leaseUntil?: Millis;
  /** Longest time that the worker may hold the call until a run ends. */
  readonly waitMs: Millis;
  /** Time for the response beyond `waitMs`. */
  readonly responseMs: Millis;
}

/** Response to a lease renewal. */
export interface RenewalResponse extends WorkerResponse {
  readonly report?: WorkerReport;
}

/** Client for the calls to workers. */
export interface WorkerCalls {
  /**
   * Starts a run.
   * @param leaseUntil end of the lease on the worker's clock.
   * @param token fencing token.
   */
  start(
    worker: WorkerAddress,
    request: StartRequest,
    leaseUntil: Millis,
    token: number,
  ): Promise<WorkerResponse>;
  /** Stops a run, and rejects starts of the same or earlier attempts. */
  stop(
    worker: WorkerAddress,
    task: string,
    attempt: number,
    token: number,
  ): Promise<WorkerResponse>;
  /** Renews the worker's lease and returns a report. */
  renew(worker: WorkerAddress, renewal: LeaseRenewal): Promise<RenewalResponse>;
  /** Sets the percentage of its processors that a run may use. */
  pace(
    worker: WorkerAddress,
    task: string,
    attempt: number,
    percent: number,
    token: number,
  ): Promise<WorkerResponse>;
}

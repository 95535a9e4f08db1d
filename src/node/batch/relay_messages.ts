import {Millis} from '../../common/base/clock.js';
import {StartRequest} from '../../common/batch/types.js';
import {
  LeaseRenewal,
  RenewalResponse,
  WorkerAddress,
} from '../../common/batch/worker_calls.js';

/**
 * Path of the WebSocket on which an instance accepts calls for others. It names
 * the version of the frames: a relay of another version refuses the handshake.
 */
export const RELAY_PATH = '/relay/2';

/** Largest frame that a relay or a scheduler accepts, in bytes. */
export const MAX_RELAY_FRAME_BYTES = 4_000_000;

/** Calls to workers that can be relayed. */
export const RelayCallKind = {
  START: 'start',
  STOP: 'stop',
  RENEW: 'renew',
  PACE: 'pace',
} as const;
export type RelayCallKind = (typeof RelayCallKind)[keyof typeof RelayCallKind];

/** A call to a worker, as the scheduler passes it to a relay. */
export type RelayCall =
  | {
      readonly kind: typeof RelayCallKind.START;
      readonly request: StartRequest;
      readonly leaseUntil: Millis;
      readonly token: number;
    }
  | {
      readonly kind: typeof RelayCallKind.STOP;
      readonly task: string;
      readonly attempt: number;
      readonly token: number;
    }
  | {readonly kind: typeof RelayCallKind.RENEW; readonly renewal: LeaseRenewal}
  | {
      readonly kind: typeof RelayCallKind.PACE;
      readonly task: string;
      readonly attempt: number;
      readonly percent: number;
      readonly token: number;
    };

/** A call with its number on the link. */
export interface RelayRequest {
  readonly id: number;
  /** Number of the worker on the link. */
  readonly worker: number;
  readonly call: RelayCall;
}

/** A frame from a scheduler. */
export interface RequestFrame {
  /**
   * Workers that no earlier frame of the link has named. Workers are numbered
   * from 0 in the order in which they are named.
   */
  readonly newWorkers: readonly WorkerAddress[];
  readonly requests: readonly RelayRequest[];
}

/** A worker's response to the request with this number. */
export interface RelayResponse {
  readonly id: number;
  /** Number of the worker on the link. */
  readonly worker: number;
  readonly response: RenewalResponse;
}

/** A frame from a relay. */
export interface ReplyFrame {
  readonly responses: readonly RelayResponse[];
  /** Whether the relay is about to stop and wants no more requests. */
  readonly isDraining: boolean;
}

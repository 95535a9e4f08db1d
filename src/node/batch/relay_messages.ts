import {Packr} from 'msgpackr';
import {Millis} from '../../common/base/clock.js';
import {StartRequest} from '../../common/batch/types.js';
import {
  LeaseRenewal,
  RenewalResponse,
  WorkerAddress,
  WorkerCallResult,
} from '../../common/batch/worker_calls.js';

/** Path of the WebSocket on which an instance accepts calls for others. */
export const RELAY_PATH = '/relay';

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

/** A call with its number on the link, and the worker that it is for. */
export interface RelayRequest {
  readonly id: number;
  readonly worker: WorkerAddress;
  readonly call: RelayCall;
}

/** A worker's response to the request with this number. */
export interface RelayResponse {
  readonly id: number;
  readonly response: RenewalResponse;
}

/** A frame from a relay. */
export interface RelayReply {
  readonly responses: readonly RelayResponse[];
  /** Whether the relay is about to stop and wants no more requests. */
  readonly isDraining: boolean;
}

const packr = new Packr({useRecords: false});

const CALL_KINDS: ReadonlySet<unknown> = new Set(Object.values(RelayCallKind));
const RESULTS: ReadonlySet<unknown> = new Set(Object.values(WorkerCallResult));

/** Encodes a frame of requests. */
export function packRequests(requests: readonly RelayRequest[]): Uint8Array {
  return packr.pack(requests.map(({id, worker, call}) => [id, worker, call]));
}

/** Encodes a frame from a relay. */
export function packReply({responses, isDraining}: RelayReply): Uint8Array {
  const pairs = responses.map(({id, response}) => [id, response]);
  return packr.pack([isDraining, pairs]);
}

/**
 * Decodes a frame of requests.
 * @throws Error if the frame is malformed.
 */
export function unpackRequests(frame: Uint8Array): RelayRequest[] {
  return asArray(packr.unpack(frame)).map(entry => {
    const [id, worker, call] = asArray(entry);
    const request = {id, worker, call} as RelayRequest;
    const isValid =
      typeof id === 'number' &&
      typeof request.worker?.id === 'string' &&
      typeof request.worker.address === 'string' &&
      CALL_KINDS.has(request.call?.kind);
    if (!isValid) throw new TypeError('A relayed request is malformed.');
    return request;
  });
}

/**
 * Decodes a frame from a relay.
 * @throws Error if the frame is malformed.
 */
export function unpackReply(frame: Uint8Array): RelayReply {
  const [isDraining, pairs] = asArray(packr.unpack(frame));
  const responses = asArray(pairs).map(entry => {
    const [id, response] = asArray(entry);
    const isValid =
      typeof id === 'number' &&
      RESULTS.has((response as RenewalResponse | undefined)?.result);
    if (!isValid) throw new TypeError('A relayed response is malformed.');
    return {id, response: response as RenewalResponse};
  });
  return {responses, isDraining: isDraining === true};
}

function asArray(value: unknown): readonly unknown[] {
  if (!Array.isArray(value)) throw new TypeError('A frame is malformed.');
  return value;
}

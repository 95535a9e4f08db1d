import {Millis} from '../../../common/base/clock.js';

/** Whether a request to a neighbour was sent and answered. */
export const TransportOutcome = {
  ANSWERED: 'answered',
  /** The request was not sent. */
  NOT_SENT: 'not-sent',
  /** The neighbour may have processed the request. */
  NO_ANSWER: 'no-answer',
} as const;
export type TransportOutcome =
  (typeof TransportOutcome)[keyof typeof TransportOutcome];

/** Request to the relay listener of a neighbour. */
export interface NeighbourRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Uint8Array;
  readonly timeoutMs: Millis;
}

/** Response of a neighbour; without one, status 0 and an empty body. */
export interface NeighbourResponse {
  readonly outcome: TransportOutcome;
  readonly status: number;
  readonly body: Uint8Array;
}

/** Sends requests to neighbours over a few connections to each. */
export interface NeighbourTransport {
  /** @param address `host:port` of the neighbour's relay listener. */
  call(address: string, request: NeighbourRequest): Promise<NeighbourResponse>;
}

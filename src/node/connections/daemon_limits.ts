import {Millis, SECOND} from '../../common/base/clock.js';
import {ConnectionLimits} from '../../common/connections/connection_limits.js';

/** Settings on which the limits of a daemon's listener depend. */
export interface ListenerSettings {
  readonly connections: number;
  /** Bytes of bodies in memory, until their requests have been answered. */
  readonly heldBodyBytes: number;
  /** Time for a client to send a whole request. */
  readonly requestMs: Millis;
}

/** Server of the daemon whose connections are limited. */
export const DaemonListener = {
  CALLER: 'caller',
  OPERATOR: 'operator',
  PEER: 'peer',
} as const;
export type DaemonListener =
  (typeof DaemonListener)[keyof typeof DaemonListener];

/** Shares of the bytes of bodies for what is received and not parsed. */
const INPUT_SHARE = 0.5;

/**
 * Time for a client to take its responses. A service may stream for minutes to
 * a slow client.
 */
const RESPONSE_TIMEOUT_MS: Millis = 600 * SECOND;

/** The server itself closes idle connections after 60 s. */
const IDLE_TIMEOUT_MS: Millis = 61 * SECOND;

/** The server itself ends incomplete headers after 10 s. */
const HEADER_TIMEOUT_MS: Millis = 11 * SECOND;

/** Derives the limits of a listener of the daemon. */
export function daemonLimits({
  connections,
  heldBodyBytes,
  requestMs,
}: ListenerSettings): ConnectionLimits {
  return {
    connections,
    requests: Infinity,
    bodyBytes: heldBodyBytes,
    inputBytes: heldBodyBytes * INPUT_SHARE,
    outputBytes: heldBodyBytes,
    headerMs: HEADER_TIMEOUT_MS,
    idleMs: IDLE_TIMEOUT_MS,
    stallMs: requestMs,
    transferMs: Math.max(RESPONSE_TIMEOUT_MS, requestMs),
  };
}

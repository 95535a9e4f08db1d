import {Either} from 'purify-ts';
import {Clock, Millis, SECOND} from '../common/base/clock.js';
import {Refusal, RefusalKind} from '../common/base/refusal.js';
import {ClaimAnswer} from '../common/jobs/types.js';
import {TargetSelector} from '../common/routing/types.js';
import {ServiceConfiguration} from '../common/tickets/types.js';

/**
 * Final state of a claim: the HTTP status of the response, or 'released'. A
 * claim without one stays open.
 */
export type ClaimOutcome = number | 'released';

/** Grants claims, which let a non-idempotent request be sent at most once. */
export interface ClaimSource {
  /** Requests a claim. The request may be sent only if it is granted. */
  claim(key: string): Promise<Either<Refusal, ClaimAnswer>>;
  /**
   * Ends a granted claim with the HTTP status of the target's response, or with
   * 'released' when the request provably was not sent. Not called when the
   * outcome is unknown.
   */
  endClaim(key: string, outcome: ClaimOutcome): void;
}

/** How a request ended for its caller. */
export const RequestEndKind = {
  /** The complete response of a target was forwarded. */
  ANSWERED: 'answered',
  /** The proxy responded with a refusal. */
  REFUSED: 'refused',
  /** The response was aborted after its head had been forwarded. */
  CUT: 'cut',
  /** The caller disconnected. */
  CANCELLED: 'cancelled',
} as const;
export type RequestEndKind =
  (typeof RequestEndKind)[keyof typeof RequestEndKind];

/** Result of a finished request, for metrics. */
export interface RequestEnd {
  /** Empty if the service doesn't exist. */
  readonly service: string;
  readonly kind: RequestEndKind;
  /** Milliseconds from the arrival of the request to its end. */
  readonly latencyMs: Millis;
  /** Number of attempts at targets, including retries and hedges. */
  readonly attempts: number;
  /** HTTP status of the response or refusal; 0 if none was sent. */
  readonly status: number;
  /** Kind of the refusal, if there was one. */
  readonly refusal?: RefusalKind;
}

/** A target whose response has the header `x-leaving: true`. */
export interface LeavingNotice {
  readonly target: string;
  /** Start number of the target, which grows with every restart. */
  readonly start: number;
}

/** Limits and features of the proxy. */
export interface ProxyOptions {
  /** Maximum size in bytes of a request body that is buffered for retries. */
  readonly maxBufferedBodyBytes: number;
  /** Maximum size of a request body in bytes. */
  readonly maxBodyBytes: number;
  /** Timeout in milliseconds between two chunks of a target's response body. */
  readonly targetIdleTimeoutMs: Millis;
  /** Time in milliseconds for which a caller may read nothing. */
  readonly callerIdleTimeoutMs: Millis;
  /**
   * Maximum number of bytes buffered for a slow caller of a response that can't
   * be paused.
   */
  readonly maxUnpausedResponseBytes: number;
  /** Whether to send a second attempt of a slow idempotent request. */
  readonly hedging: boolean;
}

export const DEFAULT_PROXY_OPTIONS: ProxyOptions = {
  maxBufferedBodyBytes: 64 * 1024,
  maxBodyBytes: 1024 * 1024,
  targetIdleTimeoutMs: 30 * SECOND,
  callerIdleTimeoutMs: 30 * SECOND,
  maxUnpausedResponseBytes: 1024 * 1024,
  hedging: false,
};

/** Services that the proxy depends on. */
export interface ProxyDependencies {
  readonly router: TargetSelector;
  readonly claims: ClaimSource;
  readonly clock: Clock;
  /** Returns the Unix time in milliseconds. */
  readonly wallClock: () => Millis;
  /** Looks a service up in the active configuration. */
  readonly service: (name: string) => ServiceConfiguration | undefined;
}

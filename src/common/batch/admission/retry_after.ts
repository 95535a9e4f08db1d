import {Millis, SECOND} from '../../base/clock.js';

/** Why a request was rejected. */
export const RejectionCause = {
  /** The store turns away this instance, and serves others. */
  INSTANCE: 'instance',
  /** The store turns away all instances that were asked. */
  STORE_DOWN: 'store-down',
  /** The store is so slow that the record was not sent in time. */
  STORE_SLOW: 'store-slow',
  /** This instance has not read the configuration yet. */
  NO_CONFIGURATION: 'no-configuration',
  /** A limit of this instance on connections, bodies or requests. */
  LIMITS: 'limits',
  /** The accepted jobs take all memory that instances have for them. */
  JOB_MEMORY: 'job-memory',
  /** The client, or its queue, has its share of that memory. */
  JOB_SHARE: 'job-share',
} as const;
export type RejectionCause =
  (typeof RejectionCause)[keyof typeof RejectionCause];

/** What a decision on Retry-After is based on. */
export interface RejectedRequest {
  readonly cause: RejectionCause;
  /** Time since the store has failed; 0 if it is unknown. */
  readonly outageAgeMs: Millis;
  /** Callers that were told to come back and may do so together. */
  readonly waitingCallers: number;
  /** Rank of the queue's priority: 0 for the most urgent, 1 for the least. */
  readonly rank: number;
  /** Differs between callers; from 0 up to 1. */
  readonly spread: number;
  /** Time until memory of jobs is free again; Infinity if it is unknown. */
  readonly releaseTimeMs: Millis;
  /** Time that the caller goes on trying; Infinity if it is unknown. */
  readonly callerTimeMs: Millis;
}

/**
 * First delay in an outage of the store, and what each second of its age adds:
 * the longer it has lasted, the longer the rest is expected to be. Callers make 4
 * attempts and outages last 3 to 9 s. Computed for callers that arrive at any
 * time of an outage and whose job loses half of its use in 4 s: a constant 1 s
 * serves 57 % of them (mean use 0.40), 2 s serves 90 % (0.49), and 2.5 s with
 * 0.05 s for each second 98 % (0.48), or 93 % if one outage in seven lasts 9 to
 * 20 s (1 s: 52 %).
 */
const OUTAGE_DELAY_MS: Millis = 2500;
const DELAY_PER_AGE = 0.05;

/** Longest delay; more would leave a job of a few seconds without use. */
const MAX_DELAY_MS: Millis = 4 * SECOND;

/**
 * Time that a caller should have left when it returns: a fast store and a hop to
 * a neighbour need less. Callers set the header `deadline-ms` of each attempt to
 * what is left of 3 s, so a longer delay than that would lose them.
 */
const LAST_ATTEMPT_MS: Millis = 0.5 * SECOND;

/**
 * Delay when another instance, or the same one a moment later, can likely accept
 * the request: the shortest that the header can express.
 */
const SHORT_DELAY_MS: Millis = 1 * SECOND;

/**
 * Change of the delay from the most to the least urgent queue, and by the spread
 * over callers, as shares of the delay.
 */
const RANK_SHARE = 0.3;
const SPREAD_SHARE = 0.4;

/**
 * Callers that may return to an instance in one second; more are spread over as
 * many seconds. An instance of 42 gets 0.5 submissions a second and appends the
 * records of 20 in one batch.
 */
const RETURNING_PER_SECOND = 20;

const DELAYS: Readonly<
  Record<RejectionCause, (request: RejectedRequest) => Millis>
> = {
  [RejectionCause.INSTANCE]: () => SHORT_DELAY_MS,
  [RejectionCause.STORE_SLOW]: () => SHORT_DELAY_MS,
  [RejectionCause.NO_CONFIGURATION]: () => SHORT_DELAY_MS,
  [RejectionCause.LIMITS]: () => SHORT_DELAY_MS,
  [RejectionCause.STORE_DOWN]: outageDelay,
  [RejectionCause.JOB_MEMORY]: releaseDelay,
  [RejectionCause.JOB_SHARE]: releaseDelay,
};

/** Returns the value of the `retry-after` header: whole seconds, at least 1. */
export function retryAfterSeconds(request: RejectedRequest): number {
  const delayMs = DELAYS[request.cause](request);
  const crowdMs =
    Math.floor(request.waitingCallers / RETURNING_PER_SECOND) * SECOND;
  const spreadMs = Math.min(MAX_DELAY_MS, crowdMs) * request.spread;
  const totalMs = Math.min(MAX_DELAY_MS, delayMs + spreadMs);
  // Rounds up for a share of the callers, so that the mean is kept.
  const wanted = Math.floor(totalMs / SECOND + rounding(request));
  const usableMs = request.callerTimeMs - LAST_ATTEMPT_MS;
  const seconds = Math.min(wanted, Math.floor(usableMs / SECOND));
  return Math.max(1, seconds);
}

function outageDelay({outageAgeMs, rank, spread}: RejectedRequest): Millis {
  const delayMs = OUTAGE_DELAY_MS + outageAgeMs * DELAY_PER_AGE;
  const factor = 1 + RANK_SHARE * (rank - 0.5) + SPREAD_SHARE * (spread - 0.5);
  return Math.min(MAX_DELAY_MS, delayMs) * factor;
}

/** A delay after which the memory of other jobs is likely free. */
function releaseDelay({releaseTimeMs}: RejectedRequest): Millis {
  return Math.min(MAX_DELAY_MS, Math.max(SHORT_DELAY_MS, releaseTimeMs));
}

/**
 * From 0 up to 1 and independent of the order by `spread`. A delay that must not
 * be longer than needed is not rounded up.
 */
function rounding({cause, spread}: RejectedRequest): number {
  if (cause !== RejectionCause.STORE_DOWN) return 0;
  return (spread * 997) % 1;
}

/** Rank of a priority among those of all queues, from 0 to 1. */
export function priorityRank(priority: number, all: readonly number[]): number {
  const lowest = Math.min(...all);
  const highest = Math.max(...all);
  if (!(highest > lowest)) return 0.5;
  return Math.min(1, Math.max(0, (priority - lowest) / (highest - lowest)));
}

import {Millis} from './clock.js';

/** Whether refused work was run. `NO` is used only when that is certain. */
export const Ran = {NO: 'no', YES: 'yes', UNKNOWN: 'unknown'} as const;
export type Ran = (typeof Ran)[keyof typeof Ran];

/** Kinds of refusal; values of the `error` field of a response. */
export const RefusalKind = {
  BAD_REQUEST: 'bad_request',
  BODY_TOO_LARGE: 'body_too_large',
  NOT_FOUND: 'not_found',
  UNKNOWN_SERVICE: 'unknown_service',
  CONFLICT: 'conflict',
  TOO_LARGE_FOR_ANY_WORKER: 'too_large_for_any_worker',
  OVERLOADED: 'overloaded',
  DEADLINE_PASSED: 'deadline_passed',
  QUOTA: 'quota',
  NO_TARGET: 'no_target',
  TARGET_FAILED: 'target_failed',
  NO_LEADER: 'no_leader',
  LOG_UNAVAILABLE: 'log_unavailable',
  ALREADY_CLAIMED: 'already_claimed',
  TICKET_CONFLICT: 'ticket_conflict',
  NOT_READY: 'not_ready',
  SHUTTING_DOWN: 'shutting_down',
  PEER_UNAVAILABLE: 'peer_unavailable',
  UNKNOWN_OUTCOME: 'unknown_outcome',
} as const;
export type RefusalKind = (typeof RefusalKind)[keyof typeof RefusalKind];

/** HTTP status code of each kind of refusal. */
export const REFUSAL_STATUS: Readonly<Record<RefusalKind, number>> = {
  [RefusalKind.BAD_REQUEST]: 400,
  [RefusalKind.BODY_TOO_LARGE]: 413,
  [RefusalKind.NOT_FOUND]: 404,
  [RefusalKind.UNKNOWN_SERVICE]: 404,
  [RefusalKind.CONFLICT]: 409,
  [RefusalKind.TOO_LARGE_FOR_ANY_WORKER]: 422,
  [RefusalKind.OVERLOADED]: 503,
  [RefusalKind.DEADLINE_PASSED]: 504,
  [RefusalKind.QUOTA]: 429,
  [RefusalKind.NO_TARGET]: 503,
  [RefusalKind.TARGET_FAILED]: 502,
  [RefusalKind.NO_LEADER]: 503,
  [RefusalKind.LOG_UNAVAILABLE]: 503,
  [RefusalKind.ALREADY_CLAIMED]: 409,
  [RefusalKind.TICKET_CONFLICT]: 409,
  [RefusalKind.NOT_READY]: 503,
  [RefusalKind.SHUTTING_DOWN]: 503,
  [RefusalKind.PEER_UNAVAILABLE]: 503,
  [RefusalKind.UNKNOWN_OUTCOME]: 504,
};

/** Body of an error response to a caller or an operator. */
export interface Refusal {
  readonly error: RefusalKind;
  /** What happened, in one short sentence. */
  readonly message: string;
  /** How the reader can resolve it, in one short sentence. */
  readonly remedy: string;
  readonly ran: Ran;
  /** Milliseconds after which a retry can succeed. */
  readonly retryAfterMs?: Millis;
}

/** Creates a refusal of work that certainly was not run. */
export function refuse(
  error: RefusalKind,
  message: string,
  remedy: string,
  retryAfterMs?: Millis,
): Refusal {
  return {error, message, remedy, ran: Ran.NO, retryAfterMs};
}

/** Creates a refusal of work that may have run. */
export function refuseUnknown(
  error: RefusalKind,
  message: string,
  remedy: string,
): Refusal {
  return {error, message, remedy, ran: Ran.UNKNOWN};
}

import {Millis, SECOND} from '../common/base/clock.js';
import {
  Ran,
  refuse,
  Refusal,
  RefusalKind,
  refuseUnknown,
} from '../common/base/refusal.js';
import {Claim} from '../common/jobs/types.js';
import {AttemptOutcome} from '../common/routing/types.js';
import {AttemptFailure, RequestFault} from './attempt.js';

/** `retryAfterMs` of refusals after a target failed or the deadline passed. */
const RETRY_AFTER_MS: Millis = 1 * SECOND;

const RETRY_FOR_OUTCOME =
  'Send the request again with the same idempotency-key to learn its outcome.';

/** @param mayHaveRun whether any byte of the request may have been sent */
export function deadlinePassed(mayHaveRun: boolean): Refusal {
  const message = 'The deadline passed before an answer began.';
  return mayHaveRun
    ? refuseUnknown(RefusalKind.DEADLINE_PASSED, message, RETRY_FOR_OUTCOME)
    : refuse(
        RefusalKind.DEADLINE_PASSED,
        message,
        'Send the request again, with a longer x-deadline-ms if possible.',
        RETRY_AFTER_MS,
      );
}

/** @param limit maximum size of a request body in bytes */
export function bodyTooLarge(limit: number, mayHaveRun: boolean): Refusal {
  const refusal = refuse(
    RefusalKind.BODY_TOO_LARGE,
    `The request body is larger than ${limit} bytes.`,
    'Send a smaller body or raise limits.maxBodyBytes.',
  );
  return mayHaveRun ? {...refusal, ran: Ran.UNKNOWN} : refusal;
}

/** Builds the refusal of a request whose key has already been claimed. */
export function alreadyClaimed(claim: Claim): Refusal {
  const ended = claim.state === 'ended';
  return {
    error: RefusalKind.ALREADY_CLAIMED,
    message: ended
      ? `The request was run and answered with status ${claim.status}.`
      : `The request was sent by instance ${claim.instance} and may have run.`,
    remedy: ended
      ? 'Use the earlier answer; a new request needs a new idempotency-key.'
      : 'Ask the service for the outcome before sending a new request.',
    ran: ended ? Ran.YES : Ran.UNKNOWN,
  };
}

/** Builds the refusal of a request whose last attempt failed. */
export function attemptFailed(
  failure: AttemptFailure,
  mayHaveRun: boolean,
  bodyLimit: number,
): Refusal {
  if (failure.fault === RequestFault.BODY_TOO_LARGE) {
    return bodyTooLarge(bodyLimit, mayHaveRun);
  }
  if (failure.fault === RequestFault.MALFORMED) {
    return refuse(
      RefusalKind.BAD_REQUEST,
      `The request can't be passed on: ${failure.reason}.`,
      'Correct the headers or the length of the body.',
    );
  }
  if (failure.outcome === AttemptOutcome.TIMED_OUT) {
    return deadlinePassed(mayHaveRun);
  }
  const message = `The target failed: ${failure.reason}.`;
  return mayHaveRun
    ? refuseUnknown(RefusalKind.TARGET_FAILED, message, RETRY_FOR_OUTCOME)
    : refuse(
        RefusalKind.TARGET_FAILED,
        message,
        'Send the request again.',
        RETRY_AFTER_MS,
      );
}

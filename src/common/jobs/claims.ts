import {Millis} from '../base/clock.js';
import {
  SchedulerState,
  addPending,
  answer,
  refusal,
  takePending,
} from './scheduler_state.js';
import {logUnavailable, noLeader} from './submissions.js';
import {Claim, JobRecord, SchedulerAction, SchedulerMessage} from './types.js';

type ClaimRequest = Extract<SchedulerMessage, {kind: 'claim'}>;
type EndClaim = Extract<SchedulerMessage, {kind: 'end-claim'}>;
type Claimed = Extract<JobRecord, {kind: 'claimed'}>;

/** The claim of a key, unless it is older than `claimKeptMs`. */
function unexpiredClaim(state: SchedulerState, key: string): Claim | undefined {
  const claim = state.table.claim(key);
  if (claim === undefined) return undefined;
  const ageMs = state.unixMs - claim.timeMs;
  return ageMs < state.settings.timing.claimKeptMs ? claim : undefined;
}

/**
 * Appends a claim; `onClaimedRead` grants it once its record has been read back.
 * A request whose key has an unexpired claim is answered with that claim.
 */
export function* onClaim(
  state: SchedulerState,
  {request, key, instance}: ClaimRequest,
  now: Millis,
): Generator<SchedulerAction> {
  if (!state.mayAct(now)) {
    yield refusal(request, noLeader());
    return;
  }
  const held = unexpiredClaim(state, key);
  if (held !== undefined) {
    yield answer(request, {kind: 'claim', claim: {granted: false, held}});
    return;
  }
  if (!state.logAvailable) {
    yield refusal(request, logUnavailable());
    return;
  }
  const appended = state.pendingClaims.has(key);
  addPending(state.pendingClaims, key, request);
  if (appended) return;
  state.record({kind: 'claimed', key, instance, timeMs: state.unixMs});
}

/** Records the outcome of a claimed request. */
// eslint-disable-next-line require-yield
export function* onEndClaim(
  state: SchedulerState,
  {key, outcome}: EndClaim,
): Generator<SchedulerAction> {
  // Only the leader writes records; otherwise the claim stays open and its
  // outcome unknown.
  if (state.term === undefined) return;
  if (outcome === 'released') state.record({kind: 'claim-released', key});
  else state.record({kind: 'claim-ended', key, status: outcome});
}

/**
 * Answers the requests for a key whose `claimed` record was read back. The first
 * one gets the claim, provided that this record created it.
 */
export function* onClaimedRead(
  state: SchedulerState,
  record: Claimed,
): Generator<SchedulerAction> {
  const held = state.table.claim(record.key);
  const [first, ...others] = takePending(state.pendingClaims, record.key);
  if (first === undefined || held === undefined) return;
  const createdClaim =
    held.instance === record.instance && held.timeMs === record.timeMs;
  yield answer(first, {
    kind: 'claim',
    claim: createdClaim ? {granted: true} : {granted: false, held},
  });
  for (const request of others) {
    yield answer(request, {kind: 'claim', claim: {granted: false, held}});
  }
}

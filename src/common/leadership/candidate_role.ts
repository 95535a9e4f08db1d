import {Millis} from '../base/clock.js';
import {Epoch, MemberId} from '../stream/types.js';
import {LeadershipState} from './leadership_state.js';
import {LeadershipAction, LeadershipPeerMessage} from './types.js';

/**
 * What an instance does that takes part in no view: it asks the leader to add
 * it, and appends a view with itself as the only member when every member of
 * the last view is gone or has consented.
 */
export class CandidateRole {
  private readonly connectedPeers = new Set<MemberId>();
  private nextRoundAt: Millis = 0;
  /** When to append a view; undefined while consents are missing. */
  private formViewAt: Millis | undefined;
  /** Epoch of the view for which `formViewAt` was set. */
  private formViewEpoch: Epoch | null = null;

  constructor(private readonly state: LeadershipState) {}

  onPeerUp(member: MemberId): void {
    this.connectedPeers.add(member);
  }

  onPeerDown(member: MemberId): void {
    this.connectedPeers.delete(member);
  }

  /** Sends requests every `renewMs` and appends a view when that is allowed. */
  *tick(now: Millis): Generator<LeadershipAction> {
    if (!this.isCandidate(now)) {
      this.formViewAt = undefined;
      return;
    }
    if (now >= this.nextRoundAt) {
      this.nextRoundAt = now + this.state.timing.renewMs;
      yield* this.sendRequests(now);
    }
    yield* this.formView(now);
  }

  private isCandidate(now: Millis): boolean {
    const {state} = this;
    return (
      state.caughtUp &&
      !state.isActive &&
      !state.leaving &&
      !state.detector.isSelfGone(now)
    );
  }

  private *sendRequests(now: Millis): Generator<LeadershipAction> {
    const {state} = this;
    if (state.view) {
      const epoch = state.view.epoch;
      yield* this.send(this.otherInstances(now), {kind: 'join', epoch});
    }
    yield* this.send(this.missingConsents(now) ?? [], {
      kind: 'consent-request',
      epoch: state.epoch,
    });
  }

  private *formView(now: Millis): Generator<LeadershipAction> {
    const {state} = this;
    if (state.pending || !state.logAvailable || state.mayBePresumedGone) return;
    // The wait restarts with each new view, whose leader may have ended only
    // just now.
    if (
      this.missingConsents(now)?.length !== 0 ||
      this.formViewEpoch !== state.epoch
    ) {
      this.formViewAt = undefined;
    }
    if (this.missingConsents(now)?.length !== 0) return;
    this.formViewEpoch = state.epoch;
    // A task start that the last leader sent may still be in transit, valid for
    // almost a lease. The jitter lets one of several candidates append first.
    this.formViewAt ??=
      now + state.timing.leaseMs + state.random() * state.timing.renewMs;
    if (now >= this.formViewAt) yield* state.propose([state.self], now);
  }

  /**
   * Instances whose consent is missing: members of the last view, or without a
   * view all listed entry instances. Undefined before the first list.
   */
  private missingConsents(now: Millis): MemberId[] | undefined {
    const {state} = this;
    const required = state.view?.members ?? state.detector.listedEntries;
    return required?.filter(
      member => member !== state.self && !state.hasLeft(member, now),
    );
  }

  /** All other known instances that are not gone; any of them may lead. */
  private otherInstances(now: Millis): Set<MemberId> {
    const {state} = this;
    const others = new Set([
      ...(state.detector.listedEntries ?? []),
      ...(state.view?.members ?? []),
      ...this.connectedPeers,
    ]);
    others.delete(state.self);
    for (const member of others) {
      if (state.detector.isGone(member, now)) others.delete(member);
    }
    return others;
  }

  private *send(
    members: Iterable<MemberId>,
    message: LeadershipPeerMessage,
  ): Generator<LeadershipAction> {
    for (const to of members) yield {kind: 'send', to, message};
  }
}

import {Millis} from '../base/clock.js';
import {Epoch, MemberId} from '../stream/types.js';
import {LeadershipState} from './leadership_state.js';
import {LeadershipAction} from './types.js';

/**
 * What a member does that is not the leader: it grants the leader's requests,
 * and takes over when it no longer hears from the leader.
 */
export class MemberRole {
  /**
   * End of the last grant on the local clock. Until then this instance appends
   * no takeover, whichever view is in force.
   */
  private grantedUntil: Millis = -Infinity;
  private lastRequestAt: Millis = 0;
  private leaderResigned = false;
  /** Added to `suspectMs` for the current view. */
  private jitterMs: Millis = 0;

  constructor(private readonly state: LeadershipState) {}

  /**
   * A new view came into force. An instance that was not a member before has
   * granted nothing yet. It waits as if it had granted now, since a task start
   * that the leader sent may still be in transit, valid for almost a lease.
   */
  onView(now: Millis, wasMember: boolean): void {
    const {view, self, timing} = this.state;
    if (!wasMember && view !== undefined && view.leader !== self) {
      this.grantedUntil = Math.max(this.grantedUntil, now + timing.leaseMs);
    }
    this.lastRequestAt = now;
    this.leaderResigned = false;
    // Keeps members from appending views at the same time when all of them
    // stop hearing from the leader.
    this.jitterMs = this.state.random() * this.state.timing.renewMs;
  }

  /**
   * Answers a grant request with a grant, with the newer view that this
   * instance holds, or with a consent if it takes no part in the view.
   */
  *onGrantRequest(
    from: MemberId,
    epoch: Epoch,
    nonce: number,
    now: Millis,
  ): Generator<LeadershipAction> {
    const {state} = this;
    const view = state.view;
    if (!view) return;
    if (epoch < view.epoch) {
      yield {kind: 'send', to: from, message: {kind: 'view-held', view}};
      return;
    }
    if (from !== view.leader) return;
    this.lastRequestAt = now;
    // The leader has read a newer view. Its request shows that it is alive, but
    // only a view that this instance has read can be granted.
    if (epoch > view.epoch) return;
    // The appended takeover may come into force at any time.
    if (state.pending || this.leaderResigned) return;
    if (state.leaving || epoch <= state.relinquished) {
      yield {kind: 'send', to: from, message: {kind: 'consent', epoch}};
      return;
    }
    this.grantedUntil = now + state.timing.leaseMs;
    yield {kind: 'send', to: from, message: {kind: 'grant', epoch, nonce}};
  }

  /**
   * The leader has stopped leading, so the grant no longer binds this instance.
   */
  onResign(from: MemberId, epoch: Epoch): void {
    const {view} = this.state;
    if (view?.epoch !== epoch || view.leader !== from) return;
    this.leaderResigned = true;
    this.grantedUntil = -Infinity;
  }

  /**
   * Appends a takeover if the leader is suspected and the grant has expired.
   */
  *tick(now: Millis): Generator<LeadershipAction> {
    const {state} = this;
    const view = state.view;
    if (!view || !state.isActive || state.isLeader || state.pending) return;
    if (!this.suspectsLeader(now) || now < this.grantedUntil) return;
    if (!state.logAvailable || !state.caughtUp) return;
    const members = view.members.filter(
      member => member !== view.leader && !state.hasLeft(member, now),
    );
    yield* state.propose(members, now);
  }

  /** Whether the leader has resigned or has been silent for too long. */
  private suspectsLeader(now: Millis): boolean {
    if (this.leaderResigned) return true;
    const lastHeardAt = Math.max(this.lastRequestAt, this.state.listeningSince);
    return now - lastHeardAt > this.state.timing.suspectMs + this.jitterMs;
  }
}

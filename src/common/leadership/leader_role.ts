import {Millis} from '../base/clock.js';
import {MemberId, View} from '../stream/types.js';
import {GrantTable} from './grant_table.js';
import {LeadershipState} from './leadership_state.js';
import {LeadershipAction} from './types.js';

/** Rounds of grant requests in each `renewMs` while the leader has no lease. */
const GRANT_ROUNDS_WITHOUT_LEASE = 5;

/** What a leader does: it renews its lease, and adds and removes members. */
export class LeaderRole {
  private readonly grants: GrantTable;
  /** Time of the last `join` message of each instance that is not a member. */
  private readonly joining = new Map<MemberId, Millis>();
  private nextRoundAt: Millis = 0;

  constructor(private readonly state: LeadershipState) {
    this.grants = new GrantTable(state.heldLeaseMs, state.random);
  }

  /**
   * End of the lease on the local clock, 0 without a lease. It is the earliest
   * end of the needed grants, and at most a lease after the last input, so that
   * a process that was paused holds no lease when it runs again.
   */
  leaseUntil(now: Millis): Millis {
    const state = this.state;
    if (!state.isLeader) return 0;
    const needed = [...this.neededGrants()];
    if (needed.length === 0 && state.needsViewRenewal) return 0;
    let until = (state.lastInputAt ?? now) + state.heldLeaseMs;
    for (const member of needed) {
      until = Math.min(until, this.grants.expiresAt(member));
    }
    return until > now ? until : 0;
  }

  /** A view led by this instance came into force. */
  onView(view: View, continued: boolean): void {
    if (!continued) this.grants.clear();
    this.grants.retainOnly(new Set(view.members));
    this.nextRoundAt = 0;
    this.joining.clear();
  }

  /**
   * Another instance asks to become a member; it is added once it has granted.
   */
  *onJoin(from: MemberId, now: Millis): Generator<LeadershipAction> {
    const state = this.state;
    if (!state.isLeader || state.hasLeft(from, now)) return;
    if (state.view?.members.includes(from)) return;
    const isNew = !this.joining.has(from);
    this.joining.set(from, now);
    if (isNew) yield* this.requestGrants([from], now);
  }

  onGrant(from: MemberId, nonce: number, now: Millis): void {
    if (this.state.isLeader) this.grants.onGrant(from, nonce, now);
  }

  /** Requests grants when a round is due and changes the view if necessary. */
  *tick(now: Millis): Generator<LeadershipAction> {
    if (!this.state.isLeader) return;
    this.removeExpiredJoins(now);
    if (now >= this.nextRoundAt) {
      this.nextRoundAt = now + this.roundIntervalMs(now);
      const receivers = new Set([
        ...this.neededGrants(),
        ...this.joining.keys(),
      ]);
      yield* this.requestGrants([...receivers], now);
    }
    yield* this.changeView(now);
  }

  /**
   * Time to the next round of grant requests. Rounds are frequent without a
   * lease, since members ignore requests until they have read the new view.
   */
  private roundIntervalMs(now: Millis): Millis {
    const {renewMs} = this.state.timing;
    return this.leaseUntil(now) > 0
      ? renewMs
      : renewMs / GRANT_ROUNDS_WITHOUT_LEASE;
  }

  /** The member to hand over to: the one whose grant lasts longest. */
  successor(): MemberId | undefined {
    let best: MemberId | undefined;
    for (const member of this.neededGrants()) {
      const lastsLonger =
        best === undefined ||
        this.grants.expiresAt(member) > this.grants.expiresAt(best);
      if (lastsLonger) best = member;
    }
    return best;
  }

  /**
   * The other members whose grants the lease needs: those of the current view
   * and, as soon as its append is sent, those of the pending view. A consent
   * waives the grant for the current view only. The grant of a member that is
   * gone is still needed: its takeover may have come into force before it
   * ended.
   */
  private neededGrants(): Set<MemberId> {
    const {state} = this;
    const current = (state.view?.members ?? []).filter(
      member => !state.hasConsented(member),
    );
    const needed = new Set([...current, ...(state.pending?.members ?? [])]);
    needed.delete(state.self);
    return needed;
  }

  private *requestGrants(
    members: readonly MemberId[],
    now: Millis,
  ): Generator<LeadershipAction> {
    const epoch = this.state.view?.epoch;
    if (epoch === undefined || members.length === 0) return;
    const nonce = this.grants.startRound(now);
    for (const to of members) {
      yield {kind: 'send', to, message: {kind: 'grant-request', epoch, nonce}};
    }
  }

  /**
   * Appends a view if members have to be added or removed, if the checkpoint is
   * due, or if the view has to be renewed after a pause.
   */
  private *changeView(now: Millis): Generator<LeadershipAction> {
    const {state} = this;
    if (!state.view || state.pending || !state.logAvailable) return;
    const kept = state.view.members.filter(
      member => !this.isSilent(member, now),
    );
    const added = [...this.joining.keys()].filter(
      member => this.grants.expiresAt(member) > now,
    );
    const changed = kept.length < state.view.members.length || added.length > 0;
    const checkpointDue =
      now - state.viewReadAt >= state.timing.viewCheckpointMs;
    const renewalDue = state.needsViewRenewal && this.neededGrants().size === 0;
    if (renewalDue && state.mayBePresumedGone) return;
    if (changed || checkpointDue || renewalDue) {
      yield* state.propose([...kept, ...added], now);
    }
  }

  /** Whether the member has left or has sent no grant for `suspectMs`. */
  private isSilent(member: MemberId, now: Millis): boolean {
    const {state} = this;
    if (member === state.self) return false;
    if (state.hasLeft(member, now)) return true;
    const lastHeardAt = Math.max(
      this.grants.lastReceivedAt(member),
      state.viewReadAt,
      state.listeningSince,
    );
    return now - lastHeardAt > state.timing.suspectMs;
  }

  /** Removes instances that have not repeated their `join` for `suspectMs`. */
  private removeExpiredJoins(now: Millis): void {
    for (const [member, askedAt] of this.joining) {
      if (now - askedAt > this.state.timing.suspectMs) {
        this.joining.delete(member);
      }
    }
  }
}

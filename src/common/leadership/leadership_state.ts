import {Millis} from '../base/clock.js';
import {Epoch, MemberId, View} from '../stream/types.js';
import {GoneTable} from './gone_table.js';
import {LeadershipAction, LeadershipTiming} from './types.js';

/** A view that this instance has appended and not read back. */
export interface PendingView {
  /** Always the epoch of the current view. */
  readonly base: Epoch | null;
  readonly members: readonly MemberId[];
}

/** What the roles of one instance share. */
export class LeadershipState {
  view: View | undefined;
  /** When `view` was read, or this core was made. */
  viewReadAt: Millis = 0;
  pending: PendingView | undefined;
  caughtUp = false;
  logAvailable = true;
  /** Graceful shutdown: takes no part in any view. */
  leaving = false;
  /** No part is taken in views up to this epoch. Sticky. */
  relinquished: Epoch = -1;
  /** Time of the last input; a process that runs has inputs all the time. */
  aliveAt: Millis | undefined;
  /** Silence of others is counted from here at the earliest. */
  listeningSince: Millis = 0;
  /**
   * Set when a pause outlasted the lease: time of the wake-up. Until it is
   * cleared by evidence asked for later, this instance may have been replaced.
   */
  wokeAt: Millis | undefined;
  /** What members have consented to, by the epoch that they named. */
  readonly consents = new Map<MemberId, Epoch | null>();

  constructor(
    readonly self: MemberId,
    readonly timing: LeadershipTiming,
    readonly gone: GoneTable,
    readonly random: () => number,
  ) {}

  /** How long a lease lasts at its holder: less the drift of two clocks. */
  get heldLeaseMs(): Millis {
    return this.timing.leaseMs * (1 - this.timing.driftFraction);
  }

  /** Whether this instance takes part in the current view. */
  get isActive(): boolean {
    return (
      this.view !== undefined &&
      this.view.epoch > this.relinquished &&
      !this.leaving &&
      this.view.members.includes(this.self)
    );
  }

  /** Whether this instance is the leader of the current view. */
  get isLeader(): boolean {
    return this.isActive && this.view?.leader === this.self;
  }

  get epoch(): Epoch | null {
    return this.view?.epoch ?? null;
  }

  /** Notes that the process runs at `now` and recognizes a pause. */
  *advance(now: Millis): Generator<LeadershipAction> {
    const gap = now - (this.aliveAt ?? now);
    this.aliveAt = Math.max(this.aliveAt ?? now, now);
    // Messages that arrived during a pause have not been handled yet.
    if (gap > this.timing.renewMs) this.listeningSince = now;
    if (gap < this.heldLeaseMs) return;
    this.wokeAt = now;
    // The list may have dropped this instance meanwhile, so that the leader
    // needs no grant from it. It joins again.
    if (this.view && !this.isLeader) yield* this.relinquish(this.view.epoch);
  }

  /** Ends the doubt after a pause, by evidence asked for at `sentAt`. */
  confirmAwake(sentAt: Millis): void {
    if (this.wokeAt !== undefined && sentAt >= this.wokeAt) {
      this.wokeAt = undefined;
    }
  }

  /** Makes `view` the current one. */
  setView(view: View, now: Millis): void {
    this.view = view;
    this.viewReadAt = now;
    // A pending view that is not this one has an old base, so it is void.
    this.pending = undefined;
    this.consents.clear();
    this.gone.noteMembers(view.members, now);
    const unconfirmed = this.wokeAt !== undefined && view.leader !== this.self;
    const dropped = this.gone.isSelfDropped(now);
    if (dropped || unconfirmed) this.relinquished = view.epoch;
  }

  /** Takes no part in views up to `epoch` from now on. */
  *relinquish(epoch: Epoch): Generator<LeadershipAction> {
    const led = this.isLeader;
    this.relinquished = Math.max(this.relinquished, epoch);
    if (led && !this.isLeader) yield {kind: 'follow', view: undefined};
  }

  /** Whether the member needs no longer be asked in the current view. */
  isOut(member: MemberId, now: Millis): boolean {
    return this.gone.isGone(member, now) || this.hasConsented(member);
  }

  /** Whether the member has given up its part in the current view. */
  hasConsented(member: MemberId): boolean {
    const consent = this.consents.get(member);
    return consent !== undefined && consent === this.epoch;
  }

  /** Appends a view led by this instance that follows the current one. */
  *propose(members: readonly MemberId[]): Generator<LeadershipAction> {
    this.pending = {base: this.epoch, members};
    yield {
      kind: 'append-view',
      base: this.epoch,
      leader: this.self,
      members,
    };
  }
}

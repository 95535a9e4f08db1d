import {Millis} from '../base/clock.js';
import {Epoch, MemberId, View} from '../stream/types.js';
import {TerminationDetector} from './termination_detector.js';
import {LeadershipAction, LeadershipTiming} from './types.js';

/** A view record that this instance has appended and not yet read back. */
export interface PendingView {
  /** Always the epoch of the current view, or null when there is none. */
  readonly base: Epoch | null;
  readonly members: readonly MemberId[];
  readonly proposedAt: Millis;
}

/** State that the leader, member and candidate roles of an instance share. */
export class LeadershipState {
  /** The view in force as far as this instance has read the stream. */
  view: View | undefined;
  /** When `view` was read; 0 before the first view. */
  viewReadAt: Millis = 0;
  pending: PendingView | undefined;
  /** Whether the stream has been read to its end since this process started. */
  caughtUp = false;
  logAvailable = true;
  /** Set during graceful shutdown: this instance takes part in no view. */
  leaving = false;
  /** This instance takes no part in views up to this epoch, now or later. */
  relinquished: Epoch = -1;
  /** Time of the last input; a running process has input all the time. */
  lastInputAt: Millis | undefined;
  /** Earliest time from which the silence of another instance counts. */
  listeningSince: Millis = 0;
  /** End of the last pause that was longer than the lease. */
  pauseEndedAt: Millis = -Infinity;
  /** Whether the stream has been read to its end since that pause. */
  private caughtUpSincePause = true;
  /** When this instance proposed the current view; -Infinity if it did not. */
  private ownViewProposedAt: Millis = -Infinity;
  /** Epoch of the last consent that each member has sent for this view. */
  readonly consents = new Map<MemberId, Epoch | null>();

  constructor(
    readonly self: MemberId,
    readonly timing: LeadershipTiming,
    readonly detector: TerminationDetector,
    readonly random: () => number,
  ) {}

  /**
   * How long a lease lasts at its holder: shorter than at the members by the
   * most that two clocks may drift apart.
   */
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

  /**
   * Records that the process runs at `now` and detects whether it was paused.
   *
   * During a pause longer than the lease the platform may have dropped this
   * instance from the list. Others then count it as gone and learn late that
   * it runs again, so it relinquishes its part in the views of that time and
   * joins again. A leader may continue, since new grants of its members show
   * that no other instance has replaced it; a leader without other members has
   * to renew its view on the log first.
   */
  *detectPause(now: Millis): Generator<LeadershipAction> {
    const gap = now - (this.lastInputAt ?? now);
    this.lastInputAt = Math.max(this.lastInputAt ?? now, now);
    // Messages that arrived during the pause have not been handled yet.
    if (gap > this.timing.renewMs) this.listeningSince = now;
    if (gap < this.heldLeaseMs) return;
    this.pauseEndedAt = now;
    this.caughtUpSincePause = false;
    if (this.view && !this.isLeader) yield* this.relinquish(this.view.epoch);
  }

  /** Records that the stream was read to its end as of `sentAt`. */
  onCaughtUp(sentAt: Millis): void {
    this.caughtUp = true;
    if (sentAt >= this.pauseEndedAt) this.caughtUpSincePause = true;
  }

  /**
   * Whether the current view may be older than the last pause longer than the
   * lease: this instance proposed it before then, or did not propose it.
   */
  get needsViewRenewal(): boolean {
    return this.ownViewProposedAt < this.pauseEndedAt;
  }

  /** Whether other instances may still count this one as gone after a pause. */
  get mayBePresumedGone(): boolean {
    return !this.detector.wasSelfListedSince(this.pauseEndedAt);
  }

  /** Makes `view` the current view. */
  setView(view: View, now: Millis): void {
    const isOwn = view.leader === this.self;
    this.view = view;
    this.viewReadAt = now;
    const proposedAt = isOwn ? this.pending?.proposedAt : undefined;
    this.ownViewProposedAt = proposedAt ?? -Infinity;
    // A pending view other than this one has an outdated base, so it is void.
    this.pending = undefined;
    this.consents.clear();
    this.detector.resetAbsence(view.members, now);
    const isOld = !isOwn && !this.caughtUpSincePause;
    if (isOld || this.detector.isSelfGone(now)) this.relinquished = view.epoch;
  }

  /** Ends the part of this instance in views up to `epoch`. */
  *relinquish(epoch: Epoch): Generator<LeadershipAction> {
    const wasLeader = this.isLeader;
    this.relinquished = Math.max(this.relinquished, epoch);
    if (wasLeader && !this.isLeader) yield {kind: 'follow', view: undefined};
  }

  /** Whether the member is gone or has consented, so a new view may omit it. */
  hasLeft(member: MemberId, now: Millis): boolean {
    return this.detector.isGone(member, now) || this.hasConsented(member);
  }

  /**
   * Whether the member has consented to give up its part in the current view.
   */
  hasConsented(member: MemberId): boolean {
    const consent = this.consents.get(member);
    return consent !== undefined && consent === this.epoch;
  }

  /** Appends a view led by this instance with the current epoch as its base. */
  *propose(
    members: readonly MemberId[],
    now: Millis,
  ): Generator<LeadershipAction> {
    this.pending = {base: this.epoch, members, proposedAt: now};
    yield {
      kind: 'append-view',
      base: this.epoch,
      leader: this.self,
      members,
    };
  }
}

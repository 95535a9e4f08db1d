import {Millis} from '../base/clock.js';
import {Epoch, MemberId, View} from '../stream/types.js';
import {CandidateRole} from './candidate_role.js';
import {TerminationDetector} from './termination_detector.js';
import {LeaderRole} from './leader_role.js';
import {LeadershipState} from './leadership_state.js';
import {MemberRole} from './member_role.js';
import {
  DEFAULT_LEADERSHIP_TIMING,
  LeadershipAction,
  LeadershipMessage,
  LeadershipPeerMessage,
  LeadershipTiming,
} from './types.js';

/** Options of a leadership core. */
export interface LeadershipOptions {
  readonly self: MemberId;
  readonly dataCentre: string;
  readonly timing?: LeadershipTiming;
  /**
   * Source of nonces and jitter: returns numbers from 0 (inclusive) to 1
   * (exclusive).
   */
  readonly random: () => number;
}

type Handlers<M extends {readonly kind: string}> = {
  readonly [K in M['kind']]: (
    message: Extract<M, {kind: K}>,
    now: Millis,
    from: MemberId,
  ) => Generator<LeadershipAction> | void;
};

/**
 * Elects the entry instance of a data centre that may allocate the capacity of
 * its workers; see section 3.1 of the design page.
 *
 * View records in the log name a leader and its members, and take effect in the
 * order of the log. The leader holds the lease while it has a valid grant from
 * every other member. A member that no longer hears from the leader waits for
 * its own grant to expire and then appends a view of its own. At most one
 * instance of a data centre has `mayAct` true at any time, as long as clocks
 * differ by less than `driftFraction` and the instance list drops no running
 * process.
 *
 * The caller has to send a `tick` several times in each `renewMs`; without
 * input for a lease the process counts as paused. It has to run the generator
 * of `handle` to its end and execute the actions in order; they may be delayed.
 */
export class Leadership {
  private readonly state: LeadershipState;
  private readonly leader: LeaderRole;
  private readonly member: MemberRole;
  private readonly candidate: CandidateRole;

  constructor(options: LeadershipOptions) {
    const timing = options.timing ?? DEFAULT_LEADERSHIP_TIMING;
    const detector = new TerminationDetector(
      options.self,
      options.dataCentre,
      timing.leaseMs,
    );
    this.state = new LeadershipState(
      options.self,
      timing,
      detector,
      options.random,
    );
    this.leader = new LeaderRole(this.state);
    this.member = new MemberRole(this.state);
    this.candidate = new CandidateRole(this.state);
  }

  /** The view in force as far as this instance has read the stream. */
  get view(): View | undefined {
    return this.state.view;
  }

  /**
   * Whether this instance holds the lease and may allocate capacity at `now`.
   */
  mayAct(now: Millis): boolean {
    return this.leaseUntil(now) > now;
  }

  /** End of the lease on the local clock; 0 without a lease. */
  leaseUntil(now: Millis): Millis {
    return this.leader.leaseUntil(now);
  }

  /**
   * Handles a message and yields the actions that the caller has to execute.
   */
  *handle(
    message: LeadershipMessage,
    now: Millis,
  ): Generator<LeadershipAction> {
    yield* this.state.detectPause(now);
    yield* dispatch(this.handlers, message, now, this.state.self);
    yield* this.leader.tick(now);
    yield* this.member.tick(now);
    yield* this.candidate.tick(now);
  }

  private readonly handlers: Handlers<LeadershipMessage> = {
    tick: () => {},
    'view-read': (message, now) => this.onViewRead(message.view, now),
    'view-void': message => this.onViewVoid(message.record.base),
    'caught-up': message => this.state.onCaughtUp(message.sentAt),
    log: message => {
      this.state.logAvailable = message.available;
    },
    peer: ({from, message}, now) => this.onPeerMessage(from, message, now),
    'peer-up': (message, now) => this.onPeerUp(message.member, now),
    'peer-down': message => this.candidate.onPeerDown(message.member),
    instances: (message, now) => this.onInstanceList(message, now),
    'declared-gone': (message, now) => this.onDeclaredGone(message.ids, now),
    resign: () => this.onResign(),
  };

  private readonly peerHandlers: Handlers<LeadershipPeerMessage> = {
    'grant-request': (message, now, from) =>
      this.member.onGrantRequest(from, message.epoch, message.nonce, now),
    grant: (message, now, from) =>
      this.onGrant(message.epoch, message.nonce, now, from),
    join: (message, now, from) => this.onJoin(message.epoch, now, from),
    'consent-request': (message, unusedNow, from) =>
      this.onConsentRequest(message.epoch, from),
    consent: (message, unusedNow, from) => {
      this.state.consents.set(from, message.epoch);
    },
    'view-held': (message, now, from) =>
      this.onViewHeld(message.view, now, from),
    resign: (message, unusedNow, from) =>
      this.member.onResign(from, message.epoch),
  };

  private *onPeerMessage(
    from: MemberId,
    message: LeadershipPeerMessage,
    now: Millis,
  ): Generator<LeadershipAction> {
    this.state.detector.recordStart(from);
    yield* this.relinquishIfGone(now);
    yield* dispatch(this.peerHandlers, message, now, from);
  }

  private *onViewRead(view: View, now: Millis): Generator<LeadershipAction> {
    const {state} = this;
    if (state.view && view.epoch <= state.view.epoch) return;
    const wasLeader = state.isLeader;
    const wasMember = state.view?.members.includes(state.self) ?? false;
    state.setView(view, now);
    this.member.onView(now, wasMember);
    if (state.isLeader) {
      this.leader.onView(view, wasLeader);
      yield {kind: 'lead', view, continued: wasLeader};
    } else {
      const followed = view.leader === state.self ? undefined : view;
      yield {kind: 'follow', view: followed};
    }
    if (state.leaving) yield* this.handOver();
  }

  private onViewVoid(base: Epoch | null): void {
    if (this.state.pending?.base === base) this.state.pending = undefined;
  }

  private *onPeerUp(
    member: MemberId,
    now: Millis,
  ): Generator<LeadershipAction> {
    this.state.detector.recordStart(member);
    this.candidate.onPeerUp(member);
    yield* this.relinquishIfGone(now);
  }

  private *onInstanceList(
    message: Extract<LeadershipMessage, {kind: 'instances'}>,
    now: Millis,
  ): Generator<LeadershipAction> {
    const {instances, sentAt} = message;
    this.state.detector.onInstanceList(instances, sentAt, now);
    yield* this.relinquishIfGone(now);
  }

  private *onDeclaredGone(
    ids: readonly string[],
    now: Millis,
  ): Generator<LeadershipAction> {
    this.state.detector.setDeclaredGone(ids);
    yield* this.relinquishIfGone(now);
  }

  private *onResign(): Generator<LeadershipAction> {
    const {state} = this;
    if (state.leaving) return;
    const wasLeader = state.isLeader;
    const successor = wasLeader ? this.leader.successor() : undefined;
    state.leaving = true;
    if (wasLeader) yield {kind: 'follow', view: undefined};
    yield* this.handOver(successor);
  }

  /** Tells the leader, or as leader a successor, that this instance leaves. */
  private *handOver(successor?: MemberId): Generator<LeadershipAction> {
    const {view, self, pending} = this.state;
    if (!view?.members.includes(self)) return;
    const epoch = view.epoch;
    if (view.leader !== self) {
      // The appended takeover may still come into force.
      if (pending !== undefined) return;
      yield send(view.leader, {kind: 'consent', epoch});
      return;
    }
    const receiver = successor ?? view.members.find(member => member !== self);
    if (receiver !== undefined) yield send(receiver, {kind: 'resign', epoch});
  }

  private onGrant(epoch: Epoch, nonce: number, now: Millis, from: MemberId) {
    if (epoch === this.state.epoch) this.leader.onGrant(from, nonce, now);
  }

  private *onJoin(
    epoch: Epoch,
    now: Millis,
    from: MemberId,
  ): Generator<LeadershipAction> {
    // An instance that has not read the current view could give no grant for
    // the next one either.
    if (epoch === this.state.epoch) yield* this.leader.onJoin(from, now);
  }

  private *onConsentRequest(
    epoch: Epoch | null,
    from: MemberId,
  ): Generator<LeadershipAction> {
    const {state} = this;
    const {view} = state;
    if (view && (state.isActive || epoch === null || epoch < view.epoch)) {
      yield send(from, {kind: 'view-held', view});
      return;
    }
    // The appended view may come into force at any time.
    if (state.pending) return;
    if (epoch !== null) yield* state.relinquish(epoch);
    yield send(from, {kind: 'consent', epoch});
  }

  private *onViewHeld(
    view: View,
    now: Millis,
    from: MemberId,
  ): Generator<LeadershipAction> {
    const {state} = this;
    state.consents.delete(from);
    if (!state.view) {
      // The log no longer retains the view, but joining requires it.
      if (state.caughtUp) yield* this.onViewRead(view, now);
    } else if (view.epoch > state.view.epoch && view.leader !== state.self) {
      yield* state.relinquish(state.view.epoch);
    }
  }

  /** Relinquishes the view if other instances count this one as gone. */
  private *relinquishIfGone(now: Millis): Generator<LeadershipAction> {
    const {view, detector: detector} = this.state;
    if (!view || !detector.isSelfGone(now)) return;
    yield* this.state.relinquish(view.epoch);
  }
}

function send(to: MemberId, message: LeadershipPeerMessage): LeadershipAction {
  return {kind: 'send', to, message};
}

function* dispatch<M extends {readonly kind: string}>(
  handlers: Handlers<M>,
  message: M,
  now: Millis,
  from: MemberId,
): Generator<LeadershipAction> {
  // The table has a handler for each kind, but the compiler cannot infer that
  // the handler accepts this message.
  const handler = handlers[message.kind as M['kind']] as (
    message: M,
    now: Millis,
    from: MemberId,
  ) => Generator<LeadershipAction> | void;
  const actions = handler(message, now, from);
  if (actions) yield* actions;
}

import {View} from '../../stream/types.js';
import {Leadership} from '../leadership.js';
import {
  LeadershipAction,
  LeadershipMessage,
  LeadershipPeerMessage,
} from '../types.js';
import {DATA_CENTRE, instanceFor} from './instance_for.js';

/** A leadership core with a clock that the test advances. */
export class LeadershipHarness {
  /** Local time in milliseconds. */
  now = 1000;
  readonly core: Leadership;
  private randomCount = 0;

  constructor(readonly self: string) {
    this.core = new Leadership({
      self,
      dataCentre: DATA_CENTRE,
      random: () => (this.randomCount++ % 1000) / 1000,
    });
  }

  input(message: LeadershipMessage): LeadershipAction[] {
    return [...this.core.handle(message, this.now)];
  }

  onPeer(from: string, message: LeadershipPeerMessage): LeadershipAction[] {
    return this.input({kind: 'peer', from, message});
  }

  onCaughtUp(): LeadershipAction[] {
    return this.input({kind: 'caught-up', sentAt: this.now});
  }

  /** Passes an instance list with the given members to the core. */
  onList(...members: string[]): LeadershipAction[] {
    const instances = members.map(instanceFor);
    return this.input({kind: 'instances', instances, sentAt: this.now});
  }

  /** Passes a view that came into force to the core. */
  onView(
    epoch: number,
    leader: string,
    ...others: string[]
  ): LeadershipAction[] {
    const view: View = {epoch, leader, members: [leader, ...others]};
    return this.input({kind: 'view-read', view});
  }

  /** Advances the clock by `durationMs` with a tick every 100 ms. */
  advance(durationMs: number): LeadershipAction[] {
    const actions: LeadershipAction[] = [];
    const end = this.now + durationMs;
    while (this.now < end) {
      this.now = Math.min(end, this.now + 100);
      actions.push(...this.input({kind: 'tick'}));
    }
    return actions;
  }

  /**
   * Advances the clock; receives a list and catches up on the stream each
   * second.
   */
  advanceWithPolls(seconds: number, ...members: string[]): LeadershipAction[] {
    const actions: LeadershipAction[] = [];
    for (let i = 0; i < seconds; i++) {
      actions.push(...this.advance(1000), ...this.onCaughtUp());
      actions.push(...this.onList(...members));
    }
    return actions;
  }

  /**
   * Answers the last grant request to a member among `requests` with a grant.
   */
  onGrant(member: string, epoch: number, requests: LeadershipAction[]): void {
    const nonce = lastGrantNonce(requests, member);
    this.onPeer(member, {kind: 'grant', epoch, nonce});
  }

  get mayAct(): boolean {
    return this.core.mayAct(this.now);
  }
}

/** Returns the `append-view` actions. */
export function viewAppends(actions: readonly LeadershipAction[]) {
  return actions.flatMap(action =>
    action.kind === 'append-view' ? [action] : [],
  );
}

/** Returns the nonce of the last grant request to a member. */
export function lastGrantNonce(
  actions: readonly LeadershipAction[],
  to: string,
): number {
  for (const action of [...actions].reverse()) {
    if (action.kind !== 'send' || action.to !== to) continue;
    if (action.message.kind === 'grant-request') return action.message.nonce;
  }
  throw new Error(`the actions contain no grant request to ${to}`);
}

/** Returns the sent messages as `kind>receiver`. */
export function sentMessages(actions: readonly LeadershipAction[]): string[] {
  return actions.flatMap(action =>
    action.kind === 'send' ? [`${action.message.kind}>${action.to}`] : [],
  );
}

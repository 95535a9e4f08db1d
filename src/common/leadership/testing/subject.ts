import {View} from '../../stream/types.js';
import {Leadership} from '../leadership.js';
import {
  LeadershipAction,
  LeadershipMessage,
  LeadershipPeerMessage,
} from '../types.js';
import {DATA_CENTRE, instanceFor} from './instance_for.js';

/** One core with a clock that its test moves. */
export class Subject {
  now = 1000;
  readonly core: Leadership;
  private counter = 0;

  constructor(readonly self: string) {
    this.core = new Leadership({
      self,
      dataCentre: DATA_CENTRE,
      random: () => (this.counter++ % 1000) / 1000,
    });
  }

  give(message: LeadershipMessage): LeadershipAction[] {
    return [...this.core.handle(message, this.now)];
  }

  from(from: string, message: LeadershipPeerMessage): LeadershipAction[] {
    return this.give({kind: 'peer', from, message});
  }

  caughtUp(): LeadershipAction[] {
    return this.give({kind: 'caught-up', sentAt: this.now});
  }

  list(...members: string[]): LeadershipAction[] {
    const instances = members.map(instanceFor);
    return this.give({kind: 'instances', instances, sentAt: this.now});
  }

  read(epoch: number, leader: string, ...others: string[]): LeadershipAction[] {
    const view: View = {epoch, leader, members: [leader, ...others]};
    return this.give({kind: 'view-read', view});
  }

  /** Ticks every 100 ms until `durationMs` have passed. */
  run(durationMs: number): LeadershipAction[] {
    const actions: LeadershipAction[] = [];
    const end = this.now + durationMs;
    while (this.now < end) {
      this.now = Math.min(end, this.now + 100);
      actions.push(...this.give({kind: 'tick'}));
    }
    return actions;
  }

  /** Polls a list and reads the end of the stream each second. */
  poll(seconds: number, ...members: string[]): LeadershipAction[] {
    const actions: LeadershipAction[] = [];
    for (let i = 0; i < seconds; i++) {
      actions.push(...this.run(1000), ...this.caughtUp());
      actions.push(...this.list(...members));
    }
    return actions;
  }

  /** Answers the last grant request to a member among the actions. */
  grantFrom(member: string, epoch: number, asked: LeadershipAction[]): void {
    const nonce = nonceFor(asked, member);
    this.from(member, {kind: 'grant', epoch, nonce});
  }

  get mayAct(): boolean {
    return this.core.mayAct(this.now);
  }
}

/** The appends of view records among actions. */
export function appends(actions: readonly LeadershipAction[]) {
  return actions.flatMap(action =>
    action.kind === 'append-view' ? [action] : [],
  );
}

/** Nonce of the last grant request to a member. */
export function nonceFor(
  actions: readonly LeadershipAction[],
  to: string,
): number {
  for (const action of [...actions].reverse()) {
    if (action.kind !== 'send' || action.to !== to) continue;
    if (action.message.kind === 'grant-request') return action.message.nonce;
  }
  throw new Error(`no grant request to ${to}`);
}

/** The messages among actions, as `kind>receiver`. */
export function sent(actions: readonly LeadershipAction[]): string[] {
  return actions.flatMap(action =>
    action.kind === 'send' ? [`${action.message.kind}>${action.to}`] : [],
  );
}

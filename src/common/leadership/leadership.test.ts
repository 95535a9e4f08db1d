import {Instance} from '../base/platform.js';
import {View} from '../stream/types.js';
import {Leadership} from './leadership.js';
import {memberParts} from './member.js';
import {
  LeadershipAction,
  LeadershipMessage,
  LeadershipPeerMessage,
} from './types.js';

const DC = 'dc-1';

function entry(member: string): Instance {
  const {id, start} = memberParts(member);
  return {
    id,
    role: 'entry',
    start,
    dataCentre: DC,
    rack: 'r1',
    host: '127.0.0.1',
    port: 1,
    peerPort: 2,
    state: 'live',
    capacity: {processors: 1, memoryMb: 1, accelerators: 0},
    services: [],
    slots: 0,
    connections: 0,
  };
}

/** One core with a clock that its test moves. */
class Subject {
  now = 1000;
  readonly core: Leadership;
  private counter = 0;

  constructor(readonly self: string) {
    this.core = new Leadership({
      self,
      dataCentre: DC,
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
    const instances = members.map(entry);
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

  get mayAct(): boolean {
    return this.core.mayAct(this.now);
  }
}

function appends(actions: readonly LeadershipAction[]) {
  return actions.flatMap(action =>
    action.kind === 'append-view' ? [action] : [],
  );
}

function nonceFor(actions: readonly LeadershipAction[], to: string): number {
  for (const action of [...actions].reverse()) {
    if (action.kind !== 'send' || action.to !== to) continue;
    if (action.message.kind === 'grant-request') return action.message.nonce;
  }
  throw new Error(`no grant request to ${to}`);
}

describe('Leadership', () => {
  it('leads only with a grant from every other member', () => {
    const a = new Subject('a#1');
    const asked = a.read(0, 'a#1', 'b#1', 'c#1');
    a.from('b#1', {kind: 'grant', epoch: 0, nonce: nonceFor(asked, 'b#1')});
    expect(a.mayAct).toBe(false);
    a.from('c#1', {kind: 'grant', epoch: 0, nonce: nonceFor(asked, 'c#1')});
    expect(a.mayAct).toBe(true);
  });

  it('counts a grant from its request, less the drift allowance', () => {
    const a = new Subject('a#1');
    const asked = a.read(0, 'a#1', 'b#1');
    const nonce = nonceFor(asked, 'b#1');
    a.now += 400;
    a.from('b#1', {kind: 'grant', epoch: 0, nonce});
    expect(a.core.leaseUntil(a.now)).toBe(1000 + 3000 * 0.98);
  });

  it('takes over only after its own grant has expired', () => {
    const b = new Subject('b#1');
    b.caughtUp();
    b.read(0, 'a#1', 'b#1', 'c#1');
    b.from('a#1', {kind: 'grant-request', epoch: 0, nonce: 7});
    expect(appends(b.run(2999))).toEqual([]);
    expect(appends(b.run(100))).toMatchObject([
      {base: 0, leader: 'b#1', members: ['b#1', 'c#1']},
    ]);
  });

  it('forms a first view alone when the list shows nobody else', () => {
    const a = new Subject('a#1');
    a.caughtUp();
    expect(appends(a.run(2000))).toEqual([]);
    // A start of an unknown earlier leader may be on its way for a lease.
    const early = [...a.list('a#1'), ...a.run(2900)];
    expect(appends(early)).toEqual([]);
    const actions = a.run(1000);
    expect(appends(actions)).toMatchObject([{base: null, members: ['a#1']}]);
    expect(a.read(0, 'a#1')).toMatchObject([{kind: 'lead', continued: false}]);
    expect(a.mayAct).toBe(true);
  });
});

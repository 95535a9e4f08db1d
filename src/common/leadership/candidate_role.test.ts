import {Subject, appends, sent} from './testing/subject.js';

describe('Leadership of an instance that is in no view', () => {
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

  it('forms nothing before it has read the stream', () => {
    const a = new Subject('a#1');
    expect(appends([...a.list('a#1'), ...a.run(60_000)])).toEqual([]);
  });

  // An instance that is not on the list yet may hold a view.
  it('needs the consent of every listed instance for a first view', () => {
    const a = new Subject('a#1');
    a.caughtUp();
    const asked = [...a.list('a#1', 'b#1'), ...a.run(1000)];
    expect(sent(asked)).toContain('consent-request>b#1');
    expect(appends(asked)).toEqual([]);
    const consented = a.from('b#1', {kind: 'consent', epoch: null});
    expect(appends([...consented, ...a.run(2900)])).toEqual([]);
    expect(appends(a.run(1000))).toHaveLength(1);
  });

  it('consents to a first view of another instance', () => {
    const a = new Subject('a#1');
    const asked = {kind: 'consent-request', epoch: null} as const;
    expect(sent(a.from('b#1', asked))).toEqual(['consent>b#1']);
  });

  it('asks to join and is added instead of forming a view', () => {
    const n = new Subject('n#1');
    n.read(3, 'a#1', 'b#1');
    const actions = [...n.caughtUp(), ...n.list('a#1', 'b#1', 'n#1')];
    expect(sent(actions)).toContain('join>a#1');
    expect(appends([...actions, ...n.run(5000)])).toEqual([]);
    n.read(4, 'a#1', 'b#1', 'n#1');
    expect(sent(n.run(1000))).toEqual([]);
  });

  it('grants to the leader that is about to add it', () => {
    const n = new Subject('n#1');
    n.read(3, 'a#1');
    const request = {kind: 'grant-request', epoch: 3, nonce: 1} as const;
    expect(sent(n.from('a#1', request))).toContain('grant>a#1');
  });

  it('forms a view when every member is gone or consents', () => {
    const n = new Subject('n#1');
    n.read(3, 'a#1', 'b#1', 'c#1');
    n.caughtUp();
    n.list('a#1', 'b#1', 'c#1', 'n#1');
    n.give({kind: 'peer-up', member: 'b#2'});
    n.from('c#1', {kind: 'consent', epoch: 3});
    // Three polls until the first counts as gone, then a lease.
    expect(appends(n.poll(6, 'n#1'))).toEqual([]);
    expect(appends(n.poll(2, 'n#1'))).toMatchObject([
      {base: 3, leader: 'n#1', members: ['n#1']},
    ]);
  });

  // A start of the leader of the later view may be on its way; found by
  // comparing the core with the model.
  it('waits a lease again after each view that it reads', () => {
    const n = new Subject('n#1');
    n.read(3, 'a#1');
    n.caughtUp();
    n.list('a#1', 'b#1', 'n#1');
    n.give({kind: 'peer-up', member: 'a#2'});
    n.give({kind: 'peer-up', member: 'b#2'});
    n.run(2700);
    n.read(4, 'b#1');
    expect(appends(n.run(2900))).toEqual([]);
    expect(appends(n.run(700))).toMatchObject([{base: 4}]);
  });

  it('ignores the consent for another view', () => {
    const n = new Subject('n#1');
    n.read(3, 'a#1');
    n.list('a#1', 'n#1');
    n.caughtUp();
    const consented = n.from('a#1', {kind: 'consent', epoch: 2});
    expect(appends([...consented, ...n.run(5000)])).toEqual([]);
  });

  it('does not form a view while the list lacks it', () => {
    const n = new Subject('n#1');
    n.read(3, 'a#1');
    n.list('a#1', 'n#1');
    n.caughtUp();
    n.list('a#1');
    const consented = n.from('a#1', {kind: 'consent', epoch: 3});
    expect(appends([...consented, ...n.run(5000)])).toEqual([]);
  });

  it('learns the view from a peer when the log has lost it', () => {
    const n = new Subject('n#1');
    n.caughtUp();
    n.list('a#1', 'n#1');
    const view = {epoch: 8, leader: 'a#1', members: ['a#1']};
    n.from('a#1', {kind: 'view-held', view});
    expect(n.core.view).toEqual(view);
    expect(sent(n.run(1000))).toContain('join>a#1');
  });

  // It would take part in a view of which others have its consent.
  it('takes no part in a view that it consented to give up unread', () => {
    const b = new Subject('b#1');
    b.caughtUp();
    b.read(3, 'a#1');
    const asked = {kind: 'consent-request', epoch: 4} as const;
    expect(sent(b.from('n#1', asked))).toContain('consent>n#1');
    expect(b.read(4, 'b#1')).not.toContainEqual(
      expect.objectContaining({kind: 'lead'}),
    );
    expect(b.mayAct).toBe(false);
  });
});

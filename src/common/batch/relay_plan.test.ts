import {needsRelays, RelayCandidate, RelayPlan} from './relay_plan.js';

function candidate(
  name: string,
  processors: number,
  dataCentre = 'a',
): RelayCandidate {
  return {name, processors, dataCentre};
}

const WORKERS = Array.from({length: 120}, (_, i) => `w${i}`);

function relaysOf(plan: RelayPlan): string[] {
  return WORKERS.map(worker => plan.relayOf(worker, 'a') ?? '');
}

describe('needsRelays', () => {
  it('leaves a small deployment to the scheduler alone', () => {
    // Guards against a detour that a deployment of 45 workers does not need.
    expect(needsRelays(0.675, 45)).toBe(false);
    expect(needsRelays(1.35, 625)).toBe(true);
    expect(needsRelays(0.12, 100)).toBe(true);
  });
});

describe('RelayPlan', () => {
  let plan: RelayPlan;

  beforeEach(() => {
    plan = new RelayPlan();
  });

  it('spreads the workers over the strongest instances', () => {
    // Guards against hundreds of workers on an instance of a third of a core.
    const candidates = [candidate('weak', 0.3), candidate('s1', 1.35)];
    plan.update([...candidates, candidate('s2', 1.35)], new Map([['a', 120]]));
    const relays = relaysOf(plan);
    expect(relays).not.toContain('weak');
    const first = relays.filter(name => name === 's1').length;
    expect(first).toBeGreaterThan(35);
    expect(first).toBeLessThan(85);
  });

  it('keeps the relay of a worker while it is usable', () => {
    // Guards against new connections to all workers when an instance is added.
    const before = [candidate('s1', 1), candidate('s2', 1)];
    plan.update(before, new Map([['a', 120]]));
    const relays = relaysOf(plan);
    plan.update([...before, candidate('s0', 1)], new Map([['a', 120]]));
    expect(relaysOf(plan)).toEqual(relays);
  });

  it('moves only the workers of a relay that is gone', () => {
    // Guards against a failed instance whose workers are never called again.
    const all = [candidate('s1', 1), candidate('s2', 1), candidate('s3', 1)];
    plan.update(all, new Map([['a', 180]]));
    const before = relaysOf(plan);
    plan.update(all.slice(1), new Map([['a', 180]]));
    const after = relaysOf(plan);
    expect(after).not.toContain('s1');
    const moved = after.filter((relay, i) => relay !== before[i]);
    expect(moved).toHaveLength(before.filter(relay => relay === 's1').length);
  });

  it('prefers relays in the data centre of the worker', () => {
    // Guards against reports of all workers that cross data centres.
    const candidates = [candidate('far', 2, 'b'), candidate('near', 0.5)];
    plan.update(candidates, new Map([['a', 10]]));
    expect(new Set(relaysOf(plan))).toEqual(new Set(['near']));
    plan.update([candidate('far', 2, 'b')], new Map([['a', 10]]));
    expect(new Set(relaysOf(plan))).toEqual(new Set(['far']));
  });

  it('has no relay without a candidate', () => {
    // Guards against a worker that waits for a relay in place of a direct call.
    plan.update([], new Map([['a', 10]]));
    expect(plan.relayOf('w1', 'a')).toBeUndefined();
  });
});

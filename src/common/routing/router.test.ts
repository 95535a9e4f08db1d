import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Instance, InstanceRole, InstanceState} from '../base/platform.js';
import {EMPTY_SIZE} from '../base/size.js';
import {RoutingPolicy, ServiceConfiguration} from '../tickets/types.js';
import {Router} from './router.js';
import {AttemptOutcome, RoutedRequest, RoutingState} from './types.js';

const SERVICE: ServiceConfiguration = {
  reservation: EMPTY_SIZE,
  routing: RoutingPolicy.TWO_CHOICES,
  queueLimit: 100,
  deadlineMs: 1000,
  retryBudget: 0.1,
};

function target(id: string, changes: Partial<Instance> = {}): Instance {
  return {
    id,
    role: InstanceRole.WORKER,
    start: 1,
    dataCentre: 'north',
    rack: 'r1',
    host: '127.0.0.1',
    port: 1,
    peerPort: 0,
    state: InstanceState.LIVE,
    capacity: EMPTY_SIZE,
    services: ['s'],
    slots: 8,
    connections: 64,
    ...changes,
  };
}

function stateOf(
  targets: readonly Instance[],
  changes: Partial<RoutingState> = {},
): RoutingState {
  return {
    dataCentre: 'north',
    entryInstances: 1,
    targets,
    services: {s: SERVICE},
    ...changes,
  };
}

const REQUEST: RoutedRequest = {
  service: 's',
  idempotent: true,
  deadline: 1e9,
  tried: [],
};

function newRouter(state: RoutingState, seed = 1): Router {
  const router = new Router(xoroshiro128plus(seed));
  router.update(state, 0);
  return router;
}

describe('Router', () => {
  it('refuses a service that is not configured', () => {
    const router = newRouter(stateOf([target('a')]));
    const refusal = router.choose({...REQUEST, service: 'x'}, 0).swap();
    expect(refusal.extract()).toMatchObject({
      error: 'unknown_service',
      ran: 'no',
    });
  });

  it('gives nothing to a leaving target until its start number rises', () => {
    const targets = ['a', 'b', 'c'].map(id => target(id));
    const router = newRouter(stateOf(targets));
    router.markLeaving('a');
    let toA = 0;
    const run = (from: number) => {
      for (let now = from; now < from + 500; now++) {
        const choice = router.choose(REQUEST, now).unsafeCoerce();
        if (choice.target.id === 'a') toA++;
        router.finish(choice, AttemptOutcome.SUCCEEDED, now + 1);
      }
    };
    run(0);
    router.update(stateOf(targets), 1000);
    run(1000);
    expect(toA).toBe(0);
    const replaced = [target('a', {start: 2}), ...targets.slice(1)];
    router.update(stateOf(replaced), 2000);
    run(20_000);
    expect(toA).toBeGreaterThan(0);
  });

  it('keeps each target within its share of the slots', () => {
    const state = stateOf([target('a'), target('b')], {entryInstances: 3});
    const router = newRouter(state);
    const counts: Record<string, number> = {};
    for (let i = 0; i < 4; i++) {
      const {id} = router.choose(REQUEST, 0).unsafeCoerce().target;
      counts[id] = (counts[id] ?? 0) + 1;
    }
    // floor(8 slots / 3 entry instances) = 2.
    expect(counts).toEqual({a: 2, b: 2});
    const refusal = router.choose(REQUEST, 0).swap().extract();
    expect(refusal).toMatchObject({error: 'overloaded', ran: 'no'});
  });
});

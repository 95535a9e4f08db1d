import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Millis} from '../base/clock.js';
import {Instance} from '../base/platform.js';
import {RoutingPolicy} from '../tickets/types.js';
import {Random} from './random.js';
import {Router} from './router.js';
import {AttemptOutcome, TargetSelection} from './types.js';
import {
  REQUEST,
  SERVICE,
  routingState,
} from './routing_fixture.test_support.js';

/** A simulated target: a fixed number of slots with a FIFO queue. */
interface FakeTarget {
  busy: number;
  readonly waiting: (() => void)[];
  readonly serviceTime: Millis;
}

interface SimulationEvent {
  readonly time: Millis;
  readonly run: () => void;
}

/** Parameters of a simulation of several routers. */
export interface SimulationSetup {
  readonly policy: RoutingPolicy;
  readonly routers: number;
  readonly targets: readonly Instance[];
  /** Returns the service time of a target in milliseconds. */
  readonly serviceTime: (target: Instance) => Millis;
  /** Milliseconds between two requests, over all routers. */
  readonly arrivalInterval: Millis;
  readonly requests: number;
  readonly seed: number;
}

/** Results of a simulation. */
export interface SimulationCounts {
  /** Requests that a router refused because all targets were full. */
  refused: number;
  /** Requests that waited because all slots of their target were busy. */
  waited: number;
  served: number;
  /** Times from the choice to the response, in simulated milliseconds. */
  readonly latencies: Millis[];
}

/**
 * Simulates independent routers that send requests to the same targets. Each
 * router may use all slots of a target, so that only the selection policy keeps
 * the queues short.
 */
export function simulate(setup: SimulationSetup): SimulationCounts {
  const counts: SimulationCounts = {
    refused: 0,
    waited: 0,
    served: 0,
    latencies: [],
  };
  const random = new Random(xoroshiro128plus(setup.seed));
  const fakeTargets = new Map<string, FakeTarget>();
  for (const target of setup.targets) {
    const serviceTime = setup.serviceTime(target);
    fakeTargets.set(target.id, {busy: 0, waiting: [], serviceTime});
  }
  const services = {s: {...SERVICE, routing: setup.policy}};
  const routers = Array.from({length: setup.routers}, (unused, i) => {
    const router = new Router(xoroshiro128plus(setup.seed + 1 + i));
    router.update(routingState(setup.targets, {services}), 0);
    return router;
  });
  const events: SimulationEvent[] = [];
  const schedule = (time: Millis, run: () => void) => {
    let i = events.length;
    while (i > 0 && events[i - 1].time < time) i--;
    events.splice(i, 0, {time, run});
  };
  const serve = (router: Router, choice: TargetSelection, now: Millis) => {
    const fakeTarget = fakeTargets.get(choice.target.id)!;
    if (fakeTarget.busy >= choice.target.slots) {
      counts.waited++;
      fakeTarget.waiting.push(() => start(router, choice, fakeTarget, time));
    } else {
      start(router, choice, fakeTarget, now);
    }
  };
  const start = (
    router: Router,
    choice: TargetSelection,
    fakeTarget: FakeTarget,
    now: Millis,
  ) => {
    fakeTarget.busy++;
    schedule(now + fakeTarget.serviceTime, () => {
      fakeTarget.busy--;
      counts.served++;
      counts.latencies.push(time - choice.chosenAt);
      router.finish(choice, AttemptOutcome.SUCCEEDED, time);
      fakeTarget.waiting.shift()?.();
    });
  };
  let time: Millis = 0;
  const scheduleArrivals = (remaining: number) => {
    if (remaining === 0) return;
    schedule(time + setup.arrivalInterval, () =>
      scheduleArrivals(remaining - 1),
    );
    const router = routers[random.nextInt(routers.length)];
    router.choose(REQUEST, time).caseOf({
      Left: () => void counts.refused++,
      Right: choice => serve(router, choice, time),
    });
  };
  scheduleArrivals(setup.requests);
  for (let next = events.pop(); next; next = events.pop()) {
    time = next.time;
    next.run();
  }
  return counts;
}

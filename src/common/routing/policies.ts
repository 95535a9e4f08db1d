import {Millis} from '../base/clock.js';
import {RoutingPolicy} from '../tickets/types.js';
import {Random} from './random.js';
import {ServiceTarget} from './service_target.js';

/** Inputs of a selection policy besides the candidates. */
export interface PolicyContext {
  readonly now: Millis;
  readonly random: Random;
  /** Latency in milliseconds assumed for a target without recent samples. */
  readonly typicalLatency: Millis;
  /** Number of selections made for the service so far, with this one. */
  readonly selectionCount: number;
}

/** Selects one of the candidates, of which there is at least one. */
export type SelectionPolicy = (
  candidates: readonly ServiceTarget[],
  context: PolicyContext,
) => ServiceTarget;

const twoChoices: SelectionPolicy = (
  candidates,
  {now, random, typicalLatency},
) => {
  const first = random.nextInt(candidates.length);
  if (candidates.length === 1) return candidates[0];
  // Draws the second from the remaining candidates, so that the two differ.
  const step = 1 + random.nextInt(candidates.length - 1);
  const a = candidates[first];
  const b = candidates[(first + step) % candidates.length];
  return b.score(now, typicalLatency) < a.score(now, typicalLatency) ? b : a;
};

const roundRobin: SelectionPolicy = (candidates, {selectionCount}) =>
  candidates[selectionCount % candidates.length];

const leastLoad: SelectionPolicy = (candidates, {random}) => {
  // Routers share no state, so a random start spreads their ties.
  const start = random.nextInt(candidates.length);
  let best = candidates[start];
  for (let i = 1; i < candidates.length; i++) {
    const candidate = candidates[(start + i) % candidates.length];
    if (candidate.record.load < best.record.load) best = candidate;
  }
  return best;
};

/** Selection policies by configured name. */
export const POLICIES: Readonly<Record<RoutingPolicy, SelectionPolicy>> = {
  [RoutingPolicy.TWO_CHOICES]: twoChoices,
  [RoutingPolicy.ROUND_ROBIN]: roundRobin,
  [RoutingPolicy.LEAST_LOAD]: leastLoad,
};

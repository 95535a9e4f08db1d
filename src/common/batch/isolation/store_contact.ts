import {Millis, SECOND} from '../../base/clock.js';

/** Longest time for which the store may hold a read without records. */
export const LONG_POLL_TIMEOUT_MS: Millis = 1 * SECOND;

/** Longest response time of a store that counts as reachable. */
const MAX_RESPONSE_MS: Millis = 0.5 * SECOND;

/**
 * Whether an instance counts as connected to the store. It is not ready
 * otherwise, so that the load balancer uses others, or other data centres if its
 * own is isolated. An isolation takes 5 s or so and the load balancer needs two
 * checks, so this must be known soon; a read of any topic tells it.
 * @param readsAt local times of the last successful read of each topic.
 */
export function isStoreReachable(
  readsAt: readonly Millis[],
  now: Millis,
): boolean {
  const silence = now - Math.max(...readsAt);
  return silence < LONG_POLL_TIMEOUT_MS + MAX_RESPONSE_MS;
}

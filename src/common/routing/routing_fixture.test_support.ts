import {Instance, InstanceRole, InstanceState} from '../base/platform.js';
import {EMPTY_SIZE} from '../base/size.js';
import {RoutingPolicy, ServiceConfiguration} from '../tickets/types.js';
import {RoutedRequest, RoutingState} from './types.js';

export const SERVICE: ServiceConfiguration = {
  reservation: EMPTY_SIZE,
  routing: RoutingPolicy.TWO_CHOICES,
  queueLimit: 100,
  deadlineMs: 1000,
  retryBudget: 0.1,
};

/** Returns a live target of the service `s` in the data centre `north`. */
export function target(
  id: string,
  overrides: Partial<Instance> = {},
): Instance {
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
    ...overrides,
  };
}

/** Returns `count` targets with the ids `t0`, `t1` and so on. */
export function targets(count: number, overrides: Partial<Instance> = {}) {
  return Array.from({length: count}, (unused, i) => target(`t${i}`, overrides));
}

export function routingState(
  instances: readonly Instance[],
  overrides: Partial<RoutingState> = {},
): RoutingState {
  return {
    dataCentre: 'north',
    entryInstances: 1,
    targets: instances,
    services: {s: SERVICE},
    ...overrides,
  };
}

export const REQUEST: RoutedRequest = {
  service: 's',
  idempotent: true,
  deadline: 1e9,
  tried: [],
};

import {Instance} from '../base/platform.js';
import {EMPTY_SIZE, Size, addSizes} from '../base/size.js';
import {SchedulerState} from './scheduler_state.js';
import {WorkerEntry} from './worker_entry.js';

/** Sum of the reservations of the services on a worker. */
function totalReservation(state: SchedulerState, instance: Instance): Size {
  const {services} = state.configuration;
  return instance.services.reduce(
    (sum, name) =>
      Object.hasOwn(services, name)
        ? addSizes(sum, services[name].reservation)
        : sum,
    EMPTY_SIZE,
  );
}

/** Applies the capacities and reservations of all listed workers. */
export function updateCapacity(state: SchedulerState): void {
  for (const {id, instance} of state.workers.values()) {
    if (instance === undefined) continue;
    const reserved = totalReservation(state, instance);
    state.capacity.setWorker(id, instance.capacity, reserved);
  }
  state.placementNeeded = true;
}

/**
 * Whether a worker is leaving, according to its status, the instance list or
 * the configuration.
 */
export function isLeaving(state: SchedulerState, worker: WorkerEntry): boolean {
  const {workers} = state.configuration;
  return (
    worker.leaving ||
    (Object.hasOwn(workers, worker.id) &&
      workers[worker.id].state === 'leaving')
  );
}

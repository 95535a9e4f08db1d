import {MINUTE, Millis} from '../base/clock.js';
import {Instance, InstanceRole, InstanceState} from '../base/platform.js';
import {SchedulerState} from './scheduler_state.js';
import {advanceReconciliation} from './reconciliation.js';
import {SchedulerAction, SchedulerMessage} from './types.js';
import {WorkerEntry} from './worker_entry.js';
import {updateCapacity} from './worker_state.js';

/** Time without an answer after which an unlisted worker is dropped. */
const RETENTION_MS: Millis = 10 * MINUTE;

type InstancesMessage = Extract<SchedulerMessage, {kind: 'instances'}>;
type ConfigurationMessage = Extract<SchedulerMessage, {kind: 'configuration'}>;

function updateWorker(worker: WorkerEntry, instance: Instance): void {
  const replaced = worker.instance?.start !== instance.start;
  if (replaced) worker.leaving = false;
  // A leaving worker stays so until a restart gives it a new start number.
  if (instance.state === InstanceState.LEAVING) worker.leaving = true;
  worker.instance = instance;
}

/** Drops a worker that left the instance list long ago, to bound memory use. */
function forgetWorker(
  state: SchedulerState,
  worker: WorkerEntry,
  now: Millis,
): void {
  if (worker.tasks.size > 0 || worker.hasResponded(now, RETENTION_MS)) return;
  state.workers.delete(worker.id);
  state.capacity.removeWorker(worker.id);
  state.quarantine.removeWorker(worker.id);
  state.interferenceController.removeWorker(worker.id);
}

/** Applies an instance list. One without workers is a fault and is ignored. */
export function* onInstances(
  state: SchedulerState,
  {instances}: InstancesMessage,
  now: Millis,
): Generator<SchedulerAction> {
  const listed = instances.filter(
    ({role, dataCentre}) =>
      role === InstanceRole.WORKER && dataCentre === state.settings.dataCentre,
  );
  if (listed.length === 0) return;
  state.instanceListCount++;
  const ids = new Set(listed.map(({id}) => id));
  for (const worker of state.workers.values()) {
    if (ids.has(worker.id)) continue;
    worker.instance = undefined;
    forgetWorker(state, worker, now);
  }
  for (const instance of listed) {
    updateWorker(state.getOrCreateWorker(instance.id), instance);
  }
  if (state.term !== undefined) state.term.instanceListRead = true;
  updateCapacity(state);
  yield* advanceReconciliation(state, now);
}

/** Applies the configuration in force. */
// eslint-disable-next-line require-yield
export function* onConfiguration(
  state: SchedulerState,
  {configuration}: ConfigurationMessage,
): Generator<SchedulerAction> {
  state.configuration = configuration;
  state.fairness.setTeams(configuration.teams);
  updateCapacity(state);
}

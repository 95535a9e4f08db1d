import {Clock, Millis} from '../../common/base/clock.js';
import {
  EvacuatedDataCentres,
  EvacuationChange,
  EvacuationOrder,
} from '../../common/batch/evacuation/evacuated_data_centres.js';
import {
  DecisionLog,
  SchedulerState,
} from '../../common/batch/scheduler_state.js';
import {KeyedRecord, StoredRecord} from '../../common/batch/store.js';

/** What the handling of evacuations depends on. */
export interface EvacuationLogDependencies {
  /** Returns undefined for a record that is not about an evacuation. */
  readonly decode: (record: KeyedRecord) => EvacuationOrder | undefined;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  /** States of the schedulers that this instance runs. */
  readonly schedulers: () => Iterable<SchedulerState>;
}

/** Keeps the set of evacuated data centres and logs its changes. */
export class EvacuationLog {
  readonly evacuated = new EvacuatedDataCentres();

  constructor(private readonly dependencies: EvacuationLogDependencies) {}

  /**
   * Applies records of the operator topic; returns whether the set has changed.
   * @param isReset whether they are the newest of every key.
   */
  apply(records: readonly StoredRecord[], isReset: boolean): boolean {
    const {decode, clock, schedulers, decisions} = this.dependencies;
    const orders = records.flatMap(record => {
      const order = decode(record);
      return order === undefined ? [] : [{...order, offset: record.offset}];
    });
    const changes = this.evacuated.apply(orders, isReset, clock.now());
    for (const change of changes) {
      const name = change.isRequested ? 'requested' : 'withdrawn';
      const {size} = this.evacuated;
      logEvacuation(decisions, name, change, size, [...schedulers()]);
    }
    return changes.length > 0;
  }
}

/** Logs the evacuations in force when the term of a scheduler begins. */
export function logInForce(
  decisions: DecisionLog,
  state: SchedulerState,
  now: Millis,
): void {
  const {evacuated} = state;
  for (const request of evacuated.inForce(now)) {
    logEvacuation(decisions, 'in-force', request, evacuated.size, [state]);
  }
}

function logEvacuation(
  decisions: DecisionLog,
  change: string,
  {dataCentre, offset, ageMs}: EvacuationChange,
  evacuated: number,
  schedulers: readonly SchedulerState[],
): void {
  const workers = schedulers
    .flatMap(state => [...state.workers.values()])
    .filter(worker => worker.dataCentre === dataCentre);
  const runs = workers.reduce((sum, worker) => sum + worker.runs.size, 0);
  decisions.decide('evacuation', {
    dataCentre,
    change,
    offset,
    ageMs: Math.round(ageMs),
    evacuated,
    // Only a scheduler knows the workers and the runs.
    ...(schedulers.length > 0 && {workers: workers.length, runs}),
  });
}

import {Clock, Millis, SECOND} from '../../common/base/clock.js';
import {InstanceRecord} from '../../common/batch/job_records.js';
import {JobView} from '../../common/batch/job_view.js';
import {
  DecisionLog,
  SchedulerState,
} from '../../common/batch/scheduler_state.js';
import {layoutFor, ShardLayout} from '../../common/batch/shard_layout.js';
import {WorkerList} from './worker_list.js';

/**
 * Time in a term before the fleet is divided, in which instances and workers
 * announce themselves.
 */
const DIVISION_DELAY_MS: Millis = 2 * SECOND;

/** What the division of a fleet depends on. */
export interface FleetDivisionDependencies {
  readonly announcement: InstanceRecord;
  readonly view: JobView;
  readonly workers: WorkerList;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  /** State of the scheduler of the whole fleet. */
  readonly state: SchedulerState;
  /** Replaces the scheduler by those of the shards. */
  readonly divide: (layout: ShardLayout) => void;
}

/** Decides in a term whether the fleet is divided into shards. */
export class FleetDivision {
  private readonly termBeganAt: Millis;

  constructor(private readonly dependencies: FleetDivisionDependencies) {
    this.termBeganAt = dependencies.clock.now();
  }

  /**
   * Divides a fleet that one scheduler can't carry, before its first job. The
   * schedulers of the shards replace this one.
   */
  run(): void {
    const {view, clock, announcement, workers, state} = this.dependencies;
    if (view.layout.isDivided) return;
    if (!state.placesTasks || view.jobs.size > 0) return;
    if (clock.now() - this.termBeganAt < DIVISION_DELAY_MS) return;
    const processors = [announcement, ...view.instances.values()].map(
      record => record.processors,
    );
    const dataCentres = [...workers.byId.values()].map(
      ({dataCentre}) => dataCentre,
    );
    const layout = layoutFor(dataCentres, Math.max(...processors));
    if (!layout.isDivided) return;
    state.placesTasks = false;
    this.dependencies.decisions.decide('fleet-divided', {
      workers: dataCentres.length,
      shards: layout.shards,
    });
    this.dependencies.divide(layout);
  }
}

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
 * Time in a term before it is decided whether the fleet is divided, in which
 * instances and workers announce themselves.
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

/**
 * Decides in a term whether the fleet is divided into shards. Jobs belong to
 * shards by their ids, so no job has to be handed over as long as no task was
 * ever placed.
 */
export class FleetDivision {
  private readonly termBeganAt: Millis;
  /** Whether the fleet stays as it is. */
  private isFinal: boolean;

  constructor(private readonly dependencies: FleetDivisionDependencies) {
    const {clock, state, view} = dependencies;
    this.termBeganAt = clock.now();
    this.isFinal = view.layout.isDivided || this.hasPlacedTasks();
    if (!this.isFinal) state.placesTasks = false;
  }

  /**
   * Divides a fleet that one scheduler can't carry; the schedulers of the
   * shards replace this one. Otherwise lets the scheduler place tasks.
   */
  run(): void {
    if (this.isFinal) return;
    const {clock, state, decisions, divide} = this.dependencies;
    if (clock.now() - this.termBeganAt < DIVISION_DELAY_MS) return;
    const layout = this.layout();
    if (!layout.isDivided) {
      state.placesTasks = true;
      return;
    }
    this.isFinal = true;
    if (this.hasPlacedTasks()) return;
    state.placesTasks = false;
    const {shards} = layout;
    const workers = this.dependencies.workers.byId.size;
    decisions.decide('fleet-divided', {workers, shards});
    divide(layout);
  }

  private layout(): ShardLayout {
    const {view, announcement, workers} = this.dependencies;
    const processors = [announcement, ...view.instances.values()].map(
      record => record.processors,
    );
    const dataCentres = [...workers.byId.values()].map(
      ({dataCentre}) => dataCentre,
    );
    return layoutFor(dataCentres, Math.max(...processors));
  }

  /** Whether a task of a job that is still known was ever placed. */
  private hasPlacedTasks(): boolean {
    const {state, view} = this.dependencies;
    for (const {hasStarted} of state.jobs.values()) if (hasStarted) return true;
    for (const id of state.endedJobs.keys()) {
      // The state of a job that has just ended may not be stored yet.
      if (view.jobs.get(id)?.state?.hasStarted !== false) return true;
    }
    return false;
  }
}

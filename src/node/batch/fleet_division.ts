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
 * Time without a change of the number of listed workers after which they count
 * as all that there are.
 */
const STABLE_LIST_MS: Millis = SECOND;

/**
 * Time in a term, or since the first worker was listed, after which the fleet
 * is divided or not even if the number of workers still changes.
 */
const MAX_DECISION_DELAY_MS: Millis = 4 * SECOND;

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
  /** Local time of the last change of the number of listed workers. */
  private changedAt: Millis;
  /** Local time from which the delay of the decision counts. */
  private delayedSince: Millis;
  private workerCount: number;
  /** Whether the fleet stays as it is. */
  private isFinal: boolean;

  constructor(private readonly dependencies: FleetDivisionDependencies) {
    const {clock, state, view, workers} = dependencies;
    this.changedAt = clock.now();
    this.delayedSince = clock.now();
    this.workerCount = workers.byId.size;
    this.isFinal = view.layout.isDivided || this.hasPlacedTasks();
    if (!this.isFinal) state.placesTasks = false;
  }

  /**
   * Divides a fleet that one scheduler can't carry; the schedulers of the
   * shards replace this one. Otherwise lets the scheduler place tasks.
   */
  run(): void {
    if (this.isFinal) return;
    const {state, decisions, divide} = this.dependencies;
    if (!this.isListSettled()) return;
    const layout = this.layout();
    if (!layout.isDivided) {
      state.placesTasks = true;
      return;
    }
    this.isFinal = true;
    if (this.hasPlacedTasks()) return;
    state.placesTasks = false;
    const {shards} = layout;
    const workers = this.workerCount;
    decisions.decide('fleet-divided', {workers, shards});
    divide(layout);
  }

  /** Whether the list of workers seems complete, or has taken too long. */
  private isListSettled(): boolean {
    const {clock, workers} = this.dependencies;
    const now = clock.now();
    const count = workers.byId.size;
    // Nothing could be placed before the first worker was listed.
    if (this.workerCount === 0) this.delayedSince = now;
    if (count !== this.workerCount) {
      this.workerCount = count;
      this.changedAt = now;
    }
    if (count === 0) return false;
    if (now - this.changedAt >= STABLE_LIST_MS) return true;
    return now - this.delayedSince >= MAX_DECISION_DELAY_MS;
  }

  private layout(): ShardLayout {
    const {view, announcement, workers} = this.dependencies;
    const instances = [announcement, ...view.instances.values()];
    const processors = instances.map(record => record.processors);
    const dataCentres = [...workers.byId.values()].map(
      ({dataCentre}) => dataCentre,
    );
    const layout = layoutFor(dataCentres, Math.max(...processors));
    if (!layout.isDivided) return layout;
    // The workers of a data centre may be listed later than its instances.
    const announced = instances.map(({dataCentre = ''}) => dataCentre);
    return withDataCentres(layout, announced);
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

/** Adds shards with the least weight for data centres that have none. */
function withDataCentres(
  layout: ShardLayout,
  dataCentres: readonly string[],
): ShardLayout {
  const workers = new Map(
    layout.shards.map((shard, index) => [shard, layout.workers[index]]),
  );
  for (const name of dataCentres) {
    if (name !== '' && !workers.has(name)) workers.set(name, 1);
  }
  const names = [...workers.keys()].sort();
  return new ShardLayout(
    names,
    names.map(name => workers.get(name)!),
  );
}

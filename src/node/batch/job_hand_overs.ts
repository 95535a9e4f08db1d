import {Clock, Millis} from '../../common/base/clock.js';
import {ActiveJob, ActiveTask} from '../../common/batch/active_job.js';
import {HandOver} from '../../common/batch/hand_over.js';
import {HandOverPolicy} from '../../common/batch/hand_over_policy.js';
import {
  HandOverRecord,
  packHandOver,
  RecordKind,
} from '../../common/batch/job_records.js';
import {JobView} from '../../common/batch/job_view.js';
import {
  ReservationBalance,
  reservesForGood,
} from '../../common/batch/reservation_balance.js';
import {Scheduler} from '../../common/batch/scheduler.js';
import {DecisionLog} from '../../common/batch/scheduler_state.js';
import {ShardLoad} from '../../common/batch/shard_layout.js';
import {WorkerListing} from '../../common/batch/types.js';
import {FencedWriter} from './fenced_writer.js';
import {Term} from './term.js';
import {WorkerList} from './worker_list.js';

/**
 * Time for which the start of a new job waits for the end of an append; an
 * append takes some milliseconds while the store is well.
 */
const MAX_DEFERRAL_MS: Millis = 100;

/** What the hand-overs of a term depend on. */
export interface JobHandOversDependencies {
  readonly shard: string;
  readonly view: JobView;
  readonly workers: WorkerList;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  /** Loads of the shards whose schedulers are alive. */
  readonly loads: () => ReadonlyMap<string, ShardLoad>;
  readonly term: Pick<Term, 'scheduler' | 'isStateStored'>;
  /** Writes to the intake under the epoch of the term. */
  readonly intake: Pick<FencedWriter, 'append' | 'isBusy'>;
}

/** A hand-over whose record is to be stored. */
interface Release {
  /** Id of the job, or name of the task if only that leaves. */
  readonly id: string;
  readonly job: ActiveJob;
  readonly task: ActiveTask | undefined;
  readonly record: HandOverRecord;
}

/**
 * Hands jobs of a term over to other shards. A job whose hand-over waits for
 * the store runs nowhere, so there are no new ones before the last are stored.
 */
export class JobHandOvers {
  private readonly policy: HandOverPolicy;
  private readonly reservations: ReservationBalance;
  private readonly scheduler: Scheduler;
  /** What was released since the last append. */
  private released: Release[] = [];
  /** New jobs whose choice of a shard waits for the end of an append. */
  private deferred: ActiveJob[] = [];
  /** Data centres without a shard that were logged. */
  private readonly loggedDataCentres = new Set<string>();

  constructor(private readonly dependencies: JobHandOversDependencies) {
    const {shard, term, view, workers} = dependencies;
    this.scheduler = term.scheduler;
    this.policy = new HandOverPolicy(
      this.scheduler.state,
      shard,
      ({handOvers}) => handOvers,
    );
    this.reservations = new ReservationBalance(shard, view);
    this.policy.setLayout(view.layout);
    this.setListings(workers.byId);
  }

  /** Applies the current list of all workers. */
  setListings(listings: ReadonlyMap<string, WorkerListing>): void {
    this.policy.setListings(listings);
    this.logDataCentresWithoutShard(listings.values());
  }

  /** The layout is final, so their workers belong to other shards. */
  private logDataCentresWithoutShard(listings: Iterable<WorkerListing>): void {
    const {view, shard, decisions} = this.dependencies;
    const {layout} = view;
    for (const {dataCentre} of listings) {
      if (layout.has(dataCentre)) continue;
      if (layout.shardOf(dataCentre) !== shard) continue;
      if (this.loggedDataCentres.has(dataCentre)) continue;
      this.loggedDataCentres.add(dataCentre);
      decisions.decide('data-centre-without-shard', {dataCentre});
    }
  }

  /** Load of the shard without the jobs that are leaving. */
  load(): ShardLoad {
    return this.policy.load(this.dependencies.clock.now());
  }

  /** Hands a job over that another shard should start. */
  onNewJob(job: ActiveJob): void {
    const {clock, intake} = this.dependencies;
    if (intake.isBusy) {
      if (reservesForGood(job)) this.defer(job);
      return;
    }
    const handOver = this.policy.chooseForNew(
      job,
      this.reservations,
      clock.now(),
    );
    if (handOver !== undefined) this.release(handOver);
  }

  /**
   * Delays the start of a job that keeps its workers for good, for a while, so
   * that it can be handed over after the append that is in flight.
   */
  private defer(job: ActiveJob): void {
    const startAt = this.dependencies.clock.now() + MAX_DEFERRAL_MS;
    for (const task of job.tasks()) task.notBefore = startAt;
    this.deferred.push(job);
  }

  private reconsiderDeferred(): void {
    for (const job of this.deferred.splice(0)) {
      const isWaiting = this.scheduler.state.jobs.get(job.id) === job;
      if (isWaiting) this.onNewJob(job);
    }
  }

  /** Hands over waiting jobs that other shards can serve better. */
  run(): void {
    const {loads, clock, intake} = this.dependencies;
    this.policy.setLoads(loads());
    if (intake.isBusy) return;
    this.reconsiderDeferred();
    for (const handOver of this.policy.choose(clock.now())) {
      this.release(handOver);
    }
  }

  /** Makes a hand-over, unless the job or the task can't leave now. */
  private release(handOver: HandOver): void {
    const {job, task, to, reason} = handOver;
    const id = task?.name ?? job.id;
    const record = this.recordOf(handOver);
    if (record === undefined) {
      this.policy.ledger.remove(id);
      return;
    }
    const {number} = record;
    this.dependencies.decisions.decide('hand-over', {
      job: id,
      to,
      reason,
      number,
    });
    this.policy.ledger.beginStoring(id);
    // Jobs that are read or checked together are stored in one append.
    if (this.released.length === 0) queueMicrotask(() => void this.store());
    this.released.push({id, job, task, record});
  }

  /** Gives up a job, unless its state is being stored, or one of its tasks. */
  private recordOf({job, task, to}: HandOver): HandOverRecord | undefined {
    // The state of a job stays with it when a task leaves.
    if (task !== undefined) return this.scheduler.detach(task, to);
    if (!this.dependencies.term.isStateStored(job.id)) return undefined;
    return this.scheduler.handOver(job, to);
  }

  private async store(): Promise<void> {
    const {view, clock, intake} = this.dependencies;
    const {released} = this;
    this.released = [];
    const records = released.map(({id, record}) => ({
      key: RecordKind.HAND_OVER + id,
      value: packHandOver(record),
    }));
    const refusedKeys = new Set<string>();
    const isStored = await intake.append(records, ({key}) =>
      refusedKeys.add(key),
    );
    if (!isStored) return;
    const now = clock.now();
    for (const record of records) {
      if (!refusedKeys.has(record.key)) view.apply(record, now);
    }
    for (const release of released) {
      const {id, record} = release;
      if (refusedKeys.has(RecordKind.HAND_OVER + id)) this.keep(release);
      else this.scheduler.onHandedOver(id, record.number);
      this.policy.ledger.endStoring(id, now);
    }
    this.reconsiderDeferred();
  }

  /** Keeps a job, or a task, whose hand-over is too large to be stored. */
  private keep({job, task, record}: Release): void {
    if (task !== undefined) this.scheduler.onDetachRefused(task);
    else this.scheduler.onHandOverRefused(job, record.number);
    // It may have been cancelled meanwhile.
    const known = this.dependencies.view.find(job.id);
    if (known !== undefined) this.scheduler.onJob(known);
  }
}

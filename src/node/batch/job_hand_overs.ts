import {Clock} from '../../common/base/clock.js';
import {ActiveJob} from '../../common/batch/active_job.js';
import {HandOver} from '../../common/batch/hand_over.js';
import {HandOverPolicy} from '../../common/batch/hand_over_policy.js';
import {
  HandOverRecord,
  packHandOver,
  RecordKind,
} from '../../common/batch/job_records.js';
import {JobView} from '../../common/batch/job_view.js';
import {ReservationBalance} from '../../common/batch/reservation_balance.js';
import {Scheduler} from '../../common/batch/scheduler.js';
import {DecisionLog} from '../../common/batch/scheduler_state.js';
import {ShardLoad} from '../../common/batch/shard_layout.js';
import {WorkerListing} from '../../common/batch/types.js';
import {FencedWriter} from './fenced_writer.js';
import {Term} from './term.js';
import {WorkerList} from './worker_list.js';

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
interface ReleasedJob {
  readonly job: ActiveJob;
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
  /** Jobs that were released since the last append. */
  private released: ReleasedJob[] = [];
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
    if (intake.isBusy) return;
    const handOver = this.policy.chooseForNew(
      job,
      this.reservations,
      clock.now(),
    );
    if (handOver !== undefined) this.release(handOver);
  }

  /** Hands over waiting jobs that other shards can serve better. */
  run(): void {
    const {loads, clock, intake} = this.dependencies;
    this.policy.setLoads(loads());
    if (intake.isBusy) return;
    for (const handOver of this.policy.choose(clock.now())) {
      this.release(handOver);
    }
  }

  /** Gives up a job, unless its state or records are being stored. */
  private release({job, to, reason}: HandOver): void {
    const {term, decisions} = this.dependencies;
    const {id} = job;
    if (!term.isStateStored(id)) return;
    const record = this.scheduler.handOver(job, to);
    if (record === undefined) return;
    const {number} = record;
    decisions.decide('hand-over', {job: id, to, reason, number});
    this.policy.ledger.beginStoring(job);
    // Jobs that are read or checked together are stored in one append.
    if (this.released.length === 0) queueMicrotask(() => void this.store());
    this.released.push({job, record});
  }

  private async store(): Promise<void> {
    const {view, clock, intake} = this.dependencies;
    const {released} = this;
    this.released = [];
    const records = released.map(({job, record}) => ({
      key: RecordKind.HAND_OVER + job.id,
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
    for (const {job, record} of released) {
      if (refusedKeys.has(RecordKind.HAND_OVER + job.id)) {
        this.keep(job, record);
      } else this.scheduler.onHandedOver(job.id, record.number);
      this.policy.ledger.endStoring(job, now);
    }
  }

  /** Keeps a job whose hand-over is too large to be stored. */
  private keep(job: ActiveJob, {number}: HandOverRecord): void {
    this.scheduler.onHandOverRefused(job, number);
    // It may have been cancelled meanwhile.
    const known = this.dependencies.view.jobs.get(job.id);
    if (known !== undefined) this.scheduler.onJob(known);
  }
}

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
import {Scheduler} from '../../common/batch/scheduler.js';
import {DecisionLog} from '../../common/batch/scheduler_state.js';
import {ShardLoad} from '../../common/batch/shard_layout.js';
import {KeyedRecord} from '../../common/batch/store.js';
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
  readonly intake: Pick<FencedWriter, 'append'>;
}

/** Hands jobs of a term over to other shards. */
export class JobHandOvers {
  private readonly policy: HandOverPolicy;
  private readonly scheduler: Scheduler;

  constructor(private readonly dependencies: JobHandOversDependencies) {
    const {shard, term, view, workers} = dependencies;
    this.scheduler = term.scheduler;
    this.policy = new HandOverPolicy(
      this.scheduler.state,
      shard,
      ({handOvers}) => handOvers,
    );
    this.policy.setLayout(view.layout);
    this.policy.setListings(workers.byId);
  }

  /** Applies the current list of all workers. */
  setListings(listings: ReadonlyMap<string, WorkerListing>): void {
    this.policy.setListings(listings);
  }

  /** Load of the shard without the jobs that are leaving. */
  load(): ShardLoad {
    return this.policy.load(this.dependencies.clock.now());
  }

  /** Hands a job over that another shard should start. */
  onNewJob(job: ActiveJob): void {
    const now = this.dependencies.clock.now();
    const handOver = this.policy.chooseForNew(job, now);
    if (handOver !== undefined) this.handOver([handOver]);
  }

  /** Hands over waiting jobs that other shards can serve better. */
  run(): void {
    const {loads, clock} = this.dependencies;
    this.policy.setLoads(loads());
    this.handOver(this.policy.choose(clock.now()));
  }

  private handOver(handOvers: Iterable<HandOver>): void {
    const numbers = new Map<string, number>();
    const records: KeyedRecord[] = [];
    for (const handOver of handOvers) {
      const record = this.release(handOver);
      if (record === undefined) continue;
      const {id} = handOver.job;
      numbers.set(id, record.number);
      const value = packHandOver(record);
      records.push({key: RecordKind.HAND_OVER + id, value});
    }
    if (records.length > 0) void this.store(numbers, records);
  }

  /** Gives up a job, unless its state or records are being stored. */
  private release({job, to, reason}: HandOver): HandOverRecord | undefined {
    const {term, decisions} = this.dependencies;
    const {id} = job;
    if (!term.isStateStored(id)) return undefined;
    const record = this.scheduler.handOver(job, to);
    if (record === undefined) return undefined;
    const {number} = record;
    decisions.decide('hand-over', {job: id, to, reason, number});
    return record;
  }

  private async store(
    numbers: ReadonlyMap<string, number>,
    records: readonly KeyedRecord[],
  ): Promise<void> {
    const {view, clock, intake} = this.dependencies;
    if (!(await intake.append(records))) return;
    for (const record of records) view.apply(record, clock.now());
    for (const [job, number] of numbers) {
      this.scheduler.onHandedOver(job, number);
    }
  }
}

import {Millis} from '../../common/base/clock.js';
import {
  LAYOUT_KEY,
  packLayout,
  packRecord,
  RecordKind,
} from '../../common/batch/job_records.js';
import {KnownJob} from '../../common/batch/job_view.js';
import {ShardLayout, ShardLoad} from '../../common/batch/shard_layout.js';
import {
  QUEUE,
  SimulatedFleet,
  STEP,
} from '../../common/batch/simulated_fleet.test_support.js';
import {SimulatedWorker} from '../../common/batch/simulated_worker.test_support.js';
import {KeyedRecord} from '../../common/batch/store.js';
import {StepShape, WorkerListing} from '../../common/batch/types.js';
import {JobHandOvers} from './job_hand_overs.js';
import {WorkerList} from './worker_list.js';

/** Simulated time between two steps, and between two steps of a fleet. */
const STEP_MS: Millis = 10;
const FLEET_STEP_MS: Millis = 50;

/** Time between two checks for hand-overs, as in a term. */
const HAND_OVER_INTERVAL_MS: Millis = 100;

/** Time between two loads that a shard publishes. */
const LOAD_INTERVAL_MS: Millis = 300;

/** Time after which an append of a scheduler is stored. */
const APPEND_MS: Millis = 20;

/** Something that happens at a simulated time. */
interface Event {
  readonly at: Millis;
  readonly run: () => void;
}

/** Stores records; resolves once they are stored. */
type Append = (records: readonly KeyedRecord[]) => Promise<void>;

/** The intake as the scheduler of a shard writes to it. */
class Intake {
  private openAppends = 0;

  constructor(private readonly store: Append) {}

  get isBusy(): boolean {
    return this.openAppends > 0;
  }

  async append(records: readonly KeyedRecord[]): Promise<boolean> {
    this.openAppends++;
    await this.store(records);
    this.openAppends--;
    return true;
  }
}

/** A shard with its own replica of the log, its scheduler and its workers. */
class Shard {
  readonly fleet: SimulatedFleet;
  readonly handOvers: JobHandOvers;
  readonly workers: WorkerList;
  /** Published loads as this shard has read them. */
  readonly loads = new Map<string, ShardLoad>();

  /**
   * @param readDelayMs time after which this shard reads a stored record.
   * @param store stores records of the intake.
   */
  constructor(
    readonly name: string,
    readonly readDelayMs: Millis,
    layout: ShardLayout,
    listings: ReadonlyMap<string, WorkerListing>,
    store: Append,
  ) {
    this.fleet = new SimulatedFleet([QUEUE], name);
    const {clock, view} = this.fleet;
    view.apply({key: LAYOUT_KEY, value: packLayout(layout)}, clock.now());
    this.workers = new WorkerList(
      ({key}) => listings.get(key),
      (_key, error) => {
        throw error;
      },
    );
    this.handOvers = new JobHandOvers({
      shard: name,
      view,
      workers: this.workers,
      clock,
      decisions: {decide: () => {}},
      loads: () => this.loads,
      term: {scheduler: this.fleet.scheduler, isStateStored: () => true},
      intake: new Intake(store),
    });
  }

  /** Reads a record of the intake, as an instance with this scheduler. */
  readIntake(record: KeyedRecord): void {
    const {view, clock} = this.fleet;
    view.apply(record, clock.now());
    const job = view.find(record.key.slice(1));
    if (job === undefined) return;
    const detached = job.detachedTasks?.values() ?? [];
    for (const known of [job, ...detached]) this.readJob(known);
  }

  private readJob(known: KnownJob): void {
    const {view, scheduler} = this.fleet;
    if (view.ownerOf(known) !== this.name) return;
    const isNew = !scheduler.state.jobs.has(known.id);
    scheduler.onJob(known);
    const job = scheduler.state.jobs.get(known.id);
    if (!isNew || job === undefined || known.state !== undefined) return;
    this.handOvers.onNewJob(job);
  }

  readList(listings: ReadonlyMap<string, WorkerListing>): void {
    const records = [...listings.keys()].map(key => ({
      key,
      value: Uint8Array.of(1),
    }));
    this.workers.apply(records, true);
    this.handOvers.setListings(this.workers.byId);
  }
}

/**
 * Shards with simulated workers that share a log: records that one scheduler
 * stores are read by the others some time later, and so are published loads.
 */
export class SimulatedShards {
  readonly shards: readonly Shard[];
  private readonly listings = new Map<string, WorkerListing>();
  private events: Event[] = [];
  private time: Millis = 0;

  /**
   * @param readDelaysMs time after which a shard reads a record, by shard.
   * @param workers number of workers of each shard, with 4 cores each.
   */
  constructor(
    readonly layout: ShardLayout,
    readDelaysMs: readonly Millis[],
    workers: number,
  ) {
    this.shards = layout.shards.map(
      (name, index) =>
        new Shard(name, readDelaysMs[index], layout, this.listings, records =>
          this.append(records),
        ),
    );
    for (const {name, fleet} of this.shards) {
      for (let worker = 0; worker < workers; worker++) {
        fleet.addWorker(`${name}${worker}`);
      }
      fleet.onStatesStored = states => this.publishStates(states);
    }
  }

  /** Stores a job with these steps. */
  submit(id: string, ...steps: Partial<StepShape>[]): void {
    const shape = {
      spec: '',
      steps: steps.map(step => ({...STEP, ...step})),
      repeats: 0,
      startMs: 0,
      periodMs: 0,
    };
    const {wallClock} = this.shards[0].fleet;
    const submission = {queue: QUEUE, acceptedAt: wallClock.now(), shape};
    const key = RecordKind.SUBMISSION + id;
    this.publishIntake([{key, value: packRecord(submission)}]);
  }

  cancel(id: string): void {
    const key = RecordKind.CANCELLATION + id;
    this.publishIntake([{key, value: Uint8Array.of(1)}]);
  }

  async run(duration: Millis): Promise<void> {
    const end = this.time + duration;
    while (this.time < end) await this.step();
  }

  shard(name: string): Shard {
    return this.shards.find(shard => shard.name === name)!;
  }

  /** Pairs of task and worker of all runs in all shards. */
  running(): [string, string][] {
    return this.shards.flatMap(({fleet}) => fleet.running());
  }

  workers(): SimulatedWorker[] {
    return this.shards.flatMap(({fleet}) => [...fleet.workers.values()]);
  }

  private async step(): Promise<void> {
    this.time += STEP_MS;
    const due = this.events.filter(({at}) => at <= this.time);
    this.events = this.events.filter(({at}) => at > this.time);
    for (const {run} of due) run();
    await flushMicrotasks();
    if (this.time % FLEET_STEP_MS !== 0) return;
    this.updateList();
    for (const {fleet} of this.shards) fleet.run(FLEET_STEP_MS);
    if (this.time % LOAD_INTERVAL_MS === 0) this.publishLoads();
    if (this.time % HAND_OVER_INTERVAL_MS !== 0) return;
    for (const {handOvers} of this.shards) handOvers.run();
    await flushMicrotasks();
  }

  /** Lets all shards read a list of the workers that has changed. */
  private updateList(): void {
    const listed = this.workers().filter(({isListed}) => isListed);
    const before = JSON.stringify([...this.listings]);
    this.listings.clear();
    for (const worker of listed) this.listings.set(worker.id, worker.listing());
    if (JSON.stringify([...this.listings]) === before) return;
    for (const shard of this.shards) shard.readList(this.listings);
  }

  private publishLoads(): void {
    for (const {name, handOvers} of this.shards) {
      const load = handOvers.load();
      this.eachReader(reader => reader.loads.set(name, load));
    }
  }

  private publishStates(states: readonly KeyedRecord[]): void {
    if (states.length === 0) return;
    this.eachReader(({fleet}) => {
      for (const state of states) fleet.view.apply(state, fleet.clock.now());
    });
  }

  private publishIntake(records: readonly KeyedRecord[]): void {
    this.eachReader(reader => {
      for (const record of records) reader.readIntake(record);
    });
  }

  private eachReader(read: (shard: Shard) => void): void {
    for (const shard of this.shards) {
      this.after(shard.readDelayMs, () => read(shard));
    }
  }

  private append(records: readonly KeyedRecord[]): Promise<void> {
    return new Promise(resolve => {
      this.after(APPEND_MS, () => {
        this.publishIntake(records);
        resolve();
      });
    });
  }

  private after(delay: Millis, run: () => void): void {
    this.events.push({at: this.time + delay, run});
  }
}

async function flushMicrotasks(): Promise<void> {
  for (let count = 0; count < 10; count++) await Promise.resolve();
}

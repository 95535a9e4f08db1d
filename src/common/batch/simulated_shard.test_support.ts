import {ManualClock} from '../base/manual_clock.js';
import {Millis} from '../base/clock.js';
import {ActiveTask} from './active_job.js';
import {HandOver} from './hand_over.js';
import {HandOverPolicy} from './hand_over_policy.js';
import {JobLifecycle} from './job_lifecycle.js';
import {JobPhase} from './job_records.js';
import {SchedulerState} from './scheduler_state.js';
import {ShardLayout, ShardLoad} from './shard_layout.js';
import {QUEUE, STEP} from './simulated_fleet.test_support.js';
import {StepShape, WorkerListing, WorkerPhase} from './types.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';

/** Shards of a fleet unless stated otherwise. */
export const LAYOUT = new ShardLayout(['a', 'b', 'c']);

/** Time between two calls of the policy. */
export const TICK_MS: Millis = 100;

/** Workers of each shard, with 4 cores each. */
export const WORKERS = 10;

/** Load of a shard, with all of its workers by default. */
export function load(backlogMs: Millis, usableWorkers = WORKERS): ShardLoad {
  return {backlogMs, usableWorkers};
}

/** Listing of a worker with the service of the jobs. */
export function listing(
  id: string,
  dataCentre: string,
  change: Partial<WorkerListing> = {},
): WorkerListing {
  return {
    id,
    born: 1,
    service: QUEUE.service,
    address: `${id}:1`,
    dataCentre,
    phase: WorkerPhase.READY,
    warmupMs: 0,
    capacity: {cpuMilli: 4000, memoryMb: 4000, gpus: 0},
    labels: ['std', `${dataCentre}-1`],
    ...change,
  };
}

/** Listings of all workers, by id. */
export class ListedFleet {
  readonly listings = new Map<string, WorkerListing>();

  constructor(readonly layout = LAYOUT) {
    for (const shard of layout.shards) {
      for (let worker = 0; worker < WORKERS; worker++) {
        this.add(listing(`${shard}${worker}`, shard));
      }
    }
  }

  add(worker: WorkerListing): void {
    this.listings.set(worker.id, worker);
  }

  removeDataCentre(dataCentre: string): void {
    for (const worker of [...this.listings.values()]) {
      if (worker.dataCentre === dataCentre) this.listings.delete(worker.id);
    }
  }
}

/** The state of a shard's scheduler with its policy. */
export class SimulatedShard {
  readonly state: SchedulerState;
  readonly lifecycle: JobLifecycle;
  readonly policy: HandOverPolicy;
  readonly generations = new Map<string, number>();

  constructor(
    readonly name: string,
    readonly clock: ManualClock,
    readonly fleet: ListedFleet,
  ) {
    const timings = {
      leaseMs: 6000,
      longestLeaseMs: 10_000,
      authorityMs: 5000,
      stopMs: 400,
      keepEndedMs: 120_000,
      earlyMs: 250,
      remoteFactor: 2,
    };
    this.state = new SchedulerState(
      1,
      0,
      timings,
      clock,
      new ManualClock(0),
      {decide: () => {}},
      {version: 1, queues: [QUEUE], pools: [], maxBodyBytes: 1000},
    );
    this.lifecycle = new JobLifecycle(this.state);
    this.policy = new HandOverPolicy(
      this.state,
      name,
      job => this.generations.get(job.id) ?? 0,
    );
    this.policy.setLayout(fleet.layout);
    this.setLoads({});
    this.list();
  }

  /** Passes on the listings of the fleet. */
  list(): void {
    this.policy.setListings(this.fleet.listings);
    for (const worker of this.state.workers.values()) {
      worker.listing = undefined;
    }
    for (const one of this.fleet.listings.values()) {
      if (one.dataCentre !== this.name) continue;
      const worker = this.state.getOrCreateWorker(one.id);
      worker.listing = one;
      worker.born = one.born;
      worker.capacity = one.capacity;
      worker.rack = one.labels[1];
      worker.isResponsive = true;
      worker.lastResponseAt = Infinity;
    }
  }

  /** Sets known loads; those of the other shards are short by default. */
  setLoads(loads: Readonly<Record<string, ShardLoad | undefined>>): void {
    const all = {a: load(0), b: load(50), c: load(100), ...loads};
    const known = new Map<string, ShardLoad>();
    for (const [name, one] of Object.entries(all)) {
      if (one !== undefined) known.set(name, one);
    }
    this.policy.setLoads(known);
  }

  setResponsive(isResponsive: boolean): void {
    for (const worker of this.state.workers.values()) {
      worker.isResponsive = isResponsive;
    }
  }

  submit(id: string, ...steps: Partial<StepShape>[]): void {
    const shape = {
      spec: '',
      steps: steps.map(step => ({...STEP, ...step})),
      repeats: 0,
      startMs: 0,
      periodMs: 0,
    };
    const submission = {queue: QUEUE, acceptedAt: 0, shape};
    const seenAt = this.clock.now();
    this.lifecycle.add({id, submission, cancelled: false, seenAt});
  }

  /** Submits jobs of one task with 1 s of work on a core. */
  submitMany(
    count: number,
    prefix = 'job',
    step: Partial<StepShape> = {},
  ): void {
    for (let job = 0; job < count; job++) this.submit(`${prefix}-${job}`, step);
  }

  /** Forgets a job. */
  remove(id: string): void {
    const job = this.state.jobs.get(id)!;
    for (const task of job.tasks()) this.state.waitingTasks.delete(task);
    this.state.jobs.delete(id);
  }

  /** Gives the first task of a job a run on a worker. */
  start(id: string, worker: WorkerState): Run {
    const [task] = this.state.jobs.get(id)!.tasks();
    return this.startTask(task, worker);
  }

  /** Gives a task a run on a worker. */
  startTask(task: ActiveTask, worker: WorkerState): Run {
    const {job} = task.step.occurrence;
    const run: Run = {
      task,
      attempt: 1,
      worker,
      born: worker.born,
      phase: RunPhase.RUNNING,
      placedAt: this.clock.now(),
      attributedAt: 0,
      uncertain: false,
      confirmedAt: this.clock.now(),
      stopAcceptedAt: 0,
      percent: 0,
      lastProgressAt: 0,
      pace: 100,
      wasSlowed: false,
      gauge: 0,
    };
    task.run = run;
    this.state.waitingTasks.delete(task);
    job.hasStarted = true;
    job.phase = JobPhase.RUNNING;
    worker.add(run);
    return run;
  }

  /** Uses all processors of the shard. */
  fill(): void {
    this.submitMany(WORKERS, 'filler', {cpuMilli: 4000});
    for (let worker = 0; worker < WORKERS; worker++) {
      const state = this.state.workers.get(`${this.name}${worker}`)!;
      this.start(`filler-${worker}`, state);
    }
  }

  /** Calls the policy once, without effect on the state. */
  choose(): HandOver[] {
    this.clock.advance(TICK_MS);
    return [...this.policy.choose(this.clock.now())];
  }

  /** Calls the policy for some time. */
  run(duration: Millis): HandOver[] {
    const chosen: HandOver[] = [];
    for (let time = 0; time < duration; time += TICK_MS) {
      chosen.push(...this.choose());
    }
    return chosen;
  }

  /** Calls the policy for some time; the chosen jobs leave the shard. */
  runAndRelease(duration: Millis): HandOver[] {
    const chosen: HandOver[] = [];
    for (let time = 0; time < duration; time += TICK_MS) {
      for (const handOver of this.choose()) {
        if (this.lifecycle.release(handOver.job)) chosen.push(handOver);
      }
    }
    return chosen;
  }
}

/** Ids of the jobs. */
export function ids(handOvers: readonly HandOver[]): string[] {
  return handOvers.map(({job}) => job.id);
}

/** Texts with job, destination and reason, for short differences. */
export function summary(handOvers: readonly HandOver[]): string[] {
  return handOvers.map(({job, to, reason}) => `${job.id} ${to} ${reason}`);
}

import {Millis, SECOND} from '../base/clock.js';
import {ActiveStep, ownTaskCount} from './active_job.js';
import {ShardLayout} from './shard_layout.js';
import {Resources, StepShape, WorkerListing, WorkerPhase} from './types.js';

/**
 * Time for which workers that are no longer listed as ready still count in the
 * own shard, as they are often back after a restart.
 */
const DEPARTED_GRACE_MS: Millis = 3 * SECOND;

/** Position of the rack in a worker's labels. */
const RACK_LABEL = 1;

/** Workers of a shard that differ in nothing but their racks. */
interface WorkerGroup {
  readonly service: string;
  readonly capacity: Resources;
  /** Labels other than the rack. */
  readonly labels: readonly string[];
  /** Number of workers by rack. */
  readonly racks: Map<string, number>;
  count: number;
}

/** Ready workers of a shard. */
interface ShardWorkers {
  readonly groups: Map<string, WorkerGroup>;
  /** Sum of all workers, in thousandths of a core. */
  cpuMilli: number;
}

/** Workers of the own shard that were listed until some time ago. */
interface FormerWorkers {
  readonly workers: ShardWorkers;
  /** Local time until which they were listed. */
  readonly listedUntil: Millis;
}

/** Shards that can run a step. */
interface StepFit {
  /** Number of tasks that have to fit at once. */
  readonly tasks: number;
  /** Shards whose listed workers could run all tasks of the step. */
  readonly shards: ReadonlySet<string>;
  /** Shards that have a worker for one task. */
  readonly shardsForOne: ReadonlySet<string>;
  /** Those that have such a worker in the rack with the step's data. */
  readonly dataShards: ReadonlySet<string>;
}

const NO_WORKERS: ShardWorkers = {groups: new Map(), cpuMilli: 0};

/**
 * The listed workers of all shards, grouped by what decides whether they could
 * ever run a task.
 */
export class ListedCapacity {
  /** Grows when a step may fit other shards than before. */
  version = 0;
  private shards = new Map<string, ShardWorkers>();
  private former: FormerWorkers[] = [];
  private readonly fits = new Map<string, StepFit>();
  /** The same by step, as the keys of `fits` are costly. */
  private fitsByStep = new WeakMap<ActiveStep, StepFit>();

  /** @param ownShard shard whose departed workers count for a while. */
  constructor(private readonly ownShard: string) {}

  /** Replaces the workers; often nothing that matters here has changed. */
  update(
    listings: Iterable<WorkerListing>,
    layout: ShardLayout,
    now: Millis,
  ): void {
    const shards = groupByShard(listings, layout);
    if (areSame(this.shards, shards)) return;
    const own = this.shards.get(this.ownShard);
    if (own !== undefined) this.former.push({workers: own, listedUntil: now});
    this.shards = shards;
    this.clearFits();
  }

  /** Forgets departed workers after their grace period. */
  expire(now: Millis): void {
    const recent = this.former.filter(
      ({listedUntil}) => now - listedUntil < DEPARTED_GRACE_MS,
    );
    if (recent.length === this.former.length) return;
    this.former = recent;
    this.clearFits();
  }

  /** Processors of the listed workers, in thousandths of a core. */
  cpuMilli(shard: string): number {
    return this.shards.get(shard)?.cpuMilli ?? 0;
  }

  /**
   * Whether a shard could run a step if it were idle: each task by itself, or
   * all at once for gangs and perpetual tasks.
   */
  canRun(step: ActiveStep, shard: string): boolean {
    return this.fitOf(step).shards.has(shard);
  }

  /** Whether a shard has a worker that could run a task of a step if idle. */
  canRunOne(step: ActiveStep, shard: string): boolean {
    return this.fitOf(step).shardsForOne.has(shard);
  }

  /** Whether a shard has a worker for a step in the rack with its data. */
  hasData(step: ActiveStep, shard: string): boolean {
    return this.fitOf(step).dataShards.has(shard);
  }

  private fitOf(step: ActiveStep): StepFit {
    const {shape, occurrence} = step;
    const tasks = simultaneousTasks(step);
    let fit = this.fitsByStep.get(step);
    if (fit?.tasks === tasks) return fit;
    const {service} = occurrence.job.queue;
    const key = [
      service,
      shape.requiredLabel,
      shape.dataRack,
      shape.cpuMilli,
      shape.memoryMb,
      shape.gpus,
      shape.fills,
      tasks,
      shape.maxPerWorker,
    ].join();
    fit = this.fits.get(key) ?? this.computeFit(shape, service, tasks);
    this.fits.set(key, fit);
    this.fitsByStep.set(step, fit);
    return fit;
  }

  private computeFit(
    shape: StepShape,
    service: string,
    tasks: number,
  ): StepFit {
    const shards = new Set<string>();
    const dataShards = new Set<string>();
    const shardsForOne = new Set<string>();
    for (const shard of new Set([this.ownShard, ...this.shards.keys()])) {
      for (const {groups} of this.countedWorkers(shard)) {
        const all = [...groups.values()];
        const suitable = all.filter(group => group.service === service);
        if (canRunAll(shape, 1, suitable)) shardsForOne.add(shard);
        if (!canRunAll(shape, tasks, suitable)) continue;
        shards.add(shard);
        if (hasDataRack(shape, suitable)) dataShards.add(shard);
      }
    }
    return {tasks, shards, shardsForOne, dataShards};
  }

  /** Sets of workers, one of which has to be sufficient. */
  private *countedWorkers(shard: string): Generator<ShardWorkers> {
    yield this.shards.get(shard) ?? NO_WORKERS;
    if (shard !== this.ownShard) return;
    for (const {workers} of this.former) yield workers;
  }

  private clearFits(): void {
    this.version++;
    this.fits.clear();
    this.fitsByStep = new WeakMap();
  }
}

/** Groups the ready workers. */
function groupByShard(
  listings: Iterable<WorkerListing>,
  layout: ShardLayout,
): Map<string, ShardWorkers> {
  const shards = new Map<string, ShardWorkers>();
  // The shard of an unknown data centre is found by hashing.
  const shardNames = new Map<string, string>();
  for (const listing of listings) {
    if (listing.phase !== WorkerPhase.READY) continue;
    const {dataCentre} = listing;
    const shard = shardNames.get(dataCentre) ?? layout.shardOf(dataCentre);
    shardNames.set(dataCentre, shard);
    let workers = shards.get(shard);
    if (workers === undefined) {
      workers = {groups: new Map(), cpuMilli: 0};
      shards.set(shard, workers);
    }
    addTo(workers, listing);
  }
  return shards;
}

function addTo(workers: ShardWorkers, listing: WorkerListing): void {
  const {service, capacity} = listing;
  const {cpuMilli, memoryMb, gpus} = capacity;
  const rack = listing.labels[RACK_LABEL] ?? '';
  const labels = listing.labels.filter((_, index) => index !== RACK_LABEL);
  const key = [service, cpuMilli, memoryMb, gpus, ...labels].join();
  let group = workers.groups.get(key);
  if (group === undefined) {
    group = {service, capacity, labels, racks: new Map(), count: 0};
    workers.groups.set(key, group);
  }
  group.count++;
  group.racks.set(rack, (group.racks.get(rack) ?? 0) + 1);
  workers.cpuMilli += cpuMilli;
}

/** Whether the shards have the same workers in each group and rack. */
function areSame(
  before: ReadonlyMap<string, ShardWorkers>,
  after: ReadonlyMap<string, ShardWorkers>,
): boolean {
  if (before.size !== after.size) return false;
  for (const [shard, {groups}] of after) {
    const earlier = before.get(shard)?.groups;
    if (earlier === undefined || earlier.size !== groups.size) return false;
    for (const [key, {racks}] of groups) {
      if (!haveSameCounts(earlier.get(key)?.racks, racks)) return false;
    }
  }
  return true;
}

function haveSameCounts(
  before: ReadonlyMap<string, number> | undefined,
  after: ReadonlyMap<string, number>,
): boolean {
  if (before?.size !== after.size) return false;
  return [...after].every(([key, count]) => before.get(key) === count);
}

/** Number of a step's tasks that have to run at the same time. */
function simultaneousTasks(step: ActiveStep): number {
  const {gang, perpetual} = step.shape;
  return gang || perpetual ? ownTaskCount(step) : 1;
}

/** Whether idle workers have capacity for the tasks that run at once. */
function canRunAll(
  shape: StepShape,
  tasks: number,
  groups: readonly WorkerGroup[],
): boolean {
  let left = tasks;
  for (const group of groups) {
    const workers = countSuitable(shape, group);
    if (workers > 0) left -= workers * tasksPerWorker(shape, group.capacity);
    if (left <= 0) return true;
  }
  return false;
}

function hasDataRack(
  shape: StepShape,
  groups: readonly WorkerGroup[],
): boolean {
  const {dataRack, requiredLabel} = shape;
  if (dataRack === '') return false;
  return groups.some(
    group =>
      group.racks.has(dataRack) &&
      (requiredLabel === dataRack || hasLabel(group, requiredLabel)) &&
      tasksPerWorker(shape, group.capacity) > 0,
  );
}

/** Number of workers of a group that have the label that a step requires. */
function countSuitable({requiredLabel}: StepShape, group: WorkerGroup): number {
  if (hasLabel(group, requiredLabel)) return group.count;
  return group.racks.get(requiredLabel) ?? 0;
}

/** Whether all workers of a group have a label; empty for none. */
function hasLabel({labels}: WorkerGroup, label: string): boolean {
  return label === '' || labels.includes(label);
}

/** Number of a step's tasks for which an idle worker has capacity. */
function tasksPerWorker(shape: StepShape, capacity: Resources): number {
  const cpuMilli = shape.fills ? 0 : shape.cpuMilli;
  return Math.min(
    shape.maxPerWorker || Infinity,
    multiples(capacity.cpuMilli, cpuMilli),
    multiples(capacity.memoryMb, shape.memoryMb),
    multiples(capacity.gpus, shape.gpus),
  );
}

function multiples(available: number, needed: number): number {
  return needed === 0 ? Infinity : Math.floor(available / needed);
}

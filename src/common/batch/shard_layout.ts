import {Millis} from '../base/clock.js';
import {selectByWeightedHash} from '../base/rendezvous.js';
import {Room} from './room.js';

/** Name of the only shard of a fleet that is not divided. */
export const WHOLE_FLEET = '';

/**
 * Workers that a scheduler carries per core. A worker took 1.06 to 1.6
 * millicores of a scheduler (docs/CAPACITY.md), and a scheduler should use at
 * most 0.7 of its processors.
 */
const WORKERS_PER_CORE = 400;

/** Processors that a scheduler can use, in cores: it has one thread. */
const MAX_SCHEDULER_CORES = 1;

/** What the scheduler of a shard tells the other instances about its load. */
export interface ShardLoad {
  /** Work of the waiting tasks, divided by the processors of the shard. */
  readonly backlogMs: Millis;
  /** Workers that accept starts. */
  readonly usableWorkers: number;
  /**
   * Processors that the tasks which run or wait ask for, divided by those of the
   * usable workers. Absent in records of earlier versions.
   */
  readonly demand?: number;
  /** The same for tasks that reserve their processors. */
  readonly reserved?: number;
  /** Unreserved processors of the workers that accept starts. */
  readonly room?: Room;
}

/** A shard, with the number of its workers when the fleet was divided. */
interface Shard {
  readonly name: string;
  readonly workers: number;
}

/**
 * The shards into which the workers are divided, each with a scheduler of its
 * own. A shard has the workers of one data centre, whose name it bears.
 */
export class ShardLayout {
  static readonly UNDIVIDED = new ShardLayout([WHOLE_FLEET]);

  /** Shards with the weights by which keys are divided among them. */
  private readonly weighted: readonly Shard[];

  /**
   * @param shards names of the shards; at least one.
   * @param workers workers of each shard when the fleet was divided.
   */
  constructor(
    readonly shards: readonly string[],
    readonly workers: readonly number[] = shards.map(() => 1),
  ) {
    this.weighted = shards.map((name, index) => ({
      name,
      workers: workers[index],
    }));
  }

  get isDivided(): boolean {
    return this.shards.length > 1;
  }

  has(shard: string): boolean {
    return this.shards.includes(shard);
  }

  /** Shard of the workers in a data centre. */
  shardOf(dataCentre: string): string {
    return this.has(dataCentre) ? dataCentre : this.shardOfKey(dataCentre);
  }

  /**
   * Shard of a job before its first hand-over. It depends on the id alone: two
   * instances may accept the same job at the same time, and must agree.
   */
  shardOfJob(id: string): string {
    return this.shardOfKey(id);
  }

  /** Divides keys in proportion to the workers of the shards. */
  private shardOfKey(key: string): string {
    if (!this.isDivided) return this.shards[0];
    return selectByWeightedHash(key, this.weighted, workerCount)!.name;
  }
}

function workerCount({workers}: Shard): number {
  return workers;
}

/**
 * Returns the layout for a fleet.
 * @param dataCentres data centre of each worker.
 * @param processors processors of the scheduler's instance, in cores.
 */
export function layoutFor(
  dataCentres: Iterable<string>,
  processors: number,
): ShardLayout {
  const counts = new Map<string, number>();
  let total = 0;
  for (const name of dataCentres) {
    total++;
    if (name !== '') counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  const cores = Math.min(processors, MAX_SCHEDULER_CORES);
  const isCarriedByOne = total <= cores * WORKERS_PER_CORE;
  if (isCarriedByOne || counts.size < 2) return ShardLayout.UNDIVIDED;
  const names = [...counts.keys()].sort();
  return new ShardLayout(
    names,
    names.map(name => counts.get(name)!),
  );
}

import {Millis} from '../base/clock.js';
import {selectByRendezvousHash} from '../base/rendezvous.js';

/** Name of the only shard of a fleet that is not divided. */
export const WHOLE_FLEET = '';

/**
 * Workers that a scheduler carries per core. A worker took 1.06 to 1.6
 * millicores of a scheduler (docs/CAPACITY.md), and a scheduler should use at
 * most 0.7 of its processors.
 */
const WORKERS_PER_CORE = 400;

/** What the scheduler of a shard tells the other instances about its load. */
export interface ShardLoad {
  /** Work of the waiting tasks, divided by the processors of the shard. */
  readonly backlogMs: Millis;
  /** Workers that accept starts. */
  readonly usableWorkers: number;
}

/**
 * The shards into which the workers are divided, each with a scheduler of its
 * own. A shard has the workers of one data centre, whose name it bears.
 */
export class ShardLayout {
  static readonly UNDIVIDED = new ShardLayout([WHOLE_FLEET]);

  /** @param shards names of the shards; at least one. */
  constructor(readonly shards: readonly string[]) {}

  get isDivided(): boolean {
    return this.shards.length > 1;
  }

  has(shard: string): boolean {
    return this.shards.includes(shard);
  }

  /** Shard of the workers in a data centre. */
  shardOf(dataCentre: string): string {
    return this.resolve(dataCentre, dataCentre);
  }

  /**
   * Shard of a job that was assigned to a shard when it was accepted. The
   * layout may have changed at that moment.
   */
  shardOfJob(job: string, assigned: string): string {
    return this.resolve(assigned, job);
  }

  /** All instances resolve an unknown shard in the same way. */
  private resolve(shard: string, key: string): string {
    if (!this.isDivided) return this.shards[0];
    if (this.has(shard)) return shard;
    return selectByRendezvousHash(key, this.shards)!;
  }
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
  const all = [...dataCentres];
  const names = [...new Set(all)].filter(name => name !== '').sort();
  const isCarriedByOne = all.length <= processors * WORKERS_PER_CORE;
  if (isCarriedByOne || names.length < 2) return ShardLayout.UNDIVIDED;
  return new ShardLayout(names);
}

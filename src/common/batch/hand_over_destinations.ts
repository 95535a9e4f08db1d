import {Millis} from '../base/clock.js';
import {ActiveStep, isStepReady} from './active_job.js';
import {Peer} from './hand_over_budget.js';
import {HandOverLedger} from './hand_over_ledger.js';
import {ListedCapacity} from './listed_capacity.js';
import {ShardLayout, ShardLoad} from './shard_layout.js';

/** Finds the other shards to which a job can be handed over. */
export class HandOverDestinations {
  layout: ShardLayout = ShardLayout.UNDIVIDED;
  /** Last known loads, by shard. */
  loads: ReadonlyMap<string, ShardLoad> = new Map();

  /** @param shard name of the own shard. */
  constructor(
    private readonly shard: string,
    private readonly capacity: ListedCapacity,
    private readonly ledger: HandOverLedger,
  ) {}

  /** Whether a shard could run all steps if it were idle. */
  canRunAll(steps: readonly ActiveStep[], shard: string): boolean {
    return steps.every(step => this.capacity.canRun(step, shard));
  }

  /** Other shards that can run all steps. */
  shardsForAll(steps: readonly ActiveStep[]): readonly string[] {
    return this.layout.shards.filter(
      shard => shard !== this.shard && this.canRunAll(steps, shard),
    );
  }

  /** Other shards with a worker that could run a task of a step. */
  shardsForOne(step: ActiveStep): readonly string[] {
    return this.layout.shards.filter(
      shard => shard !== this.shard && this.capacity.canRunOne(step, shard),
    );
  }

  /**
   * Other shards that can run all steps, or else all steps that are ready, or
   * else one of these.
   */
  shardsForRest(steps: readonly ActiveStep[]): readonly string[] {
    const shardsForAll = this.shardsForAll(steps);
    if (shardsForAll.length > 0) return shardsForAll;
    const ready = steps.filter(isStepReady);
    const shardsForReady = this.shardsForAll(ready);
    if (shardsForReady.length > 0) return shardsForReady;
    return this.layout.shards.filter(
      shard =>
        shard !== this.shard &&
        ready.some(step => this.capacity.canRun(step, shard)),
    );
  }

  /** Other shards with usable workers, with the jobs on their way to them. */
  peers(): Peer[] {
    return this.layout.shards
      .filter(shard => shard !== this.shard && this.isKnownUsable(shard))
      .map(shard => ({
        shard,
        backlogMs: this.expectedBacklog(shard),
        cpuMilli: this.capacity.cpuMilli(shard),
      }));
  }

  /** Those of the shards whose workers accept starts. */
  usable(shards: readonly string[]): readonly string[] {
    return shards.filter(shard => this.isKnownUsable(shard));
  }

  /** Whether the load of a shard is known and shows usable workers. */
  private isKnownUsable(shard: string): boolean {
    return (this.loads.get(shard)?.usableWorkers ?? 0) > 0;
  }

  /** The shard with the shortest backlog of those with usable workers. */
  shortest(shards: readonly string[]): string | undefined {
    let best: string | undefined;
    let shortestMs = Infinity;
    for (const shard of shards) {
      if (!this.isKnownUsable(shard)) continue;
      const backlogMs = this.expectedBacklog(shard);
      if (backlogMs >= shortestMs) continue;
      shortestMs = backlogMs;
      best = shard;
    }
    return best;
  }

  /** A shard whose load is not known. */
  firstUnknown(shards: readonly string[]): string | undefined {
    return shards.find(shard => !this.loads.has(shard));
  }

  /** Last known backlog of a shard, with the jobs on their way to it. */
  expectedBacklog(shard: string): Millis {
    const known = this.loads.get(shard)?.backlogMs ?? 0;
    const sentMs = this.ledger.workTo(shard);
    return known + spread(sentMs, this.capacity.cpuMilli(shard));
  }
}

/** Time in which processors work off work in ms of one core. */
export function spread(workMs: Millis, cpuMilli: number): Millis {
  return (workMs * 1000) / Math.max(1000, cpuMilli);
}

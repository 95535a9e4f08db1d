import {ShardLoad} from './shard_layout.js';

/** Difference of the demand up to which new jobs stay in their shard. */
const MARGIN = 0.05;

/**
 * Difference beyond the margin at which all new jobs leave. Loads are known with
 * a delay of up to 0.6 s; with a smaller one the demand would oscillate.
 */
const FULL_RESPONSE = 0.3;

/** Which tasks count: those that compete with a new job for processors. */
export const DemandKind = {
  ALL: 'demand',
  RESERVED: 'reserved',
} as const;
export type DemandKind = (typeof DemandKind)[keyof typeof DemandKind];

/** Load of this shard, as far as it matters for new jobs. */
export type OwnDemand = Readonly<Record<DemandKind, number>>;

/**
 * Sends new jobs to shards whose workers are less in demand. Best-effort tasks
 * start on busy workers too and slow each other and the serving tasks there, so
 * a difference matters long before tasks have to wait.
 */
export class DemandBalance {
  /** @param random returns a random number from 0 to 1, without 1. */
  constructor(private readonly random: () => number) {}

  /**
   * Chooses one of the shards for a new job; undefined if the job stays. The
   * probability that it leaves grows with the largest difference, and is shared
   * by the shards in proportion to theirs and to their workers.
   */
  choose(
    kind: DemandKind,
    own: OwnDemand,
    shards: readonly string[],
    loads: ReadonlyMap<string, ShardLoad>,
  ): string | undefined {
    const weights: [string, number][] = [];
    let total = 0;
    let largest = 0;
    for (const shard of shards) {
      const load = loads.get(shard);
      if (load === undefined) continue;
      const excess = excessOver(load, own, kind);
      if (excess <= 0) continue;
      const weight = excess * load.usableWorkers;
      weights.push([shard, weight]);
      total += weight;
      largest = Math.max(largest, excess);
    }
    if (this.random() >= largest / FULL_RESPONSE) return undefined;
    let left = this.random() * total;
    for (const [shard, weight] of weights) {
      if (left < weight) return shard;
      left -= weight;
    }
    return weights[weights.length - 1]?.[0];
  }
}

/** By how much the demand here exceeds that of a shard and the margin. */
function excessOver(load: ShardLoad, own: OwnDemand, kind: DemandKind): number {
  const demand = load[kind];
  if (demand === undefined || load.usableWorkers === 0) return 0;
  return own[kind] - demand - MARGIN;
}

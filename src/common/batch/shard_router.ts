import {Millis, SECOND} from '../base/clock.js';
import {ShardLayout, ShardLoad} from './shard_layout.js';

/**
 * Backlog by which the home shard has to exceed another shard before jobs are
 * sent there: a constant part, and a part in proportion to the other's backlog.
 */
const MIN_MARGIN_MS: Millis = 300;
const RELATIVE_MARGIN = 0.2;

/**
 * Excess over the margin at which a shard with all workers of the fleet would
 * get all jobs. Loads arrive with a delay of up to 0.6 s; a steeper response
 * would make the backlogs oscillate.
 */
const FULL_RESPONSE_MS: Millis = 2 * SECOND;

/** Added to backlogs when jobs are divided in inverse proportion to them. */
const BACKLOG_OFFSET_MS: Millis = SECOND;

/** A shard that may take a job, and its weight in the choice. */
interface Destination {
  readonly shard: string;
  readonly weight: number;
}

/**
 * Assigns jobs to shards when they are accepted. Jobs stay in the shard of the
 * accepting instance's data centre unless its backlog is clearly longer than
 * that of others or it has no usable workers. All instances see the same loads,
 * so the choice is random, with probabilities that grow with the difference.
 */
export class ShardRouter {
  /**
   * @param dataCentre data centre of this instance.
   * @param random returns a random number from 0 to 1, without 1.
   */
  constructor(
    private readonly dataCentre: string,
    private readonly random: () => number,
  ) {}

  /**
   * Returns the shard of a job that this instance accepts.
   * @param loads last known loads, by shard; a shard without a known load gets
   *     jobs of its own data centre only.
   */
  route(layout: ShardLayout, loads: ReadonlyMap<string, ShardLoad>): string {
    if (!layout.isDivided) return layout.shards[0];
    const home = layout.shardOf(this.dataCentre);
    const homeLoad = loads.get(home);
    if (homeLoad === undefined) return home;
    const others = usableLoads(layout, loads).filter(
      ([shard]) => shard !== home,
    );
    if (homeLoad.usableWorkers === 0) {
      return this.pick(byInverseBacklog(others), home);
    }
    return this.pick(byExcess(homeLoad, others), home);
  }

  /**
   * Picks one of the destinations by weight. The part of the total weight that
   * is missing from 1 is the probability of the home shard.
   */
  private pick(destinations: readonly Destination[], home: string): string {
    let total = 0;
    for (const {weight} of destinations) total += weight;
    if (total === 0) return home;
    let left = this.random() * Math.max(1, total);
    for (const {shard, weight} of destinations) {
      if (left < weight) return shard;
      left -= weight;
    }
    return home;
  }
}

/** Loads of the shards that have usable workers. */
function usableLoads(
  layout: ShardLayout,
  loads: ReadonlyMap<string, ShardLoad>,
): [string, ShardLoad][] {
  const usable: [string, ShardLoad][] = [];
  for (const shard of layout.shards) {
    const load = loads.get(shard);
    if (load !== undefined && load.usableWorkers > 0) {
      usable.push([shard, load]);
    }
  }
  return usable;
}

/**
 * Weights of shards with shorter backlogs than the home shard. They are in
 * proportion to the workers, so that several home shards with long backlogs
 * don't overload the same small shard.
 */
function byExcess(
  home: ShardLoad,
  others: readonly (readonly [string, ShardLoad])[],
): Destination[] {
  let workers = home.usableWorkers;
  for (const [, {usableWorkers}] of others) workers += usableWorkers;
  return others.map(([shard, {backlogMs, usableWorkers}]) => {
    const limit = backlogMs * (1 + RELATIVE_MARGIN) + MIN_MARGIN_MS;
    const excess = Math.max(0, home.backlogMs - limit);
    const share = usableWorkers / workers;
    return {shard, weight: (share * excess) / FULL_RESPONSE_MS};
  });
}

/** Weights that divide all jobs of a home shard without usable workers. */
function byInverseBacklog(
  others: readonly (readonly [string, ShardLoad])[],
): Destination[] {
  const speeds = others.map(
    ([, {backlogMs, usableWorkers}]) =>
      usableWorkers / (backlogMs + BACKLOG_OFFSET_MS),
  );
  const total = speeds.reduce((sum, speed) => sum + speed, 0);
  return others.map(([shard], index) => ({
    shard,
    weight: speeds[index] / total,
  }));
}

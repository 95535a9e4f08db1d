import {ActiveStep, unfinishedTasks} from './active_job.js';
import {HandOverLedger} from './hand_over_ledger.js';
import {MAX_FORCED_START_LOAD} from './reserved_shares.js';
import {tasksInRoom} from './room.js';
import {ShardLoad} from './shard_layout.js';
import {chooseByWeight} from './weighted_choice.js';

/**
 * Chooses shards for tasks that find no room in their own. Several
 * schedulers choose at the same time, with loads that are some tenths of a
 * second old, so each spreads its tasks over the shards in proportion to the
 * room; the one with the most would get all of them.
 */
export class RoomBalance {
  /** @param random returns a random number from 0 to 1, without 1. */
  constructor(
    private readonly ledger: HandOverLedger,
    private readonly random: () => number,
  ) {}

  /** Chooses one of the shards; undefined if none is known to have room. */
  choose(
    step: ActiveStep,
    shards: readonly string[],
    loads: ReadonlyMap<string, ShardLoad>,
  ): string | undefined {
    const weights = shards.map(shard =>
      this.tasksFor(step, shard, loads.get(shard)),
    );
    return chooseByWeight(shards, weights, this.random);
  }

  /** Number of tasks of a step, or of gangs, that a shard has room for. */
  private tasksFor(
    step: ActiveStep,
    shard: string,
    load: ShardLoad | undefined,
  ): number {
    if (load === undefined || load.usableWorkers === 0) return 0;
    const {shape} = step;
    if (shape.fills && (load.reserved ?? 0) > MAX_FORCED_START_LOAD) return 0;
    // A record of an earlier version doesn't tell the room.
    if (load.room === undefined) return load.usableWorkers;
    const sentMilli = shape.fills ? 0 : this.ledger.reservedMilliTo(shard);
    const sent = sentMilli / Math.max(1, shape.cpuMilli);
    const left = Math.max(0, tasksInRoom(load.room, shape) - sent);
    return shape.gang
      ? Math.floor(left / Math.max(1, unfinishedTasks(step)))
      : left;
  }
}

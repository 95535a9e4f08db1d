import {SECOND} from '../../common/base/clock.js';
import {JobPhase, TaskPhase} from '../../common/batch/job_records.js';
import {ShardLayout} from '../../common/batch/shard_layout.js';
import {SimulatedShards} from './simulated_shards.test_support.js';

const LAYOUT = new ShardLayout(['a', 'b', 'c']);

/** Ids of jobs that belong to shard a before the first hand-over. */
const IDS = Array.from({length: 40}, (_, index) =>
  index.toString(16).padStart(16, '0'),
).filter(id => LAYOUT.shardOfJob(id) === 'a');

describe('tasks that end by themselves in a fleet of several shards', () => {
  it('go on when perpetual tasks have taken their shard', async () => {
    // Guards against a started job without runs that stays in a shard full of
    // perpetual tasks while another shard is idle (LOST).
    const shards = new SimulatedShards(LAYOUT, [50, 50, 50], 10);
    const {fleet} = shards.shard('a');
    for (const worker of fleet.workers.values()) worker.rack = 'a-1';
    await shards.run(2 * SECOND);
    const [ending, serving] = IDS;
    // More than the room of its shard, so that some of its tasks wait.
    shards.submit(ending, {count: 400});
    await shards.run(SECOND);
    shards.submit(serving, {perpetual: true, count: 40, requiredLabel: 'a-1'});
    await shards.run(60 * SECOND);
    const runs = shards.running().map(([task]) => task);
    const own = runs.filter(task => task.startsWith(ending));
    const {view} = fleet;
    const isOver = view.phase(ending) === JobPhase.COMPLETE;
    expect([isOver, own.length > 0, runs.length]).toEqual([true, false, 40]);
  });

  it('run in another shard although a later step needs their own', async () => {
    // Guards against a job that is sent to and fro between a shard without room
    // for its first step and one that can't run the second (LOST).
    const shards = new SimulatedShards(LAYOUT, [50, 50, 50], 10);
    const {fleet} = shards.shard('a');
    for (const worker of fleet.workers.values()) worker.rack = 'a-1';
    await shards.run(2 * SECOND);
    const [serving, chain] = IDS;
    shards.submit(serving, {perpetual: true, count: 40, requiredLabel: 'a-1'});
    await shards.run(3 * SECOND);
    const second = {requiredLabel: 'a-1', after: [0]};
    shards.submit(chain, {estimateMs: 1000}, second);
    await shards.run(5 * SECOND);
    const job = shards.shards
      .map(shard => shard.fleet.scheduler.state.jobs.get(chain))
      .find(known => known !== undefined)!;
    const [first] = job.tasks();
    expect([first.phase, job.handOvers <= 2]).toEqual([TaskPhase.DONE, true]);
    shards.cancel(serving);
    await shards.run(10 * SECOND);
    expect(fleet.view.phase(chain)).toBe(JobPhase.COMPLETE);
  });
});

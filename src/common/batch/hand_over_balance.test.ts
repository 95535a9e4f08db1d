import {ManualClock} from '../base/manual_clock.js';
import {Millis, SECOND} from '../base/clock.js';
import {HandOver, HandOverReason} from './hand_over.js';
import {ShardLayout, ShardLoad} from './shard_layout.js';
import {
  ids,
  ListedFleet,
  load,
  SimulatedShard,
  TICK_MS,
} from './simulated_shard.test_support.js';

describe('HandOverPolicy with a longer backlog', () => {
  let fleet: ListedFleet;
  let shard: SimulatedShard;

  beforeEach(() => {
    fleet = new ListedFleet();
    shard = new SimulatedShard('a', new ManualClock(1000), fleet);
  });

  const backlog = HandOverReason.BACKLOG;

  it('hands over jobs behind the front after a while', () => {
    // Guards against a long queue beside idle workers in other shards.
    shard.submitMany(400);
    expect(ids(shard.run(900))).toEqual([]);
    const chosen = shard.run(SECOND);
    expect(chosen.length).toBeGreaterThan(20);
    expect(new Set(chosen.map(({reason}) => reason))).toEqual(
      new Set([backlog]),
    );
    // The shard starts 40 jobs of 1 s at once.
    const front = Array.from({length: 40}, (_, job) => `job-${job}`);
    expect(ids(chosen).filter(id => front.includes(id))).toEqual([]);
  });

  it('limits the work by the difference of the backlogs', () => {
    // Guards against a queue that moves as a whole and then comes back.
    shard.submitMany(400);
    const sent = {b: 0, c: 0};
    for (let tick = 0; tick < 200; tick++) {
      for (const {job, to} of shard.choose()) {
        shard.remove(job.id);
        sent[to as keyof typeof sent]++;
      }
      // Each job is 25 ms of backlog on 40 cores.
      shard.setLoads({b: load(25 * sent.b), c: load(25 * sent.c)});
    }
    // 10 s of backlog would be even if 133 jobs left for each shard.
    for (const count of Object.values(sent)) {
      expect(count).toBeGreaterThan(80);
      expect(count).toBeLessThan(134);
    }
    const other = new SimulatedShard('a', new ManualClock(1000), fleet);
    other.setLoads({b: load(8000), c: load(9500)});
    other.submitMany(400);
    const fewer = other.run(2 * SECOND);
    expect(fewer.length).toBeLessThan(10);
    expect(fewer.every(({to}) => to === 'b')).toBe(true);
  });

  it('keeps jobs at similar backlogs', () => {
    // Guards against moves for differences that don't matter.
    shard.setLoads({b: load(8500), c: load(9500)});
    shard.submitMany(400);
    expect(ids(shard.run(5 * SECOND))).toEqual([]);
    shard.setLoads({b: undefined, c: load(0, 0)});
    expect(ids(shard.run(5 * SECOND))).toEqual([]);
  });

  it('keeps a job that would only move the longer backlog', () => {
    // Guards against a large job that two shards send back and forth.
    shard.setLoads({b: load(5000), c: load(6000)});
    shard.submitMany(60);
    shard.submit('large', {count: 1000});
    const chosen = ids(shard.run(5 * SECOND));
    expect(chosen).not.toContain('large');
    shard.setLoads({b: load(0), c: load(6000)});
    expect(ids(shard.run(2 * SECOND))).toContain('large');
  });

  it('keeps jobs that have started or were handed over too often', () => {
    // Guards against jobs that never start because they move.
    shard.submitMany(200, 'started');
    for (const job of shard.state.jobs.values()) job.hasStarted = true;
    shard.submitMany(200, 'settled');
    for (let job = 0; job < 200; job++) {
      shard.generations.set(`settled-${job}`, 3);
    }
    expect(ids(shard.run(5 * SECOND))).toEqual([]);
  });
});

/** Two shards whose policies see each other's loads late. */
class Pair {
  readonly clock = new ManualClock(1000);
  readonly fleet = new ListedFleet(new ShardLayout(['a', 'b']));
  readonly shards = ['a', 'b'].map(
    name => new SimulatedShard(name, this.clock, this.fleet),
  );
  /** Hand-overs by the shard that the job left. */
  readonly left: Record<string, number> = {a: 0, b: 0};
  /** Hand-overs by job. */
  readonly moves = new Map<string, number>();
  private submitted = 0;
  private ticks = 0;
  private reported = new Map<string, ShardLoad>();
  /** Jobs on their way, which arrive at the next tick. */
  private underWay: HandOver[] = [];

  /** Lets jobs arrive at rates relative to what a shard works off. */
  run(duration: Millis, rates: readonly number[]): void {
    for (let time = 0; time < duration; time += TICK_MS) this.tick(rates);
  }

  backlogs(): Millis[] {
    const now = this.clock.now();
    return this.shards.map(({policy}) => policy.load(now).backlogMs);
  }

  private tick(rates: readonly number[]): void {
    this.clock.advance(TICK_MS);
    if (this.ticks++ % 3 === 0) this.report();
    for (const handOver of this.underWay.splice(0)) this.arrive(handOver);
    this.shards.forEach((shard, index) => {
      // 40 cores work off 4 s of one core in each tick.
      for (let jobs = 0; jobs < rates[index] * 4; jobs++) {
        shard.submit(`job-${this.submitted++}`, {});
      }
      const waiting = [...shard.state.jobs.keys()];
      for (const id of waiting.slice(0, 4)) shard.remove(id);
    });
    for (const {name, policy} of this.shards) {
      for (const handOver of policy.choose(this.clock.now())) {
        this.left[name]++;
        this.underWay.push(handOver);
      }
    }
  }

  private report(): void {
    for (const {policy} of this.shards) policy.setLoads(this.reported);
    const now = this.clock.now();
    this.reported = new Map(
      this.shards.map(({name, policy}) => [name, policy.load(now)]),
    );
  }

  private arrive({job, to}: HandOver): void {
    const from = this.shards.find(({name}) => name !== to)!;
    // It may have started meanwhile.
    if (!from.state.jobs.has(job.id)) return;
    from.remove(job.id);
    const moves = (this.moves.get(job.id) ?? 0) + 1;
    this.moves.set(job.id, moves);
    const shard = this.shards.find(({name}) => name === to)!;
    shard.generations.set(job.id, moves);
    shard.submit(job.id, {});
  }
}

describe('two HandOverPolicies', () => {
  it('even out their backlogs without moving a job twice', () => {
    // Guards against jobs that two shards send back and forth.
    const pair = new Pair();
    pair.shards[0].submitMany(800, 'early');
    pair.run(10 * SECOND, [0.5, 0.5]);
    expect(pair.left.a).toBeGreaterThan(100);
    expect(pair.left.b).toBe(0);
    expect(Math.max(...pair.moves.values())).toBe(1);
    const [a, b] = pair.backlogs();
    expect(Math.abs(a - b)).toBeLessThan(4 * SECOND);
  });

  it('move what one of them can not work off', () => {
    // Guards against a queue that grows without bound beside an idle shard.
    const pair = new Pair();
    pair.run(60 * SECOND, [1.5, 0.25]);
    expect(pair.left.b).toBe(0);
    expect(Math.max(...pair.moves.values())).toBe(1);
    expect(Math.max(...pair.backlogs())).toBeLessThan(6 * SECOND);
  });

  it('move nothing at even load', () => {
    // Guards against moves that even loads cause because they are known late.
    const pair = new Pair();
    pair.shards.forEach(shard => shard.submitMany(400, shard.name));
    pair.run(10 * SECOND, [1, 1]);
    expect(pair.left).toEqual({a: 0, b: 0});
  });
});

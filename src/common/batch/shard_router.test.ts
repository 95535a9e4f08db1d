import {Millis, SECOND} from '../base/clock.js';
import {Simulation} from '../jobs/simulation.test_support.js';
import {ShardLayout, ShardLoad, WHOLE_FLEET} from './shard_layout.js';
import {ShardRouter} from './shard_router.js';

const SHARDS = ['a', 'b', 'c', 'd', 'e'];
const LAYOUT = new ShardLayout(SHARDS);

/** Workers of a shard unless stated otherwise. */
const WORKERS = 125;

/** Time between two steps of the simulation. */
const STEP_MS: Millis = 20;

/** Time between two reports of a shard's load, and until they are known. */
const REPORT_MS: Millis = 300;

/** Work of a job, as the backlog that it adds to a shard with all workers. */
const JOB_MS: Millis = 5;

function load(backlogMs: Millis, usableWorkers = WORKERS): ShardLoad {
  return {backlogMs, usableWorkers};
}

function loadsOf(
  backlogs: Readonly<Record<string, Millis>>,
): Map<string, ShardLoad> {
  return new Map(
    Object.entries(backlogs).map(([shard, backlog]) => [shard, load(backlog)]),
  );
}

/** Counts by shard of jobs that instances of one data centre route. */
function routeMany(
  loads: ReadonlyMap<string, ShardLoad>,
  jobs = 10_000,
): Map<string, number> {
  const simulation = new Simulation(1);
  const router = new ShardRouter('a', () => simulation.random());
  const counts = new Map(SHARDS.map(shard => [shard, 0]));
  for (let job = 0; job < jobs; job++) {
    const shard = router.route(LAYOUT, loads);
    counts.set(shard, counts.get(shard)! + 1);
  }
  return counts;
}

/** Shards that work off jobs, and instances that know their loads late. */
class SimulatedShards {
  readonly backlogs = new Map(SHARDS.map(shard => [shard, 0]));
  /** Jobs that were routed since the last reset, by data centre. */
  readonly accepted = new Map(SHARDS.map(shard => [shard, 0]));
  /** Those of them that went to the shard of another data centre. */
  readonly moved = new Map(SHARDS.map(shard => [shard, 0]));
  longestBacklogMs: Millis = 0;
  private readonly simulation = new Simulation(7);
  private readonly routers = SHARDS.map(
    shard => new ShardRouter(shard, () => this.simulation.random()),
  );
  private reported = new Map<string, ShardLoad>();
  private known = new Map<string, ShardLoad>();
  private nextReportAt: Millis = 0;
  private now: Millis = 0;

  constructor(
    /** Work that arrives, relative to what a shard works off. */
    private readonly rates: Readonly<Record<string, number>>,
    /** Share of its workers that a shard has. */
    private readonly capacities: Readonly<Record<string, number>> = {},
  ) {}

  /** Advances the time; the counts are those of this period. */
  run(duration: Millis): void {
    for (const counts of [this.accepted, this.moved]) {
      for (const shard of SHARDS) counts.set(shard, 0);
    }
    this.longestBacklogMs = 0;
    const end = this.now + duration;
    while (this.now < end) this.step();
  }

  /** Moved share of the jobs that a data centre accepted. */
  movedShare(shard: string): number {
    return this.moved.get(shard)! / this.accepted.get(shard)!;
  }

  private step(): void {
    this.now += STEP_MS;
    if (this.now >= this.nextReportAt) this.report();
    for (const [index, home] of SHARDS.entries()) {
      const jobs = (this.rates[home] * STEP_MS) / JOB_MS;
      const isOneMore = this.simulation.chance(jobs % 1);
      for (let job = 0; job < Math.floor(jobs) + (isOneMore ? 1 : 0); job++) {
        this.accept(home, this.routers[index]);
      }
    }
    for (const shard of SHARDS) {
      const backlog = this.backlogs.get(shard)! - STEP_MS;
      this.backlogs.set(shard, Math.max(0, backlog));
      this.longestBacklogMs = Math.max(this.longestBacklogMs, backlog);
    }
  }

  private report(): void {
    this.nextReportAt = this.now + REPORT_MS;
    this.known = this.reported;
    this.reported = new Map(
      SHARDS.map(shard => {
        const workers = WORKERS * this.capacityOf(shard);
        return [shard, load(this.backlogs.get(shard)!, workers)];
      }),
    );
  }

  private accept(home: string, router: ShardRouter): void {
    const shard = router.route(LAYOUT, this.known);
    const work = JOB_MS / (this.capacityOf(shard) || 1e-3);
    this.backlogs.set(shard, this.backlogs.get(shard)! + work);
    this.accepted.set(home, this.accepted.get(home)! + 1);
    if (shard !== home) this.moved.set(home, this.moved.get(home)! + 1);
  }

  private capacityOf(shard: string): number {
    return this.capacities[shard] ?? 1;
  }
}

describe('ShardRouter', () => {
  it('routes to the only shard of a fleet that is not divided', () => {
    // Guards against jobs for a shard that no scheduler has.
    const router = new ShardRouter('a', () => 0.5);
    expect(router.route(ShardLayout.UNDIVIDED, new Map())).toBe(WHOLE_FLEET);
    const loads = new Map([[WHOLE_FLEET, load(9000, 0)]]);
    expect(router.route(ShardLayout.UNDIVIDED, loads)).toBe(WHOLE_FLEET);
  });

  it('keeps jobs at home while loads are unknown', () => {
    // Guards against jobs for a shard whose scheduler was never heard of.
    expect(routeMany(new Map(), 100).get('a')).toBe(100);
    const others = loadsOf({b: 0, c: 0});
    expect(routeMany(others, 100).get('a')).toBe(100);
    const counts = routeMany(loadsOf({a: 60_000, b: 0}));
    expect(counts.get('b')).toBeGreaterThan(0);
    for (const shard of ['c', 'd', 'e']) expect(counts.get(shard)).toBe(0);
  });

  it('keeps jobs at home at even load', () => {
    // Guards against jobs that move for differences that don't matter.
    const even = loadsOf({a: 1200, b: 1000, c: 1100, d: 1300, e: 1000});
    expect(routeMany(even, 1000).get('a')).toBe(1000);
    const shards = new SimulatedShards({
      a: 0.9,
      b: 0.9,
      c: 0.9,
      d: 0.9,
      e: 0.9,
    });
    shards.run(60 * SECOND);
    for (const shard of SHARDS) expect(shards.movedShare(shard)).toBe(0);
  });

  it('divides the jobs of an overloaded shard among the others', () => {
    // Guards against instances that all choose the same shard at one moment.
    const counts = routeMany(loadsOf({a: 9000, b: 0, c: 0, d: 0, e: 4000}));
    const equal = [counts.get('b')!, counts.get('c')!, counts.get('d')!];
    expect(Math.max(...equal)).toBeLessThan(1.1 * Math.min(...equal));
    expect(counts.get('e')!).toBeGreaterThan(0);
    expect(counts.get('e')!).toBeLessThan(Math.min(...equal));
  });

  it('sends jobs to shards in proportion to their workers', () => {
    // Guards against a small shard that gets as many jobs as a large one.
    const loads = loadsOf({a: 2000, b: 0, c: 0});
    loads.set('b', load(0, 100)).set('c', load(0, 25));
    const counts = routeMany(loads);
    const ratio = counts.get('b')! / counts.get('c')!;
    expect(ratio).toBeGreaterThan(3.5);
    expect(ratio).toBeLessThan(4.5);
    expect(counts.get('a')!).toBeGreaterThan(counts.get('b')!);
  });

  it('moves what is needed when one data centre has twice the jobs', () => {
    // Guards against backlogs that grow without bound, and against jobs that
    // move to and fro because loads are known late.
    const shards = new SimulatedShards({
      a: 1.5,
      b: 0.75,
      c: 0.75,
      d: 0.75,
      e: 0.75,
    });
    shards.run(60 * SECOND);
    const firstLongestMs = shards.longestBacklogMs;
    shards.run(240 * SECOND);
    expect(firstLongestMs).toBeLessThan(3 * SECOND);
    expect(shards.longestBacklogMs).toBeLessThan(3 * SECOND);
    // A third of the jobs exceeds what shard a works off.
    expect(shards.movedShare('a')).toBeGreaterThan(0.32);
    expect(shards.movedShare('a')).toBeLessThan(0.4);
    for (const shard of ['b', 'c', 'd', 'e']) {
      expect(shards.movedShare(shard)).toBeLessThan(0.01);
    }
  });

  it('divides the excess when four data centres are overloaded', () => {
    // Guards against four shards that together overload the fifth.
    const shards = new SimulatedShards({
      a: 1.1,
      b: 1.1,
      c: 1.1,
      d: 1.1,
      e: 0.2,
    });
    shards.run(300 * SECOND);
    expect(shards.longestBacklogMs).toBeLessThan(5 * SECOND);
    shards.run(60 * SECOND);
    for (const shard of ['a', 'b', 'c', 'd']) {
      expect(shards.movedShare(shard)).toBeGreaterThan(0.08);
      expect(shards.movedShare(shard)).toBeLessThan(0.14);
    }
    expect(shards.movedShare('e')).toBe(0);
  });

  it('moves most jobs of a shard that has a tenth of its workers', () => {
    // Guards against jobs that wait for the few workers that are left.
    const rates = {a: 0.7, b: 0.7, c: 0.7, d: 0.7, e: 0.7};
    const shards = new SimulatedShards(rates, {a: 0.1});
    shards.run(120 * SECOND);
    expect(shards.longestBacklogMs).toBeLessThan(10 * SECOND);
    expect(shards.movedShare('a')).toBeGreaterThan(0.8);
    expect(shards.movedShare('a')).toBeLessThan(0.95);
  });

  it('divides all jobs of a shard without workers', () => {
    // Guards against jobs that wait in a data centre without power.
    const loads = loadsOf({b: 0, c: 0, d: 0, e: 1000}).set('a', load(0, 0));
    const counts = routeMany(loads);
    expect(counts.get('a')).toBe(0);
    const equal = [counts.get('b')!, counts.get('c')!, counts.get('d')!];
    expect(Math.max(...equal)).toBeLessThan(1.1 * Math.min(...equal));
    expect(counts.get('e')!).toBeGreaterThan(0.4 * equal[0]);
    expect(counts.get('e')!).toBeLessThan(0.6 * equal[0]);

    const rates = {a: 0.7, b: 0.7, c: 0.7, d: 0.7, e: 0.7};
    const shards = new SimulatedShards(rates, {a: 0});
    // The first jobs are routed before the loads are known.
    shards.run(2 * SECOND);
    shards.backlogs.set('a', 0);
    shards.run(120 * SECOND);
    expect(shards.movedShare('a')).toBe(1);
    expect(shards.longestBacklogMs).toBeLessThan(3 * SECOND);
  });

  it('sends nothing to other shards without workers', () => {
    // Guards against jobs that leave a long queue for a shard that is down.
    const loads = loadsOf({a: 60_000, b: 0}).set('c', load(0, 0));
    const counts = routeMany(loads);
    expect(counts.get('c')).toBe(0);
    const down = new Map(SHARDS.map(shard => [shard, load(0, 0)]));
    expect(routeMany(down, 100).get('a')).toBe(100);
  });
});

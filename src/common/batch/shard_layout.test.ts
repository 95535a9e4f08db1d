import {layoutFor, ShardLayout} from './shard_layout.js';

/** Data centres of `count` workers, spread evenly. */
function workersIn(dataCentres: readonly string[], count: number): string[] {
  return Array.from(
    {length: count},
    (_, index) => dataCentres[index % dataCentres.length],
  );
}

describe('layoutFor', () => {
  const five = ['a', 'b', 'c', 'd', 'e'];

  it('does not divide a fleet that one scheduler carries', () => {
    // Guards against jobs that have to fit into a part of a small fleet.
    for (const [count, processors] of [
      [45, 0.675],
      [270, 0.675],
      [343, 1.35],
      [400, 1],
      [400, 1.35],
    ]) {
      const layout = layoutFor(workersIn(five, count), processors);
      expect(layout.shards).toEqual(['']);
    }
  });

  it('divides a fleet of 625 workers by data centre', () => {
    // Guards against one scheduler that fills its core and leaves tasks waiting
    // although workers are idle (tuapapa-sched-large).
    const layout = layoutFor(workersIn(five, 625), 1.35);
    expect(layout.shards).toEqual(five);
  });

  it('leaves no scheduler more workers than it carries', () => {
    // Guards against the same at 4,000 workers in 15 data centres.
    const names = Array.from({length: 15}, (_, index) => `dc-${index}`);
    const workers = workersIn(names, 4000);
    const layout = layoutFor(workers, 1.35);
    for (const shard of layout.shards) {
      const own = workers.filter(name => layout.shardOf(name) === shard);
      expect(own.length).toBeLessThanOrEqual(400);
    }
  });

  it('counts the processors that one thread can use', () => {
    // Guards against one scheduler that fills its core on an instance with many
    // cores: a scheduler has one thread.
    for (const [count, processors] of [
      [271, 0.675],
      [401, 1],
      [401, 1.35],
      [625, 2],
      [4000, 16],
    ]) {
      const layout = layoutFor(workersIn(five, count), processors);
      expect(layout.shards).toEqual(five);
    }
  });

  it('does not divide a fleet in one data centre', () => {
    // Guards against a single shard that bears another name than the whole
    // fleet, which would leave its topics behind.
    expect(layoutFor(workersIn(['a', ''], 900), 1).shards).toEqual(['']);
  });
});

describe('ShardLayout', () => {
  const layout = new ShardLayout(['a', 'b', 'c']);

  it('gives workers of an unknown data centre to one of the shards', () => {
    // Guards against workers that no scheduler uses, or that two use.
    expect(layout.shards).toContain(layout.shardOf('new'));
    expect(layout.shardOf('new')).toBe(layout.shardOf('new'));
  });

  it('divides jobs among the shards in proportion to their workers', () => {
    // Guards against a small data centre that gets as many jobs as a large one.
    const uneven = new ShardLayout(['small', 'large'], [10, 190]);
    const ids = Array.from({length: 400}, (_, index) => `job-${index}`);
    const small = ids.filter(id => uneven.shardOfJob(id) === 'small').length;
    expect(small).toBeGreaterThan(400 * 0.02);
    expect(small).toBeLessThan(400 * 0.09);
  });
});

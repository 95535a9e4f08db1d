import {Millis, SECOND} from '../base/clock.js';
import {ActiveJob, ActiveStep} from './active_job.js';
import {ListedCapacity} from './listed_capacity.js';
import {ShardLayout} from './shard_layout.js';
import {QUEUE, STEP} from './simulated_fleet.test_support.js';
import {StepShape, WorkerListing, WorkerPhase} from './types.js';

const LAYOUT = new ShardLayout(['a', 'b']);

function worker(
  id: string,
  dataCentre: string,
  change: Partial<WorkerListing> = {},
): WorkerListing {
  return {
    id,
    born: 1,
    service: QUEUE.service,
    address: `${id}:1`,
    dataCentre,
    phase: WorkerPhase.READY,
    warmupMs: 0,
    capacity: {cpuMilli: 4000, memoryMb: 1000, gpus: 0},
    labels: ['std', `${dataCentre}-1`],
    ...change,
  };
}

function step(change: Partial<StepShape>, service = QUEUE.service): ActiveStep {
  const shape = {
    spec: '',
    steps: [{...STEP, ...change}],
    repeats: 0,
    startMs: 0,
    periodMs: 0,
  };
  const queue = {...QUEUE, service};
  const submission = {queue, acceptedAt: 0, shape};
  return new ActiveJob('job', submission, queue, 0).addOccurrence(0, 0)
    .steps[0];
}

describe('ListedCapacity', () => {
  let capacity: ListedCapacity;

  function list(now: Millis, ...workers: WorkerListing[]): void {
    capacity.update(workers, LAYOUT, now);
    capacity.expire(now);
  }

  beforeEach(() => {
    capacity = new ListedCapacity('a');
  });

  it('compares the size, the service and the labels of one worker', () => {
    // Guards against a label of one worker and the size of another.
    const large = {cpuMilli: 16_000, memoryMb: 1000, gpus: 0};
    list(
      0,
      worker('a1', 'a', {capacity: large, labels: ['std', 'a-1']}),
      worker('a2', 'a', {labels: ['fast', 'a-2']}),
      worker('b1', 'b', {capacity: large, labels: ['fast', 'b-1']}),
      worker('b2', 'b', {service: 'other'}),
    );
    const wide = {cpuMilli: 8000};
    expect(capacity.canRun(step(wide), 'a')).toBe(true);
    const fast = step({...wide, requiredLabel: 'fast'});
    expect(capacity.canRun(fast, 'a')).toBe(false);
    expect(capacity.canRun(fast, 'b')).toBe(true);
    const rack = step({...wide, requiredLabel: 'a-2'});
    expect(capacity.canRun(rack, 'a')).toBe(false);
    expect(capacity.canRun(step({memoryMb: 2000}), 'a')).toBe(false);
    expect(capacity.canRun(step({gpus: 1}), 'b')).toBe(false);
    expect(capacity.canRun(step({}, 'other'), 'a')).toBe(false);
    expect(capacity.canRun(step({}, 'other'), 'b')).toBe(true);
    expect(capacity.canRun(step({fills: true, cpuMilli: 64_000}), 'a')).toBe(
      true,
    );
  });

  it('counts all tasks of gangs and of perpetual steps', () => {
    // Guards against tasks that wait for the end of others that don't end.
    list(0, worker('a1', 'a'), worker('a2', 'a'), worker('b1', 'b'));
    const shape = {count: 8, cpuMilli: 1000};
    for (const kind of [{gang: true}, {perpetual: true}]) {
      expect(capacity.canRun(step({...shape, ...kind}), 'a')).toBe(true);
      expect(capacity.canRun(step({...shape, ...kind}), 'b')).toBe(false);
      const limited = {...shape, ...kind, maxPerWorker: 3};
      expect(capacity.canRun(step(limited), 'a')).toBe(false);
      const inRack = {...shape, ...kind, requiredLabel: 'a-1'};
      expect(capacity.canRun(step(inRack), 'a')).toBe(true);
    }
    expect(capacity.canRun(step(shape), 'b')).toBe(true);
  });

  it('finds the data where a worker in its rack fits', () => {
    // Guards against a move to a rack whose workers can't run the step.
    const small = {cpuMilli: 500, memoryMb: 1000, gpus: 0};
    list(
      0,
      worker('a1', 'a'),
      worker('b1', 'b', {capacity: small}),
      worker('b2', 'b', {labels: ['std', 'b-2']}),
    );
    expect(capacity.hasData(step({dataRack: 'b-1'}), 'b')).toBe(false);
    expect(capacity.hasData(step({dataRack: 'b-2'}), 'b')).toBe(true);
    expect(capacity.hasData(step({dataRack: 'b-2'}), 'a')).toBe(false);
    expect(capacity.hasData(step({}), 'a')).toBe(false);
  });

  it('counts departed and draining workers of the own shard for a while', () => {
    // Guards against jobs that leave during a rolling restart.
    const phase = WorkerPhase.DRAINING;
    list(0, worker('a1', 'a'), worker('b1', 'b'));
    list(SECOND, worker('a1', 'a', {phase}), worker('b1', 'b', {phase}));
    const any = step({});
    expect(capacity.canRun(any, 'a')).toBe(true);
    expect(capacity.canRun(any, 'b')).toBe(false);
    expect(capacity.cpuMilli('a')).toBe(0);
    capacity.expire(3.9 * SECOND);
    expect(capacity.canRun(any, 'a')).toBe(true);
    capacity.expire(4 * SECOND);
    expect(capacity.canRun(any, 'a')).toBe(false);
  });

  it('keeps what it has found while the listings are equivalent', () => {
    // Guards against a search for each waiting step after each listing.
    list(0, worker('a1', 'a'), worker('b1', 'b', {warmupMs: 500}));
    const {version} = capacity;
    list(SECOND, worker('b1', 'b'), worker('a3', 'a'));
    expect(capacity.version).toBe(version);
    list(2 * SECOND, worker('a1', 'a', {labels: ['std', 'a-2']}));
    expect(capacity.version).toBeGreaterThan(version);
  });
});

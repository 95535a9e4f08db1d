import {ManualClock} from '../base/manual_clock.js';
import {Millis, SECOND} from '../base/clock.js';
import {ActiveTask} from './active_job.js';
import {HandOverReason} from './hand_over.js';
import {
  LAYOUT_KEY,
  packHandOver,
  packLayout,
  packRecord,
  RecordKind,
} from './job_records.js';
import {ShardLayout, ShardLoad} from './shard_layout.js';
import {QUEUE, SimulatedFleet, STEP} from './simulated_fleet.test_support.js';
import {SimulatedWorker} from './simulated_worker.test_support.js';
import {
  ids,
  ListedFleet,
  load,
  SimulatedShard,
  summary,
  WORKERS,
} from './simulated_shard.test_support.js';
import {StepShape} from './types.js';

const LAYOUT = new ShardLayout(['a', 'b']);

/** An id that belongs to shard a before the first hand-over. */
const ID = Array.from({length: 20}, (_, index) => `job${index}`).find(
  id => LAYOUT.shardOfJob(id) === 'a',
)!;

describe('a task that left a job with a schedule', () => {
  let a: SimulatedFleet;
  let b: SimulatedFleet;
  let workerOfA: SimulatedWorker;

  beforeEach(() => {
    a = new SimulatedFleet([QUEUE], 'a');
    b = new SimulatedFleet([QUEUE], 'b');
    apply(LAYOUT_KEY, packLayout(LAYOUT));
    workerOfA = a.addWorker('wa', 2000);
    b.addWorker('wb', 8000);
    run(200);
  });

  /** Lets both shards read a record and act on it. */
  function apply(key: string, value: Uint8Array): void {
    for (const {view, clock} of [a, b]) view.apply({key, value}, clock.now());
    const id = key.slice(1).split('.')[0];
    for (const {view, scheduler} of [a, b]) {
      const job = view.find(id);
      for (const known of [job, ...(job?.detachedTasks?.values() ?? [])]) {
        if (known === undefined) continue;
        if (view.ownerOf(known) !== scheduler.state.shard) continue;
        scheduler.onJob(known);
      }
    }
  }

  function run(duration: Millis): void {
    for (const fleet of [a, b]) fleet.run(duration);
  }

  function waitingTask(name: string): ActiveTask {
    const job = a.scheduler.state.jobs.get(ID)!;
    return [...job.tasks()].find(task => task.name === name)!;
  }

  it('is not started by a successor that knows no such occurrence', () => {
    // Guards against two runs of a task that left its job before the progress
    // with its occurrence was stored, as the store took only some topics.
    const steps = [{...STEP, perpetual: true, count: 2}];
    const startMs = a.wallClock.now();
    const schedule = {repeats: 2, startMs, periodMs: 3000};
    const shape = {spec: '', steps, ...schedule};
    const submission = {queue: QUEUE, acceptedAt: startMs, shape};
    apply(RecordKind.SUBMISSION + ID, packRecord(submission));
    run(2.5 * SECOND);
    expect(a.running()).toHaveLength(2);
    a.isStoreAvailable = false;
    run(3 * SECOND);
    const name = `${ID}.1.0.1`;
    const record = a.scheduler.detach(waitingTask(name), 'b')!;
    apply(RecordKind.HAND_OVER + name, packHandOver(record));
    a.scheduler.onHandedOver(name, record.number);
    run(SECOND);
    expect(b.running()).toEqual([[name, 'wb']]);
    a.isStoreAvailable = true;
    workerOfA.cpuMilli = 8000;
    a.takeOver();
    run(12 * SECOND);
    const runs = [...a.running(), ...b.running()];
    expect(runs.filter(([task]) => task === name)).toEqual([[name, 'wb']]);
  });
});

describe('HandOverPolicy of a shard with room', () => {
  let shard: SimulatedShard;

  beforeEach(() => {
    shard = new SimulatedShard('a', new ManualClock(1000), new ListedFleet());
  });

  /** Adds a task that left a job with these steps, in another shard. */
  function addDetached(...changes: Partial<StepShape>[]): void {
    const steps = changes.map(change => ({...STEP, ...change}));
    const schedule = {repeats: 0, startMs: 0, periodMs: 0};
    const shape = {spec: '', steps, ...schedule};
    shard.lifecycle.add({
      id: 'job.0.0.1',
      detached: {job: 'job', occurrence: 0, step: 0, index: 1},
      submission: {queue: QUEUE, acceptedAt: 0, shape},
      cancelled: false,
      seenAt: shard.clock.now(),
    });
  }

  it('keeps a detached task whose job has a step that fits elsewhere', () => {
    // Guards against a task that goes back to the shard without room because of
    // a step of its job that is not its own.
    const serving = {perpetual: true, count: 2, cpuMilli: 3000};
    addDetached(serving, {requiredLabel: 'b-1'});
    expect(summary(shard.run(SECOND))).toEqual([]);
  });

  it('keeps a detached task whose job has only perpetual steps', () => {
    // Guards against a task that goes back to the shard without room because of
    // a perpetual step of its job that is not its own.
    const serving = {perpetual: true, count: 2, cpuMilli: 3000};
    addDetached(serving, {perpetual: true, requiredLabel: 'b-1'});
    expect(summary(shard.run(SECOND))).toEqual([]);
  });
});

describe('HandOverPolicy of a shard whose tasks last', () => {
  /** Load of a shard without work and with room for ten workers' tasks. */
  const IDLE: ShardLoad = {...load(0), room: [[4000, WORKERS]]};
  let shard: SimulatedShard;

  beforeEach(() => {
    shard = new SimulatedShard('a', new ManualClock(1000), new ListedFleet());
    shard.setLoads({b: IDLE, c: IDLE});
    const perpetual = {perpetual: true, cpuMilli: 4000, count: WORKERS};
    shard.submit('serving', perpetual);
    const tasks = [...shard.state.jobs.get('serving')!.tasks()];
    for (const [index, task] of tasks.entries()) {
      shard.startTask(task, shard.state.workers.get(`a${index}`)!);
    }
  });

  it('hands over a job that ends by itself and has no room for long', () => {
    // Guards against a job that never starts, as the perpetual tasks before it
    // don't end, while another shard is idle (LOST).
    shard.submit('short', {cpuMilli: 1000});
    expect(ids(shard.runAndRelease(10 * SECOND))).toEqual(['short']);
  });

  it('hands over a job in time for a run within 3 s', () => {
    // Guards against a job that is shown without a run for 3 s although another
    // shard has room (LOST).
    shard.submit('short', {cpuMilli: 1000});
    expect(ids(shard.runAndRelease(2.5 * SECOND))).toEqual(['short']);
  });

  it('hands over a job to a shard with enough memory', () => {
    // Guards against a job that is sent where only processors are idle.
    const noMemory: ShardLoad = {...load(0), room: [[4000, WORKERS, 8, 0]]};
    const withMemory: ShardLoad = {...load(900), room: [[2000, 1, 128, 0]]};
    shard.setLoads({b: noMemory, c: withMemory});
    shard.submit('short', {cpuMilli: 1000});
    const reason = HandOverReason.NO_ROOM;
    expect(summary(shard.runAndRelease(3 * SECOND))).toEqual([
      `short c ${reason}`,
    ]);
  });

  it('hands over a best-effort job that lasting tasks keep from a start', () => {
    // Guards against a best-effort job without a run in a shard whose
    // processors are reserved, while another shard is idle (LOST).
    shard.setLoads({b: {...IDLE, reserved: 0.9}, c: {...IDLE, reserved: 0.1}});
    shard.submit('filling', {fills: true});
    const reason = HandOverReason.NO_ROOM;
    expect(summary(shard.runAndRelease(3 * SECOND))).toEqual([
      `filling c ${reason}`,
    ]);
  });

  it('keeps a gang that another shard has room for only in part', () => {
    // Guards against gangs that travel in vain.
    const room: ShardLoad = {...load(0), room: [[4000, 2]]};
    shard.setLoads({b: room, c: room});
    shard.submit('gang', {gang: true, count: 3, cpuMilli: 3000});
    expect(ids(shard.runAndRelease(5 * SECOND))).toEqual([]);
  });

  it('keeps jobs while no shard has room', () => {
    // Guards against jobs that move to and fro in an overloaded fleet.
    const full: ShardLoad = {...load(0), room: [[500, WORKERS]]};
    shard.setLoads({b: full, c: full});
    shard.submitMany(50, 'short');
    const chosen = shard.runAndRelease(10 * SECOND);
    const forRoom = chosen.filter(
      ({reason}) => reason === HandOverReason.NO_ROOM,
    );
    expect(ids(forRoom)).toEqual([]);
  });

  it('keeps a job that has a run', () => {
    // Guards against a hand-over of a job whose run would have two owners.
    shard.submit('wide', {cpuMilli: 1000, count: 2});
    const worker = shard.state.workers.get('a0')!;
    const [serving] = worker.runs.values();
    worker.remove(serving);
    shard.start('wide', worker);
    worker.add(serving);
    expect(ids(shard.runAndRelease(5 * SECOND))).toEqual([]);
  });

  it('sends no more jobs to a shard than it has room for', () => {
    // Guards against schedulers that fill a shard beyond its published room.
    shard.setLoads({b: {...load(0), room: [[4000, 2]]}, c: load(0, 0)});
    shard.submitMany(50, 'short');
    expect(shard.runAndRelease(2.2 * SECOND)).toHaveLength(8);
  });

  it('hands over a started job whose next step has no room for long', () => {
    // Guards against a job that never goes on, as the perpetual tasks before it
    // don't end, while another shard is idle (LOST).
    shard.submit('started', {cpuMilli: 1000});
    shard.state.jobs.get('started')!.hasStarted = true;
    expect(ids(shard.runAndRelease(10 * SECOND))).toEqual(['started']);
  });
});

describe('HandOverPolicy of a shard to which a job came for room', () => {
  let shard: SimulatedShard;

  beforeEach(() => {
    shard = new SimulatedShard('a', new ManualClock(1000), new ListedFleet());
    shard.submit('chain', {}, {requiredLabel: 'b-1', after: [0]});
    shard.generations.set('chain', 1);
  });

  it('keeps it while it has room, although a later step needs another', () => {
    // Guards against a job that is sent back to a shard without room for its
    // first step before that is started (LOST).
    expect(summary(shard.run(SECOND))).toEqual([]);
  });

  it('sends it back once the room is taken', () => {
    // Guards against a job that waits where it has no room and can't end.
    shard.fill();
    const reason = HandOverReason.NO_WORKER_FITS;
    expect(summary(shard.runAndRelease(SECOND))).toEqual([`chain b ${reason}`]);
  });
});

describe('HandOverPolicy of a shard with many tasks without room', () => {
  it('hands over a task for which there is room elsewhere in time', () => {
    // Guards against a small task that waits behind tasks for which no shard
    // has room, and that are looked at one by one (LOST).
    const shard = new SimulatedShard(
      'a',
      new ManualClock(1000),
      new ListedFleet(),
    );
    const room = {...load(0), room: [[1000, WORKERS]]} as ShardLoad;
    shard.setLoads({b: room, c: room});
    shard.fill();
    shard.submit('large', {perpetual: true, cpuMilli: 3000, count: 1000});
    shard.state.jobs.get('large')!.hasStarted = true;
    shard.run(3 * SECOND);
    shard.submit('small', {perpetual: true, cpuMilli: 1000});
    // Callers expect it 6 s after its last run, and tolerate 3 s more.
    expect(ids(shard.run(9 * SECOND))).toContain('small');
  });
});

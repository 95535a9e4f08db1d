import {ManualClock} from '../../common/base/manual_clock.js';
import {Millis, SECOND} from '../../common/base/clock.js';
import {JobLifecycle} from '../../common/batch/job_lifecycle.js';
import {
  JobPhase,
  packRecord,
  packState,
  ProgressRecord,
  RecordKind,
} from '../../common/batch/job_records.js';
import {JobView} from '../../common/batch/job_view.js';
import {SchedulerState} from '../../common/batch/scheduler_state.js';
import {ShardLayout} from '../../common/batch/shard_layout.js';
import {QUEUE, STEP} from '../../common/batch/simulated_fleet.test_support.js';
import {
  listing,
  TICK_MS,
} from '../../common/batch/simulated_shard.test_support.js';
import {FleetDivision} from './fleet_division.js';
import {WorkerList} from './worker_list.js';

const TIMINGS = {
  leaseMs: 6000,
  longestLeaseMs: 10_000,
  authorityMs: 5000,
  stopMs: 400,
  keepEndedMs: 120_000,
  earlyMs: 250,
  remoteFactor: 2,
};

/** So few processors, in cores, that more than four workers are too many. */
const PROCESSORS = 0.01;

const STARTED: ProgressRecord = {
  phase: JobPhase.RUNNING,
  hasStarted: true,
  nextOccurrence: 1,
  occurrences: [],
  endedAt: 0,
  handOvers: 0,
};

describe('FleetDivision', () => {
  let clock: ManualClock;
  let view: JobView;
  let workers: WorkerList;
  let state: SchedulerState;
  let lifecycle: JobLifecycle;
  let layouts: ShardLayout[];
  let decisions: string[];

  beforeEach(() => {
    clock = new ManualClock(1000);
    view = new JobView(() => {});
    workers = new WorkerList(
      ({key}) => listing(key, key[0]),
      () => {},
    );
    layouts = [];
    decisions = [];
    state = new SchedulerState(
      1,
      0,
      TIMINGS,
      clock,
      new ManualClock(0),
      {decide: () => {}},
      {version: 1, queues: [QUEUE], pools: [], maxBodyBytes: 1000},
    );
    lifecycle = new JobLifecycle(state);
  });

  /** Lists workers of a data centre that bears one letter. */
  function list(dataCentre: string, count: number): void {
    const value = Uint8Array.of(1);
    const records = [];
    for (let worker = 0; worker < count; worker++) {
      records.push({key: `${dataCentre}${worker}`, value});
    }
    workers.apply(records, false);
  }

  function add(id: string, progress?: ProgressRecord): void {
    const shape = {
      spec: '',
      steps: [STEP],
      repeats: 0,
      startMs: 0,
      periodMs: 0,
    };
    const submission = {queue: QUEUE, acceptedAt: 0, shape};
    const seenAt = clock.now();
    lifecycle.add({id, submission, progress, cancelled: false, seenAt});
  }

  function begin(): FleetDivision {
    return new FleetDivision({
      announcement: {processors: PROCESSORS, dataCentre: 'a'},
      view,
      workers,
      clock,
      decisions: {decide: decision => decisions.push(decision)},
      state,
      divide: layout => layouts.push(layout),
    });
  }

  function run(division: FleetDivision, duration: Millis): void {
    for (let time = 0; time < duration; time += TICK_MS) {
      clock.advance(TICK_MS);
      division.run();
    }
  }

  it('places nothing before the fleet is divided', () => {
    // Guards against a task that is placed while the workers are being listed,
    // after which a large fleet keeps one scheduler.
    list('a', 4);
    list('b', 4);
    add('job');
    const division = begin();
    division.run();
    expect(state.placesTasks).toBe(false);
    run(division, 5 * SECOND);
    expect(layouts.map(({shards}) => shards)).toEqual([['a', 'b']]);
    expect(decisions).toEqual(['fleet-divided']);
    expect(state.placesTasks).toBe(false);
  });

  it('lets the scheduler of a small fleet place tasks', () => {
    // Guards against a small fleet whose jobs wait for a division.
    list('a', 2);
    list('b', 2);
    add('job');
    const division = begin();
    expect(state.placesTasks).toBe(false);
    run(division, 5 * SECOND);
    expect(layouts).toEqual([]);
    expect(state.placesTasks).toBe(true);
  });

  it('divides a fleet that grows before the first task is placed', () => {
    // Guards against one scheduler for a large fleet whose workers start later
    // than the instances.
    const division = begin();
    add('job');
    run(division, 10 * SECOND);
    list('a', 4);
    list('b', 4);
    run(division, 5 * SECOND);
    expect(layouts).toHaveLength(1);
    expect(state.placesTasks).toBe(false);
  });

  it('keeps a scheduler that inherits a started job', () => {
    // Guards against a change of the owners of workers while tasks run there,
    // and against a takeover after which tasks wait for a division.
    list('a', 4);
    list('b', 4);
    add('job', STARTED);
    const division = begin();
    expect(state.placesTasks).toBe(true);
    run(division, 10 * SECOND);
    expect(layouts).toEqual([]);
    expect(state.placesTasks).toBe(true);
  });

  it('keeps a scheduler whose job has started', () => {
    // Guards against a division in a later check, while tasks run.
    list('a', 2);
    add('job');
    const division = begin();
    run(division, 5 * SECOND);
    state.jobs.get('job')!.hasStarted = true;
    list('b', 8);
    run(division, 10 * SECOND);
    expect(layouts).toEqual([]);
    expect(state.placesTasks).toBe(true);
  });

  it('divides a fleet whose only job was cancelled before it started', () => {
    // Guards against a caller that keeps the fleet undivided by a cancellation.
    list('a', 4);
    list('b', 4);
    add('job');
    const division = begin();
    lifecycle.cancel('job');
    const record = {
      phase: JobPhase.CANCELLED,
      hasStarted: false,
      endedAt: 1,
    };
    const key = `${RecordKind.STATE}job`;
    view.apply({key, value: packState(record)}, clock.now());
    run(division, 5 * SECOND);
    expect(layouts).toHaveLength(1);
  });

  it('keeps a scheduler while the end of a job is not stored', () => {
    // Guards against a division after a task that has ended between two checks.
    list('a', 2);
    add('job', {...STARTED, phase: JobPhase.COMPLETE, endedAt: 1});
    const division = begin();
    list('b', 8);
    run(division, 5 * SECOND);
    expect(state.placesTasks).toBe(true);
    expect(layouts).toEqual([]);
  });

  it('waits until the number of listed workers does not change', () => {
    // Guards against a layout without the data centres that are listed last,
    // and with wrong weights for the others.
    list('a', 6);
    list('b', 4);
    const division = begin();
    run(division, 0.9 * SECOND);
    list('b', 8);
    run(division, 0.9 * SECOND);
    list('c', 5);
    run(division, 0.9 * SECOND);
    expect(layouts).toEqual([]);
    run(division, 0.3 * SECOND);
    expect(layouts).toHaveLength(1);
    const [{shards, workers: weights}] = layouts;
    expect(shards).toEqual(['a', 'b', 'c']);
    expect(weights).toEqual([6, 8, 5]);
  });

  it('decides after a few seconds while the number changes', () => {
    // Guards against jobs that wait for as long as workers come and go.
    list('a', 1);
    const division = begin();
    for (let count = 2; count <= 10; count++) {
      run(division, 0.5 * SECOND);
      list('a', count);
    }
    expect(state.placesTasks).toBe(true);
  });

  it('lets a fleet with a stable list place tasks after a second', () => {
    // Guards against a division that delays the first tasks of a small site.
    list('a', 2);
    const division = begin();
    run(division, 1.1 * SECOND);
    expect(state.placesTasks).toBe(true);
  });

  it('waits for the list if workers are listed late', () => {
    // Guards against a decision on the first worker of a large fleet, because
    // the term began long before.
    const division = begin();
    run(division, 10 * SECOND);
    list('a', 1);
    run(division, 0.5 * SECOND);
    expect(state.placesTasks).toBe(false);
    list('a', 4);
    list('b', 4);
    run(division, 2 * SECOND);
    expect(layouts).toHaveLength(1);
  });

  it('gives a shard to a data centre that has only instances yet', () => {
    // Guards against workers that are listed after the division, and whose data
    // centre has no shard.
    list('a', 4);
    list('c', 4);
    const instance = {processors: PROCESSORS, dataCentre: 'b'};
    const value = packRecord(instance);
    view.apply({key: `${RecordKind.INSTANCE}b1`, value}, clock.now());
    const division = begin();
    run(division, 5 * SECOND);
    expect(layouts).toHaveLength(1);
    expect(layouts[0].shards).toEqual(['a', 'b', 'c']);
    expect(layouts[0].workers).toEqual([4, 1, 4]);
  });
});

import {ManualClock} from '../base/manual_clock.js';
import {Millis} from '../base/clock.js';
import {HEARTBEAT_INTERVAL_MS} from './election.js';
import {HeadroomForecast} from './headroom.js';
import {InterferenceModel} from './interference.js';
import {JobLifecycle} from './job_lifecycle.js';
import {Placement} from './placement.js';
import {SchedulerState} from './scheduler_state.js';
import {QUEUE, STEP} from './simulated_fleet.test_support.js';
import {Queue, StepShape, WorkerPhase} from './types.js';

/** Time that each look at the clock takes, as if work had been done between. */
const READING_MS: Millis = 0.2;

/** Time between two runs of the placement. */
const TICK_MS: Millis = 15;

/** Jobs that wait in a long queue. */
const LONG_QUEUE_JOBS = 1000;

/** Longest pause after a slice. */
const SLICE_PAUSE_MS: Millis = 60;

/** Time within which urgent work has to start (docs/CAPACITY.md). */
const URGENT_START_MS: Millis = 1500;

/** A clock that advances with each reading, as on a busy processor. */
class BusyClock extends ManualClock {
  readings = 0;

  override now(): Millis {
    this.readings++;
    this.advance(READING_MS);
    return super.now();
  }
}

describe('Placement with a long queue on a slow processor', () => {
  let clock: BusyClock;
  let state: SchedulerState;
  let lifecycle: JobLifecycle;
  let placement: Placement;

  beforeEach(() => {
    clock = new BusyClock(1000);
    const timings = {
      leaseMs: 6000,
      longestLeaseMs: 10_000,
      authorityMs: 5000,
      stopMs: 400,
      keepEndedMs: 120_000,
      earlyMs: 250,
      remoteFactor: 2,
    };
    const configuration = {
      version: 1,
      queues: [QUEUE],
      pools: [{name: QUEUE.service, hasAdmissionCheck: false}],
      maxBodyBytes: 1000,
    };
    state = new SchedulerState(
      1,
      0,
      timings,
      clock,
      new ManualClock(0),
      {decide: () => {}},
      configuration,
    );
    lifecycle = new JobLifecycle(state);
    const forecast = new HeadroomForecast(new InterferenceModel({}));
    placement = new Placement(state, forecast);
  });

  function addWorker(cpuMilli: number): void {
    const worker = state.getOrCreateWorker('w1');
    worker.capacity = {cpuMilli, memoryMb: 100_000, gpus: 0};
    worker.born = 1;
    worker.isResponsive = true;
    worker.lastResponseAt = 1e9;
    worker.listing = {
      id: 'w1',
      born: 1,
      service: QUEUE.service,
      address: 'w1:1',
      dataCentre: 'a',
      phase: WorkerPhase.READY,
      warmupMs: 0,
      capacity: worker.capacity,
      labels: ['kind', 'rack-1'],
    };
  }

  function submit(
    id: string,
    queue: Queue = QUEUE,
    step: Partial<StepShape> = {},
  ): void {
    const shape = {
      spec: '',
      steps: [{...STEP, ...step}],
      repeats: 0,
      startMs: 0,
      periodMs: 0,
    };
    const submission = {queue, acceptedAt: 0, shape};
    lifecycle.add({id, submission, cancelled: false, seenAt: clock.now()});
  }

  it('places a long queue in slices of bounded time', () => {
    // Guards against a scheduler that is silent for longer than the heartbeat
    // timeout while it scans the waiting tasks (100 workers on 0.12 cores).
    addWorker(1e6);
    for (let job = 0; job < 300; job++) submit(`job-${job}`);
    let longestMs = 0;
    let slices = 0;
    while (state.waitingTasks.size > 0 && slices < 1000) {
      const startedAt = clock.now();
      placement.run();
      longestMs = Math.max(longestMs, clock.now() - startedAt);
      slices++;
      clock.advance(SLICE_PAUSE_MS);
    }
    expect(state.waitingTasks.size).toBe(0);
    expect(slices).toBeGreaterThan(5);
    expect(longestMs).toBeLessThan(HEARTBEAT_INTERVAL_MS);
  });

  it('goes on placing tasks after a scan of a long queue', () => {
    // Guards against workers that are idle while tasks wait that would fit: the
    // longer the queue, the longer nothing was placed after each scan.
    addWorker(1e6);
    for (let job = 0; job < LONG_QUEUE_JOBS; job++) {
      submit(`large-${job}`, QUEUE, {cpuMilli: 1e9});
    }
    let longestMs = 0;
    for (let job = 0; job < 50; job++) {
      // Some of the jobs arrive during a scan, others after it.
      for (let pause = 0; pause < 7; pause++) {
        placement.run();
        clock.advance(TICK_MS);
      }
      submit(`small-${job}`);
      const submittedAt = clock.now();
      const name = `small-${job}.0.0.0`;
      const isWaiting = () =>
        [...state.waitingTasks].some(task => task.name === name);
      while (isWaiting()) {
        placement.run();
        clock.advance(TICK_MS);
      }
      longestMs = Math.max(longestMs, clock.now() - submittedAt);
    }
    expect(longestMs).toBeLessThan(URGENT_START_MS);
  });

  it('limits the share of time that scans of a long queue take', () => {
    // Guards against scans that leave no time for reports and renewals.
    addWorker(1e6);
    for (let job = 0; job < LONG_QUEUE_JOBS; job++) {
      submit(`large-${job}`, QUEUE, {cpuMilli: 1e9});
    }
    const startedAt = clock.now();
    let scanMs = 0;
    while (clock.now() - startedAt < 20_000) {
      const sliceAt = clock.now();
      placement.run();
      scanMs += clock.now() - sliceAt;
      clock.advance(TICK_MS);
    }
    expect(scanMs / (clock.now() - startedAt)).toBeLessThan(0.35);
  });

  it('places an urgent job before the rest of the queue', () => {
    // Guards against an urgent start that waits for a long scan to end.
    addWorker(1e6);
    const low = {...QUEUE, name: 'low', priority: 3};
    for (let job = 0; job < 100; job++) submit(`low-${job}`, low);
    placement.run();
    expect(state.waitingTasks.size).toBeGreaterThan(0);
    submit('urgent');
    const submittedAt = clock.now();
    for (let slice = 0; slice < 3; slice++) {
      clock.advance(SLICE_PAUSE_MS);
      placement.run();
    }
    expect(clock.now() - submittedAt).toBeLessThan(URGENT_START_MS);
    const waiting = [...state.waitingTasks].map(({name}) => name);
    expect(waiting).not.toContain('urgent.0.0.0');
    expect(waiting.length).toBeGreaterThan(0);
  });
});

import {Millis, SECOND} from '../base/clock.js';
import {CommandKind} from './scheduler_state.js';
import {SimulatedFleet} from './simulated_fleet.test_support.js';
import {SimulatedWorker} from './simulated_worker.test_support.js';
import {RunOutcome} from './types.js';
import {WorkerCallResult} from './worker_calls.js';
import {RunPhase} from './worker_state.js';

/** Simulated time between two looks at the worker that fails its runs. */
const STEP_MS: Millis = 50;

/**
 * Time after the end of all trouble within which a perpetual task has to run:
 * 3 s of contact, 4 s of calm and 3 s without a run are allowed.
 */
const LOST_AFTER_MS: Millis = 10 * SECOND;

describe('the quarantine of a worker', () => {
  let fleet: SimulatedFleet;
  let grey: SimulatedWorker;
  let jobs: number;

  beforeEach(() => {
    fleet = new SimulatedFleet();
    jobs = 0;
    // Its first run keeps the other worker full.
    fleet.addWorker('full');
    submit({perpetual: true, cpuMilli: 4000});
    fleet.run(1500);
    grey = fleet.addWorker('grey', 16_000);
    fleet.run(500);
  });

  function submit(
    step: Parameters<SimulatedFleet['submit']>[1][number],
  ): string {
    const id = String(jobs++).padStart(16, '0');
    fleet.submit(id, [{memoryMb: 10, ...step}]);
    return id;
  }

  /** Time passes while the worker fails all that it has started. */
  function runGrey(duration: Millis): void {
    for (let time = 0; time < duration; time += STEP_MS) {
      fleet.run(STEP_MS);
      for (const task of [...grey.runs.keys()]) {
        grey.end(task, RunOutcome.FAILED);
      }
    }
  }

  /** Durations of the quarantines so far. */
  function durations(): unknown[] {
    return fleet.entries
      .filter(({decision}) => decision === 'quarantine')
      .map(({fields}) => fields.duration);
  }

  it('is not extended by failures of runs that were placed before it', () => {
    // Guards against one trouble that counts as many: sixteen jobs that failed
    // together quarantined a worker for 24 s at once (LOST).
    for (let job = 0; job < 16; job++) submit({});
    fleet.run(300);
    expect(grey.runs.size).toBe(16);
    runGrey(500);
    expect(durations()).toEqual([3000]);
  });

  it('is not extended by starts that were refused together', () => {
    // Guards against the same for starts that a worker refuses as unhealthy.
    submit({count: 8});
    const {scheduler} = fleet;
    const batch = scheduler.takeBatch();
    scheduler.onBatchStored(batch, []);
    for (const command of batch.commands) {
      if (command.kind !== CommandKind.START) continue;
      command.run.phase = RunPhase.STARTING;
      const result = WorkerCallResult.UNHEALTHY;
      const token = scheduler.state.fencingToken(command.run.worker);
      scheduler.onStartResponse(command.run, {result}, token);
    }
    expect(durations()).toEqual([3000]);
  });

  it('doubles when the run that tests the worker fails', () => {
    // Guards against a faulty worker that is tried at a constant rate and eats
    // the attempts of jobs.
    for (let job = 0; job < 4; job++) submit({});
    fleet.run(200);
    runGrey(15 * SECOND);
    expect(durations()).toEqual([3000, 6000, 12_000]);
  });

  it('ends early for a perpetual task that has no other worker', () => {
    // Guards against a quarantine that outlasts the trouble while a lasting task
    // waits (LOST).
    const id = submit({perpetual: true});
    for (let job = 0; job < 4; job++) submit({});
    fleet.run(200);
    // Long enough for a quarantine of 24 s without a need.
    runGrey(25 * SECOND);
    fleet.run(LOST_AFTER_MS);
    expect(grey.runs.has(`${id}.0.0.0`)).toBe(true);
    expect(fleet.decisions).toContain('quarantine-ended');
  });

  it('admits many waiting perpetual tasks once the first is at work', () => {
    // Guards against a probation that lets ten tasks wait one after the other.
    submit({perpetual: true, count: 10});
    for (let job = 0; job < 4; job++) submit({});
    fleet.run(200);
    runGrey(25 * SECOND);
    fleet.run(LOST_AFTER_MS);
    const tasks = [...grey.runs.keys()];
    expect(tasks.length).toBeGreaterThanOrEqual(10);
  });

  it('tests the worker with one perpetual task at a time, at most each 3 s', () => {
    // Guards against a faulty worker that fails perpetual tasks all the time.
    const id = submit({perpetual: true});
    for (let job = 0; job < 4; job++) submit({});
    fleet.run(200);
    runGrey(SECOND);
    const before = grey.starts.length;
    runGrey(30 * SECOND);
    const tests = grey.starts.slice(before);
    expect(tests.length).toBeLessThanOrEqual(10);
    expect(tests.filter(task => !task.startsWith(id)).length).toBeLessThan(4);
  });

  it('keeps tasks that end away from a worker that is tested early', () => {
    // Guards against jobs that lose attempts to a faulty worker because lasting
    // tasks need it (BUDGET).
    const lasting = submit({perpetual: true});
    for (let job = 0; job < 4; job++) submit({});
    fleet.run(200);
    const isAdmitted = (): boolean =>
      fleet.decisions.includes('quarantine-ended');
    for (let time = 0; time < 100 && !isAdmitted(); time++) runGrey(100);
    expect(isAdmitted()).toBe(true);
    const before = grey.starts.length;
    for (let job = 0; job < 5; job++) submit({estimateMs: 10});
    runGrey(2 * SECOND);
    const tests = grey.starts.slice(before);
    expect(tests.filter(task => !task.startsWith(lasting))).toEqual([]);
  });

  it('admits other tasks when the quarantine would have ended', () => {
    // Guards against a sound worker that gets no tasks that end, because the
    // perpetual one for which its quarantine was ended has gone.
    const {state} = fleet.scheduler;
    const worker = state.workers.get('grey')!;
    worker.isOnProbation = true;
    worker.quarantinedUntil = state.now();
    worker.perpetualTestsUntil = state.now() + 3 * SECOND;
    const ending = `${submit({})}.0.0.0`;
    fleet.run(2.5 * SECOND);
    expect(grey.starts).not.toContain(ending);
    fleet.run(SECOND);
    expect(grey.starts).toContain(ending);
  });

  it('begins short again after a perpetual run was at work for long', () => {
    // Guards against a worker with lasting tasks only, whose quarantines grow
    // from one trouble to the next, as no run on it ends with success.
    submit({perpetual: true});
    for (let job = 0; job < 3; job++) submit({});
    fleet.run(200);
    runGrey(4 * SECOND);
    expect(durations()).toEqual([3000, 6000]);
    fleet.run(20 * SECOND);
    expect(grey.runs.size).toBeGreaterThan(0);
    for (let job = 0; job < 4; job++) submit({});
    fleet.run(200);
    runGrey(SECOND);
    expect(durations().slice(2)).toEqual([3000]);
  });
});

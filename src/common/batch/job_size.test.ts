import {JobPhase, packProgress, TaskPhase} from './job_records.js';
import {maxTasks, taskCount} from './job_size.js';
import {QUEUE, SimulatedFleet, STEP} from './simulated_fleet.test_support.js';
import {SimulatedWorker} from './simulated_worker.test_support.js';
import {RunOutcome} from './types.js';

const JOB = '00000000000000aa';
const TASK = `${JOB}.0.0.0`;

/** Holds the progress of 27 tasks. */
const RECORD_BYTES = 2000;

describe('the size of a job', () => {
  let fleet: SimulatedFleet;
  let worker: SimulatedWorker;

  beforeEach(() => {
    fleet = new SimulatedFleet([QUEUE], undefined, RECORD_BYTES);
    worker = fleet.addWorker('w1', 64_000);
    fleet.run(500);
  });

  it('allows as many tasks as a record can hold', () => {
    // Guards against an accepted job whose progress can't be stored.
    const count = maxTasks(RECORD_BYTES);
    const task = {
      phase: TaskPhase.PLACED,
      attempt: 1000,
      failures: [997, 998, 999],
      crashes: [995, 996],
      worker: 'i-0123456789abcdef0123456789ab',
      born: Date.now(),
      checkpoint: '',
    };
    const steps = [new Array<typeof task>(count).fill(task)];
    const progress = packProgress({
      phase: JobPhase.RUNNING,
      hasStarted: true,
      nextOccurrence: 1,
      occurrences: [{number: 0, steps}],
      endedAt: 0,
      handOvers: 3,
    });
    expect(progress.length).toBeLessThanOrEqual(RECORD_BYTES);
    const shape = {spec: '', repeats: 0, startMs: 0, periodMs: 0};
    const counts = [{...STEP, count}, STEP];
    expect(taskCount({...shape, steps: counts})).toBe(count + 1);
  });

  it('delays occurrences while earlier ones fill the record', () => {
    // Guards against a job that is held because its occurrences overlap, and
    // against an occurrence that is never run.
    fleet.taskMs = 1500;
    fleet.submit(JOB, [{count: 10, cpuMilli: 100, memoryMb: 10}], QUEUE, {
      repeats: 6,
      startMs: fleet.wallClock.now(),
      periodMs: 200,
    });
    fleet.run(1200);
    expect(worker.runs.size).toBe(20);
    fleet.run(14_000);
    expect(fleet.decisions).not.toContain('job-held');
    expect(fleet.decisions).toContain('occurrence-delayed');
    expect(new Set(worker.starts).size).toBe(60);
    expect(fleet.view.phase(JOB)).toBe(JobPhase.COMPLETE);
  });

  it('does not grow with the failures of a perpetual task', () => {
    // Guards against a record that grows for as long as a lasting task fails
    // now and then.
    fleet.submit(JOB, [{perpetual: true}]);
    fleet.run(500);
    const size = (): number => {
      const record = fleet.view.jobs.get(JOB)!.progress!;
      return packProgress(record).length;
    };
    const before = size();
    for (let failure = 0; failure < 100; failure++) {
      worker.end(TASK, RunOutcome.FAILED);
      fleet.run(300);
    }
    expect(worker.starts.length).toBeGreaterThan(10);
    expect(size()).toBeLessThanOrEqual(before + 2);
  });

  it('leaves checkpoints out before it holds a job', () => {
    // Guards against a job that is held because its checkpoints are long.
    fleet.taskMs = 60_000;
    fleet.submit(JOB, [{count: 3, checkpoints: true}]);
    fleet.run(500);
    for (const [task, run] of worker.runs) {
      run.checkpoint = task.padEnd(900, 'x');
    }
    fleet.run(500);
    for (const {tasks} of fleet.scheduler.state.jobs
      .get(JOB)!
      .occurrences.get(0)!.steps) {
      for (const task of tasks) expect(task.checkpoint).toHaveLength(900);
    }
    fleet.scheduler.state.jobsToStore.add(fleet.scheduler.state.jobs.get(JOB)!);
    fleet.run(500);
    expect(fleet.decisions).toContain('checkpoints-left-out');
    expect(fleet.decisions).not.toContain('job-held');
    const {progress} = fleet.view.jobs.get(JOB)!;
    expect(progress!.occurrences[0].steps[0]).toHaveLength(3);
  });
});

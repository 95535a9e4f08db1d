import {JobPhase} from './job_records.js';
import {SimulatedFleet} from './simulated_fleet.test_support.js';
import {SimulatedWorker} from './simulated_worker.test_support.js';

const JOB = '00000000000000aa';
const TASKS = 25;

describe('a worker with more ends than one report lists', () => {
  let fleet: SimulatedFleet;
  let worker: SimulatedWorker;

  beforeEach(() => {
    fleet = new SimulatedFleet();
    fleet.taskMs = 2000;
    worker = fleet.addWorker('w1');
    worker.maxListedEnds = 10;
    fleet.submit(JOB, [{count: TASKS, cpuMilli: 10, memoryMb: 10}]);
    fleet.run(1500);
    expect(worker.runs.size).toBe(TASKS);
    fleet.addWorker('w2');
    worker.isUnreachable = true;
  });

  function starts(): number {
    return [...fleet.workers.values()].flatMap(({starts}) => starts).length;
  }

  it('has none of its tasks started again after a cut', () => {
    // Guards against a second run of a task that is done: its end is not listed
    // yet, as others come first, and the run is no longer listed either.
    fleet.run(4000);
    worker.isUnreachable = false;
    fleet.run(2000);
    expect(starts()).toBe(TASKS);
    expect(fleet.view.phase(JOB)).toBe(JobPhase.COMPLETE);
    expect(worker.ends).toEqual([]);
  });

  it('has none of its tasks started again after a takeover', () => {
    // Guards against the same for runs that a successor expects.
    fleet.run(1000);
    fleet.takeOver();
    fleet.run(1000);
    worker.isUnreachable = false;
    fleet.run(2000);
    expect(starts()).toBe(TASKS);
    expect(fleet.view.phase(JOB)).toBe(JobPhase.COMPLETE);
  });

  it('has all runs of a cancelled job settled', () => {
    // Guards against a run that is never given up while ends come in parts.
    fleet.cancel(JOB);
    fleet.run(1000);
    worker.isUnreachable = false;
    fleet.run(3000);
    expect(fleet.scheduler.state.jobs.size).toBe(0);
    expect(worker.ends).toEqual([]);
  });
});

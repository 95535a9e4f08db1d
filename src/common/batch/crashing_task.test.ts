import {JobPhase} from './job_records.js';
import {SimulatedFleet} from './simulated_fleet.test_support.js';
import {SimulatedWorker} from './simulated_worker.test_support.js';
import {RunOutcome, WorkerPhase} from './types.js';

const DEADLY = '00000000000000dd';
const OTHER = '00000000000000aa';
const TASK = `${DEADLY}.0.0.0`;

/** Starts of a task on all workers. */
function startsOf(fleet: SimulatedFleet, task: string): number {
  return [...fleet.workers.values()]
    .flatMap(({starts}) => starts)
    .filter(name => name === task).length;
}

function phaseOf(fleet: SimulatedFleet, job: string): JobPhase | undefined {
  return fleet.view.phase(job);
}

describe('a task that crashes workers', () => {
  let fleet: SimulatedFleet;
  let workers: readonly SimulatedWorker[];

  beforeEach(() => {
    fleet = new SimulatedFleet();
    workers = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'].map(id =>
      fleet.addWorker(id),
    );
    workers.forEach((worker, index) => {
      worker.rack = `rack-${index}`;
    });
    fleet.run(500);
  });

  it('is given up after three workers', () => {
    // Guards against a task that takes down one worker after the other.
    fleet.crashingTasks.add(TASK);
    fleet.submit(DEADLY, [{}]);
    fleet.submit(OTHER, [{count: 12}]);
    fleet.run(30_000);
    expect(startsOf(fleet, TASK)).toBe(3);
    expect(phaseOf(fleet, DEADLY)).toBe(JobPhase.FAILED);
    expect(phaseOf(fleet, OTHER)).toBe(JobPhase.COMPLETE);
  });

  it('is given up when its workers return under other ids', () => {
    // Guards against a rack whose workers started together, and that counts as
    // lost for that reason.
    for (const worker of workers) worker.rack = 'rack-1';
    fleet.renamesWorkers = true;
    fleet.crashingTasks.add(TASK);
    fleet.submit(DEADLY, [{}]);
    fleet.run(30_000);
    expect(phaseOf(fleet, DEADLY)).toBe(JobPhase.FAILED);
    const crashes = fleet.decisions.filter(kind => kind === 'run-crashed');
    expect(crashes).toHaveLength(3);
  });

  it('is given up although schedulers change in between', () => {
    // Guards against a count of crashes that a takeover sets back.
    fleet.crashingTasks.add(TASK);
    fleet.submit(DEADLY, [{}]);
    for (let takeover = 0; takeover < 8; takeover++) {
      fleet.run(4500);
      fleet.takeOver();
    }
    fleet.run(10_000);
    expect(startsOf(fleet, TASK)).toBeLessThanOrEqual(4);
    expect(phaseOf(fleet, DEADLY)).toBe(JobPhase.FAILED);
  });

  it('is given up although the lease ends before the worker is back', () => {
    // Guards against crashes that count as cuts of the network since the
    // worker was down for longer than its lease.
    fleet.downMs = 9000;
    fleet.crashingTasks.add(TASK);
    fleet.submit(DEADLY, [{}]);
    fleet.run(60_000);
    expect(startsOf(fleet, TASK)).toBeLessThanOrEqual(5);
    expect(phaseOf(fleet, DEADLY)).toBe(JobPhase.FAILED);
  });

  it('takes down workers with few other runs', () => {
    // Guards against a suspected task that ends the work of many others.
    fleet.crashingTasks.add(TASK);
    fleet.submit(OTHER, [{count: 9, perpetual: true}]);
    fleet.run(15_000);
    fleet.submit(DEADLY, [{}]);
    fleet.run(20_000);
    expect(phaseOf(fleet, DEADLY)).toBe(JobPhase.FAILED);
    const starts = workers.flatMap(worker => worker.starts);
    const ofOther = starts.filter(task => task.startsWith(OTHER)).length;
    // Only the first worker holds more than one other run.
    expect(ofOther).toBeLessThanOrEqual(9 + 3 + 2);
  });
});

describe('a task whose workers are lost by other causes', () => {
  let fleet: SimulatedFleet;

  beforeEach(() => {
    fleet = new SimulatedFleet();
    fleet.taskMs = 60_000;
  });

  /** Lets an event hit the worker of the task several times. */
  function repeat(times: number, event: (worker: SimulatedWorker) => void) {
    fleet.submit(DEADLY, [{}]);
    fleet.run(500);
    for (let time = 0; time < times; time++) {
      for (let wait = 0; fleet.running().length === 0 && wait < 200; wait++) {
        fleet.run(50);
      }
      const [[, id]] = fleet.running();
      event(fleet.workers.get(id)!);
      fleet.run(1000);
    }
  }

  it('is not given up after cuts of the network', () => {
    // Guards against a cut that counts as a crash.
    for (const id of ['w1', 'w2', 'w3']) fleet.addWorker(id);
    repeat(4, worker => {
      worker.isUnreachable = true;
      fleet.run(7000);
      worker.end(TASK, RunOutcome.LEASE_EXPIRED);
      worker.isUnreachable = false;
    });
    expect(phaseOf(fleet, DEADLY)).toBe(JobPhase.RUNNING);
    expect(fleet.decisions).not.toContain('run-crashed');
  });

  it('is not given up after workers that drained', () => {
    // Guards against a planned departure that counts as a crash.
    for (const id of ['w1', 'w2', 'w3', 'w4', 'w5']) fleet.addWorker(id);
    repeat(4, worker => {
      worker.phase = WorkerPhase.DRAINING;
      fleet.run(100);
      worker.isListed = false;
      worker.restart();
    });
    expect(phaseOf(fleet, DEADLY)).toBe(JobPhase.RUNNING);
    expect(fleet.decisions).not.toContain('run-crashed');
  });

  it('is not given up after its rack lost power several times', () => {
    // Guards against a loss of power that counts against all tasks of a rack.
    for (let index = 0; index < 6; index++) fleet.addWorker(`w${index}`);
    repeat(6, () => {
      for (const worker of [...fleet.workers.values()].reverse()) {
        worker.crash(fleet.clock.now() + 2000);
      }
      fleet.run(4000);
    });
    expect(phaseOf(fleet, DEADLY)).toBe(JobPhase.RUNNING);
  });

  it('is not given up when it has run for long before', () => {
    // Guards against tasks that run for hours and meet a few crashes by chance.
    for (const id of ['w1', 'w2']) fleet.addWorker(id);
    fleet.taskMs = 1e9;
    repeat(5, worker => {
      fleet.run(31_000);
      worker.crash(fleet.clock.now() + 2000);
      fleet.run(5000);
    });
    expect(phaseOf(fleet, DEADLY)).toBe(JobPhase.RUNNING);
  });
});

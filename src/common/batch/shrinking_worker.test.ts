import {SimulatedFleet} from './simulated_fleet.test_support.js';
import {SimulatedWorker} from './simulated_worker.test_support.js';

const JOB = '00000000000000aa';

describe('a worker whose capacity changes', () => {
  let fleet: SimulatedFleet;
  let worker: SimulatedWorker;

  beforeEach(() => {
    fleet = new SimulatedFleet();
    fleet.taskMs = 2000;
    worker = fleet.addWorker('w1', 4000);
    fleet.run(500);
  });

  it('gets no start that has lost its room in the meantime', () => {
    // Guards against start requests that are repeated until the worker responds
    // again, with less room than they were placed for.
    worker.isUnreachable = true;
    fleet.submit(JOB, [{count: 4}]);
    fleet.run(200);
    worker.cpuMilli = 2000;
    fleet.run(1000);
    worker.isUnreachable = false;
    for (let step = 0; step < 20; step++) {
      fleet.run(50);
      expect(worker.runs.size).toBeLessThanOrEqual(2);
    }
    expect(worker.runs.size).toBeGreaterThan(0);
  });

  it('gets starts up to its capacity after it has grown', () => {
    // Guards against room that stays unused.
    worker.cpuMilli = 1000;
    fleet.run(100);
    fleet.submit(JOB, [{count: 4}]);
    fleet.run(200);
    expect(worker.runs.size).toBe(1);
    worker.cpuMilli = 4000;
    fleet.run(500);
    expect(worker.runs.size).toBe(4);
  });

  it('gets no start while a run that nothing expects is stopping', () => {
    // Guards against a start beside a run that still uses its resources.
    worker.isSlowToStop = true;
    worker.runs.set('00000000000000ff.0.0.0', {
      attempt: 1,
      endsAt: Infinity,
      percent: 0,
      gauge: 0,
    });
    fleet.run(200);
    fleet.submit(JOB, [{cpuMilli: 4000}]);
    fleet.run(400);
    expect(worker.starts).toEqual([]);
    worker.isSlowToStop = false;
    fleet.run(500);
    expect(worker.starts).toHaveLength(1);
  });
});

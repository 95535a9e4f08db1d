import {JobPhase} from './job_records.js';
import {QUEUE, SimulatedFleet} from './simulated_fleet.test_support.js';
import {RunOutcome} from './types.js';

const JOB = '00000000000000aa';
const TASK = `${JOB}.0.0.0`;

describe('the maximum number of attempts', () => {
  it('counts failures that are reported after a run was declared lost', () => {
    // Guards against more starts than the queue allows: a failure that was
    // known late was counted, but did not end the job.
    const fleet = new SimulatedFleet();
    fleet.taskMs = 60_000;
    for (const id of ['w1', 'w2', 'w3', 'w4']) fleet.addWorker(id);
    fleet.submit(JOB, [{perpetual: false}]);
    fleet.run(500);
    for (let attempt = 0; attempt < QUEUE.maxAttempts; attempt++) {
      const [[, id]] = fleet.running();
      const worker = fleet.workers.get(id)!;
      worker.isUnreachable = true;
      worker.end(TASK, RunOutcome.FAILED);
      fleet.run(7000);
      worker.isUnreachable = false;
      fleet.run(500);
    }
    expect(fleet.view.phase(JOB)).toBe(JobPhase.FAILED);
    fleet.run(1000);
    expect(fleet.running()).toEqual([]);
  });

  it('does not end a job whose task has succeeded in the meantime', () => {
    // Guards against a complete task that fails by reports of lost runs.
    const fleet = new SimulatedFleet([{...QUEUE, maxAttempts: 1}]);
    fleet.taskMs = 2000;
    for (const id of ['w1', 'w2']) fleet.addWorker(id);
    const queue = {...QUEUE, maxAttempts: 1};
    fleet.submit(JOB, [{}, {after: [0], count: 20}], queue);
    fleet.run(500);
    const [[, id]] = fleet.running();
    const worker = fleet.workers.get(id)!;
    worker.isUnreachable = true;
    worker.end(TASK, RunOutcome.FAILED);
    fleet.run(9500);
    worker.isUnreachable = false;
    fleet.run(20_000);
    expect(fleet.view.phase(JOB)).toBe(JobPhase.COMPLETE);
  });
});

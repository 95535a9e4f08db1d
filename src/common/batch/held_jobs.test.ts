import {JobPhase, RecordKind} from './job_records.js';
import {SimulatedFleet} from './simulated_fleet.test_support.js';
import {SimulatedWorker} from './simulated_worker.test_support.js';

const HELD = '00000000000000aa';
const OTHER = '00000000000000bb';
const PROGRESS_KEY = RecordKind.PROGRESS + HELD;

describe('a job whose progress the log refuses', () => {
  let fleet: SimulatedFleet;
  let worker: SimulatedWorker;

  beforeEach(() => {
    fleet = new SimulatedFleet();
    worker = fleet.addWorker('w1');
    fleet.run(500);
  });

  it('starts nothing, and does not hold up other jobs', () => {
    // Guards against runs that a successor doesn't know of, and against one
    // large record that stops the whole shard.
    fleet.refusedKeys.add(PROGRESS_KEY);
    fleet.submit(HELD, [{count: 2}]);
    fleet.submit(OTHER, [{count: 2}]);
    fleet.run(10_000);
    expect(new Set(worker.starts)).toEqual(
      new Set([`${OTHER}.0.0.0`, `${OTHER}.0.0.1`]),
    );
    expect(fleet.view.phase(OTHER)).toBe(JobPhase.COMPLETE);
    expect(fleet.view.phase(HELD)).not.toBe(JobPhase.FAILED);
  });

  it('goes on once its progress can be stored', () => {
    // Guards against an accepted job that stays held for good.
    fleet.refusedKeys.add(PROGRESS_KEY);
    fleet.submit(HELD, [{count: 2}]);
    fleet.run(3000);
    fleet.refusedKeys.clear();
    fleet.run(4000);
    expect(fleet.view.phase(HELD)).toBe(JobPhase.COMPLETE);
    expect(fleet.decisions.filter(kind => kind === 'job-held')).toHaveLength(1);
    expect(fleet.decisions).toContain('job-released');
  });

  it('acknowledges no end that no stored record shows', () => {
    // Guards against a second run of a task that is done: a successor restores
    // the last stored record, and the worker no longer lists the end.
    fleet.submit(HELD, [{count: 2}, {after: [0]}]);
    fleet.run(200);
    fleet.refusedKeys.add(PROGRESS_KEY);
    fleet.run(4000);
    expect(worker.ends).toHaveLength(2);
    fleet.refusedKeys.clear();
    fleet.takeOver();
    fleet.run(4000);
    expect(worker.starts).toHaveLength(3);
    expect(fleet.view.phase(HELD)).toBe(JobPhase.COMPLETE);
    expect(worker.ends).toEqual([]);
  });

  it('lets ends of other jobs be acknowledged up to its own', () => {
    // Guards against a list of ends that fills up for another job's sake.
    fleet.submit(OTHER, [{count: 2}]);
    fleet.run(400);
    fleet.refusedKeys.add(PROGRESS_KEY);
    fleet.submit(HELD, [{}]);
    fleet.run(4000);
    expect(worker.ends).toEqual([]);
    expect(fleet.view.phase(OTHER)).toBe(JobPhase.COMPLETE);
  });
});

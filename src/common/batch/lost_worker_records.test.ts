import {SECOND} from '../base/clock.js';
import {CommitBatch} from './scheduler.js';
import {SimulatedFleet} from './simulated_fleet.test_support.js';

const JOB = '00000000000000aa';
const TASK = `${JOB}.0.0.0`;

describe('the record of a lost worker', () => {
  it('is removed before the worker gets a lease, however late states are stored', () => {
    // Guards against two runs of a task, or a second one after an acknowledged
    // end: the removal of an earlier record is stored late and taken for that
    // of a later one, so that one stays, and a successor takes its leases for
    // the last ones (TWICE).
    const fleet = new SimulatedFleet();
    const lost = fleet.addWorker('w1');
    fleet.submit(JOB, [{perpetual: true}]);
    fleet.run(500);
    expect(lost.starts).toEqual([TASK]);
    const spare = fleet.addWorker('w2');
    lost.isUnreachable = true;
    fleet.run(2 * SECOND);
    expect(fleet.view.lostWorkers.has('w1')).toBe(true);

    // The store is slow: each append of states takes 0.8 s.
    fleet.isStoreAvailable = false;
    const {scheduler, view, clock, permissionClock} = fleet;
    const takeBatch = (): CommitBatch => {
      const batch = scheduler.takeBatch();
      for (const record of batch.records) view.apply(record, clock.now());
      scheduler.onBatchStored(batch);
      return batch;
    };
    const storeStates = ({states}: CommitBatch): void => {
      scheduler.leases.confirmAuthority(permissionClock.now());
      for (const record of states) view.apply(record, clock.now());
      scheduler.onStatesStored(states);
    };
    lost.isUnreachable = false;
    fleet.run(50);
    const first = takeBatch();
    const second = takeBatch();
    lost.isUnreachable = true;
    fleet.run(800);
    storeStates(first);
    fleet.run(800);
    const third = takeBatch();
    storeStates(second);
    lost.isUnreachable = false;
    fleet.run(50);
    storeStates(third);
    fleet.isStoreAvailable = true;
    fleet.run(10 * SECOND);
    expect(fleet.running()).toEqual([[TASK, 'w1']]);
    expect(spare.starts).toEqual([]);

    lost.isUnreachable = true;
    fleet.takeOver();
    fleet.run(4 * SECOND);
    expect(spare.starts).toEqual([]);
  });
});

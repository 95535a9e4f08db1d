import {SimulatedFleet} from './simulated_fleet.test_support.js';

const JOB = '00000000000000aa';

describe('a worker that was cut off and missing from the list', () => {
  it('gets a higher fencing token than its lost runs had when it returns', () => {
    // Guards against two runs at the same time: the state of the worker, and
    // with it the raised token, is dropped once nothing runs there, so a start
    // request that was on its way finds its own token and a new lease.
    const fleet = new SimulatedFleet();
    const lost = fleet.addWorker('w1');
    fleet.run(200);
    lost.isUnreachable = true;
    fleet.submit(JOB, [{}]);
    fleet.run(200);
    const {state} = fleet.scheduler;
    const earlierToken = state.fencingToken(state.getOrCreateWorker('w1'));
    expect(state.workers.get('w1')!.runs.size).toBe(1);
    lost.isListed = false;
    const spare = fleet.addWorker('w2');
    fleet.run(10_000);
    expect(spare.starts).toEqual([`${JOB}.0.0.0`]);
    lost.isUnreachable = false;
    lost.isListed = true;
    fleet.run(500);
    expect(lost.token).toBeGreaterThan(earlierToken);
  });

  it.each([5, 60])(
    'accepts calls when it returns %d s after its runs were lost',
    seconds => {
      // Guards against a lower token for the same incarnation, whose rejection
      // looks like one by a later scheduler, once nothing is known of it.
      const fleet = new SimulatedFleet();
      const lost = fleet.addWorker('w1');
      fleet.run(200);
      fleet.submit(JOB, [{}]);
      fleet.run(200);
      lost.isUnreachable = true;
      lost.isListed = false;
      fleet.run(10_000 + seconds * 1000);
      expect(fleet.scheduler.state.workers.has('w1')).toBe(false);
      lost.isUnreachable = false;
      lost.isListed = true;
      fleet.run(500);
      const {leases, state} = fleet.scheduler;
      expect(state.workers.get('w1')!.isResponsive).toBe(true);
      expect(leases.isFenced).toBe(false);
    },
  );
});

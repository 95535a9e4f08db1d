import {Millis} from '../base/clock.js';
import {SimulatedFleet} from './simulated_fleet.test_support.js';
import {SimulatedWorker} from './simulated_worker.test_support.js';
import {LeaseRenewal, WorkerCallResult} from './worker_calls.js';
import {WorkerState} from './worker_state.js';

const JOB = '00000000000000aa';

/** How long a scheduler may grant leases after an append, in the fleet. */
const AUTHORITY_MS: Millis = 5000;

/** What the machine's steady clock does during a pause. */
const PAUSE_KINDS = [
  {name: 'paused', countsPause: true},
  {name: 'suspended', countsPause: false},
] as const;

describe('a scheduler that was away for a while', () => {
  let fleet: SimulatedFleet;
  let worker: SimulatedWorker;
  let state: WorkerState;

  beforeEach(() => {
    fleet = new SimulatedFleet();
    fleet.taskMs = 60_000;
    worker = fleet.addWorker('w1');
    fleet.submit(JOB, [{}]);
    fleet.run(1000);
    state = fleet.scheduler.state.workers.get('w1')!;
    expect(worker.starts).toHaveLength(1);
  });

  /** Lets time pass for all but the scheduler. */
  function pause(duration: Millis, countsPause: boolean): void {
    fleet.permissionClock.advance(duration);
    fleet.wallClock.advance(duration);
    if (countsPause) fleet.clock.advance(duration);
  }

  function renewal(): LeaseRenewal {
    return fleet.scheduler.leases.nextRenewal(state);
  }

  for (const {name, countsPause} of PAUSE_KINDS) {
    it.each([1000, 3000, 8000, 30_000])(
      `grants no lease on an authority that has ended (${name} for %d ms)`,
      duration => {
        // Guards against a lease from a scheduler that was replaced meanwhile:
        // its successor starts the task elsewhere once the leases that it knows
        // of are over.
        pause(duration, countsPause);
        const {leaseUntil} = renewal();
        expect(leaseUntil === undefined).toBe(duration >= AUTHORITY_MS);
        const lease = fleet.scheduler.leases.grantLease(state);
        expect(lease === undefined).toBe(duration >= AUTHORITY_MS);
      },
    );

    it(`grants leases again after an append (${name})`, () => {
      // Guards against a scheduler that never acts again, and against an
      // authority that an append from before the pause has prolonged.
      const before = fleet.permissionClock.now();
      pause(8000, countsPause);
      fleet.scheduler.leases.confirmAuthority(before);
      expect(renewal().leaseUntil).toBeUndefined();
      fleet.scheduler.leases.confirmAuthority(fleet.permissionClock.now());
      expect(renewal().leaseUntil).toBeDefined();
    });
  }

  it('sends a start that a worker refuses as late when it wakes in between', () => {
    // Guards against a start that is carried out after its lease: the deadline
    // in it is that of the time before the pause.
    const granted = fleet.scheduler.leases.grantLease(state)!;
    pause(8000, false);
    const workerClock = fleet.permissionClock.now();
    expect(granted).toBeLessThan(workerClock);
  });

  it('ends its term when a worker has seen the token of its successor', () => {
    // Guards against orders of two schedulers to one worker.
    pause(3000, false);
    const sentAt = fleet.clock.now();
    const response = {result: WorkerCallResult.FENCED};
    fleet.scheduler.onRenewalResponse(state, renewal(), sentAt, response);
    expect(fleet.scheduler.leases.isFenced).toBe(true);
  });
});

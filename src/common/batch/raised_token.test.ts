import {SimulatedFleet} from './simulated_fleet.test_support.js';
import {CallKind} from './simulated_worker.test_support.js';
import {WorkerCallResult} from './worker_calls.js';
import {FollowUp} from './worker_leases.js';
import {Run, WorkerState} from './worker_state.js';

const JOB = '00000000000000aa';
const TASK = `${JOB}.0.0.0`;
const FENCED = {result: WorkerCallResult.FENCED};

describe('a call that was sent before the token of its worker was raised', () => {
  // Guards against a scheduler that takes the rejection of such a call for one
  // by a later scheduler, and gives up its role (late-cut-crash).
  let fleet: SimulatedFleet;
  let worker: WorkerState;
  let run: Run;
  let earlierToken: number;

  beforeEach(() => {
    fleet = new SimulatedFleet();
    const simulated = fleet.addWorker('w1');
    fleet.run(500);
    simulated.dropsStartResponses = true;
    simulated.heldKinds.add(CallKind.RENEWAL);
    fleet.submit(JOB, [{perpetual: true}]);
    fleet.run(150);
    const {state} = fleet.scheduler;
    worker = state.workers.get('w1')!;
    run = worker.runs.get(TASK)!;
    earlierToken = state.fencingToken(worker);
  });

  it.each([
    ['start', FollowUp.REPEAT],
    ['stop', FollowUp.REPEAT],
  ] as const)('is sent again if it is a %s', (call, followUp) => {
    worker.fenceEarlierCalls();
    const {scheduler} = fleet;
    const next =
      call === 'start'
        ? scheduler.onStartResponse(run, FENCED, earlierToken)
        : scheduler.onStopResponse(run, FENCED, earlierToken);
    expect(next).toBe(followUp);
    expect(scheduler.leases.isFenced).toBe(false);
    expect(worker.runs.get(TASK)).toBe(run);
  });

  it('is sent again if it sets the pace of a run', () => {
    worker.fenceEarlierCalls();
    const {leases} = fleet.scheduler;
    const next = leases.onPaceResponse(run, FENCED, earlierToken);
    expect(next).toBe(FollowUp.REPEAT);
    expect(leases.isFenced).toBe(false);
  });

  it('leaves its worker in use if it is a renewal', () => {
    const {leases, state} = fleet.scheduler;
    const renewal = leases.nextRenewal(worker);
    worker.fenceEarlierCalls();
    fleet.scheduler.onRenewalResponse(worker, renewal, state.now(), FENCED);
    expect(leases.isFenced).toBe(false);
    expect(worker.isResponsive).toBe(true);
  });

  describe('with an acknowledgement', () => {
    /** Another worker, to which no start is open, with an end to acknowledge. */
    let other: WorkerState;

    beforeEach(() => {
      fleet.addWorker('w2');
      fleet.run(150);
      other = fleet.scheduler.state.workers.get('w2')!;
      other.durableEnd = 1;
    });

    /** Lets the worker reject a renewal; returns what it acknowledges. */
    function rejectRenewal(): number {
      const {leases, state} = fleet.scheduler;
      const renewal = leases.nextRenewal(other);
      fleet.scheduler.onRenewalResponse(other, renewal, state.now(), FENCED);
      return renewal.acknowledgedEnd;
    }

    it('ends the term if the next renewal is rejected as well', () => {
      // Guards against a replaced scheduler that never learns of its successor
      // and renews in a loop, as each acknowledgement raises the token.
      expect([rejectRenewal(), rejectRenewal()]).toEqual([1, 0]);
      expect(fleet.scheduler.leases.isFenced).toBe(true);
    });

    it('is made up for by a later renewal', () => {
      // Guards against ends that are never acknowledged after a rejection.
      expect(rejectRenewal()).toBe(1);
      fleet.run(150);
      expect(other.confirmedAck).toBe(1);
      expect(fleet.scheduler.leases.isFenced).toBe(false);
    });
  });

  it.each(['start', 'stop', 'pace', 'renewal'])(
    'ends the term if it is a %s with the present token',
    call => {
      const {scheduler} = fleet;
      const {leases, state} = scheduler;
      const handlers: Readonly<Record<string, () => void>> = {
        start: () => scheduler.onStartResponse(run, FENCED, earlierToken),
        stop: () => scheduler.onStopResponse(run, FENCED, earlierToken),
        pace: () => leases.onPaceResponse(run, FENCED, earlierToken),
        renewal: () => {
          const renewal = leases.nextRenewal(worker);
          scheduler.onRenewalResponse(worker, renewal, state.now(), FENCED);
        },
      };
      handlers[call]();
      expect(leases.isFenced).toBe(true);
    },
  );
});

import {Millis, SECOND} from '../base/clock.js';
import {SimulatedFleet} from './simulated_fleet.test_support.js';
import {SimulatedWorker} from './simulated_worker.test_support.js';
import {LeaseRenewal, WorkerCallResult} from './worker_calls.js';
import {WorkerState} from './worker_state.js';

const JOB = '00000000000000aa';

/** Delay before a renewal is repeated, as in a term. */
const RETRY_DELAY_MS: Millis = 200;

describe('a worker that is slow to respond', () => {
  let fleet: SimulatedFleet;
  let worker: SimulatedWorker;
  let state: WorkerState;

  beforeEach(() => {
    fleet = new SimulatedFleet();
    fleet.taskMs = 600 * SECOND;
    worker = fleet.addWorker('w1');
    fleet.submit(JOB, [{perpetual: true}]);
    fleet.run(1000);
    state = fleet.scheduler.state.workers.get('w1')!;
  });

  function advance(duration: Millis): void {
    fleet.clock.advance(duration);
    fleet.permissionClock.advance(duration);
    const {leases} = fleet.scheduler;
    leases.confirmAuthority(fleet.permissionClock.now());
    leases.expireLeases();
  }

  /** Sends a renewal to a worker that responds after `responseMs`. */
  function renew(responseMs: Millis): LeaseRenewal {
    const {scheduler, clock} = fleet;
    const renewal = scheduler.leases.nextRenewal(state);
    const sentAt = clock.now();
    if (responseMs > renewal.responseMs) {
      advance(renewal.responseMs + renewal.waitMs);
      const response = {result: WorkerCallResult.UNKNOWN};
      scheduler.onRenewalResponse(state, renewal, sentAt, response);
      advance(RETRY_DELAY_MS);
      return renewal;
    }
    advance(responseMs);
    const clockMs = clock.now();
    const running = [...worker.runs].map(([task, {attempt}]) => ({
      task,
      attempt,
      checkpoint: '',
      percent: 100,
      gauge: 0,
    }));
    const report = {born: 1, clockMs, running, ends: [], hasMoreEnds: false};
    const result = WorkerCallResult.ACCEPTED;
    scheduler.onRenewalResponse(state, renewal, sentAt, {result, report});
    return renewal;
  }

  it.each([100, 900, 1400, 2500])(
    'keeps its lease and its runs (responses after %d ms)',
    responseMs => {
      // Guards against runs of a worker that is only slow: its renewals were
      // given up after 700 ms, so it got no lease, and its runs ended with the
      // old one and were started elsewhere.
      const endAt = fleet.clock.now() + 120 * SECOND;
      let leaseUntil = state.leaseEnd;
      while (fleet.clock.now() < endAt) {
        const renewal = renew(responseMs);
        leaseUntil = Math.max(leaseUntil, renewal.leaseUntil ?? 0);
        expect(fleet.clock.now()).toBeLessThan(leaseUntil);
      }
      expect(state.runs.size).toBe(1);
      expect(fleet.decisions).not.toContain('run-lost');
    },
  );

  it('keeps its runs until their lease is over while it is silent', () => {
    // Guards against a second run of a task whose first one goes on.
    const {leaseEnd} = state;
    while (fleet.clock.now() < leaseEnd) {
      expect(state.runs.size).toBe(1);
      renew(Infinity);
    }
    expect(state.runs.size).toBe(0);
  });

  it('keeps its runs while its entry in the store is missing', () => {
    // Guards against work that is given up because the store lost an entry of a
    // worker that still responds.
    worker.isListed = false;
    fleet.run(20_000);
    expect(worker.runs.size).toBe(1);
    expect(fleet.decisions).not.toContain('run-lost');
    expect(worker.starts).toHaveLength(1);
  });
});

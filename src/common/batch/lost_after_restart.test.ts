import {Millis, SECOND} from '../base/clock.js';
import {SimulatedFleet} from './simulated_fleet.test_support.js';
import {CallKind, SimulatedWorker} from './simulated_worker.test_support.js';
import {WorkerCallResult} from './worker_calls.js';

const JOB = '00000000000000aa';
const TASK = `${JOB}.0.0.0`;

/** Time for which callers tolerate that a lasting task does not run. */
const TOLERATED_MS: Millis = 9 * SECOND;

describe('a lasting task whose worker is lost', () => {
  let fleet: SimulatedFleet;
  let worker: SimulatedWorker;
  let spare: SimulatedWorker;

  beforeEach(() => {
    fleet = new SimulatedFleet();
    worker = fleet.addWorker('w1');
    worker.clockOffsetMs = 500_000;
    fleet.run(500);
  });

  /** Takes the worker away from scheduler and list for a time. */
  function leave(duration: Millis): void {
    worker.isUnreachable = true;
    worker.isListed = false;
    fleet.run(duration);
    worker.isUnreachable = false;
    worker.isListed = true;
  }

  function startLasting(): void {
    fleet.submit(JOB, [{perpetual: true}]);
    fleet.run(300);
    expect(worker.starts).toEqual([TASK]);
  }

  /** Loses the worker; returns how long the task does not run. */
  function lose(): Millis {
    spare = fleet.addWorker('w2');
    worker.isUnreachable = true;
    worker.runs.clear();
    const lostAt = fleet.clock.now();
    for (let i = 0; i < 1200 && !spare.starts.includes(TASK); i++) {
      fleet.run(50);
    }
    return fleet.clock.now() - lostAt;
  }

  it('waits for no calls that were never sent to it', () => {
    // Guards against a wait for calls to a worker that got none for long before
    // it started again (LOST).
    worker.isUnreachable = true;
    fleet.run(60 * SECOND);
    worker.restart();
    worker.isUnreachable = false;
    fleet.run(100);
    startLasting();
    expect(lose()).toBeLessThan(TOLERATED_MS);
  });

  it('waits for no calls from before an absence', () => {
    // Guards against the same for one that was missing from the list.
    fleet.run(SECOND);
    leave(60 * SECOND);
    fleet.run(100);
    startLasting();
    expect(lose()).toBeLessThan(TOLERATED_MS);
  });

  it('waits no longer on a worker that is new to the fleet', () => {
    // Guards against taking a new worker for one that has started again.
    fleet.run(60 * SECOND);
    leave(SECOND);
    worker.isListed = false;
    worker.isUnreachable = true;
    worker = fleet.addWorker('w9');
    worker.born = fleet.wallClock.now();
    startLasting();
    expect(lose()).toBeLessThan(TOLERATED_MS);
  });

  it('waits for a bounded time if the time of day is set back', () => {
    // Guards against a task that does not run for as long as a clock was set.
    worker.heldKinds.add(CallKind.RENEWAL);
    fleet.run(50);
    worker.restart();
    worker.executeHeld(CallKind.RENEWAL);
    worker.heldKinds.clear();
    fleet.run(1800);
    startLasting();
    fleet.run(60 * SECOND);
    fleet.wallClock.advance(-3600 * SECOND);
    worker.isUnreachable = true;
    fleet.takeOver(0);
    expect(lose()).toBeLessThan(25 * SECOND);
  });

  it('does not end the term by a response from before a removal', () => {
    // Guards against a scheduler that resigns because a worker that came back
    // has seen the higher token of the same scheduler.
    const {scheduler} = fleet;
    worker.isUnreachable = true;
    fleet.run(100);
    const removed = scheduler.state.workers.get('w1')!;
    const renewal = scheduler.leases.nextRenewal(removed);
    const sentAt = fleet.clock.now();
    leave(100);
    fleet.run(100);
    const response = worker.renew(0, {token: renewal.fencingToken});
    expect(response.result).toBe(WorkerCallResult.FENCED);
    scheduler.onRenewalResponse(removed, renewal, sentAt, response);
    expect(scheduler.leases.isFenced).toBe(false);
  });
});

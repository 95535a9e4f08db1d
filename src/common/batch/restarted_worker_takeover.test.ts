import {Millis, SECOND} from '../base/clock.js';
import {CallKind, SimulatedWorker} from './simulated_worker.test_support.js';
import {SimulatedFleet} from './simulated_fleet.test_support.js';
import {WorkerCallResult} from './worker_calls.js';

const JOB = '00000000000000aa';
const TASK = `${JOB}.0.0.0`;
const SHORT_JOB = '00000000000000bb';

/** Time for which callers tolerate that a lasting task does not run. */
const TOLERATED_MS: Millis = 9 * SECOND;

/** Lease of a worker with the slowest clock, its margin, and two ticks. */
const LEASE_SPAN_MS: Millis = 6000 * 1.02 + 300 + 100;

/** Clock of the former incarnation, less the fleet's. */
const FORMER_OFFSET_MS: Millis = 500_000;

/** Time after which an open renewal has timed out and the next is answered. */
const RENEWAL_SPAN_MS: Millis = 1800;

/** Time from the loss of a worker until the record of it is stored. */
const RECORDED_MS: Millis = 2 * SECOND;

describe('a restart of a worker', () => {
  let fleet: SimulatedFleet;
  let worker: SimulatedWorker;
  let spare: SimulatedWorker;

  beforeEach(() => {
    fleet = new SimulatedFleet();
    worker = fleet.addWorker('w1');
    worker.clockOffsetMs = FORMER_OFFSET_MS;
    fleet.run(500);
  });

  function submitLasting(): void {
    fleet.submit(JOB, [{perpetual: true}]);
  }

  /** Starts the worker again; an open renewal gives it the longest lease. */
  function restartWithLongLease(): Millis {
    worker.heldKinds.add(CallKind.RENEWAL);
    fleet.run(50);
    worker.restart();
    worker.born = fleet.wallClock.now();
    worker.executeHeld(CallKind.RENEWAL);
    worker.heldKinds.clear();
    const executedAt = fleet.clock.now();
    fleet.run(RENEWAL_SPAN_MS);
    return executedAt;
  }

  function cutOff(): void {
    spare = fleet.addWorker('w2');
    worker.isUnreachable = true;
  }

  /** Ends the worker for good, with an entry of its last incarnation. */
  function end(): Millis {
    cutOff();
    worker.runs.clear();
    return fleet.clock.now();
  }

  /** Returns the time at which the task is started on the other worker. */
  function untilElsewhere(): Millis {
    for (let i = 0; i < 1200 && !spare.starts.includes(TASK); i++) {
      fleet.run(50);
    }
    expect(spare.starts).toContain(TASK);
    return fleet.clock.now();
  }

  it('is remembered when the predecessor of a successor has ended', () => {
    // Guards against two runs at a time: the recorded end of a long lease was
    // shortened by the news that no earlier scheduler grants leases any more.
    restartWithLongLease();
    submitLasting();
    fleet.run(200);
    cutOff();
    fleet.run(RECORDED_MS);
    expect(fleet.view.lostWorkers.size).toBe(1);
    fleet.takeOver();
    fleet.run(100);
    const {state} = fleet.scheduler;
    state.endEarlierAuthority(state.now());
    untilElsewhere();
    expect(fleet.violations).toEqual([]);
  });

  it('is remembered by a scheduler that ended before it recorded the loss', () => {
    // Guards against two runs at a time: the placement does not tell that the
    // worker has a long lease.
    restartWithLongLease();
    submitLasting();
    fleet.run(200);
    cutOff();
    fleet.takeOver(0);
    untilElsewhere();
    expect(fleet.violations).toEqual([]);
  });

  it('shortly before a takeover is noticed on a worker without runs', () => {
    // Guards against two runs at a time: no record tells a successor that the
    // worker has a long lease.
    restartWithLongLease();
    fleet.takeOver(0);
    fleet.run(300);
    submitLasting();
    fleet.run(200);
    expect(worker.starts).toEqual([TASK]);
    cutOff();
    untilElsewhere();
    expect(fleet.violations).toEqual([]);
  });

  it.each([0, 1000, 3000, 4900])(
    'is remembered if only the predecessor saw it listed (%d ms left to it)',
    authorityMs => {
      // Guards against two runs at a time: the entry is gone at the takeover.
      submitLasting();
      worker.heldKinds.add(CallKind.START);
      fleet.run(100);
      worker.restart();
      worker.executeHeld(CallKind.START);
      cutOff();
      fleet.run(900);
      worker.isListed = false;
      fleet.run(100);
      fleet.takeOver(authorityMs);
      untilElsewhere();
      expect(fleet.violations).toEqual([]);
    },
  );

  it('is remembered if only an answer to a start showed it', () => {
    // Guards against the same for a new incarnation that was never listed.
    submitLasting();
    worker.heldKinds.add(CallKind.RENEWAL);
    worker.heldKinds.add(CallKind.START);
    fleet.run(100);
    worker.heldCalls.length = 0;
    worker.restart();
    worker.isListed = false;
    worker.heldKinds.delete(CallKind.START);
    fleet.run(150);
    expect(worker.starts).toEqual([TASK]);
    cutOff();
    fleet.run(100);
    fleet.takeOver(0);
    untilElsewhere();
    expect(fleet.violations).toEqual([]);
  });

  it('counts a repeated start without an answer although a report shows it', () => {
    // Guards against a run that seems to be bound to the former incarnation.
    submitLasting();
    fleet.run(200);
    const {state, leases} = fleet.scheduler;
    const run = state.workers.get('w1')!.runs.get(TASK)!;
    const token = state.fencingToken(run.worker);
    leases.onStartResponse(run, {result: WorkerCallResult.UNKNOWN}, token);
    expect(run.unansweredAt).toBe(state.now());
  });

  it('delays a task no more once its long lease is over', () => {
    // Guards against a mark in the record of a placement that holds for good
    // (LOST after the loss of worker and scheduler).
    restartWithLongLease();
    submitLasting();
    fleet.run(60 * SECOND);
    expect(worker.starts).toEqual([TASK]);
    const endedAt = end();
    fleet.run(1300);
    fleet.takeOver();
    const {state} = fleet.scheduler;
    state.endEarlierAuthority(state.now());
    expect(untilElsewhere() - endedAt).toBeLessThan(TOLERATED_MS);
  });

  it.each(['a takeover', 'an unanswered start'])(
    'delays no task that was shown for long after %s',
    event => {
      // Guards against a wait for starts that can't be under way any more (LOST).
      if (event === 'an unanswered start') worker.dropsStartResponses = true;
      submitLasting();
      fleet.run(200);
      worker.dropsStartResponses = false;
      if (event === 'a takeover') fleet.takeOver(0);
      fleet.run(30 * SECOND);
      worker.restart();
      const endedAt = end();
      expect(untilElsewhere() - endedAt).toBeLessThan(LEASE_SPAN_MS);
    },
  );

  it('counts once in the wait of a successor', () => {
    // Guards against a wait that grows with each takeover: the recorded end
    // includes the longest delay of a call already.
    worker.heldKinds.add(CallKind.START);
    submitLasting();
    fleet.run(100);
    worker.restart();
    cutOff();
    fleet.run(RECORDED_MS);
    const {lease} = fleet.scheduler.state.workers.get('w1')!;
    const expected = lease.longestEnd;
    fleet.takeOver(0);
    expect(untilElsewhere()).toBeLessThan(expected + SECOND);
  });

  it('is noticed if its time of day is lower', () => {
    // Guards against two runs at a time on a worker whose time of day was set
    // back before it started again.
    worker.born = 100;
    fleet.run(100);
    worker.heldKinds.add(CallKind.START);
    submitLasting();
    fleet.run(100);
    worker.restart();
    worker.born = 50;
    cutOff();
    fleet.run(3 * SECOND);
    worker.executeHeld(CallKind.START);
    untilElsewhere();
    expect(fleet.violations).toEqual([]);
  });

  it('lets no lease be granted with the clock before it', () => {
    // Guards against calls that a scheduler knows to be misdirected.
    worker.heldKinds.add(CallKind.RENEWAL);
    fleet.run(50);
    worker.restart();
    fleet.run(50);
    const {state, leases} = fleet.scheduler;
    expect(leases.grantLease(state.workers.get('w1')!)).toBeUndefined();
  });

  it('does not bar a worker whose entry is wrong', () => {
    // Guards against a worker without leases for good, as its entry names an
    // incarnation that it does not report.
    const listing = worker.listing.bind(worker);
    worker.listing = () => ({...listing(), born: 77});
    submitLasting();
    fleet.run(2 * SECOND);
    const {state, leases} = fleet.scheduler;
    expect(leases.grantLease(state.workers.get('w1')!)).toBeDefined();
  });

  it('does not lower the fencing token of a worker that returns late', () => {
    // Guards against a term that ends because a worker has seen a higher token
    // of the same scheduler.
    submitLasting();
    fleet.run(200);
    worker.restart();
    fleet.run(500);
    const {token} = worker;
    cutOff();
    worker.isListed = false;
    fleet.run(25 * SECOND);
    spare.isListed = false;
    spare.isUnreachable = true;
    fleet.run(20 * SECOND);
    worker.isUnreachable = false;
    worker.isListed = true;
    fleet.run(500);
    expect(fleet.scheduler.leases.isFenced).toBe(false);
    expect(worker.token).toBeGreaterThan(token);
  });

  it('does not let a run go on whose stop the former incarnation accepted', () => {
    // Guards against a task of a cancelled job that a delayed start begins in
    // the new incarnation, and that nothing stops (UNASKED).
    worker.heldKinds.add(CallKind.START);
    fleet.submit(SHORT_JOB, [{perpetual: true}]);
    fleet.run(100);
    worker.heldKinds.add(CallKind.RENEWAL);
    fleet.run(50);
    fleet.cancel(SHORT_JOB);
    fleet.run(50);
    expect(worker.stops).toEqual([`${SHORT_JOB}.0.0.0`]);
    worker.restart();
    worker.heldKinds.clear();
    worker.executeHeld(CallKind.START);
    expect(worker.runs.size).toBe(1);
    fleet.run(3 * SECOND);
    expect(worker.runs.size).toBe(0);
  });
});

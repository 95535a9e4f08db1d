import {Millis, SECOND} from '../base/clock.js';
import {JobPhase} from './job_records.js';
import {SimulatedFleet} from './simulated_fleet.test_support.js';
import {CallKind, SimulatedWorker} from './simulated_worker.test_support.js';
import {RunOutcome, WorkerPhase} from './types.js';

const SHORT_JOB = '00000000000000aa';
const SHORT_TASK = `${SHORT_JOB}.0.0.0`;
const OTHER_JOB = '00000000000000cc';
const LASTING_JOB = '00000000000000bb';
const LASTING_TASK = `${LASTING_JOB}.0.0.0`;

/** Clock of the worker's former incarnation, less the clock of the fleet. */
const FORMER_OFFSET_MS: Millis = 500_000;
/** The same for a new incarnation whose clock is lower, or higher. */
const LOWER_OFFSET_MS: Millis = 0;
const HIGHER_OFFSET_MS: Millis = 900_000;

/** Time after which an open renewal has timed out and the next is answered. */
const RENEWAL_SPAN_MS: Millis = 1800;

/** Lease of a worker with the slowest clock, and the margin after it. */
const LEASE_SPAN_MS: Millis = 6000 * 1.02 + 300;

/** Time from the loss of a run until its task is started elsewhere. */
const START_MS: Millis = 100;

/** Ample time for leases and delayed calls to be over. */
const LONG_SILENCE_MS: Millis = 30 * SECOND;

describe('a worker that starts again under its id', () => {
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
    fleet.submit(LASTING_JOB, [{perpetual: true}]);
  }

  /** Sends a call or more of these kinds that are not executed yet. */
  function holdCalls(...kinds: readonly CallKind[]): void {
    for (const kind of kinds) worker.heldKinds.add(kind);
    fleet.run(100);
  }

  /** Starts the lasting task on the worker while nothing delays calls. */
  function startLasting(): void {
    worker.heldKinds.clear();
    submitLasting();
    fleet.run(150);
    expect([...worker.runs.keys()]).toContain(LASTING_TASK);
  }

  /** Cuts the worker off, beside one that has room. */
  function cutOff(): void {
    spare = fleet.addWorker('w2');
    worker.heldKinds.clear();
    worker.isUnreachable = true;
  }

  /** Expects a start elsewhere, and no second run before. */
  function expectOneRunElsewhere(): void {
    fleet.run(LONG_SILENCE_MS);
    expect(fleet.violations).toEqual([]);
    expect(spare.starts).toContain(LASTING_TASK);
  }

  /** Expects the start elsewhere no later than a common lease from now. */
  function expectLossWithinLease(): void {
    fleet.run(LEASE_SPAN_MS + START_MS);
    expect(spare.starts).toEqual([LASTING_TASK]);
    expect(fleet.violations).toEqual([]);
  }

  /** Executes a call unless the scheduler has sent none. */
  function executeIfHeld(kind: CallKind): void {
    if (worker.heldCalls.some(call => call.kind === kind)) {
      worker.executeHeld(kind);
    }
  }

  /** Restarts the worker, which executes a held start while it is cut off. */
  function expectNoViolationByLateStart(): void {
    worker.isUnreachable = true;
    worker.restart(LOWER_OFFSET_MS);
    fleet.run(500);
    executeIfHeld(CallKind.START);
    worker.heldKinds.clear();
    worker.isUnreachable = false;
    fleet.run(LONG_SILENCE_MS);
    expect(fleet.violations).toEqual([]);
  }

  it('keeps the lease of the renewal that it first answers', () => {
    // Guards against two runs at a time with no call delayed: a renewal that is
    // sent before the restart is known has a deadline of the former clock.
    worker.restart(LOWER_OFFSET_MS);
    fleet.run(100);
    startLasting();
    cutOff();
    expectOneRunElsewhere();
  });

  it('ends a task within that lease that is not started again', () => {
    // Guards against a start after an end as done that is acknowledged: the run
    // is taken for lost while its worker still has a lease.
    worker.restart(LOWER_OFFSET_MS);
    fleet.run(100);
    fleet.taskMs = 3 * SECOND;
    fleet.submit(SHORT_JOB, [{estimateMs: fleet.taskMs}]);
    fleet.run(100);
    expect(worker.starts).toEqual([SHORT_TASK]);
    worker.isUnreachable = true;
    fleet.run(7 * SECOND);
    fleet.taskMs = SECOND;
    worker.isUnreachable = false;
    fleet.run(LONG_SILENCE_MS);
    expect(fleet.violations).toEqual([]);
    expect(fleet.view.phase(SHORT_JOB)).toBe(JobPhase.COMPLETE);
  });

  it('keeps the lease of a delayed start of the former incarnation', () => {
    // Guards against two runs at a time (recut): the deadline of the former
    // clock grants the longest lease, which holds for later runs too.
    fleet.submit(SHORT_JOB, [{}]);
    holdCalls(CallKind.RENEWAL, CallKind.START);
    worker.restart(LOWER_OFFSET_MS);
    worker.executeHeld(CallKind.START);
    worker.heldKinds.delete(CallKind.RENEWAL);
    fleet.run(RENEWAL_SPAN_MS);
    startLasting();
    cutOff();
    expectOneRunElsewhere();
  });

  it('keeps the lease of a delayed renewal of the former incarnation', () => {
    // Guards against the same by a renewal, while no start is on its way.
    holdCalls(CallKind.RENEWAL);
    worker.restart(LOWER_OFFSET_MS);
    fleet.run(RENEWAL_SPAN_MS - 200);
    worker.executeHeld(CallKind.RENEWAL);
    worker.heldKinds.clear();
    fleet.run(200);
    startLasting();
    cutOff();
    expectOneRunElsewhere();
  });

  it.each([true, false])(
    'keeps that lease for a successor (predecessor heard from it: %s)',
    hasReported => {
      // Guards against two runs at a time (recut-kill): the successor counts
      // the common lease for a run that a delayed start began.
      submitLasting();
      holdCalls(CallKind.RENEWAL, CallKind.START);
      worker.restart(LOWER_OFFSET_MS);
      worker.executeHeld(CallKind.START);
      if (hasReported) worker.heldKinds.delete(CallKind.RENEWAL);
      fleet.run(hasReported ? RENEWAL_SPAN_MS : 200);
      cutOff();
      fleet.takeOver(0);
      expectOneRunElsewhere();
    },
  );

  it.each([2 * SECOND, 5 * SECOND])(
    'may execute an unanswered start %d ms late while it is cut off',
    delay => {
      // Guards against two runs at a time on a new incarnation that no report
      // tells of: only the list shows it.
      submitLasting();
      holdCalls(CallKind.START);
      worker.restart(LOWER_OFFSET_MS);
      cutOff();
      fleet.run(delay);
      executeIfHeld(CallKind.START);
      expectOneRunElsewhere();
    },
  );

  it('may execute a start of the predecessor 3 s after a takeover', () => {
    // Guards against the same across a takeover: the successor knows of no
    // start that had no answer.
    submitLasting();
    holdCalls(CallKind.START);
    worker.restart(LOWER_OFFSET_MS);
    cutOff();
    fleet.takeOver(0);
    fleet.run(3 * SECOND);
    executeIfHeld(CallKind.START);
    expectOneRunElsewhere();
  });

  it('may execute a start after it was missing from the list', () => {
    // Guards against two runs at a time once the state of the worker, and with
    // it the raised token, is dropped: the lease of the start is not over on
    // the lower clock.
    submitLasting();
    holdCalls(CallKind.START);
    worker.restart(LOWER_OFFSET_MS);
    cutOff();
    worker.isListed = false;
    fleet.run(8 * SECOND);
    worker.isListed = true;
    worker.isUnreachable = false;
    fleet.run(200);
    executeIfHeld(CallKind.START);
    fleet.run(LONG_SILENCE_MS);
    expect(fleet.violations).toEqual([]);
  });

  it.each([
    ['lower', LOWER_OFFSET_MS],
    ['higher', HIGHER_OFFSET_MS],
  ])(
    'may answer a start before any report tells of it (clock %s)',
    (_clock, offset) => {
      // Guards against two runs at a time: the answer shows that the start had
      // the deadline of another clock, or that it was repeated with a new one.
      submitLasting();
      holdCalls(CallKind.RENEWAL, CallKind.START);
      worker.heldCalls.length = 0;
      worker.restart(offset);
      worker.heldKinds.delete(CallKind.START);
      fleet.run(150);
      cutOff();
      expectOneRunElsewhere();
    },
  );

  it.each([
    ['lower', LOWER_OFFSET_MS],
    ['higher', HIGHER_OFFSET_MS],
  ])(
    'gets no deadline of the former clock after a late answer (clock %s)',
    (_clock, offset) => {
      // Guards against two runs at a time: an answer of the former incarnation
      // arrives after a report of the new one, and sets its clock.
      fleet.delaysStartResponses = true;
      fleet.submit(SHORT_JOB, [{}]);
      fleet.run(50);
      expect(worker.starts).toEqual([SHORT_TASK]);
      fleet.delaysStartResponses = false;
      // No renewal has a lease until the restart is known.
      worker.isUnreachable = true;
      fleet.run(50);
      worker.restart(offset);
      worker.isUnreachable = false;
      fleet.run(200);
      startLasting();
      fleet.deliverStartResponses();
      fleet.run(50);
      cutOff();
      expectOneRunElsewhere();
    },
  );

  it.each([
    ['a start was sent before', true],
    ['a start is sent after it', false],
  ])(
    'keeps an end that a delayed renewal of the former one covers (%s)',
    (_order, isStartFirst) => {
      // Guards against a second start of a task that was acknowledged as done:
      // the cursor of the former incarnation reaches an end of the new one,
      // which no scheduler has read.
      fleet.submit(OTHER_JOB, [{}]);
      while (worker.ends.length === 0) fleet.run(50);
      if (!isStartFirst) holdCalls(CallKind.RENEWAL);
      fleet.submit(SHORT_JOB, [{}]);
      holdCalls(CallKind.START, CallKind.RENEWAL);
      worker.restart(LOWER_OFFSET_MS);
      executeIfHeld(CallKind.START);
      fleet.run(1200);
      executeIfHeld(CallKind.RENEWAL);
      worker.heldKinds.clear();
      fleet.run(LONG_SILENCE_MS);
      expect(fleet.violations).toEqual([]);
      expect(fleet.view.phase(SHORT_JOB)).toBe(JobPhase.COMPLETE);
    },
  );

  it('may execute a start whose stop the former one has accepted', () => {
    // Guards against two runs at a time: the task is placed elsewhere at once,
    // but a new incarnation knows nothing of the stop.
    submitLasting();
    holdCalls(CallKind.START);
    worker.phase = WorkerPhase.DRAINING;
    spare = fleet.addWorker('w2');
    fleet.run(200);
    expect(worker.stops).toEqual([LASTING_TASK]);
    worker.isUnreachable = true;
    worker.restart(LOWER_OFFSET_MS);
    fleet.run(2 * SECOND);
    executeIfHeld(CallKind.START);
    expectOneRunElsewhere();
  });

  it('may execute a repeated start of a task that the former one has done', () => {
    // Guards against a start after an end as done that is acknowledged, while
    // an earlier request of the same start has no answer.
    fleet.submit(SHORT_JOB, [{}]);
    holdCalls(CallKind.START);
    worker.executeHeld(CallKind.START);
    fleet.run(1500);
    expectNoViolationByLateStart();
    expect(fleet.view.phase(SHORT_JOB)).toBe(JobPhase.COMPLETE);
  });

  it('may execute such a start although a successor has read the end', () => {
    // Guards against the same across a takeover: the successor does not know
    // which start requests of its predecessor had no answer.
    fleet.submit(SHORT_JOB, [{}]);
    holdCalls(CallKind.START);
    worker.executeHeld(CallKind.START);
    fleet.takeOver(0);
    fleet.run(1500);
    expectNoViolationByLateStart();
  });

  it('may execute a repeated start of a run that has failed on the former one', () => {
    // Guards against two runs at a time: the task is placed elsewhere at once,
    // while an earlier request of the same start has no answer.
    submitLasting();
    holdCalls(CallKind.START);
    worker.executeHeld(CallKind.START);
    fleet.run(200);
    cutOff();
    worker.isUnreachable = false;
    worker.end(LASTING_TASK, RunOutcome.FAILED);
    fleet.run(100);
    worker.isUnreachable = true;
    worker.restart(LOWER_OFFSET_MS);
    fleet.run(SECOND);
    executeIfHeld(CallKind.START);
    expectOneRunElsewhere();
  });

  it('has its runs lost within a common lease if it did not start again', () => {
    // Guards against a wait for the longest lease on every worker (LOST).
    startLasting();
    cutOff();
    expectLossWithinLease();
  });

  it.each([false, true])(
    'has its runs lost as soon if no start is open (renewal open: %s)',
    isRenewalOpen => {
      // Guards against a wait for a new incarnation that stays silent, although
      // no call can have begun anything there (LOST).
      startLasting();
      if (isRenewalOpen) holdCalls(CallKind.RENEWAL);
      worker.restart(LOWER_OFFSET_MS);
      cutOff();
      expectLossWithinLease();
    },
  );

  it('has its runs lost as soon again a while after its restart', () => {
    // Guards against a wait for the longest lease for good after one restart.
    holdCalls(CallKind.RENEWAL);
    worker.restart(LOWER_OFFSET_MS);
    worker.heldKinds.clear();
    fleet.run(LONG_SILENCE_MS);
    startLasting();
    cutOff();
    expectLossWithinLease();
  });
});

import {ManualClock} from '../base/manual_clock.js';
import {Millis} from '../base/clock.js';
import {RunViolations} from './run_violations.test_support.js';
import {
  CallKind,
  MAX_HOLD_MS,
  SimulatedWorker,
} from './simulated_worker.test_support.js';
import {RunOutcome} from './types.js';
import {WorkerCallResult} from './worker_calls.js';

const TASK = '00000000000000aa.0.0.0';

describe('a simulated worker', () => {
  let clock: ManualClock;
  let workers: Map<string, SimulatedWorker>;
  let violations: RunViolations;
  let worker: SimulatedWorker;

  beforeEach(() => {
    clock = new ManualClock(1000);
    workers = new Map();
    violations = new RunViolations(() => clock.now(), workers);
    worker = addWorker('w1');
  });

  function addWorker(id: string): SimulatedWorker {
    const added = new SimulatedWorker(id, 4000, 4000, clock, violations);
    workers.set(id, added);
    return added;
  }

  function start(
    on: SimulatedWorker,
    leaseMs: Millis,
    attempt = 1,
    durationMs = 60_000,
  ): WorkerCallResult {
    return on.start({
      task: TASK,
      attempt,
      durationMs,
      percent: 0,
      gauge: 0,
      token: 5,
      leaseUntil: on.clockMs + leaseMs,
    }).result;
  }

  /** Time until the run of the worker lapses. */
  function timeToLapse(): Millis {
    const from = clock.now();
    while (worker.runs.size > 0) {
      clock.advance(50);
      worker.endRuns();
    }
    expect(worker.ends.map(({end}) => end)).toEqual([RunOutcome.LEASE_EXPIRED]);
    return clock.now() - from;
  }

  it('cuts a lease to the longest hold on its own clock', () => {
    // Guards against tests of long leases that can't fail.
    worker.restart(500_000);
    start(worker, 100_000);
    expect(timeToLapse()).toBe(MAX_HOLD_MS);
  });

  it('never shortens a lease', () => {
    // Guards against runs that lapse too soon in the simulation.
    start(worker, 6000);
    worker.renew(0, {token: 5, leaseUntil: worker.clockMs + 1000});
    expect(timeToLapse()).toBe(6000);
  });

  it('refuses starts that are late, fenced or ended there', () => {
    // Guards against late starts that real workers refuse.
    expect(start(worker, 0)).toBe(WorkerCallResult.LATE);
    worker.stop(TASK, 1, {token: 5});
    expect(start(worker, 6000)).toBe(WorkerCallResult.SUPERSEDED);
    expect(start(worker, 6000, 2)).toBe(WorkerCallResult.ACCEPTED);
    worker.renew(0, {token: 6});
    expect(start(worker, 6000, 3)).toBe(WorkerCallResult.FENCED);
  });

  it('executes a held call in the incarnation that it then has', () => {
    // Guards against held calls that keep the token of the former one.
    worker.renew(0, {token: 6});
    worker.heldKinds.add(CallKind.STOP);
    worker.receive(CallKind.STOP, () => worker.stop(TASK, 1, {token: 5}));
    worker.restart();
    expect(worker.executeHeld(CallKind.STOP).result).toBe(
      WorkerCallResult.ACCEPTED,
    );
  });

  it('tells of two runs at the same time, but not once one has lapsed', () => {
    // Guards against violations that are missed or made up.
    const other = addWorker('w2');
    start(worker, 6000);
    timeToLapse();
    start(other, 6000);
    expect(violations.found).toEqual([]);
    start(worker, 6000, 3);
    expect(violations.found).toEqual([`${TASK} starts on w1 and runs on w2`]);
  });

  it.each([
    ['acknowledged before', 500, 1],
    ['acknowledged after', 0, 1],
    ['acknowledged after the lease was over', 6000, 0],
  ])('tells of a start after an end that is %s', (_when, waitMs, count) => {
    // Guards against the same for ends, which count unless the lease lapsed.
    const other = addWorker('w2');
    start(worker, 6000, 1, 100);
    clock.advance(100);
    worker.endRuns();
    if (waitMs === 0) {
      clock.advance(50);
      start(other, 6000);
    }
    clock.advance(waitMs);
    worker.endRuns();
    worker.renew(1, {token: 5});
    if (waitMs > 0) start(other, 6000);
    expect(violations.found).toHaveLength(count);
  });
});

import fc from 'fast-check';
import {Millis, SECOND} from '../base/clock.js';
import {SimulatedFleet} from './simulated_fleet.test_support.js';
import {CallKind, SimulatedWorker} from './simulated_worker.test_support.js';
import {WorkerListing} from './types.js';

const JOB = '00000000000000aa';
const WORKERS = ['w1', 'w2', 'w3'];
const DAYS = 120;
const STEP_MS: Millis = 50;
const STEPS = 700;

/** Longest time after which a held call is executed. */
const LONGEST_DELAY_MS: Millis = 11.9 * SECOND;

/**
 * Age at a restart up to which a held call may still be executed: a start that
 * an incarnation executes after its run was lost is a listed finding.
 */
const OLDEST_CALL_MS: Millis = 5.5 * SECOND;

/** Shortest time between two restarts of a worker, for the same reason. */
const RESTART_INTERVAL_MS: Millis = 24 * SECOND;

const LONGEST_CUT_MS: Millis = 20 * SECOND;
const LONGEST_LIST_LAG_MS: Millis = 600;

/** A worker whose calls are delayed, that restarts and that is cut off. */
class UnreliableWorker {
  private restartedAt: Millis = -Infinity;
  private cutUntil: Millis = Infinity;
  private heldUntil: Millis = Infinity;

  constructor(
    private readonly worker: SimulatedWorker,
    private readonly fleet: SimulatedFleet,
    private readonly random: () => number,
  ) {
    worker.clockOffsetMs = Math.floor(random() * 1e6);
    worker.born = fleet.wallClock.now() - 100 * SECOND;
    this.delayListing(random() * LONGEST_LIST_LAG_MS);
  }

  private delayListing(lag: Millis): void {
    const listing = this.worker.listing.bind(this.worker);
    const past: [Millis, WorkerListing][] = [];
    this.worker.listing = () => {
      const now = this.fleet.clock.now();
      past.push([now, listing()]);
      while (past.length > 1 && past[1][0] <= now - lag) past.shift();
      return past[0][1];
    };
  }

  step(): void {
    const {worker, random} = this;
    const now = this.fleet.clock.now();
    if (this.cutUntil <= now) this.reconnect();
    if (this.heldUntil <= now) this.releaseCalls();
    this.dropCalls(now - LONGEST_DELAY_MS);
    if (random() < 0.01) this.holdCalls(now);
    if (random() < 0.05) this.executeHeldCall();
    if (random() < 0.006) this.restart(now);
    if (random() < 0.008) this.cutOff(now);
    if (random() < 0.003) worker.dropsStartResponses = random() < 0.5;
  }

  private reconnect(): void {
    this.cutUntil = Infinity;
    this.worker.isUnreachable = false;
  }

  private releaseCalls(): void {
    this.heldUntil = Infinity;
    this.worker.heldKinds.clear();
  }

  private holdCalls(now: Millis): void {
    const {heldKinds} = this.worker;
    if (this.random() < 0.6) heldKinds.add(CallKind.RENEWAL);
    if (this.random() < 0.7) heldKinds.add(CallKind.START);
    this.heldUntil = now + 100 + this.random() * 1500;
  }

  private executeHeldCall(): void {
    const {heldCalls} = this.worker;
    if (heldCalls.length === 0) return;
    const index = Math.floor(this.random() * heldCalls.length);
    const [call] = heldCalls.splice(index, 1);
    call.execute();
  }

  private restart(now: Millis): void {
    if (now - this.restartedAt < RESTART_INTERVAL_MS) return;
    this.restartedAt = now;
    this.worker.restart(Math.floor(this.random() * 1e6));
    this.worker.born = this.fleet.wallClock.now();
    this.dropCalls(now - OLDEST_CALL_MS);
    if (this.random() < 0.6) this.cutOff(now);
  }

  private cutOff(now: Millis): void {
    if (this.worker.isUnreachable) return;
    this.worker.isUnreachable = true;
    this.cutUntil = now + this.random() * LONGEST_CUT_MS;
  }

  private dropCalls(sentBefore: Millis): void {
    const {heldCalls} = this.worker;
    const kept = heldCalls.filter(({sentAt}) => sentAt >= sentBefore);
    heldCalls.splice(0, heldCalls.length, ...kept);
  }
}

function playDay(random: () => number): readonly string[] {
  const fleet = new SimulatedFleet();
  const workers = WORKERS.map(
    id => new UnreliableWorker(fleet.addWorker(id), fleet, random),
  );
  fleet.run(SECOND);
  fleet.submit(JOB, [{perpetual: true, count: WORKERS.length}]);
  for (let i = 0; i < STEPS && fleet.violations.length === 0; i++) {
    fleet.run(STEP_MS);
    for (const worker of workers) worker.step();
    const isLost = random() < 0.003 || fleet.scheduler.leases.isFenced;
    if (isLost) fleet.takeOver(random() < 0.5 ? 0 : random() * 5 * SECOND);
  }
  return fleet.violations;
}

describe('workers that restart, are cut off and get calls late', () => {
  it('run no task twice at a time', () => {
    // Guards against a lease, a fence or a record that misses a sequence of
    // restarts, cuts, delayed calls and takeovers.
    fc.assert(
      fc.property(fc.noShrink(fc.integer()), seed => {
        const random = createRandom(seed);
        expect(playDay(random)).toEqual([]);
      }),
      {numRuns: DAYS, seed: 44},
    );
  });
});

/** Mulberry32. */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

import {ManualClock} from '../../common/base/manual_clock.js';
import {FaultBarrier} from './fault_barrier.js';

describe('FaultBarrier', () => {
  let clock: ManualClock;
  let logged: number;
  let limits: number;
  let barrier: FaultBarrier;

  beforeEach(() => {
    clock = new ManualClock(0);
    logged = 0;
    limits = 0;
    const decisions = {decide: () => void logged++};
    barrier = new FaultBarrier(clock, decisions, () => void limits++);
  });

  it('logs each fault and lets the process go on', () => {
    // Guards against a process that ends, with all its requests and leases,
    // because of one unexpected error.
    for (let fault = 0; fault < 100; fault++) {
      barrier.onFault(new Error('one'));
      clock.advance(1000);
    }
    expect(logged).toBe(100);
    expect(limits).toBe(0);
  });

  it('gives up when faults recur at a high rate', () => {
    // Guards against a process that does nothing but fail.
    for (let fault = 0; fault < 30; fault++) barrier.onFault('again');
    expect(limits).toBeGreaterThan(0);
  });
});

import {ManualClock} from './manual_clock.js';
import {SuspendAwareClock} from './suspend_aware_clock.js';

describe('SuspendAwareClock', () => {
  let steady: ManualClock;
  let wall: ManualClock;
  let clock: SuspendAwareClock;

  beforeEach(() => {
    steady = new ManualClock(1000);
    wall = new ManualClock(1_000_000);
    clock = new SuspendAwareClock(steady, wall);
  });

  function advanceBoth(duration: number): void {
    steady.advance(duration);
    wall.advance(duration);
  }

  it('counts the time for which the machine was suspended', () => {
    // Guards against a permission that is used after it has run out while the
    // machine was suspended.
    wall.advance(8000);
    advanceBoth(10);
    expect(clock.now()).toBe(9010);
    advanceBoth(500);
    expect(clock.now()).toBe(9510);
  });

  it('does not go back when the wall clock is set back', () => {
    // Guards against a permission that is prolonged by a corrected wall clock.
    advanceBoth(100);
    wall.advance(-60_000);
    expect(clock.now()).toBe(1100);
    wall.advance(60_000);
    expect(clock.now()).toBeGreaterThanOrEqual(1100);
  });

  it('ignores small corrections of the wall clock', () => {
    // Guards against permissions that end early on a machine whose wall clock
    // is adjusted all the time.
    for (let i = 0; i < 100; i++) {
      advanceBoth(100);
      wall.advance(5);
      clock.now();
    }
    expect(clock.now()).toBe(11_000);
  });
});

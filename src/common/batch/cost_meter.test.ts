import {ManualClock} from '../base/manual_clock.js';
import {CostEvent, CostMeter, CostPart} from './cost_meter.js';

describe('CostMeter', () => {
  let clock: ManualClock;
  let meter: CostMeter;

  beforeEach(() => {
    clock = new ManualClock(1000);
    meter = new CostMeter(clock);
  });

  it('adds up time and operations of a part', () => {
    // Guards against a part that shows only its last section, and against time
    // between two sections that is added to one of them.
    const result = meter.measure(CostPart.REPORTS, () => {
      clock.advance(3);
      return 'result';
    });
    clock.advance(100);
    meter.measure(CostPart.REPORTS, () => clock.advance(4), 0);
    expect(result).toBe('result');
    expect(meter.snapshot().reports).toEqual({ms: 7, operations: 1});
    expect(meter.snapshot().scans).toEqual({ms: 0, operations: 0});
  });

  it('takes the time of a nested section out of the outer one', () => {
    // Guards against parts whose sum exceeds the time that has passed.
    meter.measure(CostPart.RECORDS, () => {
      clock.advance(1);
      meter.measure(CostPart.SCANS, () => {
        clock.advance(10);
        meter.measure(CostPart.RECORDS, () => clock.advance(100));
        clock.advance(20);
      });
      clock.advance(2);
    });
    const {records, scans} = meter.snapshot();
    expect(records).toEqual({ms: 103, operations: 2});
    expect(scans).toEqual({ms: 30, operations: 1});
  });

  it('ends a section whose work fails', () => {
    // Guards against a part that is charged for all later work after an error.
    const fail = () => {
      clock.advance(5);
      throw new Error('fault');
    };
    expect(() =>
      meter.measure(CostPart.LIST, () => meter.measure(CostPart.CHECKS, fail)),
    ).toThrow('fault');
    clock.advance(50);
    meter.measure(CostPart.SCANS, () => clock.advance(1));
    const {list, checks, scans} = meter.snapshot();
    expect([list.ms, checks.ms, scans.ms]).toEqual([0, 5, 1]);
  });

  it('measures an asynchronous function until it first waits', async () => {
    // Guards against a part that is charged for the time a call is in flight.
    const pending = meter.measure(CostPart.STARTS, async () => {
      clock.advance(2);
      await Promise.resolve();
      clock.advance(40);
    });
    clock.advance(30);
    await pending;
    expect(meter.snapshot().starts.ms).toBe(2);
  });

  it('counts events, and keeps snapshots as they were', () => {
    // Guards against intervals that are always empty because the snapshot at
    // their begin changes with the meter.
    const before = meter.snapshot();
    meter.count(CostEvent.END);
    meter.count(CostEvent.END);
    meter.measure(CostPart.STOPS, () => clock.advance(1));
    expect(meter.countOf(CostEvent.END)).toBe(2);
    expect(meter.countOf(CostEvent.START)).toBe(0);
    expect(before.stops).toEqual({ms: 0, operations: 0});
  });
});

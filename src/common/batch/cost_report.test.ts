import {CostPart} from './cost_meter.js';
import {CostReport, ProcessUsage} from './cost_report.js';
import {SimulatedFleet} from './simulated_fleet.test_support.js';

/** Usage of a process that a test sets. */
class FakeUsage implements ProcessUsage {
  processor = 500;
  collection = 70;

  processorMs(): number {
    return this.processor;
  }

  garbageCollectionMs(): number {
    return this.collection;
  }
}

describe('CostReport', () => {
  let fleet: SimulatedFleet;
  let usage: FakeUsage;
  let report: CostReport;

  beforeEach(() => {
    fleet = new SimulatedFleet();
    fleet.addWorker('w1');
    usage = new FakeUsage();
    report = new CostReport(fleet.scheduler.state, usage);
  });

  /** Fields of the lines that were logged. */
  function lines(): readonly Readonly<Record<string, unknown>>[] {
    return fleet.entries
      .filter(({decision}) => decision === 'costs')
      .map(({fields}) => fields);
  }

  it('logs one line an interval with the difference to the last', () => {
    // Guards against a line with each check, and against totals in place of
    // the figures of the interval.
    const {costs} = fleet.scheduler.state;
    costs.measure(CostPart.SCANS, () => fleet.clock.advance(12.34));
    fleet.clock.advance(1900);
    report.run();
    expect(lines()).toHaveLength(0);
    usage.processor += 300;
    usage.collection += 20;
    fleet.clock.advance(100);
    report.run();
    report.run();
    fleet.clock.advance(2000);
    costs.measure(CostPart.SCANS, () => fleet.clock.advance(1));
    report.run();
    const [first, second] = lines();
    expect(lines()).toHaveLength(2);
    expect(first).toMatchObject({ms: 2012.3, cpuMs: 300, gcMs: 20});
    expect(first['parts']).toMatchObject({scans: {ms: 12.3, operations: 1}});
    expect(second).toMatchObject({ms: 2001, cpuMs: 0, gcMs: 0});
    expect(second['parts']).toMatchObject({scans: {ms: 1, operations: 1}});
  });

  it('leaves out what was used before the term', () => {
    // Guards against a first line that charges the term for the takeover.
    const {costs} = fleet.scheduler.state;
    costs.measure(CostPart.LIST, () => fleet.clock.advance(900));
    usage.processor += 800;
    report = new CostReport(fleet.scheduler.state, usage);
    fleet.clock.advance(2000);
    report.run();
    expect(lines()[0]).toMatchObject({ms: 2000, cpuMs: 0});
    expect(lines()[0]['parts']).toMatchObject({list: {ms: 0, operations: 0}});
  });

  it('has the operations of the scheduler', () => {
    // Guards against a part of the scheduler that is no longer measured.
    fleet.submit('a', [{count: 3}]);
    fleet.submit('b', [{count: 1, cpuMilli: 99_000}]);
    fleet.run(2000);
    report.run();
    const [line] = lines();
    expect(line).toMatchObject({workers: 1, starts: 3, ends: 3, waiting: 1});
    const counts = new Map(
      Object.entries(line['parts'] as Record<string, {operations: number}>).map(
        ([part, {operations}]) => [part, operations],
      ),
    );
    const ticks = 40;
    expect(counts.get(CostPart.REPORTS)).toBe(ticks);
    expect(counts.get(CostPart.PACING)).toBe(ticks);
    expect(counts.get(CostPart.CHECKS)).toBe(ticks);
    expect(counts.get(CostPart.SCANS)).toBe(line['batches']);
    expect(counts.get(CostPart.RECORDS)).toBe(line['batches']);
  });
});

import {ManualClock} from '../../common/base/manual_clock.js';
import {CostMeter, CostPart} from '../../common/batch/cost_meter.js';
import {Metrics} from '../metrics.js';
import {MeteredDecisionLog} from './metered_decision_log.js';

describe('MeteredDecisionLog', () => {
  it('has the totals of the costs by part, however often it is read', async () => {
    // Guards against counters that grow with each read of the metrics.
    const clock = new ManualClock();
    const costs = new CostMeter(clock);
    const log = new MeteredDecisionLog(
      {decide: () => {}},
      new Metrics(),
      costs,
    );
    costs.measure(CostPart.SCANS, () => clock.advance(7));
    await log.text();
    costs.measure(CostPart.SCANS, () => clock.advance(5));
    const text = await log.text();
    expect(text).toContain(
      'jasminegauge_scheduler_part_milliseconds_total{part="scans"} 12\n',
    );
    expect(text).toContain(
      'jasminegauge_scheduler_part_operations_total{part="scans"} 2\n',
    );
    const labels = text.match(/part_operations_total\{/g);
    expect(labels).toHaveLength(Object.keys(CostPart).length);
  });
});

import {checkRefusals} from '../src/common/jobs/invariant_checks.test_support.js';
import {FakeDataCentre} from '../src/common/jobs/fake_data_centre.test_support.js';
import {runSoak} from './soak_run.js';

/** Fixed seeds, so that every CI run has the same result. */
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

describe('leadership, stream and scheduler in one simulation with faults', () => {
  it.each(SEEDS)('violates no invariant and finishes jobs (seed %d)', seed => {
    const {violations, finished, trace} = runSoak(seed);
    if (violations.length > 0) {
      throw new Error([...violations, ...trace.slice(-80)].join('\n'));
    }
    expect(finished).toBeGreaterThan(0);
  });

  it('has callers whose jobs were refused', () => {
    // Guards against a check of refused jobs that has no job to check.
    const refused = SEEDS.map(seed => runSoak(seed).refused);
    expect(Math.max(...refused)).toBeGreaterThan(0);
  });

  it('finds a job that ran although it was refused as not run', () => {
    // Guards against a check that passes whatever ran.
    const ledger = [{job: 'a'}, {job: 'b'}];
    const callers = [
      {job: 'b', provenNotRun: true},
      {job: 'c', provenNotRun: true},
      {job: 'a', provenNotRun: false},
    ];
    const checked = {ledger, callers} as unknown as FakeDataCentre;
    expect(checkRefusals(checked)).toHaveLength(1);
  });
});

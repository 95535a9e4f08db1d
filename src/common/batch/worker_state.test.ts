import {Millis, SECOND} from '../base/clock.js';
import {LeaseAccount, MAX_CALL_DELAY_MS} from './lease_account.js';
import {LEASE_TIMINGS} from './lease_timings.test_support.js';
import {Run, WorkerState} from './worker_state.js';

const FORMER = 100;
const LATER = 200;
const SHOWN_AT: Millis = 60 * SECOND;

describe('WorkerState.leaseEndOf', () => {
  let worker: WorkerState;

  beforeEach(() => {
    worker = new WorkerState('w1', new LeaseAccount(LEASE_TIMINGS));
    worker.onRespondingIncarnation(FORMER);
    worker.lease.grant(SHOWN_AT);
    worker.onListedIncarnation(LATER, SHOWN_AT);
  });

  /** End of the leases of a run that was shown at a time. */
  function leaseEnd(fields: Partial<Run>): Millis {
    const run = {born: FORMER, startSentAt: SECOND, attributedAt: SHOWN_AT};
    return worker.leaseEndOf({...run, ...fields} as Run);
  }

  it('counts the intended lease for a run that cannot have moved', () => {
    // Guards against a longer wait for runs that ended with their incarnation.
    const unansweredAt = SHOWN_AT - MAX_CALL_DELAY_MS;
    expect(leaseEnd({})).toBe(worker.lease.intendedEnd);
    expect(leaseEnd({unansweredAt})).toBe(worker.lease.intendedEnd);
    expect(leaseEnd({startSentAt: undefined, attributedAt: 0})).toBe(
      worker.lease.intendedEnd,
    );
  });

  it('counts the longest lease for a run that a later one may have', () => {
    // Guards against a second run beside one that a delayed start began.
    const unansweredAt = SHOWN_AT - MAX_CALL_DELAY_MS + 1;
    expect(worker.lease.longestEnd).toBeGreaterThan(worker.lease.intendedEnd);
    expect(leaseEnd({unansweredAt})).toBe(worker.lease.longestEnd);
    expect(leaseEnd({attributedAt: 0})).toBe(worker.lease.longestEnd);
    expect(leaseEnd({born: LATER})).toBe(worker.lease.longestEnd);
  });
});

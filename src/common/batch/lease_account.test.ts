import {Millis, SECOND} from '../base/clock.js';
import {
  LEASE_EXPIRY_MARGIN_MS,
  LeaseAccount,
  MAX_CALL_DELAY_MS,
} from './lease_account.js';
import {LEASE_TIMINGS} from './lease_timings.test_support.js';

/** Longest lease on the slowest clock, and the margin after it. */
const LONGEST_MS: Millis = 10_000 * 1.02 + LEASE_EXPIRY_MARGIN_MS;
const INTENDED_MS: Millis = 6000 * 1.02 + LEASE_EXPIRY_MARGIN_MS;

describe('LeaseAccount', () => {
  let lease: LeaseAccount;

  beforeEach(() => {
    lease = new LeaseAccount(LEASE_TIMINGS);
  });

  it('ends a lease after its duration while one incarnation is known', () => {
    // Guards against tasks of a lost worker that wait longer than needed (LOST).
    lease.grant(1000);
    expect(lease.longestEnd).toBe(1000 + INTENDED_MS);
    expect(lease.mayBeLong(1000)).toBe(false);
  });

  it('expects the longest lease after the longest delay of a call', () => {
    // Guards against a lease that a later incarnation, which was never heard
    // from, takes from a delayed call.
    lease.grant(1000);
    lease.onLaterIncarnation();
    const executedBy = 1000 + MAX_CALL_DELAY_MS;
    expect(lease.longestEnd).toBe(executedBy + LONGEST_MS);
    expect(lease.intendedEnd).toBe(1000 + INTENDED_MS);
  });

  it('includes calls that were sent after a restart was listed', () => {
    // Guards against calls that still use the clock of the earlier incarnation.
    lease.grant(1000);
    lease.onLaterIncarnation();
    lease.grant(1500);
    lease.endMisdirectedCalls();
    lease.grant(2000);
    const executedBy = 1500 + MAX_CALL_DELAY_MS;
    expect(lease.longestEnd).toBe(executedBy + LONGEST_MS);
  });

  it('counts the longest lease from the fence at most', () => {
    // Guards against a wait for delayed calls that the worker refuses.
    lease.grant(1000);
    lease.onLaterIncarnation();
    lease.endMisdirectedCalls();
    lease.onFenced(1300);
    lease.grant(1400);
    lease.onFenced(5000);
    expect(lease.longestEnd).toBe(1300 + LONGEST_MS);
    expect(lease.mayBeLong(1300 + LONGEST_MS)).toBe(false);
    lease.grant(9000);
    expect(lease.longestEnd).toBe(9000 + INTENDED_MS);
    expect(lease.mayBeLong(1300 + LONGEST_MS)).toBe(false);
  });

  it('forgets the fence when a further incarnation is known', () => {
    // Guards against a fence that only an incarnation that has ended had seen.
    lease.grant(1000);
    lease.onLaterIncarnation();
    lease.onFenced(1300);
    lease.grant(2000);
    lease.onLaterIncarnation();
    const executedBy = 2000 + MAX_CALL_DELAY_MS;
    expect(lease.longestEnd).toBe(executedBy + LONGEST_MS);
  });

  it('counts calls of earlier schedulers until their authority ends', () => {
    // Guards against a successor that knows only of its own calls.
    lease.inherit(4000);
    lease.onLaterIncarnation();
    const executedBy = 4000 + MAX_CALL_DELAY_MS;
    expect(lease.longestEnd).toBe(executedBy + LONGEST_MS);
    lease.limitInherited(3000);
    expect(lease.longestEnd).toBe(executedBy - SECOND + LONGEST_MS);
  });

  it('keeps an end that an earlier scheduler has recorded', () => {
    // Guards against a long lease that is forgotten once the predecessor is
    // known to have ended.
    lease.inheritEnd(20_000);
    lease.limitInherited(3000);
    expect(lease.intendedEnd).toBe(20_000);
  });

  it('counts a lease that a response shows to be longer than intended', () => {
    // Guards against an answer of a later incarnation that nothing else shows.
    lease.grant(1000);
    lease.onGrantAnswered(4_000_000, 1050);
    expect(lease.intendedEnd).toBe(1050 + LONGEST_MS);
  });

  it.each([6000, 4000, -4_000_000])(
    'ignores a response that leaves %d ms of the lease',
    leftMs => {
      // Guards against longer waits for each call that is answered.
      lease.grant(1000);
      lease.onGrantAnswered(leftMs, 1050);
      expect(lease.intendedEnd).toBe(1000 + INTENDED_MS);
    },
  );
});

import {LeaseTimings} from './lease_account.js';

/** Durations for tests whose leases don't matter. */
export const LEASE_TIMINGS: LeaseTimings = {
  leaseMs: 6000,
  longestLeaseMs: 10_000,
};

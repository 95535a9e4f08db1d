import {
  Election,
  FIRST_CLAIM_DELAY_MS,
  isWeaker,
  SCHEDULER_TIMEOUT_MS,
  WEAK_CANDIDATE_DELAY_MS,
} from './election.js';
import {SchedulerRecord} from './job_records.js';

const OTHER: SchedulerRecord = {
  epoch: 1,
  instance: 'b',
  incarnation: 'b1',
  resigned: false,
};

describe('isWeaker', () => {
  it('compares with the instance that has the most processors', () => {
    // Guards against instances of about the same size that yield to each other.
    expect(isWeaker(0.324, [1.35, 0.324])).toBe(true);
    expect(isWeaker(1.35, [1.35, 0.324])).toBe(false);
    expect(isWeaker(0.6, [0.675])).toBe(false);
    expect(isWeaker(0.3, [])).toBe(false);
  });
});

describe('Election', () => {
  let election: Election;

  beforeEach(() => {
    election = new Election('a1', 100, 0);
    election.onLogReadable(0);
  });

  it('makes the first claim after instances could discover each other', () => {
    // Guards against a first claim by a weak instance that knows of no other.
    expect(election.timeUntilClaim(0)).toBe(FIRST_CLAIM_DELAY_MS + 100);
    expect(election.timeUntilClaim(FIRST_CLAIM_DELAY_MS + 100)).toBe(0);
  });

  it('delays its claim for instances with more processors', () => {
    // Guards against a scheduler on a small instance, which can't keep up with
    // hundreds of workers: it missed its heartbeats, and the role passed from
    // one small instance to the next.
    election.setWeak(true);
    election.onHeartbeat({...OTHER, resigned: true}, 1000);
    expect(election.timeUntilClaim(1000)).toBe(WEAK_CANDIDATE_DELAY_MS + 100);
    election.setWeak(false);
    expect(election.timeUntilClaim(1000)).toBe(100);
  });

  it('makes no claim while the scheduler sends heartbeats', () => {
    // Guards against the replacement of a scheduler that is alive.
    for (let now = 0; now < 10_000; now += 400) {
      election.onHeartbeat(OTHER, now);
      expect(election.timeUntilClaim(now + 399)).toBeGreaterThan(0);
    }
  });

  it('claims the role after the heartbeat timeout', () => {
    // Guards against a failed scheduler that is never replaced.
    election.onHeartbeat(OTHER, 1000);
    expect(election.timeUntilClaim(1000 + SCHEDULER_TIMEOUT_MS + 100)).toBe(0);
  });

  it('does not count an outage of the log towards the timeout', () => {
    // Guards against a needless takeover: the outage hides the heartbeats.
    election.onHeartbeat(OTHER, 1000);
    election.onLogUnreadable();
    expect(election.timeUntilClaim(60_000)).toBeUndefined();
    election.onLogReadable(60_000);
    expect(election.timeUntilClaim(60_000)).toBe(SCHEDULER_TIMEOUT_MS + 100);
  });

  it('claims at once after a resignation', () => {
    // Guards against a wait for heartbeats of a scheduler that has stopped.
    election.onHeartbeat({...OTHER, resigned: true}, 1000);
    expect(election.timeUntilClaim(1000)).toBe(100);
  });

  it('claims at once after its own claim got no response', () => {
    // Guards against a wait for heartbeats: the stored claim is its own.
    election.onHeartbeat({...OTHER, incarnation: 'a1'}, 1000);
    expect(election.timeUntilClaim(1000)).toBe(100);
  });

  it('waits longer after several quick takeovers in a row', () => {
    // Guards against takeovers that follow each other without end: a scheduler
    // that is slow under its load is silent at times, and a takeover adds load.
    let record = OTHER;
    let now = 1000;
    const timeouts: number[] = [];
    for (let epoch = 2; epoch <= 6; epoch++) {
      election.onHeartbeat(record, now);
      timeouts.push(election.timeUntilClaim(now)! - 100);
      now += 3000;
      const quickTakeovers = election.quickTakeovers(now);
      record = {...OTHER, epoch, quickTakeovers};
    }
    expect(timeouts.map(timeout => timeout / SCHEDULER_TIMEOUT_MS)).toEqual([
      1, 1, 1, 2, 2,
    ]);
  });

  it('counts no quick takeover right after its own start', () => {
    // Guards against a slow takeover after all instances have lost power: each
    // reads the record of a scheduler whose term began long before.
    election.onHeartbeat({...OTHER, quickTakeovers: 2}, 1000);
    expect(election.quickTakeovers(3000)).toBe(0);
  });

  it('counts no quick takeover after a long term or a resignation', () => {
    // Guards against a slow takeover from a scheduler that has failed.
    const record = {...OTHER, quickTakeovers: 3};
    election.onHeartbeat(record, 1000);
    expect(election.quickTakeovers(60_000)).toBe(0);
    election.onHeartbeat({...record, epoch: 2, resigned: true}, 61_000);
    expect(election.quickTakeovers(62_000)).toBe(0);
  });
});

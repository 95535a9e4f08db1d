import {Millis} from '../../base/clock.js';
import {
  priorityRank,
  RejectedRequest,
  RejectionCause,
  retryAfterSeconds,
} from './retry_after.js';

const REQUEST: RejectedRequest = {
  cause: RejectionCause.STORE_DOWN,
  outageAgeMs: 0,
  waitingCallers: 0,
  rank: 0.5,
  spread: 0.5,
  releaseTimeMs: 0,
  callerTimeMs: Infinity,
};

/** Attempts of one caller, and the load that each case names. */
const ATTEMPTS = 4;
const CALLERS = 1000;

/** Values that spread callers evenly. */
function spreads(): number[] {
  return Array.from({length: CALLERS}, (_, index) => (index + 0.5) / CALLERS);
}

/** Time at which a caller is served, in ms of the outage; undefined if never. */
function servedAt(
  arrival: Millis,
  end: Millis,
  spread: number,
): Millis | undefined {
  let time = arrival;
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    if (time >= end) return time;
    // The spread of a caller differs between its attempts.
    const request = {
      ...REQUEST,
      outageAgeMs: time,
      spread: (spread + attempt * 0.37) % 1,
    };
    time += retryAfterSeconds(request) * 1000;
  }
  return undefined;
}

describe('retryAfterSeconds', () => {
  it.each([3000, 6000, 9000])(
    'lets most of 1,000 callers return after an outage of %d ms',
    end => {
      // Guards against callers whose four attempts all fall into the outage: a
      // constant second lost two fifths of them.
      const served = spreads()
        .map((spread, index) => servedAt((index / CALLERS) * end, end, spread))
        .filter(time => time !== undefined);
      expect(served.length / CALLERS).toBeGreaterThan(0.85);
      // Guards against jobs that start far later than the store is back.
      const lateness = served.reduce((sum, time) => sum + time - end, 0);
      expect(lateness / served.length).toBeLessThan(2500);
    },
  );

  it('spreads callers of one moment over several seconds', () => {
    // Guards against 1,000 callers that return in the same second.
    const seconds = spreads().map(spread =>
      retryAfterSeconds({...REQUEST, outageAgeMs: 4000, spread}),
    );
    const largest = Math.max(
      ...[1, 2, 3, 4, 5].map(s => seconds.filter(other => other === s).length),
    );
    expect(largest / CALLERS).toBeLessThan(0.7);
  });

  it('lets urgent callers return first', () => {
    // Guards against urgent jobs behind those that can wait.
    const mean = (rank: number) =>
      spreads().reduce(
        (sum, spread) => sum + retryAfterSeconds({...REQUEST, rank, spread}),
        0,
      ) / CALLERS;
    expect(mean(0) + 0.3).toBeLessThan(mean(1));
  });

  it('sends callers to another instance at once when only this one fails', () => {
    // Guards against jobs that wait while the store serves the others.
    const cause = RejectionCause.INSTANCE;
    for (const spread of spreads()) {
      expect(retryAfterSeconds({...REQUEST, cause, spread})).toBe(1);
    }
  });

  it('spreads the callers that exceed a limit over a longer time', () => {
    // Guards against 60 callers that exceed the same limit again together.
    const cause = RejectionCause.LIMITS;
    const seconds = spreads().map(spread =>
      retryAfterSeconds({...REQUEST, cause, waitingCallers: 60, spread}),
    );
    expect(new Set(seconds)).toEqual(new Set([1, 2, 3]));
  });

  it('lets a caller return while it still waits for a response', () => {
    // Guards against callers with 3 s in all that are told to return after it.
    for (const spread of spreads()) {
      const late = {...REQUEST, outageAgeMs: 5000, spread};
      const first = retryAfterSeconds({...late, callerTimeMs: 3000});
      expect(first).toBeLessThanOrEqual(2);
      expect(retryAfterSeconds({...late, callerTimeMs: 900})).toBe(1);
    }
  });

  it('ranks priorities among those of all queues', () => {
    // Guards against a rank outside of 0 to 1, or a division by zero.
    expect(priorityRank(0, [0, 2, 0])).toBe(0);
    expect(priorityRank(2, [0, 2, 0])).toBe(1);
    expect(priorityRank(7, [7])).toBe(0.5);
    expect(priorityRank(7, [])).toBe(0.5);
  });
});

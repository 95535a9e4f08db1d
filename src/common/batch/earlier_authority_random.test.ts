import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Millis} from '../base/clock.js';
import {earlierAuthorityEnd, TermReading} from './earlier_authority.js';
import {SchedulerRecord} from './job_records.js';

const AUTHORITY_MS: Millis = 5000;

/** Longest time between two heartbeats of a scheduler that is not disturbed. */
const HEARTBEAT_MS: Millis = 300;

/** Longest time from the sending of a heartbeat until a candidate reads it. */
const MAX_DELAY_MS: Millis = 1500;

const SEEDS = 4000;

/** What is true of a term; no instance knows all of it. */
interface Term {
  /** Time until which its scheduler may grant leases. */
  readonly authorityEnd: Millis;
  /** Time at which its process ended; Infinity if it goes on. */
  readonly processEnd: Millis;
  /** Its last record as the candidate reads it. */
  readonly reading: TermReading;
}

/** What the successor takes for the end of all earlier authority. */
type Bound = (now: Millis, predecessor: TermReading, endedBy: Millis) => Millis;

/** The terms of a random log, and the bound that their successor computes. */
class RandomLog {
  private readonly generator;
  private readonly terms: Term[] = [];
  private time: Millis = 0;

  constructor(
    seed: number,
    private readonly bound: Bound,
  ) {
    this.generator = xoroshiro128plus(seed);
    const terms = 2 + Math.floor(4 * this.next());
    for (let term = 0; term < terms; term++) this.playTerm(term);
  }

  private next(): number {
    return uniformFloat64(this.generator);
  }

  /** Time by which no scheduler of the terms so far grants leases. */
  private get truth(): Millis {
    return Math.max(...this.terms.map(({authorityEnd}) => authorityEnd));
  }

  private earlierBound(now: Millis): Millis {
    const last = this.terms.at(-1);
    if (last === undefined) return now;
    // The news that a process has ended may not have arrived.
    const isTold = last.processEnd <= now && this.next() < 0.7;
    const endedBy = isTold ? last.processEnd : Infinity;
    return this.bound(now, last.reading, endedBy);
  }

  /** A claim, some heartbeats, and the silence or end of the process. */
  private playTerm(epoch: number): void {
    const claimedAt = this.time;
    let sentAt = claimedAt;
    let writtenAt = claimedAt;
    const begunAt = claimedAt + 400 * this.next();
    const earlierEnd = this.earlierBound(begunAt);
    const beats = Math.floor(30 * this.next() ** 2);
    for (let beat = 0; beat < beats; beat++) {
      writtenAt = sentAt + HEARTBEAT_MS;
      sentAt = writtenAt + 50 * this.next();
    }
    const isCut = this.next() < 0.5;
    const processEnd = isCut ? Infinity : sentAt + 200 * this.next();
    const readAt = sentAt + MAX_DELAY_MS * this.next();
    const hasBegun = beats > 0 && writtenAt >= begunAt;
    const record: SchedulerRecord = {
      epoch,
      instance: 'e',
      incarnation: String(epoch),
      resigned: false,
      authorityMs: AUTHORITY_MS,
      earlierAuthorityMs: hasBegun
        ? Math.max(0, earlierEnd - writtenAt)
        : undefined,
    };
    this.terms.push({
      authorityEnd: Math.min(sentAt + AUTHORITY_MS, processEnd),
      processEnd,
      reading: {record, readAt},
    });
    this.time = Math.max(readAt, sentAt + 1100);
  }

  /** Whether the next successor takes the authority for over too early. */
  get isTooEarly(): boolean {
    const now = this.time + 400 * this.next();
    const bound = Math.max(now, this.earlierBound(now));
    return bound < this.truth;
  }
}

/** Number of random logs for which a bound is too early. */
function failures(bound: Bound): number {
  let count = 0;
  for (let seed = 1; seed <= SEEDS; seed++) {
    if (new RandomLog(seed, bound).isTooEarly) count++;
  }
  return count;
}

describe('earlierAuthorityEnd in random sequences of terms', () => {
  it('is never before the last lease that an earlier scheduler grants', () => {
    // Guards against two runs of a task: a successor that takes leases for over
    // while a scheduler before it, cut off from the store, extends them.
    const bound: Bound = (now, predecessor, endedBy) =>
      earlierAuthorityEnd(now, predecessor, endedBy, AUTHORITY_MS);
    expect(failures(bound)).toBe(0);
  });

  // Guards against a test that no fault of the rule can fail.
  it.each<[string, Bound]>([
    [
      'the end of the predecessor ends all authority',
      (_now, {readAt}, endedBy) => Math.min(readAt + AUTHORITY_MS, endedBy),
    ],
    [
      'a term that had not begun had nobody before it',
      (now, {record, readAt}, endedBy) =>
        earlierAuthorityEnd(
          now,
          {
            record: {
              ...record,
              earlierAuthorityMs: record.earlierAuthorityMs ?? 0,
            },
            readAt,
          },
          endedBy,
          AUTHORITY_MS,
        ),
    ],
    [
      'the authority counts from an earlier heartbeat',
      (now, {record, readAt}, endedBy) =>
        earlierAuthorityEnd(
          now,
          {record, readAt: readAt - MAX_DELAY_MS},
          endedBy,
          AUTHORITY_MS,
        ),
    ],
    [
      'a silent predecessor has ended',
      (now, predecessor) =>
        earlierAuthorityEnd(now, predecessor, now, AUTHORITY_MS),
    ],
  ])('notices the mistake that %s', (_name, bound) => {
    expect(failures(bound)).toBeGreaterThan(0);
  });
});

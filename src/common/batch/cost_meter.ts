import {Clock, Millis} from '../base/clock.js';

/** Parts of the scheduler whose cost is measured. */
export const CostPart = {
  /** Processing of workers' reports, without pacing. */
  REPORTS: 'reports',
  /** Choice of the paces of best-effort runs, and sending them. */
  PACING: 'pacing',
  /** Building and sending lease renewals. */
  RENEWALS: 'renewals',
  /** Sending starts and handling the responses. */
  STARTS: 'starts',
  /** Sending stops and handling the responses. */
  STOPS: 'stops',
  /** Building and encoding the records of a batch. */
  RECORDS: 'records',
  /** Scans of the waiting tasks for placement. */
  SCANS: 'scans',
  /** Checks that depend on time alone. */
  CHECKS: 'checks',
  /** Encoding and decoding frames of relays. */
  CODECS: 'codecs',
  /** Decoding and applying workers' entries. */
  LIST: 'list',
} as const;
export type CostPart = (typeof CostPart)[keyof typeof CostPart];

/** Events that are counted beside the cost. */
export const CostEvent = {
  /** A worker accepted a start. */
  START: 'start',
  /** A worker reported the end of a run. */
  END: 'end',
  /** A batch of records was taken. */
  BATCH: 'batch',
} as const;
export type CostEvent = (typeof CostEvent)[keyof typeof CostEvent];

/** Time spent in a part, and its number of operations. */
export interface Cost {
  readonly ms: Millis;
  readonly operations: number;
}

/** Cost of each part, without that of other parts which it called. */
export type CostsByPart = Readonly<Record<CostPart, Cost>>;

/** A cost that is being added up. */
interface CostTotal {
  ms: Millis;
  operations: number;
}

/**
 * Adds up the time that the scheduler spends in each of its parts. The time is
 * that of the clock: where the operating system holds up the process, the sum
 * exceeds its processor time.
 */
export class CostMeter {
  private readonly totals = newTotals();
  private readonly events: Record<CostEvent, number> = {
    [CostEvent.START]: 0,
    [CostEvent.END]: 0,
    [CostEvent.BATCH]: 0,
  };
  /** Part to which the time since `since` belongs; undefined for none. */
  private current: CostTotal | undefined;
  private since: Millis = 0;

  constructor(private readonly clock: Clock) {}

  /**
   * Runs `work` and adds its time to a part. A nested call takes its time out of
   * the outer part. Of an asynchronous function, only the time until it first
   * waits is added.
   * @param operations added to the operations of the part; 0 for a section that
   *     belongs to an operation counted elsewhere.
   */
  measure<T>(part: CostPart, work: () => T, operations = 1): T {
    const outer = this.current;
    const total = this.totals[part];
    total.operations += operations;
    this.enter(total);
    try {
      return work();
    } finally {
      this.enter(outer);
    }
  }

  count(event: CostEvent): void {
    this.events[event]++;
  }

  /** Number of events of a kind since the meter was created. */
  countOf(event: CostEvent): number {
    return this.events[event];
  }

  /** Returns the costs since the meter was created. */
  snapshot(): CostsByPart {
    const copy = newTotals();
    for (const part of Object.values(CostPart)) {
      copy[part] = {...this.totals[part]};
    }
    return copy;
  }

  private enter(total: CostTotal | undefined): void {
    const now = this.clock.now();
    if (this.current !== undefined) this.current.ms += now - this.since;
    this.current = total;
    this.since = now;
  }
}

function newTotals(): Record<CostPart, CostTotal> {
  const entries = Object.values(CostPart).map(part => [
    part,
    {ms: 0, operations: 0},
  ]);
  return Object.fromEntries(entries) as Record<CostPart, CostTotal>;
}

import {Millis, SECOND} from '../base/clock.js';
import {Cost, CostEvent, CostPart, CostsByPart} from './cost_meter.js';
import {reservedShares, roundShare} from './reserved_shares.js';
import {SchedulerState} from './scheduler_state.js';
import {isUsable} from './worker_exclusion.js';

/** Interval of the log lines with the scheduler's costs. */
const REPORT_INTERVAL_MS: Millis = 2 * SECOND;

/** Reads what the process has used since its start. */
export interface ProcessUsage {
  /** Processor time of all threads. */
  processorMs(): Millis;
  /** Time for which garbage collection stopped the main thread. */
  garbageCollectionMs(): Millis;
}

/** Totals at the begin of an interval. */
interface Totals {
  readonly at: Millis;
  readonly costs: CostsByPart;
  readonly processorMs: Millis;
  readonly garbageCollectionMs: Millis;
  readonly starts: number;
  readonly ends: number;
  readonly batches: number;
}

/** Logs once per interval of a term what the scheduler spent its time on. */
export class CostReport {
  private previous: Totals;

  constructor(
    private readonly state: SchedulerState,
    private readonly usage: ProcessUsage,
  ) {
    this.previous = this.totals();
  }

  /** Logs the costs of the interval if it is over. */
  run(): void {
    const {previous, state} = this;
    if (state.now() - previous.at < REPORT_INTERVAL_MS) return;
    const current = this.totals();
    this.previous = current;
    const usable = [...state.workers.values()].filter(worker =>
      isUsable(worker, current.at),
    );
    const {all, perpetual} = reservedShares(usable);
    state.log.decide('costs', {
      ms: round(current.at - previous.at),
      cpuMs: round(current.processorMs - previous.processorMs),
      gcMs: round(current.garbageCollectionMs - previous.garbageCollectionMs),
      workers: state.workers.size,
      usable: usable.length,
      reserved: roundShare(all),
      reservedForGood: roundShare(perpetual),
      starts: current.starts - previous.starts,
      ends: current.ends - previous.ends,
      waiting: state.waitingTasks.size,
      batches: current.batches - previous.batches,
      parts: partsBetween(previous.costs, current.costs),
    });
  }

  private totals(): Totals {
    const {state, usage} = this;
    const {costs} = state;
    return {
      at: state.now(),
      costs: costs.snapshot(),
      processorMs: usage.processorMs(),
      garbageCollectionMs: usage.garbageCollectionMs(),
      starts: costs.countOf(CostEvent.START),
      ends: costs.countOf(CostEvent.END),
      batches: costs.countOf(CostEvent.BATCH),
    };
  }
}

/** Costs between two snapshots of a meter. */
function partsBetween(
  before: CostsByPart,
  after: CostsByPart,
): Record<string, Cost> {
  const parts: Record<string, Cost> = {};
  for (const part of Object.values(CostPart)) {
    parts[part] = {
      ms: round(after[part].ms - before[part].ms),
      operations: after[part].operations - before[part].operations,
    };
  }
  return parts;
}

/** Rounds a time to a tenth of a millisecond. */
function round(duration: Millis): Millis {
  return Math.round(duration * 10) / 10;
}

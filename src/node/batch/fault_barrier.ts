import {Clock, Millis, SECOND} from '../../common/base/clock.js';
import {DecisionLog} from '../../common/batch/scheduler_state.js';

/** Faults within this time after which the process is no longer trusted. */
const MAX_FAULTS = 20;
const FAULT_WINDOW_MS: Millis = 10 * SECOND;

/**
 * Last resort for errors that nothing else has handled. Each is logged and
 * counted, and the process goes on: its other requests and its leases are not
 * concerned. Only when they recur at a high rate is the process to be restarted.
 */
export class FaultBarrier {
  /** Local times of the latest faults. */
  private readonly times: Millis[] = [];

  /** @param onLimit called when faults recur at a high rate. */
  constructor(
    private readonly clock: Clock,
    private readonly decisions: DecisionLog,
    private readonly onLimit: () => void,
  ) {}

  onFault(error: unknown): void {
    const text = error instanceof Error ? error.stack : String(error);
    this.decisions.decide('fault', {part: 'process', error: text});
    const now = this.clock.now();
    this.times.push(now);
    while (this.times[0] < now - FAULT_WINDOW_MS) this.times.shift();
    if (this.times.length > MAX_FAULTS) this.onLimit();
  }
}

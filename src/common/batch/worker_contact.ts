import {Millis, SECOND} from '../base/clock.js';
import {isUsable} from './worker_exclusion.js';
import {WorkerState} from './worker_state.js';

/** Time without a usable worker after which the workers count as unreachable. */
const UNREACHABLE_AFTER_MS: Millis = SECOND;

/** The same for a scheduler that has not heard from a worker yet. */
const FIRST_CONTACT_MS: Millis = 2.5 * SECOND;

/** Longest time between two calls that counts, as after a pause. */
const MAX_CALL_INTERVAL_MS: Millis = 0.3 * SECOND;

/** Tracks for how long none of a scheduler's workers has been usable. */
export class WorkerContact {
  private unusableMs: Millis = 0;
  private limitMs: Millis = FIRST_CONTACT_MS;
  private calledAt: Millis | undefined;

  /** Whether a worker is usable. */
  get isPresent(): boolean {
    return this.unusableMs === 0;
  }

  /** Whether no worker has been usable for too long. */
  get isLost(): boolean {
    return this.unusableMs >= this.limitMs;
  }

  /**
   * Returns the time since the last call. A pause of this process counts only
   * in part, as the workers could not respond during it.
   */
  update(workers: Iterable<WorkerState>, now: Millis): Millis {
    const sinceLast = now - (this.calledAt ?? now);
    const elapsed = Math.min(sinceLast, MAX_CALL_INTERVAL_MS);
    this.calledAt = now;
    this.unusableMs += elapsed;
    for (const worker of workers) {
      if (!isUsable(worker, now)) continue;
      this.unusableMs = 0;
      this.limitMs = UNREACHABLE_AFTER_MS;
      break;
    }
    return elapsed;
  }
}

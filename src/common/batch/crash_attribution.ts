import {Millis} from '../base/clock.js';
import {JobLifecycle} from './job_lifecycle.js';
import {SchedulerState} from './scheduler_state.js';
import {WorkerListing} from './types.js';
import {Run, WorkerState} from './worker_state.js';

/**
 * Time after its start request in which a run may be the cause of a crash of
 * its worker. Crashes under tasks that run for long have other causes.
 */
const CRASH_ONSET_MS: Millis = 30_000;

/**
 * Time for which runs are remembered that were declared lost with their worker,
 * to learn whether it had crashed.
 */
const CRASH_EVIDENCE_MS: Millis = 30_000;

/**
 * Workers of one rack that restart within a time, from which on the rack counts
 * as the cause, as after a loss of power.
 */
const RACK_LOSS_WORKERS = 3;
const RACK_LOSS_WINDOW_MS: Millis = 2000;

/** Runs that were declared lost while their worker was unreachable. */
interface LostRuns {
  /** Incarnation of the worker, in ms since 1970. */
  readonly born: number;
  readonly runs: readonly Run[];
  readonly lostAt: Millis;
}

/**
 * Decides which crashes of workers count against the tasks that ran there. A
 * worker that restarted has crashed; one that was cut off returns as the same
 * incarnation. Not counted are workers that drained before, and those of a rack
 * that was down as a whole.
 */
export class CrashAttribution {
  /** Runs whose end is unknown, by the address of their worker. */
  private readonly lostRuns = new Map<string, LostRuns>();

  constructor(
    private readonly state: SchedulerState,
    private readonly lifecycle: JobLifecycle,
  ) {}

  /** Remembers runs that were declared lost when their worker's lease ended. */
  onLost({address, born}: WorkerState, runs: readonly Run[]): void {
    const known = this.lostRuns.get(address);
    const earlier = known?.born === born ? known.runs : [];
    const lostAt = this.state.now();
    this.lostRuns.set(address, {born, runs: [...earlier, ...runs], lostAt});
  }

  /** Handles the return of a worker that was cut off. */
  onSameIncarnation({address}: WorkerState): void {
    this.lostRuns.delete(address);
  }

  /**
   * Finds workers that crashed and were down for longer than their lease: a
   * later incarnation is listed at their address.
   */
  onListings(listings: Iterable<WorkerListing>): void {
    if (this.lostRuns.size === 0) return;
    for (const {address, born} of listings) {
      const lost = this.lostRuns.get(address);
      if (lost === undefined || born <= lost.born) continue;
      this.lostRuns.delete(address);
      for (const run of lost.runs) {
        if (!this.mayHaveCrashed(run)) continue;
        this.lifecycle.countCrash(run.task, run.attempt);
      }
    }
    const oldest = this.state.now() - CRASH_EVIDENCE_MS;
    for (const [address, {lostAt}] of this.lostRuns) {
      if (lostAt < oldest) this.lostRuns.delete(address);
    }
  }

  /** Ends a run whose worker has restarted. */
  endRun(run: Run, reason: string): void {
    if (this.mayHaveCrashed(run)) this.lifecycle.onRunCrashed(run, reason);
    else this.lifecycle.onRunLost(run, reason);
  }

  /** Whether the restart of its worker may be due to a run. */
  private mayHaveCrashed(run: Run): boolean {
    const {worker, startSentAt, percent, task} = run;
    if (startSentAt === undefined || worker.wasDraining) return false;
    if (worker.lastResponseAt - startSentAt > CRASH_ONSET_MS) return false;
    // A perpetual run that worked has not crashed its worker at the start.
    if (task.step.shape.perpetual && percent === 100) return false;
    return !this.isRackLost(run);
  }

  /** Whether the rack of a run's worker, which restarted, was down as a whole. */
  private isRackLost({born, worker: {address, rack}}: Run): boolean {
    if (rack === '') return false;
    const listings: WorkerListing[] = [];
    for (const {listing} of this.state.workers.values()) {
      if (listing?.labels[1] === rack) listings.push(listing);
    }
    const restart = listings.find(
      entry => entry.address === address && entry.born > born,
    );
    if (restart === undefined) return false;
    const restarted = listings.filter(
      entry => Math.abs(entry.born - restart.born) < RACK_LOSS_WINDOW_MS,
    );
    return restarted.length >= RACK_LOSS_WORKERS;
  }
}

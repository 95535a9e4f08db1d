import {Millis} from '../base/clock.js';
import {Quarantine} from './quarantine.js';
import {SchedulerState} from './scheduler_state.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';

/**
 * Time without progress after which a run with reserved processors is moved.
 */
const STALL_TIMEOUT_MS: Millis = 2500;

/** STALL_TIMEOUT_MS for best-effort runs, which may wait for processors. */
const BEST_EFFORT_STALL_TIMEOUT_MS: Millis = 5000;

/** STALL_TIMEOUT_MS for perpetual runs that don't report that they work. */
const PERPETUAL_STALL_TIMEOUT_MS: Millis = 4000;

/**
 * Share of a task's expected run time that it may go without progress.
 * Progress is reported in whole percent, so a long task reports it rarely.
 */
const STALL_TOLERANCE = 0.05;

/** Pace in percent below which a best-effort run never counts as stalled. */
const MIN_CHECKED_PACE = 50;

/** Number of stalled runs after which their worker is quarantined. */
const STALLS_TO_QUARANTINE = 2;

/** Moves runs that make no progress although their worker still reports. */
export class StallDetector {
  /** Stalled runs since the last quarantine for stalls, by worker. */
  private readonly stallCounts = new WeakMap<WorkerState, number>();

  constructor(
    private readonly state: SchedulerState,
    private readonly quarantine: Quarantine,
  ) {}

  /** Stops the stalled runs, so that they are placed again. */
  run(): void {
    for (const worker of this.state.workers.values()) {
      if (!worker.isResponsive || worker.isDraining) continue;
      for (const run of worker.runs.values()) {
        if (this.isStalled(run)) this.move(run);
      }
    }
  }

  private isStalled(run: Run): boolean {
    if (run.phase !== RunPhase.RUNNING) return false;
    const {shape} = run.task.step;
    if (shape.gang) return false;
    const {worker} = run;
    // Time since the last report doesn't count: it may hide progress.
    const since = Math.max(run.lastProgressAt, run.confirmedAt);
    const stalledFor = worker.lastResponseAt - since;
    if (shape.perpetual) {
      return run.percent < 100 && stalledFor > PERPETUAL_STALL_TIMEOUT_MS;
    }
    const expected = this.state.timePredictor.expectedRunTime(run.task.step);
    const tolerance = expected * STALL_TOLERANCE;
    if (!shape.fills) return stalledFor > Math.max(STALL_TIMEOUT_MS, tolerance);
    const allowed = Math.max(BEST_EFFORT_STALL_TIMEOUT_MS, tolerance);
    return run.pace >= MIN_CHECKED_PACE && stalledFor > allowed;
  }

  private move(run: Run): void {
    const {task, worker} = run;
    task.failedOn = worker.id;
    this.state.stop(run, 'it makes no progress');
    const count = (this.stallCounts.get(worker) ?? 0) + 1;
    this.stallCounts.set(worker, count);
    if (count < STALLS_TO_QUARANTINE) return;
    this.stallCounts.set(worker, 0);
    this.quarantine.impose(run, 'runs on it make no progress');
  }
}

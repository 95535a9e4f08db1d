import {Millis} from '../base/clock.js';
import {SchedulerState} from './scheduler_state.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';

/** Time before a worker leaves by which its runs must have ended. */
const DEPARTURE_MARGIN_MS: Millis = 700;

/** Assumed time until a draining worker leaves if it doesn't report it. */
const DEFAULT_REMAINING_TIME_MS: Millis = 2000;

/**
 * Moves runs away from draining workers. Perpetual runs and runs that can't
 * end before the worker leaves are stopped; all others run to their end.
 */
export class WorkerDrain {
  /** Local times by which the runs of draining workers must have ended. */
  private readonly stopDeadlines = new WeakMap<WorkerState, Millis>();

  constructor(private readonly state: SchedulerState) {}

  /** Stops the runs that have to be moved. */
  run(): void {
    for (const worker of this.state.workers.values()) {
      if (!worker.isDraining || worker.runs.size === 0) continue;
      const deadline = this.stopDeadline(worker);
      for (const run of worker.runs.values()) {
        if (run.phase !== RunPhase.RUNNING) continue;
        if (this.endsBefore(run, deadline)) continue;
        this.state.stop(run, 'its worker drains');
      }
    }
  }

  /** Local time by which the worker's runs must have ended. */
  private stopDeadline(worker: WorkerState): Millis {
    const known = this.stopDeadlines.get(worker);
    if (known !== undefined) return known;
    const remaining = worker.listing?.remainingMs ?? DEFAULT_REMAINING_TIME_MS;
    const deadline = this.state.now() + remaining - DEPARTURE_MARGIN_MS;
    this.stopDeadlines.set(worker, deadline);
    return deadline;
  }

  private endsBefore(run: Run, deadline: Millis): boolean {
    const {shape} = run.task.step;
    if (shape.perpetual) return false;
    const now = this.state.now();
    const age = now - run.confirmedAt;
    const remaining =
      run.percent > 0
        ? (age * (100 - run.percent)) / run.percent
        : this.state.timePredictor.expectedRunTime(run.task.step);
    return now + remaining < deadline;
  }
}

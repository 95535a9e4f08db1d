import {JobTimePredictor} from './job_time_predictor.js';
import {Millis} from '../base/clock.js';
import {Run} from './worker_state.js';

/** Weight of a new ratio in a worker's exponential moving average. */
const SMOOTHING_FACTOR = 0.25;

/** Bounds of the ratio of actual to expected run time, against outliers. */
const MIN_RATIO = 0.25;
const MAX_RATIO = 8;

/** Tracks how slow workers are by the ratio of actual to expected run times. */
export class SlownessTracker {
  constructor(private readonly timePredictor: JobTimePredictor) {}

  /**
   * Updates the worker's slowness when a run is done. Best-effort runs
   * are ignored, as they share processors, and so are perpetual ones.
   */
  onDone(run: Run, now: Millis): void {
    const {step} = run.task;
    const {shape} = step;
    if (shape.fills || shape.perpetual || run.confirmedAt === 0) return;
    const expected = this.timePredictor.expectedRunTime(step);
    const ratio = clampRatio((now - run.confirmedAt) / expected);
    const {worker} = run;
    worker.slowness += SMOOTHING_FACTOR * (ratio - worker.slowness);
  }
}

function clampRatio(ratio: number): number {
  return Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
}

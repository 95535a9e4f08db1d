import {Millis} from '../base/clock.js';
import {
  fullPaceUsage,
  headroom,
  HeadroomForecast,
  servingRuns,
  timeOverTarget,
} from './headroom.js';
import {WorkerState} from './worker_state.js';

/** Time ahead for which load and headroom of serving runs are predicted. */
const LOOKAHEAD_MS: Millis = 1000;

/**
 * Time for which a forecast is kept while the runs stay the same; reports of a
 * worker arrive less often.
 */
const FORECAST_TTL_MS: Millis = 150;

/** What best-effort tasks share with the runs of a worker. */
export interface SharedLoad {
  /** Processors that all runs are expected to use, in thousandths of a core. */
  readonly usedCpuMilli: number;
  /**
   * Expected headroom of the serving runs by image, with best-effort runs at
   * full pace.
   */
  readonly headroomByImage: ReadonlyMap<string, readonly number[]>;
  /** Longest time for which a serving run has been over its target. */
  readonly longestOverTargetMs: Millis;
  /** Highest mean weight of a serving image. */
  readonly maxMeanWeight: number;
}

interface CachedLoad {
  readonly load: SharedLoad;
  readonly runsVersion: number;
  readonly computedAt: Millis;
}

/**
 * Forecasts the load of workers for the placement of best-effort tasks. A scan
 * compares each step with each worker, so a forecast serves all steps until the
 * runs of the worker change.
 */
export class SharedLoads {
  private readonly cache = new WeakMap<WorkerState, CachedLoad>();

  constructor(private readonly forecast: HeadroomForecast) {}

  /** Forecast for a worker at the local time `now`. */
  of(worker: WorkerState, now: Millis): SharedLoad {
    const {runsVersion} = worker;
    const cached = this.cache.get(worker);
    if (
      cached !== undefined &&
      cached.runsVersion === runsVersion &&
      now - cached.computedAt < FORECAST_TTL_MS
    ) {
      return cached.load;
    }
    const load = this.compute(worker, now);
    this.cache.set(worker, {load, runsVersion, computedAt: now});
    return load;
  }

  private compute(worker: WorkerState, now: Millis): SharedLoad {
    const {forecast} = this;
    const headroomByImage = new Map<string, number[]>();
    let longestOverTargetMs = 0;
    let maxMeanWeight = 0;
    // Slowed runs will use any headroom to speed up, so all count at full pace.
    const usage = fullPaceUsage(worker);
    for (const run of servingRuns(worker)) {
      const {image} = run.task.step.shape;
      const expected = forecast.predict(run, usage, now, LOOKAHEAD_MS);
      const lowest = Math.min(expected, headroom(run));
      const known = headroomByImage.get(image);
      if (known === undefined) headroomByImage.set(image, [lowest]);
      else known.push(lowest);
      longestOverTargetMs = Math.max(
        longestOverTargetMs,
        timeOverTarget(run, now),
      );
      maxMeanWeight = Math.max(maxMeanWeight, forecast.meanWeight(image));
    }
    return {
      usedCpuMilli: this.usedCpuMilli(worker, now),
      headroomByImage,
      longestOverTargetMs,
      maxMeanWeight,
    };
  }

  private usedCpuMilli(worker: WorkerState, now: Millis): number {
    let used = 0;
    for (const run of worker.runs.values()) {
      const {cpuMilli, targetMs} = run.task.step.shape;
      const load =
        targetMs > 0 ? this.forecast.load(run, now, LOOKAHEAD_MS) : 1;
      used += cpuMilli * load;
    }
    return used;
  }
}

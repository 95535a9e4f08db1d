/** Share of the runs that end within the upper bound of their run time. */
const QUANTILE = 0.8;

/**
 * Natural logarithm of the ratio of actual to expected run time before any run
 * has ended: callers' estimates are wrong by a fifth.
 */
const INITIAL_LOG_RATIO = Math.log(1.2);

/**
 * Change of the logarithm with a run, as a multiple of the distance in
 * probability: the estimate follows a change within some tens of runs.
 */
const STEP_SIZE = 0.05;

/**
 * Bounds of the logarithm. A ratio below 1 would end a run before it is
 * expected; the upper one is a ratio of 7, that of the longest runs in a
 * hundred.
 */
const MAX_LOG_RATIO = Math.log(7);

/**
 * Follows an upper quantile of the ratio of actual to expected run times of each
 * queue, by stochastic approximation.
 */
export class RunTimeSpread {
  /** Logarithms of the quantiles, by queue name. */
  private readonly logRatios = new Map<string, number>();

  /** Adds a run that ended, with its times in ms. */
  observe(queue: string, expectedMs: number, actualMs: number): void {
    if (expectedMs <= 0 || actualMs <= 0) return;
    const current = this.logRatios.get(queue) ?? INITIAL_LOG_RATIO;
    const isAbove = Math.log(actualMs / expectedMs) > current;
    const next = current + STEP_SIZE * (isAbove ? QUANTILE : QUANTILE - 1);
    this.logRatios.set(queue, Math.max(0, Math.min(MAX_LOG_RATIO, next)));
  }

  /** Factor of the expected run time within which most runs end; at least 1. */
  upperRatio(queue: string): number {
    return Math.exp(this.logRatios.get(queue) ?? INITIAL_LOG_RATIO);
  }
}

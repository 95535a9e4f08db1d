import {Millis} from '../base/clock.js';

/** Decay per sample of the earlier samples of the same queue. */
const DECAY_FACTOR = 0.995;

/**
 * Priors of the fit: callers' estimates are right on average and explain half
 * of the differences between tasks. PRIOR_SAMPLES is a number of samples, and
 * PRIOR_SLOPE_WEIGHT a sum of squared deviations of logarithms.
 */
const PRIOR_SLOPE = 0.5;
const PRIOR_SAMPLES = 2;
const PRIOR_SLOPE_WEIGHT = 10;

/** Bounds that estimates and run times are clamped to; 0 means no estimate. */
const MIN_RUN_TIME_MS: Millis = 20;
const MAX_RUN_TIME_MS: Millis = 600_000;

/** Decayed sums over the logarithms of one queue's estimates and run times. */
interface Moments {
  /** Number of samples, with decay. */
  samples: number;
  estimate: number;
  actual: number;
  estimateSquare: number;
  product: number;
}

/**
 * Predicts the run times of tasks for each queue. Callers' estimates are off by
 * a factor of two or more, so run times are predicted by a linear fit between
 * the logarithms of estimates and run times.
 */
export class RunTimePredictor {
  /** Sums by queue name. */
  private readonly queues = new Map<string, Moments>();

  /** Adds the time of a run that had all processors that it requested. */
  observe(queue: string, estimate: Millis, actual: Millis): void {
    const x = boundedLog(estimate);
    const y = boundedLog(actual);
    const moments = this.moments(queue);
    moments.samples = moments.samples * DECAY_FACTOR + 1;
    moments.estimate = moments.estimate * DECAY_FACTOR + x;
    moments.actual = moments.actual * DECAY_FACTOR + y;
    moments.estimateSquare = moments.estimateSquare * DECAY_FACTOR + x * x;
    moments.product = moments.product * DECAY_FACTOR + x * y;
  }

  /** Expected run time of a task with an estimate; 0 for no estimate. */
  predict(queue: string, estimate: Millis): Millis {
    const x = boundedLog(estimate);
    const moments = this.queues.get(queue);
    if (moments === undefined) return Math.exp(x);
    const {samples, estimateSquare, product} = moments;
    const meanX = moments.estimate / samples;
    const meanY = moments.actual / samples;
    const squares = estimateSquare - samples * meanX * meanX;
    const products = product - samples * meanX * meanY;
    const slope =
      (products + PRIOR_SLOPE_WEIGHT * PRIOR_SLOPE) /
      (squares + PRIOR_SLOPE_WEIGHT);
    const shift = ((meanY - meanX) * samples) / (samples + PRIOR_SAMPLES);
    return Math.exp(meanX + shift + slope * (x - meanX));
  }

  private moments(queue: string): Moments {
    let moments = this.queues.get(queue);
    if (moments === undefined) {
      moments = {
        samples: 0,
        estimate: 0,
        actual: 0,
        estimateSquare: 0,
        product: 0,
      };
      this.queues.set(queue, moments);
    }
    return moments;
  }
}

function boundedLog(duration: Millis): number {
  const bounded = Math.max(
    MIN_RUN_TIME_MS,
    Math.min(MAX_RUN_TIME_MS, duration),
  );
  return Math.log(bounded);
}

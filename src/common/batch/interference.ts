/**
 * Learns from reported tail latencies which filling images disturb which
 * serving images, and by how much.
 *
 * The model is linear in the logarithm: ln(tail / target) of a serving image is
 * a base plus, for each filling image, a weight times the share of the worker's
 * processors that it uses. Weights are fitted by normalized least mean squares,
 * since pairs differ widely, reports lag and load moves the tail besides.
 */

/** Share of a worker's processors in use, by filling image. */
export type FillingUsage = ReadonlyMap<string, number>;

/** ln(tail / target) of an undisturbed image before it is known. */
const FIRST_BASE = Math.log(0.4);

/** Weight of a pair before it is known; a fraction of a disturbing pair's. */
const FIRST_WEIGHT = 2;

/** Bounds of a weight; a disturbing pair's is usually 6 to 10. */
const LEAST_WEIGHT = 0;
const LARGEST_WEIGHT = 20;

/** Step sizes of the fit. */
const WEIGHT_STEP = 0.15;
const BASE_STEP = 0.05;

/** Largest error that one report contributes; bounds the effect of outliers. */
const LARGEST_ERROR = 2;

/** Keeps steps small when little is in use. */
const REGULARIZATION = 0.01;

/** Model of the disturbance between images. */
export class Interference {
  private readonly bases = new Map<string, number>();
  private readonly weights = new Map<string, Map<string, number>>();

  /** Takes in the tail of one serving task, as a multiple of its target. */
  observe(image: string, tailOfTarget: number, usage: FillingUsage): void {
    if (tailOfTarget <= 0) return;
    const value = Math.log(tailOfTarget);
    const error = clamp(value - this.predict(image, usage), LARGEST_ERROR);
    let squares = 0;
    for (const share of usage.values()) squares += share * share;
    if (squares === 0) {
      this.bases.set(image, this.base(image) + BASE_STEP * error);
      return;
    }
    const weights = this.weightsOf(image);
    const step = (WEIGHT_STEP * error) / (squares + REGULARIZATION);
    for (const [filling, share] of usage) {
      const weight = this.weight(image, filling) + step * share;
      weights.set(
        filling,
        Math.min(LARGEST_WEIGHT, Math.max(LEAST_WEIGHT, weight)),
      );
    }
  }

  /** Predicted ln(tail / target) of a serving image beside filling tasks. */
  predict(image: string, usage: FillingUsage): number {
    return this.base(image) + this.effect(image, usage);
  }

  /** What filling tasks add to ln(tail) of a serving image. */
  effect(image: string, usage: FillingUsage): number {
    let sum = 0;
    for (const [filling, share] of usage) {
      sum += this.weight(image, filling) * share;
    }
    return sum;
  }

  /** How strongly a filling image disturbs a serving image. */
  weight(image: string, filling: string): number {
    return this.weights.get(image)?.get(filling) ?? FIRST_WEIGHT;
  }

  private base(image: string): number {
    return this.bases.get(image) ?? FIRST_BASE;
  }

  private weightsOf(image: string): Map<string, number> {
    let weights = this.weights.get(image);
    if (weights === undefined) {
      weights = new Map();
      this.weights.set(image, weights);
    }
    return weights;
  }
}

function clamp(value: number, bound: number): number {
  return Math.max(-bound, Math.min(bound, value));
}

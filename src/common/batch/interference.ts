import {Millis} from '../base/clock.js';
import {RidgeRegression} from './ridge_regression.js';

/**
 * Learns from reported tail latencies which filling images disturb which
 * serving images, and by how much.
 *
 * The model is linear in the logarithm: ln(tail / target) of a serving image is
 * a base plus, for each filling image, a weight times the share of the worker's
 * processors that it uses. Most pairs don't disturb each other, some do by a
 * factor of ten at a tenth of the processors.
 */

/** Share of a worker's processors in use, by filling image. */
export type FillingUsage = ReadonlyMap<string, number>;

/** ln(tail / target) of an undisturbed image before it is known. */
const FIRST_BASE = Math.log(0.4);

/** Weight of a pair before it is known; a fraction of a disturbing pair's. */
const FIRST_WEIGHT = 2;

/** Weights of these expectations, in squares of the features. */
const BASE_CONFIDENCE = 3;
const WEIGHT_CONFIDENCE = 0.01;

/** Factor by which what an earlier scheduler learned counts more. */
const LEARNED_CONFIDENCE = 10;

/** Samples fade: load and disturbance change within seconds. */
const MEMORY = 0.998;

/** Largest difference to the expected ln(tail) that a sample counts with. */
const LARGEST_SURPRISE = 1.2;

/** Least time between two fits of one image's model. */
const FIT_INTERVAL: Millis = 300;

/** Name of the base among the features; images are never named so. */
const BASE = '';

interface ImageModel {
  readonly regression: RidgeRegression;
  fittedAt: Millis;
}

/** Coefficients by serving image and feature, as an earlier scheduler left. */
export type LearnedInterference = Readonly<
  Record<string, Readonly<Record<string, number>>>
>;

/** Model of the disturbance between images. */
export class Interference {
  private readonly models = new Map<string, ImageModel>();

  constructor(earlier: LearnedInterference = {}) {
    for (const [image, coefficients] of Object.entries(earlier)) {
      const {regression} = this.model(image, coefficients[BASE]);
      for (const [filling, mean] of Object.entries(coefficients)) {
        if (filling === BASE) continue;
        const weight = WEIGHT_CONFIDENCE * LEARNED_CONFIDENCE;
        regression.define(filling, {mean, weight});
      }
      regression.solve();
    }
  }

  /** What was learned, for the next scheduler. */
  learned(): LearnedInterference {
    const all: Record<string, Record<string, number>> = {};
    for (const [image, {regression}] of this.models) {
      const coefficients = [...regression.coefficients()].map(
        ([name, value]) => [name, Math.round(value * 100) / 100],
      );
      all[image] = Object.fromEntries(coefficients);
    }
    return all;
  }

  /** Takes in the tail of one serving task, as a multiple of its target. */
  observe(
    image: string,
    tailOfTarget: number,
    usage: FillingUsage,
    now: Millis,
  ): void {
    if (tailOfTarget <= 0) return;
    const model = this.model(image);
    const features = new Map([...usage, [BASE, 1]]);
    for (const filling of usage.keys()) {
      const prior = {mean: FIRST_WEIGHT, weight: WEIGHT_CONFIDENCE};
      model.regression.define(filling, prior);
    }
    const value = Math.log(tailOfTarget);
    const expected = this.predict(image, usage);
    model.regression.add(features, clamp(value, expected, LARGEST_SURPRISE));
    if (now - model.fittedAt < FIT_INTERVAL) return;
    model.fittedAt = now;
    model.regression.solve();
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
    const {regression} = this.model(image);
    return Math.max(0, regression.coefficient(filling) ?? FIRST_WEIGHT);
  }

  private base(image: string): number {
    return this.model(image).regression.coefficient(BASE) ?? FIRST_BASE;
  }

  private model(image: string, base = FIRST_BASE): ImageModel {
    let model = this.models.get(image);
    if (model === undefined) {
      model = {regression: new RidgeRegression(MEMORY), fittedAt: -Infinity};
      const prior = {mean: base, weight: BASE_CONFIDENCE};
      model.regression.define(BASE, prior);
      this.models.set(image, model);
    }
    return model;
  }
}

function clamp(value: number, center: number, distance: number): number {
  return Math.min(center + distance, Math.max(center - distance, value));
}

import {Millis, SECOND} from '../base/clock.js';
import {Prior, RidgeRegression} from './ridge_regression.js';

/**
 * Learns from reported tail latencies how much headroom each serving image
 * loses to each best-effort image.
 *
 * As in a queue, the tail latency grows without bound when the load approaches
 * the task's capacity. Its inverse falls linearly with the load, and so does
 * the headroom, which is the target divided by the tail latency. A best-effort
 * image reduces the headroom by a weight times the share of the worker's
 * processors that it uses.
 *
 * The load of a serving task changes within seconds, so weights are fitted to
 * the changes between two successive samples of the same task.
 */

/** Share of a worker's processors in use, by best-effort image. */
export type BestEffortUsage = ReadonlyMap<string, number>;

/**
 * Expected weight of a pair of images without samples; a fraction of the
 * weight of a pair that interferes strongly.
 */
const PRIOR_MEAN = 3;

/** Strength of that expectation, as a sum of squares of feature values. */
const PRIOR_STRENGTH = 0.02;

/** What is expected of a pair of images without samples. */
const DEFAULT_PRIOR = {mean: PRIOR_MEAN, weight: PRIOR_STRENGTH};

/** Standard deviation of headroom changes that usage doesn't explain. */
const SAMPLE_NOISE = 0.15;

/** Factor by which weights from an earlier scheduler are stronger priors. */
const INHERITED_STRENGTH_FACTOR = 10;

/**
 * Factor by which samples of other schedulers count less than own ones. What
 * they pass on leaves out how their features depend on each other.
 */
const PEER_STRENGTH_FACTOR = 0.5;

/**
 * Decay per sample of the earlier samples. Old samples count less because
 * load and interference change within seconds.
 */
const DECAY_FACTOR = 0.998;

/** Maximum time between two samples that are compared. */
const MAX_SAMPLE_GAP_MS: Millis = 1.5 * SECOND;

/** Minimum change of a share that is used as a feature. */
const MIN_SHARE_CHANGE = 0.01;

/** Headroom below which the tail latency is capped and carries no signal. */
const MIN_HEADROOM = 0.2;

/**
 * Maximum deviation of a headroom loss from the expected one; larger ones are
 * clamped.
 */
const MAX_RESIDUAL = 1.2;

/** Minimum time between two fits of one image's model. */
const FIT_INTERVAL_MS: Millis = 300;

/**
 * Most best-effort images that the model of a serving image knows, and most
 * serving images. Each released build may have an image of its own, so images
 * that were not seen for the longest time are forgotten: the time to fit a model
 * grows with the cube of its images.
 */
const MAX_IMAGES_PER_MODEL = 64;
const MAX_MODELS = 128;

/** Bytes of a pair of images in a record beside the names: number and lengths. */
const PAIR_BYTES = 24;

interface ImageModel {
  readonly regression: RidgeRegression;
  /** Names of the best-effort images, those that were seen last at the end. */
  readonly images: Set<string>;
  /** Local time of the last fit. */
  fittedAt: Millis;
  /** Cached mean of the fitted weights; undefined until requested. */
  meanWeight: number | undefined;
}

/** Headroom of a serving task and the best-effort usage on its worker. */
interface Sample {
  readonly headroom: number;
  readonly usage: BestEffortUsage;
  /** Local time of the sample. */
  readonly at: Millis;
}

/** Learned weights by serving image and best-effort image. */
export type InterferenceWeights = Readonly<
  Record<string, Readonly<Record<string, number>>>
>;

/**
 * What a scheduler has learned from its own samples, by serving image and
 * best-effort image: the weight, and the sum of squares of the shares in the
 * samples.
 */
export type InterferenceEvidence = Readonly<
  Record<string, Readonly<Record<string, readonly [number, number]>>>
>;

/** Linear model of the interference between images. */
export class InterferenceModel {
  /** Models by serving image. */
  private readonly models = new Map<string, ImageModel>();
  /** Latest sample of each serving run. */
  private readonly samples = new WeakMap<object, Sample>();

  /** @param initialWeights weights that an earlier scheduler learned. */
  constructor(initialWeights: InterferenceWeights = {}) {
    for (const [image, weights] of Object.entries(initialWeights)) {
      const model = this.createModel(image);
      for (const [bestEffortImage, mean] of Object.entries(weights)) {
        const weight = PRIOR_STRENGTH * INHERITED_STRENGTH_FACTOR;
        addImage(model, bestEffortImage, {mean, weight});
      }
      model.regression.solve();
    }
  }

  /**
   * Learned weights, rounded to two decimals, for the next scheduler. Of more
   * than `maxBytes` the pairs with the most samples are returned.
   */
  exportWeights(maxBytes = Infinity): InterferenceWeights {
    const pairs: ImagePair<number>[] = [];
    for (const [image, {regression}] of this.models) {
      for (const [name, value] of regression.coefficients()) {
        const strength =
          regression.sumOfSquares(name) + regression.peerWeight(name);
        pairs.push({image, name, value: roundTo(value, 2), strength});
      }
    }
    return this.tableOf(pairs, maxBytes);
  }

  /**
   * What this scheduler has learned from its own samples. Of more than
   * `maxBytes` the pairs with the most samples are returned.
   */
  exportEvidence(maxBytes = Infinity): InterferenceEvidence {
    const pairs: ImagePair<readonly [number, number]>[] = [];
    for (const [image, {regression}] of this.models) {
      for (const [name, weight] of regression.ownCoefficients()) {
        const strength = regression.sumOfSquares(name);
        if (strength < PRIOR_STRENGTH) continue;
        const value = [roundTo(weight, 2), roundTo(strength, 3)] as const;
        pairs.push({image, name, value, strength});
      }
    }
    return this.tableOf(pairs, maxBytes);
  }

  private tableOf<T>(
    pairs: readonly ImagePair<T>[],
    maxBytes: number,
  ): Record<string, Record<string, T>> {
    const table: Record<string, Record<string, T>> = {};
    const chosen = strongest(pairs, maxBytes);
    const isWhole = chosen.length === pairs.length;
    if (isWhole) for (const image of this.models.keys()) table[image] = {};
    for (const {image, name, value} of chosen) {
      (table[image] ??= {})[name] = value;
    }
    return table;
  }

  /** Takes over what the schedulers of other shards have learned by now. */
  setPeerEvidence(peers: Iterable<InterferenceEvidence>): void {
    const sums = new Map<ImageModel, Map<string, [number, number]>>();
    for (const evidence of peers) {
      for (const [image, weights] of Object.entries(evidence)) {
        // What was learned here is not forgotten for the sake of others.
        const isFull = this.models.size >= MAX_MODELS;
        if (isFull && !this.models.has(image)) continue;
        const model = this.models.get(image) ?? this.createModel(image);
        const pairs = sums.get(model) ?? new Map<string, [number, number]>();
        sums.set(model, pairs);
        for (const [name, [weight, sumOfSquares]] of Object.entries(weights)) {
          const strength = sumOfSquares * PEER_STRENGTH_FACTOR;
          const [total, product] = pairs.get(name) ?? [0, 0];
          pairs.set(name, [total + strength, product + strength * weight]);
        }
      }
    }
    for (const [model, pairs] of sums) {
      for (const [name, [weight, product]] of pairs) {
        const {regression} = model;
        const isFull = regression.size >= MAX_IMAGES_PER_MODEL;
        if (isFull && !regression.has(name)) continue;
        addImage(model, name, DEFAULT_PRIOR);
        const mean = product / weight;
        model.regression.setPeerPrior(name, {mean, weight});
      }
      model.regression.solve();
      model.meanWeight = undefined;
    }
  }

  /**
   * Adds a sample of one serving task.
   *
   * @param task identifies the task's run.
   * @param trend change of the headroom per second due to the task's own load.
   */
  observe(task: object, image: string, sample: Sample, trend: number): void {
    const earlier = this.samples.get(task);
    this.samples.set(task, sample);
    if (earlier === undefined) return;
    const gap = sample.at - earlier.at;
    if (gap > MAX_SAMPLE_GAP_MS) return;
    if (Math.min(sample.headroom, earlier.headroom) < MIN_HEADROOM) return;
    const changes = usageChanges(earlier.usage, sample.usage);
    if (changes.size === 0) return;
    const ownChange = (trend * gap) / SECOND;
    const loss = earlier.headroom + ownChange - sample.headroom;
    this.learn(image, changes, loss, sample.at);
  }

  /** Headroom that a serving image loses at a usage by best-effort images. */
  headroomLoss(image: string, usage: BestEffortUsage): number {
    let sum = 0;
    for (const [bestEffortImage, share] of usage) {
      sum += this.weight(image, bestEffortImage) * share;
    }
    return sum;
  }

  /**
   * Headroom loss of a serving image if the best-effort image used all
   * processors of the worker.
   */
  weight(image: string, bestEffortImage: string): number {
    const regression = this.models.get(image)?.regression;
    return Math.max(0, regression?.coefficient(bestEffortImage) ?? PRIOR_MEAN);
  }

  /** The weight plus a margin that shrinks as samples of the pair arrive. */
  weightUpperBound(image: string, bestEffortImage: string): number {
    const regression = this.models.get(image)?.regression;
    const sumOfSquares =
      PRIOR_STRENGTH +
      (regression?.sumOfSquares(bestEffortImage) ?? 0) +
      (regression?.peerWeight(bestEffortImage) ?? 0);
    return (
      this.weight(image, bestEffortImage) +
      SAMPLE_NOISE / Math.sqrt(sumOfSquares)
    );
  }

  /** Mean weight of all known best-effort images for a serving image. */
  meanWeight(image: string): number {
    const model = this.models.get(image);
    if (model === undefined) return PRIOR_MEAN;
    model.meanWeight ??= meanOf(model.regression.coefficients());
    return model.meanWeight;
  }

  private learn(
    image: string,
    changes: BestEffortUsage,
    loss: number,
    now: Millis,
  ): void {
    const model = this.models.get(image) ?? this.createModel(image);
    // The models that were used last are at the end.
    this.models.delete(image);
    this.models.set(image, model);
    for (const bestEffortImage of changes.keys()) {
      addImage(model, bestEffortImage, DEFAULT_PRIOR);
    }
    const expected = this.headroomLoss(image, changes);
    model.regression.addSample(changes, clamp(loss, expected, MAX_RESIDUAL));
    if (now - model.fittedAt < FIT_INTERVAL_MS) return;
    model.fittedAt = now;
    model.regression.solve();
    model.meanWeight = undefined;
  }

  /** Creates the model of an image; forgets the one not used for longest. */
  private createModel(image: string): ImageModel {
    const model = {
      regression: new RidgeRegression(DECAY_FACTOR),
      images: new Set<string>(),
      fittedAt: -Infinity,
      meanWeight: undefined,
    };
    this.models.set(image, model);
    if (this.models.size > MAX_MODELS) {
      for (const oldest of this.models.keys()) {
        this.models.delete(oldest);
        break;
      }
    }
    return model;
  }
}

/** Adds or renews a best-effort image; forgets the one not seen for longest. */
function addImage(model: ImageModel, name: string, prior: Prior): void {
  const {regression, images} = model;
  images.delete(name);
  images.add(name);
  regression.addFeature(name, prior);
  if (images.size <= MAX_IMAGES_PER_MODEL) return;
  for (const oldest of images) {
    images.delete(oldest);
    regression.removeFeature(oldest);
    break;
  }
}

/** What is known about a pair of a serving and a best-effort image. */
interface ImagePair<T> {
  readonly image: string;
  readonly name: string;
  readonly value: T;
  /** Sum of squares of the samples that it rests on. */
  readonly strength: number;
}

/** Returns the pairs with the most samples that fit into a record. */
function strongest<T>(
  pairs: readonly ImagePair<T>[],
  maxBytes: number,
): readonly ImagePair<T>[] {
  let bytes = 0;
  const sizeOf = ({image, name}: ImagePair<T>): number =>
    Buffer.byteLength(image) + Buffer.byteLength(name) + PAIR_BYTES;
  for (const pair of pairs) bytes += sizeOf(pair);
  if (bytes <= maxBytes) return pairs;
  let left = maxBytes;
  const ranked = [...pairs].sort((a, b) => b.strength - a.strength);
  return ranked.filter(pair => (left -= sizeOf(pair)) >= 0);
}

/** Changes of shares, without those below MIN_SHARE_CHANGE. */
function usageChanges(
  before: BestEffortUsage,
  after: BestEffortUsage,
): BestEffortUsage {
  const changes = new Map<string, number>();
  for (const image of new Set([...before.keys(), ...after.keys()])) {
    const change = (after.get(image) ?? 0) - (before.get(image) ?? 0);
    if (Math.abs(change) >= MIN_SHARE_CHANGE) changes.set(image, change);
  }
  return changes;
}

function meanOf(weights: Iterable<[string, number]>): number {
  let sum = 0;
  let count = 0;
  for (const [, weight] of weights) {
    sum += Math.max(0, weight);
    count++;
  }
  return count === 0 ? PRIOR_MEAN : sum / count;
}

function roundTo(value: number, decimals: number): number {
  const factor = 10 ** decimals;
  return Math.round(value * factor) / factor;
}

function clamp(value: number, center: number, distance: number): number {
  return Math.min(center + distance, Math.max(center - distance, value));
}

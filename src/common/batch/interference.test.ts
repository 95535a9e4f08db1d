import {InterferenceModel} from './interference.js';
import {packEvidence, packRecord} from './job_records.js';

/** Identifies the serving run. */
const RUN = {};

/** Feeds samples of one serving run to a model, one every 400 ms. */
class ModelTrainer {
  private now = 0;

  constructor(private readonly model: InterferenceModel) {}

  sample(headroom: number, usage: Readonly<Record<string, number>>): void {
    this.now += 400;
    const at = this.now;
    const shares = new Map(Object.entries(usage));
    this.model.observe(RUN, 'shop', {headroom, usage: shares, at}, 0);
  }

  /** Feeds samples of best-effort usage that changes, with a given weight. */
  train(bestEffortImage: string, weight: number): void {
    for (let sample = 0; sample < 60; sample++) {
      const share = (sample % 5) * 0.03;
      this.sample(3 - weight * share, {[bestEffortImage]: share});
    }
  }
}

describe('InterferenceModel', () => {
  let model: InterferenceModel;
  let trainer: ModelTrainer;

  beforeEach(() => {
    model = new InterferenceModel();
    trainer = new ModelTrainer(model);
  });

  it('distinguishes an interfering image from a harmless one', () => {
    // Guards against slowing down tasks that don't interfere.
    trainer.train('heavy', 10);
    trainer.train('light', 0);
    expect(model.weight('shop', 'heavy')).toBeGreaterThan(8);
    expect(model.weight('shop', 'light')).toBeLessThan(0.5);
  });

  it('keeps the records of many images within a size', () => {
    // Guards against a record of the weights that outgrows the log's limit when
    // each build has an image of its own. Strongly sampled pairs are kept.
    trainer.train('heavy', 10);
    for (let build = 0; build < 60; build++) {
      trainer.sample(3, {[`nest-batch:build-${build}`]: 0.02});
    }
    const maxBytes = 800;
    expect(packRecord(model.exportWeights()).length).toBeGreaterThan(maxBytes);
    const weights = model.exportWeights(maxBytes);
    expect(packRecord(weights).length).toBeLessThanOrEqual(maxBytes);
    expect(weights['shop']['heavy']).toBeGreaterThan(8);
    expect(model.exportEvidence(200)).toHaveProperty('shop.heavy');
    const evidence = packEvidence(model.exportEvidence(200));
    expect(evidence.length).toBeLessThanOrEqual(200);
  });

  it('forgets the images that were not seen for longest', () => {
    // Guards against models that grow with each image that was ever released:
    // the time to fit one grows with the cube of its images.
    trainer.train('heavy', 10);
    for (let build = 0; build < 500; build++) {
      trainer.sample(3, {[`build-${build}`]: 0.02});
      if (build % 20 === 0) trainer.sample(3 - 10 * 0.03, {heavy: 0.03});
    }
    const {shop} = model.exportWeights();
    expect(Object.keys(shop).length).toBeLessThanOrEqual(64);
    expect(shop['heavy']).toBeGreaterThan(8);
    expect(shop).toHaveProperty(['build-499']);
    expect(shop).not.toHaveProperty(['build-100']);
  });

  it('forgets serving images that were not seen for longest', () => {
    // Guards against a model for each build of a service for ever.
    for (let build = 0; build < 300; build++) {
      for (const share of [0, 0.1]) {
        const usage = new Map([['heavy', share]]);
        const sample = {headroom: 3 - share, usage, at: 400 * build + share};
        model.observe(RUN, `shop:${build}`, sample, 0);
      }
    }
    const weights = model.exportWeights();
    expect(Object.keys(weights).length).toBeLessThanOrEqual(128);
    expect(weights).toHaveProperty(['shop:299']);
  });

  it('attributes the loss to the right one of two colocated images', () => {
    // Guards against a weight for an image that merely runs on the same worker.
    for (let sample = 0; sample < 80; sample++) {
      const heavy = sample % 2 === 0 ? 0.1 : 0;
      const light = sample % 3 === 0 ? 0.1 : 0.05;
      trainer.sample(3 - 9 * heavy, {heavy, light});
    }
    expect(model.weight('shop', 'light')).toBeLessThan(1);
    expect(model.weight('shop', 'heavy')).toBeGreaterThan(7);
  });

  it('ignores headroom changes by the load of the serving task itself', () => {
    // Guards against a weight for an image with constant usage while the load
    // changes by half within seconds.
    trainer.train('light', 0);
    for (let sample = 0; sample < 200; sample++) {
      const headroom = 2.5 + Math.sin(sample / 8);
      trainer.sample(headroom, {light: 0.1});
    }
    expect(model.weight('shop', 'light')).toBeLessThan(0.5);
  });

  it('ignores samples with a capped tail latency', () => {
    // Guards against lowering a weight by latencies that are capped and so
    // don't change any more.
    trainer.train('heavy', 10);
    for (let sample = 0; sample < 100; sample++) {
      trainer.sample(0.1, {heavy: 0.3 + (sample % 2) * 0.2});
    }
    expect(model.weight('shop', 'heavy')).toBeGreaterThan(8);
  });

  it('retains the weight of a pair that is no longer colocated', () => {
    // Guards against forgetting the weight and placing the pair together again,
    // which slows requests.
    trainer.train('heavy', 10);
    for (let round = 0; round < 40; round++) trainer.train('light', 0);
    expect(model.weight('shop', 'heavy')).toBeGreaterThan(8);
  });

  it('restores exported weights', () => {
    // Guards against learning from scratch after each takeover, which slows
    // requests.
    trainer.train('heavy', 10);
    const next = new InterferenceModel(model.exportWeights());
    expect(next.weight('shop', 'heavy')).toBeCloseTo(
      model.weight('shop', 'heavy'),
      1,
    );
  });

  it('returns no negative weights', () => {
    // Guards against placing more best-effort tasks to gain headroom.
    trainer.train('calming', -5);
    expect(model.weight('shop', 'calming')).toBe(0);
  });

  it('knows a pair of images from the samples of other shards', () => {
    // Guards against shards that each have to learn all pairs of images from a
    // part of the samples (quiet-1 of tuapapa-sched-large: 4,585 tasks stopped
    // because they disturbed a serving task).
    const other = new InterferenceModel();
    const otherTrainer = new ModelTrainer(other);
    otherTrainer.train('heavy', 10);
    otherTrainer.train('light', 0);
    const before = model.weightUpperBound('shop', 'light');
    model.setPeerEvidence([other.exportEvidence()]);
    expect(model.weight('shop', 'heavy')).toBeGreaterThan(7);
    expect(model.weight('shop', 'light')).toBeLessThan(1);
    expect(model.weightUpperBound('shop', 'light')).toBeLessThan(before - 2);
  });

  it('passes on nothing that it has from other shards', () => {
    // Guards against evidence that grows by itself on its way around.
    const other = new InterferenceModel();
    new ModelTrainer(other).train('heavy', 10);
    model.setPeerEvidence([other.exportEvidence()]);
    expect(model.exportEvidence()).toEqual({shop: {}});
    trainer.train('light', 0);
    expect(Object.keys(model.exportEvidence()['shop'])).toEqual(['light']);
  });

  it('replaces what other shards had passed on before', () => {
    // Guards against the same samples that count more with each exchange.
    const other = new InterferenceModel();
    const otherTrainer = new ModelTrainer(other);
    otherTrainer.train('heavy', 10);
    const evidence = other.exportEvidence();
    model.setPeerEvidence([evidence]);
    const once = model.weightUpperBound('shop', 'heavy');
    for (let times = 0; times < 20; times++) model.setPeerEvidence([evidence]);
    expect(model.weightUpperBound('shop', 'heavy')).toBe(once);
  });

  it('believes own samples that contradict other shards', () => {
    // Guards against a wrong weight that others keep up.
    const other = new InterferenceModel();
    new ModelTrainer(other).train('heavy', 10);
    model.setPeerEvidence([other.exportEvidence()]);
    for (let times = 0; times < 10; times++) trainer.train('heavy', 2);
    expect(model.weight('shop', 'heavy')).toBeLessThan(4);
  });
});

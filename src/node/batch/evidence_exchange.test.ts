import {InterferenceModel} from '../../common/batch/interference.js';
import {LOG_LIMITS} from '../../common/batch/log_limits.test_support.js';
import {
  AppendResponse,
  AppendResult,
  KeyedLog,
  KeyedRecord,
  ReadResponse,
  ReadResult,
  Topic,
} from '../../common/batch/store.js';
import {EvidenceExchange} from './evidence_exchange.js';

/** A log that keeps the newest record of each key of one topic. */
class NewestLog implements KeyedLog {
  readonly limits = LOG_LIMITS;
  readonly records = new Map<string, Uint8Array>();
  isDown = false;

  append(
    _topic: Topic,
    records: readonly KeyedRecord[],
  ): Promise<AppendResponse> {
    if (this.isDown) return Promise.resolve({result: AppendResult.REJECTED});
    for (const {key, value} of records) this.records.set(key, value);
    return Promise.resolve({result: AppendResult.STORED});
  }

  read(): Promise<ReadResponse> {
    return this.newest();
  }

  newest(): Promise<ReadResponse> {
    const records = [...this.records].map(([key, value], offset) => ({
      key,
      value,
      offset,
    }));
    const result = this.isDown ? ReadResult.FAILED : ReadResult.READ;
    return Promise.resolve({result, records, next: 0, end: 0});
  }
}

describe('EvidenceExchange', () => {
  let log: NewestLog;
  let faults: string[];

  beforeEach(() => {
    log = new NewestLog();
    faults = [];
  });

  function exchangeOf(shard: string, model: InterferenceModel) {
    return new EvidenceExchange(log, shard, model, key => faults.push(key));
  }

  /** A model that has seen that an image of best-effort tasks interferes. */
  function trainedModel(): InterferenceModel {
    const model = new InterferenceModel();
    const run = {};
    for (let sample = 0; sample < 60; sample++) {
      const share = (sample % 5) * 0.03;
      const usage = new Map([['heavy', share]]);
      const headroom = 3 - 10 * share;
      model.observe(run, 'shop', {headroom, usage, at: sample * 400}, 0);
    }
    return model;
  }

  it('passes on to each shard what another has learned', async () => {
    // Guards against shards that learn each pair of images by themselves.
    const model = new InterferenceModel();
    await exchangeOf('a', trainedModel()).exchange();
    await exchangeOf('b', model).exchange();
    expect(model.weight('shop', 'heavy')).toBeGreaterThan(7);
  });

  it('skips a record that it can not decode', async () => {
    // Guards against one record that ends the exchange for all shards.
    const model = new InterferenceModel();
    log.records.set('c', Uint8Array.of(0xc1));
    log.records.set('d', Uint8Array.of(1));
    await exchangeOf('a', trainedModel()).exchange();
    await exchangeOf('b', model).exchange();
    expect(faults).toEqual(['c', 'd', 'c', 'd']);
    expect(model.weight('shop', 'heavy')).toBeGreaterThan(7);
  });

  it('keeps what it knows while the store is away', async () => {
    // Guards against weights that are lost with each outage of the store.
    const model = new InterferenceModel();
    await exchangeOf('a', trainedModel()).exchange();
    const exchange = exchangeOf('b', model);
    await exchange.exchange();
    log.isDown = true;
    await exchange.exchange();
    expect(model.weight('shop', 'heavy')).toBeGreaterThan(7);
  });
});

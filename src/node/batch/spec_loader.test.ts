import {packRecord} from '../../common/batch/job_records.js';
import {QUEUE, STEP} from '../../common/batch/simulated_fleet.test_support.js';
import {KeyedRecord} from '../../common/batch/store.js';
import {SpecLoader} from './spec_loader.js';

describe('SpecLoader', () => {
  let reads: string[];
  let isReadable: boolean;
  let loader: SpecLoader;

  beforeEach(() => {
    reads = [];
    isReadable = true;
    loader = new SpecLoader({
      newestOf: (_topic, key) => {
        reads.push(key);
        return Promise.resolve(isReadable ? submissionOf(key) : undefined);
      },
    });
  });

  function submissionOf(key: string): KeyedRecord {
    const shape = {
      spec: `spec of ${key.slice(1)}`,
      steps: [STEP],
      repeats: 0,
      startMs: 0,
      periodMs: 0,
    };
    return {key, value: packRecord({queue: QUEUE, acceptedAt: 0, shape})};
  }

  it('reads the specification of a job once for all of its tasks', async () => {
    // A job of many tasks would read as many pages of the log.
    const specs = await Promise.all([1, 2, 3].map(() => loader.load('a')));
    expect(specs).toEqual(Array(3).fill('spec of a'));
    expect(reads).toEqual(['ja']);
  });

  it('reads again what it could not read', async () => {
    // A task must not wait for ever after an outage of the store.
    isReadable = false;
    expect(await loader.load('a')).toBeUndefined();
    isReadable = true;
    expect(await loader.load('a')).toBe('spec of a');
  });

  it('keeps a few specifications only', async () => {
    // What is loaded to save memory must not take it.
    for (let i = 0; i < 100; i++) await loader.load(String(i));
    await loader.load('99');
    expect(reads).toHaveLength(100);
    await loader.load('0');
    expect(reads).toHaveLength(101);
  });
});

import {recordSize} from '../../common/batch/log_limits.js';
import {LOG_LIMITS} from '../../common/batch/log_limits.test_support.js';
import {
  AppendOptions,
  AppendResponse,
  AppendResult,
  KeyedLog,
  KeyedRecord,
  ReadResponse,
  Topic,
} from '../../common/batch/store.js';
import {SystemClock} from '../system_clock.js';
import {FencedWriter} from './fenced_writer.js';

const FIRST_SEQUENCE = 7;

/** A log that refuses some keys for good, and checks sequence numbers. */
class RefusingLog implements KeyedLog {
  readonly limits = LOG_LIMITS;
  readonly refusedKeys = new Set<string>();
  readonly stored: string[] = [];
  readonly sizes: number[] = [];
  private nextSequence = FIRST_SEQUENCE;

  append(
    _topic: Topic,
    records: readonly KeyedRecord[],
    {writer}: AppendOptions,
  ): Promise<AppendResponse> {
    const {overheadBytes} = LOG_LIMITS;
    const bytes = records.reduce(
      (sum, record) => sum + recordSize(record) + overheadBytes,
      0,
    );
    this.sizes.push(bytes);
    if (records.some(({key}) => this.refusedKeys.has(key))) {
      return Promise.resolve({result: AppendResult.REFUSED});
    }
    if (writer?.sequence !== this.nextSequence) {
      return Promise.resolve({result: AppendResult.FENCED});
    }
    this.nextSequence++;
    this.stored.push(...records.map(({key}) => key));
    return Promise.resolve({result: AppendResult.STORED});
  }

  read(): Promise<ReadResponse> {
    return new Promise(() => {});
  }

  newest(): Promise<ReadResponse> {
    return new Promise(() => {});
  }
}

function record(key: string, bytes = 10): KeyedRecord {
  return {key, value: new Uint8Array(bytes)};
}

describe('FencedWriter', () => {
  let log: RefusingLog;
  let refused: string[];
  let writer: FencedWriter;

  beforeEach(() => {
    log = new RefusingLog();
    refused = [];
    const listener = {
      onStored: () => {},
      onFenced: () => {},
      onRefused: ({key}: KeyedRecord) => void refused.push(key),
    };
    const clock = new SystemClock();
    const topic = Topic.PROGRESS;
    writer = new FencedWriter(log, topic, 1, FIRST_SEQUENCE, clock, listener);
  });

  it('stores the others when the log refuses a record for good', async () => {
    // Guards against a refused append that is repeated for ever and stops all
    // jobs of a shard.
    log.refusedKeys.add('c');
    const keys = ['a', 'b', 'c', 'd', 'e'];
    expect(await writer.append(keys.map(key => record(key)))).toBe(true);
    expect(await writer.append([record('f')])).toBe(true);
    expect(log.stored).toEqual(['a', 'b', 'd', 'e', 'f']);
    expect(refused).toEqual(['c']);
  });

  it('sends no record that exceeds the limits of the log', async () => {
    // Guards against calls that can only be refused, with all records in them.
    const tooLarge = record('b', LOG_LIMITS.recordBytes);
    const longKey = record('k'.repeat(LOG_LIMITS.keyBytes + 1));
    const records = [record('a'), tooLarge, longKey, record('c')];
    expect(await writer.append(records)).toBe(true);
    expect(log.stored).toEqual(['a', 'c']);
    expect(refused).toEqual([tooLarge.key, longKey.key]);
  });

  it('tells the caller of an append which records were refused', async () => {
    // Guards against a job that goes on as if its progress had been stored.
    log.refusedKeys.add('b');
    const told: string[] = [];
    await writer.append([record('a'), record('b')], ({key}) => told.push(key));
    expect(told).toEqual(['b']);
    expect(await writer.settled('a')).toBe(true);
    expect(await writer.settled('b')).toBe(false);
    expect(writer.isSettled('b')).toBe(false);
  });

  it('keeps each append within the limit, keys included', async () => {
    // Guards against a call that exceeds the limit by its keys or its first
    // record, and is refused.
    const keys = Array.from({length: 4000}, (_, index) =>
      String(index).padStart(250, 'k'),
    );
    await writer.append(keys.map(key => record(key, 300)));
    expect(log.stored).toEqual(keys);
    expect(Math.max(...log.sizes)).toBeLessThanOrEqual(1_000_000);
  });
});

import {
  ReadResponse,
  ReadResult,
  StoredRecord,
  Topic,
} from '../../common/batch/store.js';
import {KeyedLog, PageHandler} from '../../common/batch/store.js';
import {LOG_LIMITS} from '../../common/batch/log_limits.test_support.js';
import {LogTail} from './log_tail.js';

/** A log whose newest records are read in pages that the test passes on. */
class PagedLog implements KeyedLog {
  readonly limits = LOG_LIMITS;
  readonly records: StoredRecord[] = [];
  loads = 0;
  /** Ends the read of the newest records. */
  finish: (result: ReadResult) => void = () => {};

  write(key: string): void {
    const value = Uint8Array.of(1);
    this.records.push({key, value, offset: this.records.length});
  }

  append = () => Promise.reject(new Error('not used'));

  read(_topic: Topic, from: number): Promise<ReadResponse> {
    return Promise.resolve(this.response(this.records.slice(from)));
  }

  newest(_topic: Topic, onPage?: PageHandler): Promise<ReadResponse> {
    this.loads++;
    const page = [...this.records];
    const end = page.length;
    onPage?.(page, end);
    return new Promise(resolve => {
      this.finish = result =>
        resolve({...this.response([]), result, next: end, end});
    });
  }

  private response(records: StoredRecord[]): ReadResponse {
    const end = this.records.length;
    return {result: ReadResult.READ, records, next: end, end};
  }
}

describe('LogTail that passes on pages', () => {
  let log: PagedLog;
  let keys: string[];
  let tail: LogTail;

  beforeEach(() => {
    log = new PagedLog();
    keys = [];
    const add = (records: readonly StoredRecord[]) =>
      keys.push(...records.map(({key}) => key));
    tail = new LogTail(
      log,
      Topic.INTAKE,
      {now: () => 0},
      {waitMs: 0, intervalMs: () => 1},
      {
        onPage: add,
        onRecords: add,
        onRead: () => {},
        onFault: error => {
          throw error;
        },
      },
    );
  });

  afterEach(() => tail.stop());

  it('reads a record that is written while the newest are being read', async () => {
    // A job was answered as unknown whose record was written after the first
    // page: a refresh took the end of a load that had begun before it (soak,
    // seed 1).
    log.write('a');
    void tail.run();
    log.write('b');
    const refreshed = tail.refresh();
    log.finish(ReadResult.READ);
    expect(await refreshed).toBe(true);
    expect(keys).toEqual(['a', 'b']);
    expect(log.loads).toBe(1);
  });

  it('reads the newest again after a read that failed half way', async () => {
    // Pages that were passed on don't show what is missing.
    log.write('a');
    const first = tail.refresh();
    log.finish(ReadResult.FAILED);
    expect(await first).toBe(false);
    expect(tail.isLoaded).toBe(false);
    const second = tail.refresh();
    log.finish(ReadResult.READ);
    expect(await second).toBe(true);
    expect(keys).toEqual(['a', 'a']);
  });
});

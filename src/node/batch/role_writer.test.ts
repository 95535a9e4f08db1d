import {setTimeout as sleep} from 'node:timers/promises';
import {HEARTBEAT_INTERVAL_MS} from '../../common/batch/election.js';
import {LOG_LIMITS} from '../../common/batch/log_limits.test_support.js';
import {
  AppendResponse,
  AppendResult,
  KeyedLog,
  KeyedRecord,
  ReadResponse,
  Topic,
} from '../../common/batch/store.js';
import {SystemClock} from '../system_clock.js';
import {FencedWriter} from './fenced_writer.js';
import {RoleWriter} from './role_writer.js';

/** A log in which appends to some topics get no response. */
class PartlyUnresponsiveLog implements KeyedLog {
  readonly limits = LOG_LIMITS;
  readonly appended: [Topic, readonly KeyedRecord[]][] = [];
  result: AppendResult = AppendResult.STORED;
  readonly unresponsive = new Set<Topic>();

  async append(
    topic: Topic,
    records: readonly KeyedRecord[],
  ): Promise<AppendResponse> {
    await sleep(1);
    if (this.unresponsive.has(topic)) return new Promise(() => {});
    this.appended.push([topic, records]);
    return {result: this.result};
  }

  read(): Promise<ReadResponse> {
    return new Promise(() => {});
  }

  newest(): Promise<ReadResponse> {
    return new Promise(() => {});
  }
}

describe('RoleWriter', () => {
  const clock = new SystemClock();
  const record = {epoch: 3, instance: 'e1', incarnation: 'x', resigned: false};
  let log: PartlyUnresponsiveLog;
  let fencedCount: number;
  let role: RoleWriter;

  beforeEach(() => {
    log = new PartlyUnresponsiveLog();
    fencedCount = 0;
    const onFenced = (): void => void fencedCount++;
    role = new RoleWriter(log, clock, record, 0, {
      onFenced,
      onStored: () => {},
      onRefused: () => {},
    });
  });

  afterEach(() => role.close());

  it('writes heartbeats while an append of progress has no response', async () => {
    // Guards against a takeover from a scheduler that is alive: its heartbeat
    // waited behind a long batch (takeovers in a row on a site of 100 workers).
    log.unresponsive.add(Topic.PROGRESS);
    const listener = {
      onFenced: () => {},
      onStored: () => {},
      onRefused: () => {},
    };
    const progress = new FencedWriter(
      log,
      Topic.PROGRESS,
      3,
      0,
      clock,
      listener,
    );
    void progress.append([{key: 'sa', value: Uint8Array.of(1)}]);
    await sleep(4 * HEARTBEAT_INTERVAL_MS);
    expect(log.appended.length).toBeGreaterThanOrEqual(2);
    expect(role.isAuthoritative).toBe(true);
  });

  it('is not authoritative before one of its appends is stored', async () => {
    // Guards against a state that is returned as current although another
    // instance may have claimed the role.
    log.result = AppendResult.UNKNOWN;
    await sleep(50);
    expect(role.isAuthoritative).toBe(false);
  });

  it('writes nothing after it was fenced', async () => {
    // Guards against heartbeats of two schedulers at the same time.
    log.result = AppendResult.FENCED;
    expect(await role.appendHeartbeat()).toBe(false);
    const before = log.appended.length;
    log.result = AppendResult.STORED;
    await sleep(2 * HEARTBEAT_INTERVAL_MS);
    expect(fencedCount).toBe(1);
    expect(log.appended).toHaveLength(before);
  });
});

describe('FencedWriter', () => {
  it('stores appends in the order in which they were requested', async () => {
    // Guards against a sequence number that the store refuses because a later
    // append overtook an earlier one.
    const log = new PartlyUnresponsiveLog();
    const listener = {
      onFenced: () => {},
      onStored: () => {},
      onRefused: () => {},
    };
    const clock = new SystemClock();
    const writer = new FencedWriter(log, Topic.STATES, 1, 0, clock, listener);
    const keys = ['a', 'b', 'c'];
    const value = Uint8Array.of(1);
    await Promise.all(keys.map(key => writer.append([{key, value}])));
    expect(log.appended.map(([, [{key}]]) => key)).toEqual(keys);
  });
});

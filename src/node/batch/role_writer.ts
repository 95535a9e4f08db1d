import {Clock, Millis} from '../../common/base/clock.js';
import {
  SCHEDULER_TIMEOUT_MS,
  HEARTBEAT_INTERVAL_MS,
} from '../../common/batch/election.js';
import {
  packRecord,
  SCHEDULER_KEY,
  SchedulerRecord,
} from '../../common/batch/job_records.js';
import {KeyedLog, KeyedRecord, Topic} from '../../common/batch/store.js';
import {FencedWriter, FencedWriterListener} from './fenced_writer.js';

/** Interval of the checks whether a heartbeat is due. */
const CHECK_INTERVAL_MS: Millis = 100;

/**
 * Writes the states topic during a term and keeps the scheduler role by it: a
 * heartbeat is written whenever no other record was for a while. It doesn't
 * wait for the scheduler's other work, so that a takeover, a long batch or a
 * slow progress topic isn't taken for a failure of the scheduler.
 */
export class RoleWriter {
  private readonly writer: FencedWriter;
  /** Local time at which the last append was requested. */
  private lastRequestedAt: Millis = -Infinity;
  /** Local time before the last stored append was sent. */
  private lastStoredAt: Millis = -Infinity;
  private readonly timer: NodeJS.Timeout;

  /** @param firstSequence sequence number of the first append. */
  constructor(
    log: KeyedLog,
    private readonly clock: Clock,
    private readonly record: SchedulerRecord,
    firstSequence: number,
    listener: FencedWriterListener,
  ) {
    this.writer = new FencedWriter(
      log,
      Topic.STATES,
      record.epoch,
      firstSequence,
      clock,
      {
        onFenced: () => listener.onFenced(),
        onStored: (records, end, sentAt) => {
          this.lastStoredAt = sentAt;
          listener.onStored(records, end, sentAt);
        },
      },
    );
    this.timer = setInterval(() => this.beat(), CHECK_INTERVAL_MS);
  }

  /**
   * Whether the last stored append is so recent that no other instance can
   * have claimed the scheduler role.
   */
  get isAuthoritative(): boolean {
    return this.clock.now() - this.lastStoredAt < SCHEDULER_TIMEOUT_MS;
  }

  /** Stores states of jobs; resolves to whether they are stored. */
  append(records: readonly KeyedRecord[]): Promise<boolean> {
    this.lastRequestedAt = this.clock.now();
    return this.writer.append(records);
  }

  /** Stores a heartbeat; resolves to whether it is stored. */
  appendHeartbeat(): Promise<boolean> {
    return this.append([{key: SCHEDULER_KEY, value: packRecord(this.record)}]);
  }

  /** Starts a heartbeat if one is due and no append is under way. */
  beat(): void {
    const silentMs = this.clock.now() - this.lastRequestedAt;
    if (this.writer.isBusy || silentMs < HEARTBEAT_INTERVAL_MS) return;
    void this.appendHeartbeat();
  }

  settled(key: string): Promise<boolean> {
    return this.writer.settled(key);
  }

  /** Stores that the role is given up, and writes nothing after it. */
  async resign(): Promise<void> {
    clearInterval(this.timer);
    const record = {...this.record, resigned: true};
    await this.append([{key: SCHEDULER_KEY, value: packRecord(record)}]);
  }

  /** Writes nothing more. */
  close(): void {
    clearInterval(this.timer);
    this.writer.close();
  }
}

import {Clock, Millis} from '../../common/base/clock.js';
import {
  SCHEDULER_TIMEOUT_MS,
  HEARTBEAT_INTERVAL_MS,
} from '../../common/batch/election.js';
import {
  packRecord,
  schedulerKey,
  SchedulerRecord,
} from '../../common/batch/job_records.js';
import {WHOLE_FLEET} from '../../common/batch/shard_layout.js';
import {KeyedLog, KeyedRecord, Topic} from '../../common/batch/store.js';
import {FencedWriter, FencedWriterListener} from './fenced_writer.js';

/** What changes in the record of a scheduler during its term. */
export type SchedulerStatus = Pick<
  SchedulerRecord,
  'load' | 'earlierAuthorityMs'
>;

/** Interval of the checks whether a heartbeat is due. */
const CHECK_INTERVAL_MS: Millis = 100;

/**
 * Writes the states topic during a term and keeps the scheduler role by it:
 * heartbeats are written at a fixed interval, with other records if there are
 * any. They don't wait for the scheduler's other work, so that a takeover, a
 * long batch or a slow progress topic isn't taken for a failure of the
 * scheduler. The topic is shared by the schedulers of all shards.
 */
export class RoleWriter {
  private readonly writer: FencedWriter;
  /** Local time at which the last heartbeat was requested. */
  private lastBeatAt: Millis = -Infinity;
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
    private readonly shard: string = WHOLE_FLEET,
    /** Returns what heartbeats add to the record of the claim. */
    private readonly status: () => SchedulerStatus = () => ({}),
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
        onRefused: (refused, topic) => listener.onRefused(refused, topic),
      },
      shard,
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

  /**
   * Stores states of jobs; resolves to whether they are stored or refused.
   * @param onRefused called for each record that the store never accepts.
   */
  append(
    records: readonly KeyedRecord[],
    onRefused?: (record: KeyedRecord) => void,
  ): Promise<boolean> {
    if (!this.isBeatDue) return this.writer.append(records, onRefused);
    return this.writer.append([...records, this.heartbeat()], onRefused);
  }

  /** Stores a heartbeat; resolves to whether it is stored. */
  appendHeartbeat(): Promise<boolean> {
    return this.writer.append([this.heartbeat()]);
  }

  /** Starts a heartbeat if one is due and no append is under way. */
  beat(): void {
    if (this.writer.isBusy || !this.isBeatDue) return;
    void this.appendHeartbeat();
  }

  private get isBeatDue(): boolean {
    return this.clock.now() - this.lastBeatAt >= HEARTBEAT_INTERVAL_MS;
  }

  private heartbeat(): KeyedRecord {
    this.lastBeatAt = this.clock.now();
    const record = {...this.record, ...this.status()};
    return {key: schedulerKey(this.shard), value: packRecord(record)};
  }

  settled(key: string): Promise<boolean> {
    return this.writer.settled(key);
  }

  /** Whether no append of this key is in flight or of unknown outcome. */
  isSettled(key: string): boolean {
    return this.writer.isSettled(key);
  }

  /**
   * Stores that the role is given up, and writes nothing after it.
   * @param earlierAuthorityMs time for which schedulers before this one may
   *     still grant leases.
   */
  async resign(earlierAuthorityMs: Millis): Promise<void> {
    clearInterval(this.timer);
    const record = {...this.record, resigned: true, earlierAuthorityMs};
    const key = schedulerKey(this.shard);
    await this.writer.append([{key, value: packRecord(record)}]);
  }

  /** Writes nothing more. */
  close(): void {
    clearInterval(this.timer);
    this.writer.close();
  }
}

import {setTimeout as sleep} from 'node:timers/promises';
import {Clock, Millis} from '../../common/base/clock.js';
import {RecordKind} from '../../common/batch/job_records.js';
import {JobView} from '../../common/batch/job_view.js';
import {
  KeyedLog,
  KeyedRecord,
  progressTopic,
  ReadResult,
} from '../../common/batch/store.js';
import {FencedWriter} from './fenced_writer.js';
import {LogTail} from './log_tail.js';

/** Delay before a step of a takeover is repeated. */
const RETRY_DELAY_MS: Millis = 100;

/** Interval of the checks whether a topic is loaded. */
const LOAD_CHECK_INTERVAL_MS: Millis = 5;

/** The log, and the replica that a takeover completes. */
export interface TakeoverDependencies {
  readonly shard: string;
  readonly log: KeyedLog;
  readonly clock: Clock;
  readonly view: JobView;
  readonly intakeTail: LogTail;
  readonly workersTail: LogTail;
  /** Shows which data centres are evacuated. */
  readonly operatorTail: LogTail;
}

/** Loads what a new scheduler needs, after its claim is stored. */
export class Takeover {
  constructor(private readonly dependencies: TakeoverDependencies) {}

  /**
   * Fences the progress topic and the predecessor's records in the intake, and
   * loads both topics, the operator topic and the workers. Ends early when `isFenced`. Returns the
   * records of the progress topic; the replica is shared with the takeovers of
   * other shards, so they are applied only in `applyProgress`.
   */
  async load(
    progress: FencedWriter,
    intakeWriter: FencedWriter,
    isFenced: () => boolean,
  ): Promise<readonly KeyedRecord[]> {
    const {intakeTail, workersTail, operatorTail} = this.dependencies;
    workersTail.resume(-1);
    const operatorRead = this.repeat(() => operatorTail.refresh(), isFenced);
    const intakeFence = intakeWriter.fence();
    let records: readonly KeyedRecord[] = [];
    if (await progress.fence()) {
      await this.repeat(async () => {
        const read = await this.readProgress();
        if (read !== undefined) records = read;
        return read !== undefined;
      }, isFenced);
    }
    await intakeFence;
    // Only now does the intake hold all jobs whose progress may be stored.
    await this.repeat(() => intakeTail.refresh(), isFenced);
    // A term that begins without it could start tasks in a data centre that was
    // evacuated while this instance was frozen or cut off.
    await operatorRead;
    while (!workersTail.isLoaded && !isFenced()) {
      await sleep(LOAD_CHECK_INTERVAL_MS);
    }
    return records;
  }

  /** Replaces the progress in the replica by that of this shard. */
  applyProgress(records: readonly KeyedRecord[]): void {
    const {view, clock} = this.dependencies;
    view.dropProgress();
    for (const record of records) view.apply(record, clock.now());
  }

  /**
   * Applies the scheduler's records that earlier versions kept in the progress
   * topic; returns whether the topic was read.
   */
  async loadSchedulers(): Promise<boolean> {
    const {view, clock} = this.dependencies;
    const records = await this.readProgress();
    for (const record of records ?? []) {
      if (record.key[0] !== RecordKind.SCHEDULER) continue;
      view.apply(record, clock.now());
    }
    return records !== undefined;
  }

  /** Newest records of the progress topic; undefined if it can't be read. */
  private async readProgress(): Promise<readonly KeyedRecord[] | undefined> {
    const {log, shard} = this.dependencies;
    const {result, records} = await log.newest(progressTopic(shard));
    return result === ReadResult.READ ? records : undefined;
  }

  /** Repeats a step until it succeeds or `isFenced`. */
  private async repeat(
    step: () => Promise<boolean>,
    isFenced: () => boolean,
  ): Promise<void> {
    while (!isFenced() && !(await step())) await sleep(RETRY_DELAY_MS);
  }
}

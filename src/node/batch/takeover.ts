import {setTimeout as sleep} from 'node:timers/promises';
import {Clock, Millis} from '../../common/base/clock.js';
import {JobView} from '../../common/batch/job_view.js';
import {KeyedLog, progressTopic, ReadResult} from '../../common/batch/store.js';
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
}

/** Loads what a new scheduler needs, after its claim is stored. */
export class Takeover {
  constructor(private readonly dependencies: TakeoverDependencies) {}

  /**
   * Fences the progress topic and the predecessor's records in the intake, and
   * loads both topics and the workers. Ends early when `isFenced`.
   */
  async load(
    progress: FencedWriter,
    intakeWriter: FencedWriter,
    isFenced: () => boolean,
  ): Promise<void> {
    const {view, intakeTail, workersTail} = this.dependencies;
    workersTail.resume(-1);
    const intake = intakeWriter
      .fence()
      .then(() => this.repeat(() => intakeTail.refresh(), isFenced));
    if (await progress.fence()) {
      view.dropProgress();
      await this.repeat(() => this.loadProgress(), isFenced);
    }
    await intake;
    while (!workersTail.isLoaded && !isFenced()) {
      await sleep(LOAD_CHECK_INTERVAL_MS);
    }
  }

  /** Reads the newest records of the progress topic; returns whether it did. */
  async loadProgress(): Promise<boolean> {
    const {log, clock, view, shard} = this.dependencies;
    const {result, records} = await log.newest(progressTopic(shard));
    if (result !== ReadResult.READ) return false;
    for (const entry of records) view.apply(entry, clock.now());
    return true;
  }

  /** Repeats a step until it succeeds or `isFenced`. */
  private async repeat(
    step: () => Promise<boolean>,
    isFenced: () => boolean,
  ): Promise<void> {
    while (!isFenced() && !(await step())) await sleep(RETRY_DELAY_MS);
  }
}

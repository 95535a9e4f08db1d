import {ConsolaInstance} from 'consola';
import {Clock, Millis} from '../common/base/clock.js';
import {Disposable, DisposableStore} from '../common/base/disposable.js';
import {Emitter, Event} from '../common/base/emitter.js';
import {RecordWriter, WriterAction} from '../common/stream/record_writer.js';
import {RecordIdentity, StoredRecord} from '../common/stream/types.js';
import {LogClient, LogPage} from './log_client.js';

function identityOf(data: unknown): RecordIdentity | undefined {
  const {writer, sequence} = (data ?? {}) as Partial<RecordIdentity>;
  if (typeof writer !== 'string' || typeof sequence !== 'number') {
    return undefined;
  }
  return {writer, sequence};
}

/**
 * Connects one stream of the log with its writer. It sends the writer's appends
 * and passes each page that it reads to the listeners of `onRecords` first, then
 * to the writer, so that a record has been applied before it is confirmed.
 */
export class StreamChannel<T extends RecordIdentity, E> implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly records = this.disposables.add(
    new Emitter<ReadonlyArray<StoredRecord<T>>>(),
  );
  private readonly confirmed = this.disposables.add(new Emitter<T>());
  private readonly caughtUp = this.disposables.add(new Emitter<Millis>());
  private readonly availability = this.disposables.add(new Emitter<boolean>());
  private readable = false;
  private reportedAvailable = false;
  private caughtUpAt = -Infinity;

  /** Fires for each page of records, in order; their data is not validated. */
  readonly onRecords: Event<ReadonlyArray<StoredRecord<T>>> =
    this.records.event;
  /** Fires when a record of this writer has been read back. */
  readonly onConfirmed: Event<T> = this.confirmed.event;
  /** Fires when a read reaches the end, with the time at which it was sent. */
  readonly onCaughtUp: Event<Millis> = this.caughtUp.event;
  /** Fires when the stream becomes available or unavailable. */
  readonly onAvailability: Event<boolean> = this.availability.event;

  constructor(
    private readonly log: LogClient,
    private readonly stream: string,
    private readonly writer: RecordWriter<T, E>,
    private readonly clock: Clock,
    private readonly logger: ConsolaInstance,
  ) {}

  /** Starts reading at the oldest kept record. */
  start(): void {
    this.disposables.add(
      this.log.follow(this.stream, {
        onPage: (page, sentAt) => this.handlePage(page, sentAt),
        onAvailability: readable => {
          this.readable = readable;
          this.reportAvailability();
        },
      }),
    );
  }

  /** Whether records can be read and are confirmed in time. */
  get available(): boolean {
    return this.readable && this.writer.available;
  }

  /**
   * Local time at which the last read that reached the end was sent; -Infinity
   * before the first one.
   */
  get lastCaughtUpAt(): number {
    return this.caughtUpAt;
  }

  /** Carries out actions that the writer yielded. */
  run(actions: Iterable<WriterAction<T>>): void {
    for (const action of actions) {
      if (action.kind === 'append') {
        void this.append(action.record);
      } else if (action.kind === 'confirmed') {
        this.confirmed.fire(action.record);
      } else {
        this.reportAvailability();
      }
    }
  }

  /** Lets the writer send records that are due; to be called periodically. */
  tick(): void {
    this.run(this.writer.tick(this.clock.now()));
  }

  dispose(): void {
    this.disposables.dispose();
  }

  private async append(record: T): Promise<void> {
    const result = await this.log.append(this.stream, record);
    const now = this.clock.now();
    result.caseOf({
      Right: offset => this.run(this.writer.onAppended(offset, now)),
      Left: error => {
        this.logger.warn('Append to the log failed.', {
          stream: this.stream,
          reason: error.message,
        });
        this.run(this.writer.onAppendFailed(now));
      },
    });
  }

  private handlePage(page: LogPage, sentAt: Millis): void {
    this.records.fire(page.records as ReadonlyArray<StoredRecord<T>>);
    for (const record of page.records) {
      const identity = identityOf(record.data);
      if (identity !== undefined) {
        this.run(this.writer.onRecordRead(identity, this.clock.now()));
      }
    }
    const last = page.records[page.records.length - 1];
    const atEnd = last === undefined || last.offset + 1 >= page.end;
    if (!atEnd) return;
    this.caughtUpAt = sentAt;
    this.run(this.writer.onCaughtUp(this.clock.now()));
    this.caughtUp.fire(sentAt);
  }

  private reportAvailability(): void {
    const available = this.available;
    if (available === this.reportedAvailable) return;
    this.reportedAvailable = available;
    const state = available ? 'available' : 'unavailable';
    this.logger.info(`The stream is ${state}.`, {stream: this.stream});
    this.availability.fire(available);
  }
}

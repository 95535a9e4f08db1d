import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {Clock, Millis, SECOND} from '../common/base/clock.js';
import {Disposable} from '../common/base/disposable.js';
import {Offset, StoredRecord} from '../common/stream/types.js';
import {
  PlatformClient,
  PlatformError,
  PlatformErrorKind,
} from './platform_client.js';

const APPEND_RESPONSE_SCHEMA = z.object({
  offset: z.number().int().nonnegative(),
});

const READ_RESPONSE_SCHEMA = z.object({
  first: z.number().int().nonnegative(),
  end: z.number().int().nonnegative(),
  records: z.array(
    z.object({
      offset: z.number().int().nonnegative(),
      timeMs: z.number(),
      data: z.unknown(),
    }),
  ),
});

/** Records returned by one read. */
export interface LogPage {
  /** Oldest offset that the log has kept. */
  readonly first: Offset;
  /** Offset after the last record of the stream. */
  readonly end: Offset;
  readonly records: readonly StoredRecord<unknown>[];
}

/** Receives what `LogClient.follow` reads. */
export interface LogListener {
  /** @param sentAt local time at which the read was sent, in milliseconds. */
  onPage(page: LogPage, sentAt: Millis): void;
  /** Called after every read, with whether it succeeded. */
  onAvailability(available: boolean): void;
}

/** Timeouts of requests to the log, in milliseconds. */
export interface LogTimeouts {
  readonly appendMs: Millis;
  readonly readMs: Millis;
  /** Time for which the log may delay its response until a record arrives. */
  readonly longPollMs: Millis;
}

export const DEFAULT_LOG_TIMEOUTS: LogTimeouts = {
  appendMs: 2 * SECOND,
  readMs: 2 * SECOND,
  longPollMs: 2 * SECOND,
};

const MAX_RECORDS_PER_READ = 500;
const INITIAL_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1000;

/** Client of the platform's log service. */
export class LogClient {
  constructor(
    private readonly client: PlatformClient,
    private readonly baseUrl: string,
    private readonly clock: Clock,
    private readonly timeouts: LogTimeouts = DEFAULT_LOG_TIMEOUTS,
  ) {}

  /**
   * Appends a record with one request, without retries. After a `no-answer` error
   * the record may have been stored.
   */
  async append(
    stream: string,
    data: unknown,
  ): Promise<Either<PlatformError, Offset>> {
    const result = await this.client.call(
      'POST',
      this.url(stream),
      {data},
      this.timeouts.appendMs,
    );
    return result.chain(({body, status}) => {
      const parsed = APPEND_RESPONSE_SCHEMA.safeParse(body);
      if (parsed.success) return Right(parsed.data.offset);
      return Left(malformedResponse(stream, status));
    });
  }

  /**
   * Reads records from offset `from` on. If there are none, the log waits up to
   * `waitMs` for the first one.
   */
  async read(
    stream: string,
    from: Offset,
    waitMs: Millis,
  ): Promise<Either<PlatformError, LogPage>> {
    const query = `from=${from}&limit=${MAX_RECORDS_PER_READ}&waitMs=${waitMs}`;
    const result = await this.client.call(
      'GET',
      `${this.url(stream)}?${query}`,
      undefined,
      this.timeouts.readMs + waitMs,
    );
    return result.chain(({body, status}) => {
      const parsed = READ_RESPONSE_SCHEMA.safeParse(body);
      if (parsed.success) return Right(parsed.data as LogPage);
      return Left(malformedResponse(stream, status));
    });
  }

  /** Reads a stream from its oldest kept record on, until disposed. */
  follow(stream: string, listener: LogListener): Disposable {
    const follower = new LogFollower(
      this,
      stream,
      this.clock,
      this.timeouts,
      listener,
    );
    void follower.run();
    return follower;
  }

  private url(stream: string): string {
    return `${this.baseUrl}/streams/${encodeURIComponent(stream)}`;
  }
}

function malformedResponse(stream: string, status: number): PlatformError {
  return {
    kind: PlatformErrorKind.MALFORMED,
    status,
    message: `The log sent a malformed response for stream ${stream}`,
  };
}

/**
 * Reads a stream page by page and waits for new records by long polling. Failed
 * reads are retried with exponential backoff.
 */
class LogFollower implements Disposable {
  private nextOffset: Offset = 0;
  private disposed = false;
  private retryDelayMs = INITIAL_RETRY_DELAY_MS;
  private atEnd = false;

  constructor(
    private readonly client: LogClient,
    private readonly stream: string,
    private readonly clock: Clock,
    private readonly timeouts: LogTimeouts,
    private readonly listener: LogListener,
  ) {}

  dispose(): void {
    this.disposed = true;
  }

  async run(): Promise<void> {
    while (!this.disposed) {
      const sentAt = this.clock.now();
      const waitMs = this.atEnd ? this.timeouts.longPollMs : 0;
      const page = await this.client.read(this.stream, this.nextOffset, waitMs);
      if (this.disposed) return;
      if (page.isRight()) {
        this.retryDelayMs = INITIAL_RETRY_DELAY_MS;
        this.handlePage(page.extract(), sentAt);
      } else {
        this.atEnd = false;
        this.listener.onAvailability(false);
        await this.waitBeforeRetry();
      }
    }
  }

  private handlePage(page: LogPage, sentAt: Millis): void {
    const last = page.records[page.records.length - 1];
    this.nextOffset = last === undefined ? page.end : last.offset + 1;
    this.atEnd = this.nextOffset >= page.end;
    this.listener.onAvailability(true);
    this.listener.onPage(page, sentAt);
  }

  private async waitBeforeRetry(): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, this.retryDelayMs));
    this.retryDelayMs = Math.min(this.retryDelayMs * 2, MAX_RETRY_DELAY_MS);
  }
}

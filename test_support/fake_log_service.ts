import {JsonServer, readJson, sendJson} from '../src/node/json_server.js';

interface LogRecord {
  readonly offset: number;
  readonly timeMs: number;
  readonly data: unknown;
}

interface Stream {
  /** Offset of the oldest record that is kept. */
  firstOffset: number;
  records: LogRecord[];
  /** Callbacks of the reads that wait for the next record. */
  waiters: Set<() => void>;
}

/** Injected faults, set by a test or by `PUT /faults`. */
export interface LogFaults {
  /** Appends and reads get 503. */
  down: boolean;
  /** Delay before each append and read is carried out, in milliseconds. */
  delayMs: number;
  /** This many appends are stored, but their connections close unanswered. */
  loseAppendAnswers: number;
  /** This many appends are not stored, and their connections close. */
  loseAppends: number;
}

/** Longest time that a read waits for a record. */
const MAX_WAIT_MS = 30_000;
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/**
 * Fake of the platform's log service, with append-only streams in memory.
 *
 * `PUT /faults` sets faults, `POST /drop/{stream}?before=N` drops the records
 * below offset N, `GET /stats` returns the number of appends.
 */
export class FakeLogService {
  private readonly streams = new Map<string, Stream>();
  private readonly server = new JsonServer({
    maxBodyBytes: MAX_BODY_BYTES,
    requestTimeoutMs: 60_000,
  });
  private appendCount = 0;
  readonly faults: LogFaults = {
    down: false,
    delayMs: 0,
    loseAppendAnswers: 0,
    loseAppends: 0,
  };

  constructor() {
    this.server
      .route('POST', '/streams/{stream}', async exchange => {
        const body = await readJson(exchange, MAX_BODY_BYTES);
        await this.delay();
        if (this.faults.loseAppends > 0) {
          this.faults.loseAppends--;
          exchange.response.destroy();
          return;
        }
        if (this.faults.down) {
          sendJson(exchange.response, 503, {error: 'down'});
          return;
        }
        const {data} = body as {data: unknown};
        const offset = this.append(exchange.parameters.stream, data);
        if (this.faults.loseAppendAnswers > 0) {
          this.faults.loseAppendAnswers--;
          exchange.response.destroy();
          return;
        }
        sendJson(exchange.response, 201, {offset});
      })
      .route('GET', '/streams/{stream}', async exchange => {
        const query = exchange.url.searchParams;
        const from = Number(query.get('from') ?? 0);
        const limit = Number(query.get('limit') ?? 500);
        const waitMs = Number(query.get('waitMs') ?? 0);
        await this.delay();
        const name = exchange.parameters.stream;
        if (!this.faults.down && this.endOffset(name) <= from && waitMs > 0) {
          await this.waitForRecord(name, Math.min(waitMs, MAX_WAIT_MS));
        }
        if (this.faults.down) {
          sendJson(exchange.response, 503, {error: 'down'});
          return;
        }
        sendJson(exchange.response, 200, this.read(name, from, limit));
      })
      .route('PUT', '/faults', async exchange => {
        const body = await readJson(exchange, MAX_BODY_BYTES);
        Object.assign(this.faults, body);
        if (this.faults.down) this.wakeAllWaiters();
        sendJson(exchange.response, 200, this.faults);
      })
      .route('POST', '/drop/{stream}', exchange => {
        const before = Number(exchange.url.searchParams.get('before') ?? 0);
        this.dropBefore(exchange.parameters.stream, before);
        sendJson(exchange.response, 200, {dropped: before});
      })
      .route('GET', '/stats', exchange => {
        sendJson(exchange.response, 200, {appends: this.appendCount});
      });
  }

  /** Starts to listen; resolves with the port. */
  listen(port: number, host = '127.0.0.1'): Promise<number> {
    return this.server.listen(port, host);
  }

  async close(): Promise<void> {
    this.wakeAllWaiters();
    this.server.closeAllConnections();
    await this.server.close();
  }

  /** Appends a record and returns its offset. */
  append(name: string, data: unknown): number {
    const stream = this.stream(name);
    const offset = stream.firstOffset + stream.records.length;
    stream.records.push({offset, timeMs: Date.now(), data});
    this.appendCount++;
    this.wakeWaiters(stream);
    return offset;
  }

  /** Returns up to `limit` kept records with offsets of at least `from`. */
  read(name: string, from: number, limit: number) {
    const stream = this.stream(name);
    const start = Math.max(0, from - stream.firstOffset);
    return {
      first: stream.firstOffset,
      end: stream.firstOffset + stream.records.length,
      records: stream.records.slice(start, start + limit),
    };
  }

  /** Drops the records with offsets below `before`, as retention does. */
  dropBefore(name: string, before: number): void {
    const stream = this.stream(name);
    const count = Math.max(0, before - stream.firstOffset);
    stream.records.splice(0, count);
    stream.firstOffset += count;
  }

  /** Offset of the next record to be appended. */
  private endOffset(name: string): number {
    const stream = this.stream(name);
    return stream.firstOffset + stream.records.length;
  }

  /** Returns the stream of this name; creates it if there is none. */
  private stream(name: string): Stream {
    let stream = this.streams.get(name);
    if (stream === undefined) {
      stream = {firstOffset: 0, records: [], waiters: new Set()};
      this.streams.set(name, stream);
    }
    return stream;
  }

  private wakeWaiters(stream: Stream): void {
    for (const waiter of [...stream.waiters]) waiter();
  }

  private wakeAllWaiters(): void {
    for (const stream of this.streams.values()) this.wakeWaiters(stream);
  }

  /** Resolves at the next append to the stream, or after `waitMs`. */
  private waitForRecord(name: string, waitMs: number): Promise<void> {
    const stream = this.stream(name);
    return new Promise(resolve => {
      const done = () => {
        clearTimeout(timer);
        stream.waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      stream.waiters.add(done);
    });
  }

  private delay(): Promise<void> {
    if (this.faults.delayMs <= 0) return Promise.resolve();
    return new Promise(resolve => setTimeout(resolve, this.faults.delayMs));
  }
}

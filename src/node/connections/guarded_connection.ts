import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {Clock, Millis} from '../../common/base/clock.js';
import {
  Closure,
  ConnectionBudget,
  ConnectionPhase,
  Holding,
} from '../../common/connections/connection_budget.js';
import {RequestSplitter} from '../../common/connections/request_splitter.js';
import {TurnQueue} from './turn_queue.js';

/**
 * Bytes that are read and dropped after the last response of a connection. A
 * connection that is closed with unread bytes is reset, and its client may lose
 * the response; more bytes than a body of the usual limit are not waited for.
 */
const MAX_DROPPED_BYTES = 524_288;

/** Time for which they are read: a fifth of a caller's deadline. */
const DROP_TIMEOUT_MS: Millis = 600;

/**
 * Pieces of one read that are parsed without a turn. A request has two; empty
 * lines before a request are pieces of their own.
 */
const MAX_PIECES = 8;

/**
 * After a read of this size, the next part of a body waits for a turn. V8 frees
 * the buffers of reads late: 600 clients that sent bodies of 250,000 bytes
 * without a break took 222 MB.
 */
const LARGE_READ_BYTES = 16_384;

/** What a connection needs of its listener. */
export interface ConnectionHost {
  readonly budget: ConnectionBudget;
  readonly clock: Clock;
  readonly turns: TurnQueue;
  /** Closes the connections that a full budget names. */
  close(closures: readonly Closure[]): void;
}

/** Socket with the mark that Node's HTTP server sets on it. */
interface PausableSocket extends Socket {
  readonly _paused?: boolean;
}

/** Parser of the HTTP server, as it listens to the data of a socket. */
type DataListener = (bytes: Buffer) => void;

/**
 * Passes the bytes of a connection to the HTTP server's parser, one request at
 * a time. Bytes behind a request wait, mostly in the kernel, until its response
 * has been sent. The first pieces of a request need no turn; more pieces of a
 * chunked or large body, and requests that were sent ahead, wait for one.
 */
export class GuardedConnection {
  private readonly splitter = new RequestSplitter();
  private readonly parse: DataListener;
  /** Requests whose responses have not been sent. */
  private openRequests = 0;
  /** Chunks of the body in the piece that is being parsed. */
  private chunks = 0;
  private isParsingBody = false;
  private isWaitingForTurn = false;
  private isDropping = false;
  private isUpgraded = false;
  /** Whether bytes were held at the last measurement. */
  private hadBytes = false;
  private droppedBytes = 0;
  /** Memory of the body in bytes. */
  private bodyBytes = 0;
  /** Turns since the connection last had nothing left to parse. */
  private turnsTaken = 0;
  private messageBytes = 0;
  private current: IncomingMessage | undefined;
  private response: ServerResponse | undefined;
  /** Resolves when the request before the next one has been handled. */
  private lastHandled: Promise<void> = Promise.resolve();

  constructor(
    readonly id: number,
    readonly socket: Socket,
    private readonly host: ConnectionHost,
  ) {
    // The listener of the HTTP server; without it, it would read by itself.
    const [parse] = socket.listeners('data') as DataListener[];
    this.parse = bytes => parse.call(socket, bytes);
    socket.removeAllListeners('data');
    socket.on('data', this.onData);
  }

  /** Whether a response may be written in place of one that is missing. */
  get canRefuse(): boolean {
    if (this.openRequests !== 1 || this.response?.headersSent) return false;
    return this.current?.complete === false;
  }

  /** Handles requests of the connection one after the other. */
  async handleInTurn(handle: () => Promise<void>): Promise<void> {
    const handled = this.lastHandled.then(handle);
    // The error goes to the caller; the next request is handled all the same.
    this.lastHandled = handled.catch(() => {});
    await handled;
  }

  /** A chunk of a body has arrived; its memory is now `heldBytes`. */
  onBodyChunk(heldBytes: number): void {
    this.chunks++;
    if (heldBytes !== this.bodyBytes) this.holdBody(heldBytes);
  }

  private holdBody(heldBytes: number): void {
    this.bodyBytes = heldBytes;
    const {budget, clock} = this.host;
    const {id} = this;
    this.host.close(budget.hold(id, Holding.BODY, heldBytes, clock.now()));
  }

  /** A request's headers have ended. */
  onRequest(request: IncomingMessage, response: ServerResponse): void {
    this.openRequests++;
    this.current = request;
    this.response = response;
    const {headers} = request;
    const isChunked = headers['transfer-encoding'] !== undefined;
    const length = Number(headers['content-length'] ?? 0);
    if (isChunked || length > 0) {
      // Part of a body that begins in a piece of the last one is parsed already.
      const isLengthKnown = !isChunked && !this.isParsingBody;
      this.splitter.beginBody(isLengthKnown ? length : undefined);
      this.enter(ConnectionPhase.BODY);
    } else {
      this.splitter.endBody();
      this.enter(ConnectionPhase.WORK);
    }
    response.once('close', () => this.onResponseEnd(request));
  }

  /**
   * Stops parsing; the connection has another protocol from now on, whose
   * incomplete messages count as a body.
   */
  onUpgrade(): void {
    this.isUpgraded = true;
    this.socket.removeListener('data', this.onData);
    this.enter(ConnectionPhase.WORK);
    this.socket.on('data', (bytes: Buffer) => {
      this.messageBytes += bytes.length;
      this.holdBody(this.messageBytes);
      if (this.messageBytes > LARGE_READ_BYTES && !this.socket.destroyed) {
        this.socket.pause();
        this.takeTurn();
      }
    });
  }

  /** A message of the other protocol is complete. */
  onMessage(): void {
    this.messageBytes = 0;
    this.holdBody(0);
    this.onPing();
  }

  /** The client of the other protocol is there; its message may go on. */
  onPing(): void {
    this.host.budget.progress(this.id, this.host.clock.now());
  }

  /** Reports the bytes of input and output that the connection holds. */
  measure(): void {
    const {readableLength, writableLength} = this.socket;
    const isEmpty = readableLength === 0 && writableLength === 0;
    if (isEmpty && !this.hadBytes) return;
    this.hadBytes = !isEmpty;
    const {budget, clock} = this.host;
    const now = clock.now();
    this.host.close([
      ...budget.hold(this.id, Holding.INPUT, readableLength, now),
      ...budget.hold(this.id, Holding.OUTPUT, writableLength, now),
    ]);
  }

  private enter(phase: ConnectionPhase): void {
    this.host.budget.enter(this.id, phase, this.host.clock.now());
  }

  private readonly onData = (bytes: Buffer): void => {
    if (this.isDropping) {
      this.drop(bytes.length);
      return;
    }
    let rest = bytes;
    for (let pieces = 0; rest.length > 0 && this.mayParse(); pieces++) {
      if (pieces === MAX_PIECES) this.takeTurn();
      else rest = this.parsePiece(rest);
    }
    if (this.socket.destroyed) return;
    if (this.isUpgraded) {
      if (rest.length > 0) this.socket.unshift(rest);
    } else if (rest.length > 0) {
      this.wait(rest);
    } else if (this.splitter.isInBody && bytes.length >= LARGE_READ_BYTES) {
      this.takeTurn();
      this.wait(rest);
    }
  };

  /** A request has to wait for the responses to those before it. */
  private mayParse(): boolean {
    if (this.isWaitingForTurn || this.isUpgraded) return false;
    if (this.socket.destroyed || this.isDropping) return false;
    // The HTTP server parses nothing until the client has taken responses, and
    // resumes the socket then.
    if ((this.socket as PausableSocket)._paused === true) return false;
    return this.splitter.isInBody || this.openRequests === 0;
  }

  /** Parses the next piece; returns the bytes behind it. */
  private parsePiece(bytes: Buffer): Buffer {
    const {splitter} = this;
    const wasInBody = splitter.isInBody;
    if (!wasInBody) this.enter(ConnectionPhase.HEADERS);
    const length = splitter.pieceLength(bytes);
    const isCostly = splitter.isCostly;
    const before = this.current;
    this.chunks = 0;
    this.isParsingBody = wasInBody;
    this.parse(bytes.subarray(0, length));
    this.isParsingBody = false;
    if (wasInBody && this.current === before) {
      splitter.onPiece(length, this.chunks);
      this.host.budget.progress(this.id, this.host.clock.now());
    }
    if (splitter.isInBody && this.current?.complete === true) {
      splitter.endBody();
      this.enter(ConnectionPhase.WORK);
    }
    const rest = bytes.subarray(length);
    if (isCostly && splitter.isInBody && rest.length > 0) this.takeTurn();
    return rest;
  }

  /** Stops reading, until the turn or the end of the responses. */
  private wait(rest: Buffer): void {
    this.socket.pause();
    if (rest.length > 0) this.socket.unshift(rest);
    this.measure();
  }

  private takeTurn(): void {
    if (this.isWaitingForTurn) return;
    this.isWaitingForTurn = true;
    this.host.turns.add(this.turnsTaken++, () => {
      this.isWaitingForTurn = false;
      if (!this.socket.destroyed) this.socket.resume();
    });
  }

  private onResponseEnd(request: IncomingMessage): void {
    this.openRequests--;
    this.holdBody(0);
    if (this.socket.destroyed || this.isUpgraded) return;
    if (!request.complete) {
      this.finishUnread();
      return;
    }
    if (this.openRequests > 0) return;
    this.current = undefined;
    this.response = undefined;
    this.enter(ConnectionPhase.IDLE);
    this.measure();
    if (this.socket.readableLength > 0) {
      this.takeTurn();
      return;
    }
    this.turnsTaken = 0;
    this.socket.resume();
  }

  /** Closes the connection of a request that was answered before its end. */
  private finishUnread(): void {
    const {socket} = this;
    this.isDropping = true;
    socket.end();
    const timer = setTimeout(() => socket.destroy(), DROP_TIMEOUT_MS);
    socket.once('close', () => clearTimeout(timer));
    socket.resume();
  }

  private drop(bytes: number): void {
    this.droppedBytes += bytes;
    if (this.droppedBytes > MAX_DROPPED_BYTES) this.socket.destroy();
  }
}

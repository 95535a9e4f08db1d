import {pack, unpack} from 'msgpackr';
import {RawData, WebSocket} from 'ws';
import {Clock, Millis, SECOND} from '../common/base/clock.js';
import {Disposable} from '../common/base/disposable.js';
import {Emitter, Event} from '../common/base/emitter.js';
import {
  Hello,
  parsePeerMessage,
  PEER_PROTOCOL_VERSION,
  PeerMessage,
} from './peer_messages.js';

/** Limits of the send queue to one peer, and the timeout of the link. */
export interface LinkLimits {
  readonly maxQueueMessages: number;
  readonly maxQueueBytes: number;
  /** Time without a received message after which the link is closed. */
  readonly silenceMs: Millis;
}

/** Values of section 3.8 of the design page. */
export const DEFAULT_LINK_LIMITS: LinkLimits = {
  maxQueueMessages: 1000,
  maxQueueBytes: 4 * 1024 * 1024,
  silenceMs: 2 * SECOND,
};

/** WebSocket close codes of the peer protocol; 4000 to 4999 are private use. */
export const LinkCloseCode = {
  UNKNOWN_VERSION: 4001,
  NO_HELLO: 4002,
  SLOW: 4003,
  SILENT: 4004,
  REPLACED: 4005,
} as const;

/**
 * One WebSocket connection to a peer. Sends the `hello` of this instance first
 * and is open once the peer's `hello` has arrived; earlier messages close it.
 */
export class PeerLink implements Disposable {
  private readonly messageEmitter = new Emitter<PeerMessage>();
  private readonly openEmitter = new Emitter<Hello>();
  private readonly closeEmitter = new Emitter<void>();
  private peerHello: Hello | undefined;
  private lastMessageAt: Millis;
  private droppedCount = 0;
  /** Messages not yet handed to the operating system. */
  private queuedMessages = 0;

  readonly onMessage: Event<PeerMessage> = this.messageEmitter.event;
  /** Fires with the peer's `hello`. */
  readonly onOpen: Event<Hello> = this.openEmitter.event;
  readonly onClose: Event<void> = this.closeEmitter.event;

  constructor(
    private readonly socket: WebSocket,
    ownHello: Hello,
    private readonly clock: Clock,
    private readonly limits: LinkLimits = DEFAULT_LINK_LIMITS,
  ) {
    this.lastMessageAt = clock.now();
    socket.on('message', data => this.receive(data));
    socket.on('close', () => this.closeEmitter.fire());
    // A `close` event follows each error. Without a listener an error would end
    // the process.
    socket.on('error', () => undefined);
    if (socket.readyState === WebSocket.OPEN) {
      this.send(ownHello);
    } else {
      socket.once('open', () => this.send(ownHello));
    }
  }

  /** The peer's `hello`; undefined until it is received. */
  get hello(): Hello | undefined {
    return this.peerHello;
  }

  /** Number of messages dropped as malformed or of an unknown kind. */
  get droppedMessages(): number {
    return this.droppedCount;
  }

  /** Time since the last valid message from the peer. */
  silenceMs(now: Millis): Millis {
    return now - this.lastMessageAt;
  }

  /**
   * Sends a message; returns false if the link is closed. Closes the link to a
   * peer that reads too slowly, so that queued messages don't fill the memory.
   */
  send(message: PeerMessage): boolean {
    if (this.socket.readyState !== WebSocket.OPEN) return false;
    const {maxQueueMessages, maxQueueBytes} = this.limits;
    if (
      this.queuedMessages >= maxQueueMessages ||
      this.socket.bufferedAmount > maxQueueBytes
    ) {
      this.close(LinkCloseCode.SLOW, 'the peer reads too slowly');
      return false;
    }
    this.queuedMessages++;
    this.socket.send(pack(message), () => this.queuedMessages--);
    return true;
  }

  /**
   * Ends the connection without waiting for the peer's close frame, which an
   * unresponsive peer would never send. A peer that doesn't read may not
   * receive the code and the reason.
   */
  close(code: number, reason: string): void {
    this.socket.close(code, reason);
    this.socket.terminate();
  }

  dispose(): void {
    this.socket.terminate();
    this.messageEmitter.dispose();
    this.openEmitter.dispose();
    this.closeEmitter.dispose();
  }

  private receive(data: RawData): void {
    const message = this.decode(data);
    if (message === undefined) {
      this.droppedCount++;
      return;
    }
    this.lastMessageAt = this.clock.now();
    if (message.kind === 'hello') {
      this.handleHello(message);
    } else if (this.peerHello === undefined) {
      this.close(LinkCloseCode.NO_HELLO, 'say hello first');
    } else {
      this.messageEmitter.fire(message);
    }
  }

  private decode(data: RawData): PeerMessage | undefined {
    try {
      return parsePeerMessage(unpack(data as Buffer));
    } catch {
      // `unpack` throws on a truncated message.
      return undefined;
    }
  }

  private handleHello(hello: Hello): void {
    if (hello.version !== PEER_PROTOCOL_VERSION) {
      this.socket.close(
        LinkCloseCode.UNKNOWN_VERSION,
        `version ${hello.version} is unknown here; ` +
          `use version ${PEER_PROTOCOL_VERSION}`,
      );
      return;
    }
    if (this.peerHello !== undefined) return;
    this.peerHello = hello;
    this.openEmitter.fire(hello);
  }
}

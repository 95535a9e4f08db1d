import {Server} from 'node:http';
import {createServer} from 'node:http';
import {AddressInfo} from 'node:net';
import {WebSocket, WebSocketServer} from 'ws';
import {Clock, Millis, SECOND} from '../common/base/clock.js';
import {Disposable} from '../common/base/disposable.js';
import {Emitter, Event} from '../common/base/emitter.js';
import {MemberId} from '../common/stream/types.js';
import {
  DEFAULT_LINK_LIMITS,
  LinkCloseCode,
  LinkLimits,
  PeerLink,
} from './peer_link.js';
import {Hello, PeerMessage} from './peer_messages.js';

/** Where a peer can be reached. */
export interface PeerAddress {
  /** Instance id; unknown for addresses from the settings. */
  readonly id?: string;
  readonly host: string;
  readonly port: number;
}

/** A peer with an open link. */
export interface Peer {
  readonly member: MemberId;
  readonly instance: string;
  readonly start: number;
  readonly dataCentre: string;
}

/** A message with its sender. */
export interface Received {
  readonly peer: Peer;
  readonly message: PeerMessage;
}

/** Builds the member id of one start of an instance. */
export function memberId(instance: string, start: number): MemberId {
  return `${instance}#${start}`;
}

/** Extracts the instance id from a member id. */
export function instanceOf(member: MemberId): string {
  return member.slice(0, member.lastIndexOf('#'));
}

const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
const DIAL_PERIOD_MS: Millis = 500;
const CONNECT_TIMEOUT_MS: Millis = SECOND;

interface Connection {
  readonly link: PeerLink;
  readonly peer: Peer;
}

/**
 * Keeps one link to every other entry instance. The side with the lower id
 * dials; addresses come from the instance list and the settings.
 */
export class PeerMesh implements Disposable {
  private readonly httpServer: Server;
  private readonly server: WebSocketServer;
  private readonly connections = new Map<string, Connection>();
  private readonly dialling = new Map<string, PeerLink>();
  private addresses: readonly PeerAddress[] = [];
  private timer: NodeJS.Timeout | undefined;
  private readonly received = new Emitter<Received>();
  private readonly up = new Emitter<Peer>();
  private readonly down = new Emitter<Peer>();

  readonly onMessage: Event<Received> = this.received.event;
  readonly onPeerUp: Event<Peer> = this.up.event;
  readonly onPeerDown: Event<Peer> = this.down.event;

  constructor(
    private readonly own: Hello,
    private readonly clock: Clock,
    private readonly limits: LinkLimits = DEFAULT_LINK_LIMITS,
  ) {
    this.httpServer = createServer((unusedRequest, response) => {
      response.writeHead(426).end('This port serves links between instances.');
    });
    this.server = new WebSocketServer({
      server: this.httpServer,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    this.server.on('connection', socket => this.adopt(socket));
  }

  /** Starts to listen and to dial; resolves with the bound port. */
  listen(port: number, host: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.httpServer.once('error', reject);
      this.httpServer.listen(port, host, () => {
        this.timer = setInterval(() => this.maintain(), DIAL_PERIOD_MS);
        resolve((this.httpServer.address() as AddressInfo).port);
      });
    });
  }

  /** Replaces the addresses to dial. */
  setAddresses(addresses: readonly PeerAddress[]): void {
    this.addresses = addresses;
  }

  /** Peers with an open link. */
  get peers(): readonly Peer[] {
    return [...this.connections.values()].map(({peer}) => peer);
  }

  /** Sends to one member; false when there is no open link to it. */
  send(member: MemberId, message: PeerMessage): boolean {
    const connection = this.connections.get(instanceOf(member));
    if (connection === undefined || connection.peer.member !== member) {
      return false;
    }
    return connection.link.send(message);
  }

  /** Sends to every peer with an open link. */
  broadcast(message: PeerMessage): void {
    for (const {link} of this.connections.values()) link.send(message);
  }

  dispose(): void {
    clearInterval(this.timer);
    for (const {link} of this.connections.values()) link.dispose();
    for (const link of this.dialling.values()) link.dispose();
    this.server.close();
    this.httpServer.close();
    this.httpServer.closeAllConnections();
    this.received.dispose();
    this.up.dispose();
    this.down.dispose();
  }

  /** Dials missing peers and cuts silent ones. */
  private maintain(): void {
    const now = this.clock.now();
    for (const {link} of this.connections.values()) {
      if (link.silence(now) > this.limits.silenceMs) {
        link.close(LinkCloseCode.SILENT, 'nothing heard for too long');
      }
    }
    for (const address of this.addresses) this.dial(address);
  }

  private dial(address: PeerAddress): void {
    const {id, host, port} = address;
    if (id !== undefined) {
      // Only the side with the lower id dials, so that there is one link.
      if (id <= this.own.instance) return;
      if (this.connections.has(id)) return;
    }
    const url = `ws://${host}:${port}`;
    if (this.dialling.has(url) || this.isConnectedTo(host, port)) return;
    const socket = new WebSocket(url, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    const link = this.adopt(socket);
    this.dialling.set(url, link);
    link.onClose(() => this.dialling.delete(url));
  }

  private isConnectedTo(host: string, port: number): boolean {
    const address = `${host}:${port}`;
    if (address === this.own.address) return true;
    return [...this.connections.values()].some(
      ({link}) => link.hello?.address === address,
    );
  }

  private adopt(socket: WebSocket): PeerLink {
    const link = new PeerLink(socket, this.own, this.clock, this.limits);
    link.onOpen(hello => this.open(link, hello));
    return link;
  }

  private open(link: PeerLink, hello: Hello): void {
    if (hello.instance === this.own.instance) {
      // A seed address can be this instance's own.
      link.close(LinkCloseCode.REPLACED, 'this is the same instance');
      return;
    }
    const old = this.connections.get(hello.instance);
    if (old !== undefined) {
      if (this.prefersOld(old, hello)) {
        link.close(LinkCloseCode.REPLACED, 'another link is open already');
        return;
      }
      this.remove(old);
      old.link.close(LinkCloseCode.REPLACED, 'a newer link was opened');
    }
    const peer: Peer = {
      member: memberId(hello.instance, hello.start),
      instance: hello.instance,
      start: hello.start,
      dataCentre: hello.dataCentre,
    };
    const connection = {link, peer};
    this.connections.set(hello.instance, connection);
    link.onMessage(message => this.received.fire({peer, message}));
    link.onClose(() => this.remove(connection));
    this.up.fire(peer);
  }

  /**
   * Of two links to the same start the older one stays, or both sides would
   * close and dial in turn; a silent one is replaced.
   */
  private prefersOld(old: Connection, hello: Hello): boolean {
    if (old.peer.start !== hello.start) return old.peer.start > hello.start;
    return old.link.silence(this.clock.now()) < this.limits.silenceMs;
  }

  private remove(connection: Connection): void {
    const {instance} = connection.peer;
    if (this.connections.get(instance) !== connection) return;
    this.connections.delete(instance);
    this.down.fire(connection.peer);
  }
}

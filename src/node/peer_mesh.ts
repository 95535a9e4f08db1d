import {Server} from 'node:http';
import {createServer} from 'node:http';
import {AddressInfo} from 'node:net';
import {WebSocket, WebSocketServer} from 'ws';
import {Clock, Millis, SECOND} from '../common/base/clock.js';
import {Disposable} from '../common/base/disposable.js';
import {Emitter, Event} from '../common/base/emitter.js';
import {MemberId} from '../common/stream/types.js';
import {ConnectionGuard} from './connections/connection_guard.js';
import {
  DEFAULT_LINK_LIMITS,
  LinkCloseCode,
  LinkLimits,
  PeerLink,
} from './peer_link.js';
import {Hello, PeerMessage} from './peer_messages.js';

/** Address of a peer's port for peer links. */
export interface PeerAddress {
  /** Instance id; undefined for addresses from the settings. */
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
export interface ReceivedMessage {
  readonly peer: Peer;
  readonly message: PeerMessage;
}

/** Builds the member id of one process of an instance. */
export function memberId(instance: string, start: number): MemberId {
  return `${instance}#${start}`;
}

/** Extracts the instance id from a member id. */
export function instanceIdOf(member: MemberId): string {
  return member.slice(0, member.lastIndexOf('#'));
}

export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
const MAINTENANCE_PERIOD_MS: Millis = 500;
const CONNECT_TIMEOUT_MS: Millis = SECOND;

interface Connection {
  readonly link: PeerLink;
  readonly peer: Peer;
}

/**
 * Keeps one link open to every other entry instance. Addresses come from the
 * instance list and the settings; the instance with the lower id dials, and
 * either does when the id isn't known.
 */
export class PeerMesh implements Disposable {
  private readonly httpServer: Server;
  private readonly webSocketServer: WebSocketServer;
  /** Open links by instance id. */
  private readonly connections = new Map<string, Connection>();
  /** Links that this instance dialed and that are not closed, by URL. */
  private readonly dialedLinks = new Map<string, PeerLink>();
  private addresses: readonly PeerAddress[] = [];
  private maintenanceTimer: NodeJS.Timeout | undefined;
  private readonly messageEmitter = new Emitter<ReceivedMessage>();
  private readonly peerUpEmitter = new Emitter<Peer>();
  private readonly peerDownEmitter = new Emitter<Peer>();

  readonly onMessage: Event<ReceivedMessage> = this.messageEmitter.event;
  readonly onPeerUp: Event<Peer> = this.peerUpEmitter.event;
  readonly onPeerDown: Event<Peer> = this.peerDownEmitter.event;

  /** @param guard limits the connections that others open to this one. */
  constructor(
    private readonly ownHello: Hello,
    private readonly clock: Clock,
    private readonly limits: LinkLimits = DEFAULT_LINK_LIMITS,
    guard?: ConnectionGuard,
  ) {
    this.httpServer = createServer((unusedRequest, response) => {
      response.writeHead(426).end('This port serves links between instances.');
    });
    this.webSocketServer = new WebSocketServer({
      server: this.httpServer,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    guard?.attachUpgrades(this.httpServer);
    this.webSocketServer.on('connection', (socket, request) => {
      const connection = guard?.connectionOf(request);
      socket.on('message', () => connection?.onMessage());
      socket.on('ping', () => connection?.onPing());
      this.createLink(socket);
    });
  }

  /** Starts to listen and to dial; resolves to the bound port. */
  listen(port: number, host: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.httpServer.once('error', reject);
      this.httpServer.listen(port, host, () => {
        this.maintenanceTimer = setInterval(
          () => this.maintainLinks(),
          MAINTENANCE_PERIOD_MS,
        );
        resolve((this.httpServer.address() as AddressInfo).port);
      });
    });
  }

  /** Replaces the addresses to dial; links that are open stay open. */
  setAddresses(addresses: readonly PeerAddress[]): void {
    this.addresses = addresses;
  }

  /** Peers with an open link. */
  get peers(): readonly Peer[] {
    return [...this.connections.values()].map(({peer}) => peer);
  }

  /** Sends to one member; returns false if no link to that process is open. */
  send(member: MemberId, message: PeerMessage): boolean {
    const connection = this.connections.get(instanceIdOf(member));
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
    clearInterval(this.maintenanceTimer);
    for (const {link} of this.connections.values()) link.dispose();
    for (const link of this.dialedLinks.values()) link.dispose();
    this.webSocketServer.close();
    this.httpServer.close();
    this.httpServer.closeAllConnections();
    this.messageEmitter.dispose();
    this.peerUpEmitter.dispose();
    this.peerDownEmitter.dispose();
  }

  /** Dials peers without a link and closes links that have timed out. */
  private maintainLinks(): void {
    const now = this.clock.now();
    for (const {link} of this.connections.values()) {
      if (link.silenceMs(now) > this.limits.silenceMs) {
        link.close(LinkCloseCode.SILENT, 'nothing heard for too long');
      }
    }
    for (const address of this.addresses) this.dial(address);
  }

  private dial(address: PeerAddress): void {
    const {id, host, port} = address;
    if (id !== undefined) {
      // Only the instance with the lower id dials, so that a pair has one link.
      if (id <= this.ownHello.instance) return;
      if (this.connections.has(id)) return;
    }
    const url = `ws://${host}:${port}`;
    if (this.dialedLinks.has(url) || this.isConnectedTo(host, port)) return;
    const socket = new WebSocket(url, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    const link = this.createLink(socket);
    this.dialedLinks.set(url, link);
    link.onClose(() => this.dialedLinks.delete(url));
  }

  private isConnectedTo(host: string, port: number): boolean {
    const address = `${host}:${port}`;
    if (address === this.ownHello.address) return true;
    return [...this.connections.values()].some(
      ({link}) => link.hello?.address === address,
    );
  }

  private createLink(socket: WebSocket): PeerLink {
    const link = new PeerLink(socket, this.ownHello, this.clock, this.limits);
    link.onOpen(hello => this.registerConnection(link, hello));
    return link;
  }

  private registerConnection(link: PeerLink, hello: Hello): void {
    if (hello.instance === this.ownHello.instance) {
      // An address from the settings can be this instance's own.
      link.close(LinkCloseCode.REPLACED, 'this is the same instance');
      return;
    }
    const existing = this.connections.get(hello.instance);
    if (existing !== undefined) {
      if (this.keepsExisting(existing, hello)) {
        link.close(LinkCloseCode.REPLACED, 'another link is open already');
        return;
      }
      this.removeConnection(existing);
      existing.link.close(LinkCloseCode.REPLACED, 'a newer link was opened');
    }
    const peer: Peer = {
      member: memberId(hello.instance, hello.start),
      instance: hello.instance,
      start: hello.start,
      dataCentre: hello.dataCentre,
    };
    const connection = {link, peer};
    this.connections.set(hello.instance, connection);
    link.onMessage(message => this.messageEmitter.fire({peer, message}));
    link.onClose(() => this.removeConnection(connection));
    this.peerUpEmitter.fire(peer);
  }

  /**
   * Decides which of two links to an instance stays: the one to the later
   * process, or for the same process the existing one, unless it has timed out.
   * If new links replaced existing ones, both instances would keep closing and
   * dialing.
   */
  private keepsExisting(old: Connection, hello: Hello): boolean {
    if (old.peer.start !== hello.start) return old.peer.start > hello.start;
    return old.link.silenceMs(this.clock.now()) < this.limits.silenceMs;
  }

  private removeConnection(connection: Connection): void {
    const {instance} = connection.peer;
    if (this.connections.get(instance) !== connection) return;
    this.connections.delete(instance);
    this.peerDownEmitter.fire(connection.peer);
  }
}

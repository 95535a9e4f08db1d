import {AddressInfo, createServer, Server, Socket} from 'node:net';
import {
  Instance,
  InstanceRole,
  InstanceState,
} from '../common/base/platform.js';
import {EMPTY_SIZE} from '../common/base/size.js';

/** Handles a request, given its connection and its raw request head. */
export type RequestHandler = (socket: Socket, head: string) => void;

/**
 * A target that writes raw HTTP/1.1 to the socket, for protocol errors that an
 * HTTP library doesn't produce.
 */
export class MisbehavingTarget {
  /** Request heads in the order in which they arrived. */
  readonly requestHeads: string[] = [];
  private readonly sockets = new Set<Socket>();
  /** Open connections on which a request has arrived. */
  private readonly usedSockets = new Set<Socket>();
  private readonly server: Server;
  private port = 0;

  private constructor(
    private readonly id: string,
    private readonly handleRequest: RequestHandler,
  ) {
    this.server = createServer(socket => this.accept(socket));
  }

  static async start(
    id: string,
    handleRequest: RequestHandler,
  ): Promise<MisbehavingTarget> {
    const target = new MisbehavingTarget(id, handleRequest);
    await new Promise<void>(resolve => {
      target.server.listen(0, '127.0.0.1', resolve);
    });
    target.port = (target.server.address() as AddressInfo).port;
    return target;
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.sockets.delete(socket);
      this.usedSockets.delete(socket);
    });
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      const end = text.indexOf('\r\n\r\n');
      if (end < 0) return;
      const head = text.slice(0, end);
      text = '';
      this.requestHeads.push(head);
      this.usedSockets.add(socket);
      this.handleRequest(socket, head);
    });
  }

  get instance(): Instance {
    return {
      id: this.id,
      role: InstanceRole.WORKER,
      start: 1,
      dataCentre: 'north',
      rack: 'r1',
      host: '127.0.0.1',
      port: this.port,
      peerPort: 0,
      state: InstanceState.LIVE,
      capacity: EMPTY_SIZE,
      services: ['s'],
      slots: 8,
      connections: 64,
    };
  }

  /**
   * Number of open connections on which a request has arrived. Others don't
   * count, because undici opens a new, unused one after an aborted request.
   */
  get openUsedConnections(): number {
    return this.usedSockets.size;
  }

  /** Closes all connections and stops listening; new ones are refused. */
  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise(resolve => this.server.close(resolve));
  }
}

/** Responds to every request with the same status, headers and body. */
export const respondWith =
  (status: string, headers: string, body: string): RequestHandler =>
  socket => {
    socket.write(
      `HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n${headers}\r\n` +
        body,
    );
  };

import {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {Clock, Millis, SECOND} from '../../common/base/clock.js';
import {DecisionLog} from '../../common/batch/scheduler_state.js';
import {
  BudgetUsage,
  Closure,
  ClosureCause,
  ConnectionBudget,
} from '../../common/connections/connection_budget.js';
import {ConnectionLimits} from '../../common/connections/connection_limits.js';
import {BodyBlocks} from './body_blocks.js';
import {ConnectionHost, GuardedConnection} from './guarded_connection.js';
import {TurnQueue} from './turn_queue.js';

/** Interval of the timeouts and of the measurements of buffered bytes. */
const SWEEP_INTERVAL_MS: Millis = 50;

/** Interval of the log lines of one cause. */
const LOG_INTERVAL_MS: Millis = SECOND;

const REFUSAL_BODY = '{"error":"Too many requests. Send it again later."}';

/** Refusal of a request that has not been handled, on a closing connection. */
const REFUSAL_RESPONSE =
  'HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n' +
  'content-type: application/json\r\nconnection: close\r\n' +
  `content-length: ${REFUSAL_BODY.length}\r\n\r\n${REFUSAL_BODY}`;

/** Causes of closures whose request may be answered with a refusal. */
const REFUSED_CAUSES: ReadonlySet<ClosureCause> = new Set([
  ClosureCause.BODY_BYTES,
  ClosureCause.STALLED_BODY,
  ClosureCause.SLOW_BODY,
]);

/** Causes of closures whose connections have hardly any data. */
const ORDERLY_CAUSES: ReadonlySet<ClosureCause> = new Set([
  ClosureCause.CONNECTIONS,
  ClosureCause.IDLE,
]);

/**
 * Keeps the connections of an HTTP server within the budget of its listener:
 * closes or refuses those that exceed it, and passes requests on one at a time
 * and connection.
 */
export class ConnectionGuard implements ConnectionHost {
  readonly budget: ConnectionBudget;
  readonly turns = new TurnQueue();
  readonly blocks = new BodyBlocks();
  /** Closed connections by cause. */
  readonly closed = new Map<ClosureCause, number>();
  /** Closed connections that have not been logged, by cause. */
  private readonly unlogged = new Map<ClosureCause, number>();
  private loggedAt: Millis = 0;
  private lastId = 0;
  private readonly connections = new Map<number, GuardedConnection>();
  private readonly bySocket = new WeakMap<Socket, GuardedConnection>();
  private readonly timer: NodeJS.Timeout;

  constructor(
    /** Name of the listener in logs and metrics. */
    readonly listener: string,
    readonly limits: ConnectionLimits,
    readonly clock: Clock,
    private readonly decisions: DecisionLog,
  ) {
    this.budget = new ConnectionBudget(limits);
    this.timer = setInterval(() => this.sweep(), SWEEP_INTERVAL_MS).unref();
  }

  get usage(): BudgetUsage {
    return this.budget.usage;
  }

  /** Guards the connections of a server, before it listens. */
  attach(server: Server): void {
    server.on('connection', (socket: Socket) => this.add(socket));
    server.prependListener(
      'request',
      (request: IncomingMessage, response: ServerResponse) =>
        this.connectionOf(request)?.onRequest(request, response),
    );
    server.on('close', () => clearInterval(this.timer));
  }

  /** Guards also the connections of a server with another protocol. */
  attachUpgrades(server: Server): void {
    this.attach(server);
    server.prependListener('upgrade', (request: IncomingMessage) =>
      this.connectionOf(request)?.onUpgrade(),
    );
  }

  /** Calls `handle` after the requests before it on the connection. */
  async inTurn(
    request: IncomingMessage,
    handle: () => Promise<void>,
  ): Promise<void> {
    const connection = this.connectionOf(request);
    if (connection === undefined) await handle();
    else await connection.handleInTurn(handle);
  }

  connectionOf({socket}: IncomingMessage): GuardedConnection | undefined {
    return this.bySocket.get(socket);
  }

  close(closures: readonly Closure[]): void {
    for (const {connection: id, cause} of closures) {
      const connection = this.connections.get(id);
      if (connection === undefined) continue;
      this.connections.delete(id);
      increment(this.closed, cause);
      increment(this.unlogged, cause);
      const {socket} = connection;
      if (REFUSED_CAUSES.has(cause) && connection.canRefuse) {
        socket.write(REFUSAL_RESPONSE);
        socket.destroy();
      } else if (ORDERLY_CAUSES.has(cause)) {
        socket.destroy();
      } else {
        // An orderly end would keep unread responses in memory.
        socket.resetAndDestroy();
      }
    }
  }

  private add(socket: Socket): void {
    const id = ++this.lastId;
    const connection = new GuardedConnection(id, socket, this);
    this.connections.set(id, connection);
    this.bySocket.set(socket, connection);
    socket.once('close', () => {
      this.connections.delete(id);
      this.budget.end(id);
    });
    this.close(this.budget.begin(id, this.clock.now()));
  }

  private sweep(): void {
    const now = this.clock.now();
    this.close(this.budget.expire(now));
    for (const connection of this.connections.values()) connection.measure();
    if (this.unlogged.size === 0) return;
    if (now - this.loggedAt < LOG_INTERVAL_MS) return;
    this.loggedAt = now;
    const {connections, requests, bytes} = this.usage;
    for (const [cause, count] of this.unlogged) {
      this.decisions.decide('connections-closed', {
        listener: this.listener,
        cause,
        count,
        open: connections,
        requests,
        ...bytes,
      });
    }
    this.unlogged.clear();
  }
}

function increment(
  counts: Map<ClosureCause, number>,
  cause: ClosureCause,
): void {
  counts.set(cause, (counts.get(cause) ?? 0) + 1);
}

import {createServer, RequestListener, Server} from 'node:http';
import {WebSocket, WebSocketServer} from 'ws';
import {Millis} from '../../common/base/clock.js';
import {DecisionLog} from '../../common/batch/scheduler_state.js';
import {
  RenewalResponse,
  WorkerAddress,
  WorkerCallResult,
  WorkerCalls,
} from '../../common/batch/worker_calls.js';
import {ConnectionGuard} from '../connections/connection_guard.js';
import {FrameBatch} from './frame_batch.js';
import {entryAt} from './frame_fields.js';
import {
  MAX_RELAY_FRAME_BYTES,
  RELAY_PATH,
  RelayCall,
  RelayCallKind,
  RelayRequest,
  RelayResponse,
} from './relay_messages.js';
import {packReply} from './relay_replies.js';
import {unpackRequests} from './relay_requests.js';
import {ReportPacker} from './report_packer.js';

/**
 * Time for which responses are collected: reports of many workers reach the
 * scheduler in one frame.
 */
const REPLY_DELAY_MS: Millis = 6;

/** Time after which idle connections of other instances are closed. */
const IDLE_CONNECTION_TIMEOUT_MS: Millis = 15_000;

type RelayHandler<K extends RelayCallKind> = (
  calls: WorkerCalls,
  worker: WorkerAddress,
  call: RelayCall & {kind: K},
) => Promise<RenewalResponse>;

/** Handlers by kind of call. */
const HANDLERS: {readonly [K in RelayCallKind]: RelayHandler<K>} = {
  [RelayCallKind.START]: (calls, worker, {request, leaseUntil, token}) =>
    calls.start(worker, request, leaseUntil, token),
  [RelayCallKind.STOP]: (calls, worker, {task, attempt, token}) =>
    calls.stop(worker, task, attempt, token),
  [RelayCallKind.RENEW]: (calls, worker, {renewal}) =>
    calls.renew(worker, renewal),
  [RelayCallKind.PACE]: (calls, worker, {task, attempt, percent, token}) =>
    calls.pace(worker, task, attempt, percent, token),
};

/**
 * Calls workers for the scheduler, which passes requests over a WebSocket. It
 * decides nothing: tokens, leases and attempts are those of the scheduler, so
 * that a worker refuses a request that arrives late. Its connections to workers
 * outlive a scheduler.
 */
export class WorkerRelay {
  private readonly httpServer: Server;
  private readonly sockets: WebSocketServer;
  private isDraining = false;

  /** @param listener serves requests other than those for a WebSocket. */
  constructor(
    private readonly calls: WorkerCalls,
    private readonly decisions: DecisionLog,
    listener: RequestListener = (_request, response) => {
      response.writeHead(404).end();
    },
    guard?: ConnectionGuard,
  ) {
    this.httpServer = createServer(listener);
    this.httpServer.keepAliveTimeout = IDLE_CONNECTION_TIMEOUT_MS;
    this.sockets = new WebSocketServer({
      server: this.httpServer,
      path: RELAY_PATH,
      maxPayload: MAX_RELAY_FRAME_BYTES,
      perMessageDeflate: false,
    });
    guard?.attachUpgrades(this.httpServer);
    this.sockets.on('connection', (socket, request) => {
      const connection = guard?.connectionOf(request);
      socket.on('message', () => connection?.onMessage());
      socket.on('ping', () => connection?.onPing());
      this.serve(socket);
    });
    // The process runs without a relay if the port is taken.
    this.sockets.on('error', error =>
      decisions.decide('relay-unavailable', {error: String(error)}),
    );
  }

  /** Listens on an address of the form `host:port`. */
  listen(address: string): void {
    const colon = address.lastIndexOf(':');
    this.httpServer.listen(
      Number(address.slice(colon + 1)),
      address.slice(0, colon),
    );
  }

  /** Asks schedulers for no more requests; those in flight are answered. */
  startDraining(): void {
    this.isDraining = true;
    for (const socket of this.sockets.clients) socket.send(drainingFrame());
  }

  close(): void {
    for (const socket of this.sockets.clients) socket.terminate();
    this.sockets.close();
    this.httpServer.close();
  }

  private serve(socket: WebSocket): void {
    const reports = new ReportPacker();
    const replies = new FrameBatch<RelayResponse>(responses => {
      if (socket.readyState !== WebSocket.OPEN) return;
      const {isDraining} = this;
      socket.send(packReply({responses, isDraining}, reports));
    }, REPLY_DELAY_MS);
    if (this.isDraining) socket.send(drainingFrame());
    socket.on('error', error =>
      this.decisions.decide('relay-link-failed', {error: String(error)}),
    );
    const workers: WorkerAddress[] = [];
    socket.on('message', data => {
      try {
        const {newWorkers, requests} = unpackRequests(data as Buffer);
        workers.push(...newWorkers);
        // No request of a malformed frame is handled.
        const called = requests.map(({worker}) =>
          entryAt(workers, worker, 'number of a worker'),
        );
        for (const [index, request] of requests.entries()) {
          void this.handle(request, called[index], replies);
        }
      } catch (error) {
        this.decisions.decide('relay-frame-refused', {error: String(error)});
        socket.terminate();
      }
    });
  }

  private async handle(
    {id, worker, call}: RelayRequest,
    address: WorkerAddress,
    replies: FrameBatch<RelayResponse>,
  ): Promise<void> {
    const handler = HANDLERS[call.kind] as RelayHandler<RelayCallKind>;
    try {
      const response = await handler(this.calls, address, call);
      replies.add({id, worker, response});
    } catch (error) {
      // The request may have been sent before the error.
      this.decisions.decide('fault', {
        part: 'worker-relay',
        worker: address.id,
        error: String(error),
      });
      const response = {result: WorkerCallResult.UNKNOWN};
      replies.add({id, worker, response});
    }
  }
}

/** A frame without responses that asks for no more requests. */
function drainingFrame(): Uint8Array {
  return packReply({responses: [], isDraining: true}, new ReportPacker());
}

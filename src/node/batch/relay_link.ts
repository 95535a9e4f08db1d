import {WebSocket} from 'ws';
import {Clock, Millis, SECOND} from '../../common/base/clock.js';
import {CostMeter, CostPart} from '../../common/batch/cost_meter.js';
import {
  RenewalResponse,
  WorkerAddress,
  WorkerCallResult,
} from '../../common/batch/worker_calls.js';
import {FrameBatch} from './frame_batch.js';
import {
  MAX_RELAY_FRAME_BYTES,
  RELAY_PATH,
  RelayCall,
  RelayRequest,
} from './relay_messages.js';
import {unpackReply} from './relay_replies.js';
import {packRequests} from './relay_requests.js';
import {ReportUnpacker} from './report_unpacker.js';
import {WorkerNumbers} from './worker_numbers.js';

const CONNECT_TIMEOUT_MS: Millis = 1 * SECOND;

/** Interval of the pings, and the silence after which a link counts as lost. */
const PING_INTERVAL_MS: Millis = 500;
const MAX_SILENCE_MS: Millis = 2 * SECOND;

/** Called once when a link takes no more requests, with the reason. */
export type LinkClosedListener = (reason: string) => void;

/** A link to a relay; it is closed for good once it fails. */
export class RelayLink {
  private readonly socket: WebSocket;
  private nextId = 1;
  /** Requests in flight, by number. */
  private readonly waiting = new Map<
    number,
    (response: RenewalResponse) => void
  >();
  private readonly workers = new WorkerNumbers();
  private readonly reports = new ReportUnpacker();
  private readonly outbox = new FrameBatch<RelayRequest>(
    requests => this.socket.send(this.pack(requests)),
    0,
    () => this.socket.readyState === WebSocket.OPEN,
  );
  private lastReceivedAt: Millis;
  private readonly timer: NodeJS.Timeout;
  private isClosed = false;
  private wasReported = false;

  /** @param address `host:port` of the relay. */
  constructor(
    address: string,
    private readonly clock: Clock,
    private readonly onClosed: LinkClosedListener,
    private readonly costs: CostMeter = new CostMeter(clock),
  ) {
    this.lastReceivedAt = clock.now();
    this.socket = new WebSocket(`ws://${address}${RELAY_PATH}`, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      maxPayload: MAX_RELAY_FRAME_BYTES,
      perMessageDeflate: false,
    });
    this.socket.on('open', () => this.onOpen());
    this.socket.on('message', data => this.onMessage(data as Buffer));
    this.socket.on('pong', () => this.onReceived());
    this.socket.on('error', error => this.fail(String(error)));
    this.socket.on('close', () => this.fail('the relay closed the link'));
    this.timer = setInterval(() => this.checkSilence(), PING_INTERVAL_MS);
  }

  /**
   * Passes a call to the relay. Resolves to UNKNOWN if the link fails after the
   * request was sent, and to NOT_SENT if it fails before.
   */
  call(worker: WorkerAddress, call: RelayCall): Promise<RenewalResponse> {
    if (this.isClosed) {
      return Promise.resolve({result: WorkerCallResult.NOT_SENT});
    }
    const id = this.nextId++;
    const number = this.workers.numberOf(worker);
    return new Promise(resolve => {
      this.waiting.set(id, resolve);
      this.outbox.add({id, worker: number, call});
    });
  }

  /** Takes no more requests; those in flight resolve to UNKNOWN. */
  close(): void {
    this.fail('closed');
  }

  private pack(requests: readonly RelayRequest[]): Uint8Array {
    const newWorkers = this.workers.takeNew();
    return this.costs.measure(CostPart.CODECS, () =>
      packRequests({newWorkers, requests}),
    );
  }

  private onOpen(): void {
    this.onReceived();
    this.outbox.flush();
  }

  private onReceived(): void {
    this.lastReceivedAt = this.clock.now();
  }

  private onMessage(data: Buffer): void {
    this.onReceived();
    try {
      const {responses, isDraining} = this.costs.measure(CostPart.CODECS, () =>
        unpackReply(data, this.reports),
      );
      for (const {id, response} of responses) {
        this.waiting.get(id)?.(response);
        this.waiting.delete(id);
      }
      if (isDraining) this.report('the relay is about to stop');
    } catch (error) {
      this.fail(String(error));
    }
  }

  /**
   * Closes a silent link. Data that arrived while this process was busy or
   * paused is read before the immediate runs.
   */
  private checkSilence(): void {
    if (this.socket.readyState === WebSocket.OPEN) this.socket.ping();
    setImmediate(() => {
      if (this.clock.now() - this.lastReceivedAt <= MAX_SILENCE_MS) return;
      this.fail('the relay is silent');
    });
  }

  private fail(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearInterval(this.timer);
    const unsent = new Set(this.outbox.take().map(({id}) => id));
    for (const [id, resolve] of this.waiting) {
      const {NOT_SENT, UNKNOWN} = WorkerCallResult;
      resolve({result: unsent.has(id) ? NOT_SENT : UNKNOWN});
    }
    this.waiting.clear();
    this.socket.terminate();
    this.report(reason);
  }

  private report(reason: string): void {
    if (this.wasReported) return;
    this.wasReported = true;
    this.onClosed(reason);
  }
}

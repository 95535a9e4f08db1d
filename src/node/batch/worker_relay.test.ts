import {createServer, Server} from 'node:http';
import {AddressInfo} from 'node:net';
import {WebSocket, WebSocketServer} from 'ws';
import {InstanceRecord} from '../../common/batch/job_records.js';
import {WorkerListing, WorkerPhase} from '../../common/batch/types.js';
import {
  LeaseRenewal,
  RenewalResponse,
  WorkerAddress,
  WorkerCallResult,
  WorkerCalls,
  WorkerResponse,
} from '../../common/batch/worker_calls.js';
import {SystemClock} from '../system_clock.js';
import {freeAddress} from './free_address.test_support.js';
import {RelayLink} from './relay_link.js';
import {RELAY_PATH, RelayCallKind} from './relay_messages.js';
import {packRequests} from './relay_requests.js';
import {RelayedWorkerCalls} from './relayed_worker_calls.js';
import {WorkerRelay} from './worker_relay.js';

const WORKER: WorkerAddress = {id: 'w1', address: '10.0.0.1:80'};
const HOST = '127.0.0.1';

/** Records the calls to workers; each is accepted unless a test holds it. */
class FakeCalls implements WorkerCalls {
  readonly calls: string[] = [];
  readonly addresses: string[] = [];
  isHeld = false;
  hasFault = false;

  start(worker: WorkerAddress): Promise<WorkerResponse> {
    return this.respond(`start ${worker.id}`);
  }

  stop(worker: WorkerAddress): Promise<WorkerResponse> {
    return this.respond(`stop ${worker.id}`);
  }

  renew(
    worker: WorkerAddress,
    renewal: LeaseRenewal,
  ): Promise<RenewalResponse> {
    this.addresses.push(worker.address);
    return this.respond(`renew ${worker.id} ${renewal.fencingToken}`);
  }

  pace(worker: WorkerAddress): Promise<WorkerResponse> {
    return this.respond(`pace ${worker.id}`);
  }

  private respond(call: string): Promise<RenewalResponse> {
    this.calls.push(call);
    if (this.hasFault) throw new Error('fault');
    if (this.isHeld) return new Promise(() => {});
    return Promise.resolve({result: WorkerCallResult.ACCEPTED, clockMs: 5});
  }
}

const RENEWAL: LeaseRenewal = {
  fencingToken: 7,
  acknowledgedEnd: 0,
  waitMs: 0,
  responseMs: 700,
};
const RENEW = {kind: RelayCallKind.RENEW, renewal: RENEWAL} as const;

function createListings(count: number): Map<string, WorkerListing> {
  const listings = Array.from({length: count}, (_, i) => ({
    id: `w${i}`,
    born: 1,
    service: 's',
    address: `w${i}:1`,
    dataCentre: 'a',
    phase: WorkerPhase.READY,
    warmupMs: 0,
    capacity: {cpuMilli: 1, memoryMb: 1, gpus: 0},
    labels: [],
  }));
  return new Map(listings.map(listing => [listing.id, listing]));
}

describe('WorkerRelay', () => {
  const clock = new SystemClock();
  let calls: FakeCalls;
  let decisions: string[];
  let relay: WorkerRelay;
  let address: string;
  let closed: string[];
  let link: RelayLink;

  beforeEach(async () => {
    calls = new FakeCalls();
    decisions = [];
    const log = {decide: (name: string) => void decisions.push(name)};
    relay = new WorkerRelay(calls, log);
    address = await freeAddress();
    relay.listen(address);
    closed = [];
    link = new RelayLink(address, clock, reason => closed.push(reason));
  });

  afterEach(() => {
    link.close();
    relay.close();
  });

  it('passes calls on and returns the responses', async () => {
    // Guards against a response that reaches the wrong request.
    const responses = await Promise.all([
      link.call(WORKER, RENEW),
      link.call({...WORKER, id: 'w2'}, RENEW),
    ]);
    expect(calls.calls).toEqual(['renew w1 7', 'renew w2 7']);
    const expected = {result: WorkerCallResult.ACCEPTED, clockMs: 5};
    expect(responses).toEqual([expected, expected]);
  });

  it('leaves the outcome of a sent call open when the link fails', async () => {
    // Guards against a run that counts as never started and is started
    // elsewhere, although the worker got the request.
    await link.call(WORKER, RENEW);
    calls.isHeld = true;
    const response = link.call(WORKER, RENEW);
    while (calls.calls.length < 2) await new Promise(r => setImmediate(r));
    relay.close();
    expect(await response).toEqual({result: WorkerCallResult.UNKNOWN});
    expect(closed).toHaveLength(1);
    const after = await link.call(WORKER, RENEW);
    expect(after).toEqual({result: WorkerCallResult.NOT_SENT});
  });

  it('answers calls in flight while it drains', async () => {
    // Guards against lost responses each time that an instance is restarted.
    await link.call(WORKER, RENEW);
    relay.startDraining();
    while (closed.length === 0) await new Promise(r => setImmediate(r));
    const response = await link.call(WORKER, RENEW);
    expect(response.result).toBe(WorkerCallResult.ACCEPTED);
  });

  it('calls a worker at its present address', async () => {
    // Guards against calls to the address of an earlier incarnation.
    await link.call(WORKER, RENEW);
    await link.call({...WORKER, address: '10.0.0.2:80'}, RENEW);
    await link.call({...WORKER, address: '10.0.0.2:80'}, RENEW);
    expect(calls.addresses).toEqual([
      '10.0.0.1:80',
      '10.0.0.2:80',
      '10.0.0.2:80',
    ]);
  });

  it('refuses a frame with a worker that the link has not named', async () => {
    // Guards against a call to another worker, or to none, that is executed
    // because a frame before it is missing.
    const socket = new WebSocket(`ws://${address}${RELAY_PATH}`);
    await new Promise(resolve => socket.on('open', resolve));
    const closes = new Promise(resolve => socket.on('close', resolve));
    const requests = [
      {id: 1, worker: 0, call: RENEW},
      {id: 2, worker: 1, call: RENEW},
    ];
    socket.send(packRequests({newWorkers: [WORKER], requests}));
    await closes;
    expect(calls.calls).toEqual([]);
    expect(decisions).toEqual(['relay-frame-refused']);
    const response = await link.call(WORKER, RENEW);
    expect(response.result).toBe(WorkerCallResult.ACCEPTED);
  });

  it.each(['/relay', '/relay/1'])(
    'refuses the handshake of a scheduler of another version at %s',
    async path => {
      // Guards against frames of an earlier version that are read as others.
      const socket = new WebSocket(`ws://${address}${path}`);
      const error = await new Promise(resolve => socket.on('error', resolve));
      expect(String(error)).toContain('Unexpected server response: 400');
      expect(calls.calls).toEqual([]);
    },
  );

  it('survives a malformed frame and an unexpected error', async () => {
    // Guards against an instance that one frame or one call takes down.
    const socket = new WebSocket(`ws://${address}${RELAY_PATH}`);
    await new Promise(resolve => socket.on('open', resolve));
    const closes = new Promise(resolve => socket.on('close', resolve));
    socket.send(Buffer.from([0x91, 0xc1]));
    await closes;
    calls.hasFault = true;
    const response = await link.call(WORKER, RENEW);
    expect(response).toEqual({result: WorkerCallResult.UNKNOWN});
    expect(decisions).toEqual(['relay-frame-refused', 'fault']);
  });
});

describe('RelayLink', () => {
  const clock = new SystemClock();
  let server: Server;
  let sockets: WebSocketServer;
  let address: string;

  afterEach(() => {
    for (const socket of sockets.clients) socket.terminate();
    sockets.close();
    server.close();
  });

  /** Runs a relay at a path that answers each frame with a fixed one. */
  async function listen(path: string, reply: Uint8Array): Promise<void> {
    server = createServer((_request, response) => {
      response.writeHead(404).end();
    });
    sockets = new WebSocketServer({server, path});
    sockets.on('connection', socket =>
      socket.on('message', () => socket.send(reply)),
    );
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    const {port} = server.address() as AddressInfo;
    address = `${HOST}:${port}`;
  }

  it.each([
    ['frame', [0xc0]],
    ['result', [0x92, 0xc2, 0x91, 0x94, 1, 0, 99, 0xc0]],
  ])('ends with a clear reason at a malformed %s', async (name, bytes) => {
    // Guards against a scheduler that one frame takes down, and against a
    // response that is made up from a malformed one.
    await listen(RELAY_PATH, Buffer.from(bytes));
    const reasons: string[] = [];
    const link = new RelayLink(address, clock, reason => reasons.push(reason));
    const response = await link.call(WORKER, RENEW);
    expect(response).toEqual({result: WorkerCallResult.UNKNOWN});
    expect(reasons).toHaveLength(1);
    expect(reasons[0]).toContain('Malformed frame');
    expect(reasons[0]).toContain(name);
  });

  it('sends nothing to a relay of another version', async () => {
    // Guards against calls that a relay of an earlier version misreads, and
    // against workers that are not called while it stays the only relay.
    await listen('/relay', Buffer.from([]));
    const direct = new FakeCalls();
    const reasons: string[] = [];
    const relayed = new RelayedWorkerCalls({
      name: 'e0',
      processors: 0,
      direct,
      openLink: (relayAddress, onClosed) =>
        new RelayLink(relayAddress, clock, reason => {
          reasons.push(reason);
          onClosed(reason);
        }),
      clock,
      decisions: {decide: () => {}},
    });
    const instance = {processors: 1, dataCentre: 'a', relayAddress: address};
    relayed.setFleet(new Map([['e1', instance]]), createListings(1));
    const response = await relayed.renew(WORKER, RENEWAL);
    expect(response).toEqual({result: WorkerCallResult.NOT_SENT});
    expect(reasons).toEqual(['Error: Unexpected server response: 400']);
    await relayed.renew(WORKER, RENEWAL);
    expect(direct.calls).toEqual(['renew w1 7']);
    expect(reasons).toHaveLength(1);
  });
});

describe('RelayedWorkerCalls', () => {
  const record: InstanceRecord = {
    processors: 1,
    dataCentre: 'a',
    relayAddress: 'relay:1',
  };
  let direct: FakeCalls;
  let opened: string[];
  let closers: ((reason: string) => void)[];
  let relayed: RelayedWorkerCalls;

  beforeEach(() => {
    direct = new FakeCalls();
    opened = [];
    closers = [];
    relayed = new RelayedWorkerCalls({
      name: 'e0',
      processors: 0.1,
      direct,
      openLink: (relayAddress, onClosed) => {
        opened.push(relayAddress);
        closers.push(onClosed);
        const response = {result: WorkerCallResult.FENCED};
        return {call: () => Promise.resolve(response), close: () => {}};
      },
      clock: new SystemClock(),
      decisions: {decide: () => {}},
    });
  });

  it('calls few workers itself', async () => {
    // Guards against a detour that a small deployment does not need.
    relayed.setFleet(new Map([['e1', record]]), createListings(3));
    await relayed.renew(WORKER, RENEWAL);
    expect(direct.calls).toHaveLength(1);
    expect(opened).toEqual([]);
  });

  it('uses another relay, or none, when one fails', async () => {
    // Guards against workers that are not called because their relay is gone.
    const instances = new Map([
      ['e1', record],
      ['e2', {...record, relayAddress: 'relay:2'}],
    ]);
    relayed.setFleet(instances, createListings(100));
    await relayed.renew(WORKER, RENEWAL);
    closers[0]('gone');
    await relayed.renew(WORKER, RENEWAL);
    expect(new Set(opened).size).toBe(2);
    closers[1]('gone');
    await relayed.renew(WORKER, RENEWAL);
    expect(direct.calls).toHaveLength(1);
  });
});

import {createServer} from 'node:net';
import {AddressInfo} from 'node:net';
import {WebSocket} from 'ws';
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
import {RelayLink} from './relay_link.js';
import {RELAY_PATH, RelayCallKind} from './relay_messages.js';
import {RelayedWorkerCalls} from './relayed_worker_calls.js';
import {WorkerRelay} from './worker_relay.js';

const WORKER: WorkerAddress = {id: 'w1', address: '10.0.0.1:80'};
const HOST = '127.0.0.1';

/** Records the calls to workers; each is accepted unless a test holds it. */
class FakeCalls implements WorkerCalls {
  readonly calls: string[] = [];
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

/** Returns a loopback address whose port was free a moment ago. */
async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return `${HOST}:${port}`;
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

  function workers(count: number): Map<string, WorkerListing> {
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

  it('calls few workers itself', async () => {
    // Guards against a detour that a small deployment does not need.
    relayed.setFleet(new Map([['e1', record]]), workers(3));
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
    relayed.setFleet(instances, workers(100));
    await relayed.renew(WORKER, RENEWAL);
    closers[0]('gone');
    await relayed.renew(WORKER, RENEWAL);
    expect(new Set(opened).size).toBe(2);
    closers[1]('gone');
    await relayed.renew(WORKER, RENEWAL);
    expect(direct.calls).toHaveLength(1);
  });
});

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createServer} from 'node:net';
import {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {ReportedRun, RunOutcome} from '../src/common/batch/types.js';
import {
  RenewalResponse,
  WorkerCallResult,
} from '../src/common/batch/worker_calls.js';
import {RelayLink} from '../src/node/batch/relay_link.js';
import {
  RelayCall,
  RelayCallKind,
  RelayResponse,
} from '../src/node/batch/relay_messages.js';
import {packReply, unpackReply} from '../src/node/batch/relay_replies.js';
import {
  packRequests,
  unpackRequests,
} from '../src/node/batch/relay_requests.js';
import {ReportPacker} from '../src/node/batch/report_packer.js';
import {ReportUnpacker} from '../src/node/batch/report_unpacker.js';
import {WorkerNumbers} from '../src/node/batch/worker_numbers.js';
import {SystemClock} from '../src/node/system_clock.js';
import {cpuTimeMicros, median} from './capacity_measure.js';

/** Repetitions of each measurement; the first one, a warm-up, isn't counted. */
const REPETITIONS = 6;

const START_COUNT = 2000;
const STARTS_PER_FRAME = 10;
const STARTS_PER_JOB = 5;
const SPEC_BYTES = 4000;

const WORKER_COUNT = 100;
const REPORTS_PER_WORKER = 20;
const REPORTS_PER_FRAME = 4;
const RUNS_PER_REPORT = 8;

/** Renewals of each worker, one after the other, over a link. */
const RENEWALS_PER_WORKER = 30;

const HOST = '127.0.0.1';

const WORKERS = Array.from({length: WORKER_COUNT}, (unused, i) => ({
  id: `tuapapa-worker-${i}-7f3a9c`,
  address: `10.20.${i >> 6}.${i & 63}:8000`,
}));

/** CPU time in microseconds and bytes for each message of one run. */
type Figures = Readonly<Record<string, number>>;

function jobName(index: number): string {
  return index.toString(16).padStart(16, '0');
}

function startFrames(): RelayCall[][] {
  const frames: RelayCall[][] = [];
  let spec = '';
  for (let i = 0; i < START_COUNT; i++) {
    if (i % STARTS_PER_FRAME === 0) frames.push([]);
    const job = Math.floor(i / STARTS_PER_JOB);
    // All starts of a job share one text.
    if (i % STARTS_PER_JOB === 0) spec = `${job} `.padEnd(SPEC_BYTES, 'x');
    const request = {
      task: `${jobName(job)}.0.1.${i % STARTS_PER_JOB}`,
      attempt: 1,
      spec,
      checkpoint: '',
      ticket: '',
    };
    frames.at(-1)!.push({
      kind: RelayCallKind.START,
      request,
      leaseUntil: 1_765_000_000_123.5 + i,
      token: 70_001,
    });
  }
  return frames;
}

/**
 * The report of a worker in a round: between two rounds, its oldest run ends
 * and another one starts, and half of the others make progress.
 */
function responseOf(worker: number, round: number): RenewalResponse {
  const running = Array.from(
    {length: RUNS_PER_REPORT},
    (unused, i): ReportedRun => {
      const number = round + i;
      return {
        task: `${jobName(worker * 1000 + number)}.0.1.${number}`,
        attempt: 1,
        checkpoint: '',
        percent: number % 2 === 0 ? 10 * (RUNS_PER_REPORT - i) : 5,
        gauge: number % 2 === 0 ? 900 + round : 1000,
      };
    },
  );
  const end = {
    sequence: round,
    task: `${jobName(worker * 1000 + round - 1)}.0.1.${round - 1}`,
    attempt: 1,
    end: RunOutcome.DONE,
    checkpoint: '',
  };
  const clockMs = 1_765_000_000_000 + 1000 * round + worker;
  const report = {
    born: 1_764_999_000_000,
    clockMs,
    running,
    ends: [end],
    hasMoreEnds: false,
  };
  return {result: WorkerCallResult.ACCEPTED, clockMs, report};
}

function reportFrames(): RelayResponse[][] {
  const frames: RelayResponse[][] = [];
  for (let i = 0; i < WORKER_COUNT * REPORTS_PER_WORKER; i++) {
    if (i % REPORTS_PER_FRAME === 0) frames.push([]);
    const round = 1 + Math.floor(i / WORKER_COUNT);
    const response = responseOf(i % WORKER_COUNT, round);
    frames.at(-1)!.push({id: i + 1, worker: i % WORKER_COUNT, response});
  }
  return frames;
}

/** Runs of the work of one measurement. */
const PASSES = 5;

/** Returns the result of `work` and its CPU time for each of its messages. */
function timed<T>(count: number, work: () => T): [T, number] {
  const before = cpuTimeMicros();
  for (let i = 1; i < PASSES; i++) work();
  const result = work();
  return [result, (cpuTimeMicros() - before) / (PASSES * count)];
}

function totalBytes(frames: readonly Uint8Array[]): number {
  return frames.reduce((sum, {length}) => sum + length, 0);
}

/** Encodes frames as a link does, with one call for each worker in turn. */
function packStarts(frames: readonly (readonly RelayCall[])[]): Uint8Array[] {
  const workers = new WorkerNumbers();
  let id = 0;
  return frames.map(calls => {
    const requests = calls.map(call => {
      const worker = workers.numberOf(WORKERS[id % WORKER_COUNT]);
      return {id: ++id, worker, call};
    });
    return packRequests({newWorkers: workers.takeNew(), requests});
  });
}

function measureStarts(): Figures {
  const frames = startFrames();
  const [packed, pack] = timed(START_COUNT, () => packStarts(frames));
  const [, unpack] = timed(START_COUNT, () => packed.map(unpackRequests));
  return {
    'start: pack (scheduler), us': pack,
    'start: unpack (relay), us': unpack,
    'start: bytes': totalBytes(packed) / START_COUNT,
  };
}

/** Encodes frames as a relay does for a link. */
function packReports(
  frames: readonly (readonly RelayResponse[])[],
): Uint8Array[] {
  const reports = new ReportPacker();
  return frames.map(responses =>
    packReply({responses, isDraining: false}, reports),
  );
}

/** Decodes frames as a link does. */
function unpackReports(frames: readonly Uint8Array[]): void {
  const reports = new ReportUnpacker();
  for (const frame of frames) unpackReply(frame, reports);
}

function measureReports(): Figures {
  const frames = reportFrames();
  const count = WORKER_COUNT * REPORTS_PER_WORKER;
  const [packed, pack] = timed(count, () => packReports(frames));
  const [, unpack] = timed(count, () => unpackReports(packed));
  return {
    'report: unpack (scheduler), us': unpack,
    'report: pack (relay), us': pack,
    'report: bytes': totalBytes(packed) / count,
  };
}

async function freeAddress(): Promise<string> {
  const server = createServer().listen(0, HOST);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return `${HOST}:${port}`;
}

async function renewRepeatedly(link: RelayLink, worker: number): Promise<void> {
  for (let i = 0; i < RENEWALS_PER_WORKER; i++) {
    const {result} = await link.call(WORKERS[worker], {
      kind: RelayCallKind.RENEW,
      renewal: {
        fencingToken: 70_001,
        acknowledgedEnd: 0,
        leaseUntil: 1_765_000_000_123.5 + i,
        waitMs: 1000,
        responseMs: 700,
      },
    });
    if (result !== WorkerCallResult.ACCEPTED) throw new Error(result);
  }
}

/** Measures renewals of idle workers in the scheduler's process. */
async function measureRenewals(link: RelayLink): Promise<Figures> {
  const before = cpuTimeMicros();
  await Promise.all(WORKERS.map((unused, i) => renewRepeatedly(link, i)));
  const micros = cpuTimeMicros() - before;
  const count = WORKER_COUNT * RENEWALS_PER_WORKER;
  return {'renewal over a link (scheduler), us': micros / count};
}

/** Runs a measurement several times and prints the medians. */
async function report(run: () => Figures | Promise<Figures>): Promise<void> {
  const runs: Figures[] = [];
  for (let i = 0; i < REPETITIONS; i++) runs.push(await run());
  const counted = runs.slice(1);
  for (const name of Object.keys(counted[0])) {
    const values = counted.map(figures => figures[name]);
    const range = [Math.min(...values), Math.max(...values)];
    const [low, high] = range.map(value => value.toFixed(1));
    console.log(
      `${name}: ${median(values).toFixed(1)} (${low} to ${high}, ` +
        `${counted.length} runs)`,
    );
  }
}

/** Measures the cost of messages between a scheduler and a relay. */
export async function runRelayBenchmark(): Promise<void> {
  await report(measureStarts);
  await report(measureReports);
  const address = await freeAddress();
  const path = fileURLToPath(new URL('relay_host.js', import.meta.url));
  const host = spawn(process.execPath, [path, address], {
    stdio: ['pipe', 'pipe', 'inherit'],
  });
  await once(host.stdout, 'data');
  await sleep(100);
  const link = new RelayLink(address, new SystemClock(), () => {});
  await report(() => measureRenewals(link));
  link.close();
  host.stdin.end();
}

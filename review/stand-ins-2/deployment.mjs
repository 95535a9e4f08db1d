import {randomBytes, randomInt} from 'node:crypto';
import {mkdtempSync, rmSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Machine} from './machine.mjs';
import {Store} from './store.mjs';
import {Worker} from './worker.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
const SERVICE = 'order-desk';

/** Ends the script at the latest. */
const LIMIT_MS = 115_000;

/** Free port at a loopback address, with `count - 1` ports after it. */
async function freePort(host, count = 1) {
  for (;;) {
    const first = randomInt(20_000, 30_000);
    const isFree = await Promise.all(
      Array.from({length: count}, (_, index) => canListen(host, first + index)),
    );
    if (isFree.every(Boolean)) return first;
  }
}

function canListen(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** A small deployment on loopback addresses, in a temporary folder. */
export class Deployment {
  machines = [];
  workers = [];
  store = new Store();
  queue = {host: 'desk.example', prefix: '/cut/'};
  service = SERVICE;
  /** Jobs by id: what was sent and answered. */
  jobs = new Map();

  constructor(record) {
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), 'jasminegauge-review-'));
    this.network = `127.${randomInt(10, 250)}.${randomInt(10, 250)}`;
    this.nextHost = 10;
    this.deadline = setTimeout(() => {
      this.record.add('the script took too long');
      this.record.flush();
      this.kill();
      process.exit(2);
    }, LIMIT_MS);
  }

  host() {
    return `${this.network}.${this.nextHost++}`;
  }

  async startStore() {
    const host = this.host();
    await this.store.listen(host, await freePort(host));
    this.configure(1);
  }

  /** Writes a version of the configuration, as the operator. */
  configure(version, route = {}) {
    this.store.write('keyed.op', 'config', {
      version,
      routes: [
        {
          name: 'r-cut',
          host: this.queue.host,
          'path-prefix': this.queue.prefix,
          service: SERVICE,
          'target-latency-ms': 250,
          priority: 0,
          'max-attempts': 4,
          stretch: 1.5,
          ...route,
        },
      ],
      services: [{name: SERVICE, 'admission-check': false}],
      limits: {'max-body-bytes': 262_144},
    });
  }

  async addWorker(options) {
    const host = this.host();
    const worker = new Worker({
      host,
      port: await freePort(host),
      service: SERVICE,
      maxHoldMs: 10_000,
      stopMs: 100,
      record: this.record,
      store: this.store,
      ...options,
    });
    this.workers.push(worker);
    await worker.listen();
    return worker;
  }

  async addMachine(name, zone, zones, share = 0.675) {
    const host = this.host();
    const ports = {
      front: await freePort(host),
      ready: await freePort(host),
      control: await freePort(host),
      peers: await freePort(host, 16),
    };
    const machine = new Machine({
      root: ROOT,
      folder: this.folder,
      name,
      host,
      zone,
      zones,
      ports,
      store: this.store.address,
      share,
    });
    this.machines.push(machine);
    machine.start();
    return machine;
  }

  /** Waits until all machines are ready and one of them is the scheduler. */
  async waitUntilReady(limitMs = 20_000) {
    const until = performance.now() + limitMs;
    while (performance.now() < until) {
      const ready = await Promise.all(
        this.machines.map(machine => isReady(machine.ready)),
      );
      if (ready.every(Boolean) && this.scheduler !== undefined) return true;
      await sleep(100);
    }
    return false;
  }

  get scheduler() {
    return this.machines.find(machine => machine.isScheduler);
  }

  /** Sends a request as a client; undefined without an answer in 3 s. */
  async call(machine, method, id, body) {
    const path = this.queue.prefix + id;
    const answer = await send(
      machine.front,
      method,
      path,
      {host: this.queue.host, 'deadline-ms': '3000'},
      body,
    );
    const text = answer ? `${answer.status} ${answer.text}` : 'no answer';
    this.record.add(`client: ${method} ${path} at ${machine.name}: ${text}`);
    return answer;
  }

  /**
   * Hands a job in, with the client's retries at other machines. Returns its
   * id, which `onId` gets before it is sent; undefined if it was not accepted.
   */
  async submit(machines, steps, onId = () => {}) {
    const id = randomBytes(8).toString('hex');
    onId(id);
    const body = JSON.stringify({spec: 'panels', steps});
    for (let attempt = 0; attempt < 5; attempt++) {
      const machine = machines[attempt % machines.length];
      const answer = await this.call(machine, 'POST', id, body);
      if (answer?.status === 200) {
        this.jobs.set(id, {acceptedAt: this.record.now()});
        return id;
      }
      await sleep(300);
    }
    return undefined;
  }

  /** State of a job as a machine shows it; undefined without an answer. */
  async state(machine, id) {
    const answer = await this.call(machine, 'GET', id);
    if (answer?.status === 410) return 'unknown';
    if (answer?.status !== 200) return undefined;
    return JSON.parse(answer.text).state;
  }

  kill() {
    for (const {child} of this.machines) {
      child?.kill('SIGCONT');
      child?.kill('SIGKILL');
    }
  }

  /** Ends all processes and servers that were started. */
  async close() {
    clearTimeout(this.deadline);
    this.kill();
    for (const worker of this.workers) worker.close();
    this.store.close();
    await sleep(200);
    if (process.env.KEEP !== '1') {
      rmSync(this.folder, {recursive: true, force: true});
    }
    this.record.flush();
  }
}

async function isReady(address) {
  const answer = await send(address, 'GET', '/api/ready', {}, undefined, 500);
  return answer?.status === 200;
}

/** Sends an HTTP request; resolves to undefined without a whole answer. */
function send(address, method, path, headers, body, timeoutMs = 3000) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const call = request({host, port, method, path, headers, agent: false});
    const timer = setTimeout(() => {
      call.destroy();
      resolve(undefined);
    }, timeoutMs);
    call.once('error', () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    call.once('response', response => {
      const chunks = [];
      response.on('data', chunk => chunks.push(chunk));
      response.once('error', () => resolve(undefined));
      response.once('end', () => {
        clearTimeout(timer);
        const text = chunks.map(chunk => chunk.toString()).join('');
        resolve({status: response.statusCode, text});
      });
    });
    call.end(body);
  });
}

/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the
 * case couldn't run. `run` returns what broke the rule, undefined if nothing
 * did, and throws if the case couldn't run.
 */
export async function runCase(record, run) {
  const deployment = new Deployment(record);
  let code = 2;
  try {
    const broken = await run(deployment);
    code = broken === undefined ? 0 : 1;
    record.add(broken === undefined ? 'the rule held' : `BROKEN: ${broken}`);
    process.stdout.write(`${broken === undefined ? 'held' : broken}\n`);
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`);
    process.stdout.write(`the case could not run: ${error.message}\n`);
  }
  await deployment.close();
  process.exit(code);
}

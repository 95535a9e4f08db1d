// A small deployment: a store, workers behind proxies, and entry processes.
import {readFileSync, rmSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {Judge} from './judge.mjs';
import {Proxy} from './proxy.mjs';
import {Store} from './store.mjs';
import {Front, newDirectory, newHostPrefix} from './system.mjs';
import {Worker} from './worker.mjs';

export {sleep};

export const HOLDS = 0;
export const BROKEN = 1;
export const CANNOT_RUN = 2;

/** Whether the case's disruption is to take place. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

const START_LIMIT_MS = 20_000;

export class CannotRunError extends Error {}

export class Deployment {
  workers = [];
  fronts = [];

  /** @param options folder, fronts, workers and `durationMs` of a task. */
  constructor(options) {
    this.options = options;
    this.judge = new Judge(join(options.folder, 'record.txt'));
    this.store = new Store((event, fields) => this.judge.log(event, fields));
    this.directory = newDirectory();
  }

  async start() {
    const {options, judge, store} = this;
    const storePort = await store.listen();
    store.write('keyed.op', 'config', {
      version: 1,
      routes: [
        {
          name: 'runs',
          host: 'desk.example',
          'path-prefix': '/runs/',
          service: 'desk',
          priority: 0,
          'max-attempts': options.maxAttempts ?? 4,
          stretch: 2,
          'target-latency-ms': 1000,
        },
      ],
      services: [{name: 'desk', 'admission-check': false}],
      limits: {'max-body-bytes': 262_144},
    });
    for (let i = 1; i <= options.workers; i++) {
      const worker = new Worker({
        id: `i-${String(i).padStart(10, '0')}`,
        store,
        judge,
        durationMs: options.durationMs,
        saves: options.saves ?? false,
        gauge: options.gauge,
        perpetual: options.perpetual,
      });
      const proxy = new Proxy(await worker.listen());
      worker.proxy = proxy;
      worker.run(`127.0.0.1:${await proxy.listen()}`);
      this.workers.push(worker);
    }
    const prefix = newHostPrefix();
    for (let i = 1; i <= options.fronts; i++) {
      const proxy = new Proxy(storePort);
      const port = await proxy.listen();
      const host = `${prefix}.${i}`;
      const front = new Front(`front-${i}`, host, port, this.directory);
      front.storeProxy = proxy;
      front.start();
      this.fronts.push(front);
    }
    const limit = Date.now() + START_LIMIT_MS;
    for (const front of this.fronts) {
      for (;;) {
        const options = {port: 8167, timeoutMs: 1000};
        const {status} = await front.call(
          'GET',
          '/api/ready',
          undefined,
          options,
        );
        if (status === 200) break;
        if (Date.now() > limit) throw new CannotRunError('not ready in time');
        await sleep(100);
      }
    }
    await sleep(2000);
  }

  async stop() {
    for (const front of this.fronts) front.kill('SIGCONT');
    for (const front of this.fronts) front.kill('SIGKILL');
    for (const front of this.fronts) await front.hasExited;
    for (const {storeProxy} of this.fronts) storeProxy.close();
    for (const worker of this.workers) {
      worker.proxy.close();
      worker.close();
    }
    this.store.close();
    this.judge.flush();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.directory, {recursive: true, force: true});
    } else process.stdout.write(`logs: ${this.directory}\n`);
  }

  /** A client's call; what was sent and answered is recorded. */
  async call(front, method, path, body) {
    this.judge.log('sent', {to: front.name, method, path, body});
    const answer = await front.call(method, path, body);
    this.judge.log('answered', {method, path, ...answer});
    return answer;
  }

  /** Hands a job in, as a client does: again with the same id if need be. */
  async submit(id, job) {
    for (let attempt = 0; attempt < 5; attempt++) {
      const front = this.fronts[attempt % this.fronts.length];
      const {status} = await this.call(front, 'POST', `/runs/${id}`, job);
      if (status >= 200 && status < 300) return;
      await sleep(500);
    }
    throw new CannotRunError(`job ${id} was not accepted`);
  }

  /** State of a job; undefined without a 200. */
  async state(id, front = this.fronts[0]) {
    const {status, body} = await this.call(front, 'GET', `/runs/${id}`);
    return status === 200 ? body.state : undefined;
  }

  /** The entry process that holds the scheduler role, from the platform's view:
   * the one whose record in the states topic is the newest claim. */
  schedulerName() {
    const record = this.store.topic('keyed.states').newest.get('l');
    if (record === undefined) return undefined;
    const text = record.value.toString('latin1');
    return this.fronts.find(({name}) => text.includes(name))?.name;
  }

  logOf(front) {
    return readFileSync(join(this.directory, `${front.name}.log`), 'utf8');
  }
}

/** Waits until a condition holds; returns whether it did in time. */
export async function until(condition, limitMs, periodMs = 20) {
  const limit = Date.now() + limitMs;
  while (Date.now() < limit) {
    if (await condition()) return true;
    await sleep(periodMs);
  }
  return false;
}

/**
 * Runs a case and ends the process with 1 if the rule was broken, 0 if it held
 * and 2 if the case could not run.
 * @param check returns the breaks, after the case.
 */
export async function runCase(options, play) {
  const deployment = new Deployment(options);
  let code = CANNOT_RUN;
  const guard = setTimeout(() => {
    for (const front of deployment.fronts) front.kill('SIGKILL');
    process.exit(CANNOT_RUN);
  }, 110_000);
  try {
    await deployment.start();
    const breaks = await play(deployment);
    code = breaks.length > 0 ? BROKEN : HOLDS;
    for (const text of breaks) deployment.judge.log('BROKEN', {text});
    const shown = breaks.slice(0, 3).map(text => `  ${text}\n`);
    const word = breaks.length > 0 ? 'broken' : 'held';
    process.stdout.write(
      `${options.rule} ${word}: ${breaks.length} breaks, ${deployment.judge.runs.length} runs\n${shown.join('')}`,
    );
  } catch (error) {
    process.stdout.write(`The case could not run: ${error.stack}\n`);
  }
  clearTimeout(guard);
  await deployment.stop();
  process.exit(code);
}

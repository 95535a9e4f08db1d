import {randomBytes} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {serve, NO_ANSWER} from './http_server.mjs';

const TICK_MS = 10;
const MAX_ENDS = 500;

/** A new id of a worker. */
export function newId() {
  return `i-${randomBytes(5).toString('hex')}`;
}

/**
 * A worker, as the pages describe it: it runs tasks under a lease on its own
 * steady clock, lists ends until they are acknowledged, and does nothing for a
 * fencing token lower than the highest one it has seen.
 */
export class Worker {
  /** Whether it fails all that it starts. */
  failsAll = false;
  isDown = false;
  state = 'ready';
  remainingMs;

  /**
   * @param options host, port, zone, rack, cpu in thousandths of a core,
   *     maxHoldMs, stopMs, record, store, durationOf (of a task, in ms; Infinity
   *     for one that lasts), and onStart and onEnd.
   */
  constructor(options) {
    Object.assign(this, options);
    this.id ??= newId();
    this.reset();
  }

  reset() {
    this.born = Date.now();
    this.clockStart = performance.now() - 500 * Math.random();
    this.runs = new Map();
    this.highest = new Map();
    this.ends = [];
    this.sequence = 0;
    this.token = 0;
    this.leaseEnd = 0;
    this.waiters = new Set();
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  clock() {
    return Math.floor(performance.now() - this.clockStart);
  }

  async listen() {
    this.server = await serve(this.host, this.port, request =>
      this.handle(request),
    );
    this.timer = setInterval(() => this.tick(), TICK_MS);
    this.publish();
  }

  publish() {
    const entry = {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: '1',
      slots: 8,
      state: this.state,
      'cold-left-ms': 0,
      seq: 1,
      born: this.born,
      capacity: {cpu: this.cpu, 'mem-mb': 256_000, gpu: 0},
      labels: ['a', this.rack],
    };
    if (this.remainingMs !== undefined)
      entry['remaining-ms'] = this.remainingMs;
    this.store.write('keyed.servers', this.id, entry);
  }

  /** Reports that it drains; the store has accepted that on return. */
  drain(remainingMs) {
    this.state = 'draining';
    this.remainingMs = remainingMs;
    this.publish();
    this.drainedAt = this.record.now();
    this.record.add(`worker ${this.id}: the store accepts that it is draining`);
  }

  /** Crashes: all that ran is gone, connections break, and it answers nobody. */
  async crash() {
    this.record.add(`worker ${this.id}: crashes`);
    this.isDown = true;
    clearInterval(this.timer);
    for (const [task, run] of this.runs)
      this.onEnd?.(this, task, run, 'crashed');
    this.runs.clear();
    const {server} = this;
    const closed = new Promise(resolve => server.close(resolve));
    server.closeAllConnections();
    await closed;
  }

  /** Starts again at the same address, under the same id, and knows nothing. */
  async restart() {
    this.reset();
    this.isDown = false;
    await this.listen();
    this.record.add(`worker ${this.id}: starts again, born ${this.born}`);
  }

  close() {
    clearInterval(this.timer);
    this.server?.close();
    this.server?.closeAllConnections();
  }

  answer(status, fields = {}) {
    const body = {'clock-ms': this.clock(), born: this.born, ...fields};
    return {status, body};
  }

  async handle({path, headers, body}) {
    if (this.isDown) return NO_ANSWER;
    const instance = headers['expect-instance'];
    if (instance !== undefined && instance !== this.id) {
      return {status: 421, body: {}};
    }
    let fields;
    try {
      fields = JSON.parse(body.toString());
    } catch {
      return this.answer(400);
    }
    const token = fields['fencing-token'] ?? 0;
    if (token < this.token) {
      if (path === '/api/run-start') {
        this.record.add(
          `worker ${this.id}: rejects start of ${fields.task} ` +
            `run ${fields.attempt}, token ${token} < ${this.token}`,
        );
      }
      return this.answer(409, {reason: 'fence'});
    }
    this.token = token;
    if (path === '/api/run-start') return this.start(fields);
    if (path === '/api/run-stop') return this.stop(fields);
    if (path === '/api/hold') return this.hold(fields);
    if (path === '/api/pace') return this.answer(200);
    return {status: 404, body: {}};
  }

  extend(deadline) {
    if (deadline === undefined) return;
    const end = Math.min(deadline, this.clock() + this.maxHoldMs);
    this.leaseEnd = Math.max(this.leaseEnd, end);
  }

  start(fields) {
    const {task, attempt} = fields;
    const known = this.runs.get(task);
    if (known?.attempt === attempt) return this.answer(200);
    const deadline = fields['deadline-ms'];
    if (!(deadline > this.clock())) return this.answer(409, {reason: 'late'});
    this.extend(deadline);
    if (known !== undefined || attempt <= (this.highest.get(task) ?? 0)) {
      return this.answer(409, {reason: 'old'});
    }
    const run = {attempt, startedAt: performance.now(), stopAt: Infinity};
    run.endsAt = run.startedAt + this.durationOf(task);
    if (this.failsAll) run.endsAt = Math.min(run.endsAt, run.startedAt + 300);
    run.fails = this.failsAll;
    this.runs.set(task, run);
    this.record.add(
      `worker ${this.id} (${this.zone}): starts ${task} run ${attempt}`,
    );
    this.onStart?.(this, task, run);
    return this.answer(200);
  }

  stop({task, attempt}) {
    const run = this.runs.get(task);
    this.highest.set(task, Math.max(this.highest.get(task) ?? 0, attempt));
    if (run !== undefined && run.attempt <= attempt) {
      run.stopAt = Math.min(run.stopAt, performance.now() + this.stopMs);
    }
    return this.answer(200);
  }

  async hold(fields) {
    this.extend(fields['deadline-ms']);
    const acknowledged = fields['ack-cursor'] ?? 0;
    this.ends = this.ends.filter(([number]) => number > acknowledged);
    const waitMs = Math.min(2000, fields['wait-ms'] ?? 0);
    const {born} = this;
    if (this.ends.length === 0 && waitMs > 0) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        this.waiters.add(wake);
      });
    }
    if (this.isDown || this.born !== born) return NO_ANSWER;
    const now = performance.now();
    const running = [...this.runs].map(([task, run]) => {
      const total = run.endsAt - run.startedAt;
      const percent =
        total === Infinity
          ? now - run.startedAt > 300
            ? 100
            : 10
          : Math.min(99, Math.floor((100 * (now - run.startedAt)) / total));
      return [task, run.attempt, '', percent, 0];
    });
    return this.answer(200, {running, finished: this.ends.slice(0, MAX_ENDS)});
  }

  tick() {
    const now = performance.now();
    const isLapsed = this.clock() > this.leaseEnd;
    for (const [task, run] of [...this.runs]) {
      if (isLapsed) this.end(task, run, 'lapsed');
      else if (now >= run.stopAt) this.end(task, run, 'stopped');
      else if (now >= run.endsAt)
        this.end(task, run, run.fails ? 'failed' : 'done');
    }
  }

  end(task, run, how) {
    this.runs.delete(task);
    this.highest.set(task, Math.max(this.highest.get(task) ?? 0, run.attempt));
    this.ends.push([++this.sequence, task, run.attempt, how, '']);
    this.record.add(
      `worker ${this.id}: ${task} run ${run.attempt} ends ${how}`,
    );
    this.onEnd?.(this, task, run, how);
    for (const wake of [...this.waiters]) wake();
  }
}

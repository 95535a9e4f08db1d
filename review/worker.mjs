// Stand-in of a worker, as PROTOCOL.md describes it: leases on a steady clock,
// fencing tokens, numbered ends of which 500 are returned at a time.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';

const MAX_HOLD_MS = 10_000;
const MAX_WAIT_MS = 2_000;
const ENDS_AT_A_TIME = 500;
const STOP_MS = 100;
const TICK_MS = 5;
const HEARTBEAT_MS = 1_100;
const CHECKPOINT_MS = 2_000;

export class Worker {
  #timers = [];
  #waiting = new Set();
  #sockets = new Set();

  /**
   * @param options id, store, judge, capacity, rack, and `durationMs`, which
   *     returns how long a task works.
   */
  constructor(options) {
    Object.assign(this, options);
    this.state = 'ready';
    /** Whether its heartbeats reach the store. */
    this.reachesStore = true;
    this.lastBeatAt = 0;
    this.isListed = false;
    this.#begin();
    this.server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', socket => {
      if (this.isDown) {
        socket.resetAndDestroy();
        return;
      }
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
  }

  /** Begins an incarnation, which knows nothing of an earlier one. */
  #begin() {
    this.born = Date.now();
    this.bornAt = performance.now();
    this.runs = new Map();
    this.highest = new Map();
    this.ends = [];
    this.lastEnd = 0;
    this.token = 0;
    this.leaseUntil = 0;
    this.hasLease = false;
  }

  async listen() {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return this.server.address().port;
  }

  /** Starts the heartbeats, with the address at which callers reach it. */
  run(address) {
    this.address = address;
    this.#timers.push(setInterval(() => this.#tick(), TICK_MS));
    this.#timers.push(setInterval(() => this.beat(), HEARTBEAT_MS));
    this.#timers.push(setInterval(() => this.#expireEntry(), 50));
    this.beat();
  }

  close() {
    for (const timer of this.#timers) clearInterval(timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  get clock() {
    return Math.floor(performance.now() - this.bornAt);
  }

  get capacity() {
    return this.size ?? {cpu: 64_000, 'mem-mb': 256_000, gpu: 0};
  }

  /** Writes the worker's entry, if it reaches the store. */
  beat() {
    if (!this.reachesStore) return;
    this.lastBeatAt = performance.now();
    this.isListed = true;
    this.seq = (this.seq ?? 0) + 1;
    this.store.write('keyed.servers', this.id, {
      service: this.service ?? 'desk',
      address: this.address,
      zone: this.zone ?? 'zone-a',
      version: '1',
      slots: 8,
      state: this.state,
      'cold-left-ms': 0,
      seq: this.seq,
      born: this.born,
      capacity: this.capacity,
      ...(this.state === 'draining' ? {'remaining-ms': 2000} : {}),
      labels: ['a', this.rack ?? `r-${this.id}`],
    });
  }

  /** The store removes an entry after three heartbeat intervals of silence. */
  #expireEntry() {
    if (!this.isListed) return;
    if (performance.now() - this.lastBeatAt < 3 * HEARTBEAT_MS + 50) return;
    this.isListed = false;
    this.judge.log('entry-removed', {worker: this.id});
    this.store.write('keyed.servers', this.id, undefined);
  }

  /** Ends at once, with all that runs on it, and is back after `downMs`. */
  crash(downMs) {
    this.judge.log('worker-crashes', {worker: this.id});
    for (const run of this.runs.values()) this.judge.onGone(run.record);
    const {reachesStore} = this;
    this.isDown = true;
    this.reachesStore = false;
    this.#begin();
    for (const wake of [...this.#waiting]) wake();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    setTimeout(() => {
      this.#begin();
      this.isDown = false;
      this.reachesStore = reachesStore;
      this.judge.log('worker-back', {worker: this.id});
      this.beat();
    }, downMs);
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const {born} = this;
    const answer = await this.#answer(request, Buffer.concat(chunks));
    // The incarnation that read the request is gone.
    if (born !== this.born) return response.destroy();
    const fields = {'clock-ms': this.clock, born, ...answer.fields};
    const text = JSON.stringify(fields);
    response.writeHead(answer.status, {'content-type': 'application/json'});
    return response.end(text);
  }

  async #answer(request, bytes) {
    if (request.headers['expect-instance'] !== this.id) {
      return {status: 421, fields: {}};
    }
    const body = JSON.parse(bytes.toString());
    const token = body['fencing-token'] ?? 0;
    if (token < this.token) return {status: 409, fields: {reason: 'fence'}};
    this.token = token;
    if (request.url === '/api/hold') return this.#hold(body);
    if (request.url === '/api/run-start') return this.#start(body);
    if (request.url === '/api/run-stop') return this.#stop(body);
    if (request.url === '/api/pace') return this.#pace(body);
    return {status: 404, fields: {}};
  }

  #extend(until) {
    if (until === undefined) return;
    const latest = Math.min(until, this.clock + MAX_HOLD_MS);
    this.leaseUntil = Math.max(this.leaseUntil, latest);
    if (this.leaseUntil > this.clock) this.hasLease = true;
  }

  #start({task, attempt, spec, checkpoint = '', 'deadline-ms': until}) {
    if (this.runs.get(task)?.attempt === attempt) {
      return {status: 200, fields: {}};
    }
    if (!(until > this.clock)) return {status: 409, fields: {reason: 'late'}};
    this.#extend(until);
    if (attempt <= (this.highest.get(task) ?? 0) || this.runs.has(task)) {
      return {status: 409, fields: {reason: 'old'}};
    }
    const record = this.judge.onStart({
      worker: this.id,
      task,
      attempt,
      spec,
      checkpoint,
    });
    this.runs.set(task, {
      attempt,
      record,
      /** Work done, in ms at full pace, up to the last tick. */
      workedMs: 0,
      pace: 100,
      tickAt: this.clock,
      durationMs: this.durationMs(task, attempt),
    });
    return {status: 200, fields: {}};
  }

  #stop({task, attempt}) {
    const run = this.runs.get(task);
    if (run !== undefined && run.attempt <= attempt) {
      run.stopAt ??= this.clock + STOP_MS;
    }
    this.highest.set(task, Math.max(this.highest.get(task) ?? 0, attempt));
    return {status: 200, fields: {}};
  }

  #pace({task, attempt, percent}) {
    const run = this.runs.get(task);
    if (run?.attempt === attempt) run.pace = percent;
    this.judge.log('pace', {worker: this.id, task, attempt, percent});
    return {status: 200, fields: {}};
  }

  async #hold(body) {
    const ack = body['ack-cursor'] ?? 0;
    this.#extend(body['deadline-ms']);
    for (const end of this.ends) {
      if (end.row[0] <= ack) this.judge.onNoted(end.record);
    }
    this.ends = this.ends.filter(({row}) => row[0] > ack);
    const waitMs = Math.min(body['wait-ms'] ?? 0, MAX_WAIT_MS);
    if (this.ends.length === 0 && waitMs > 0) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        this.#waiting.add(wake);
      });
    }
    const running = [...this.runs].map(([task, run]) => [
      task,
      run.attempt,
      this.#checkpoint(run),
      this.perpetual?.(task) ? 100 : this.#percent(run),
      Math.round(((this.gauge?.(task) ?? 0) * run.pace) / 100),
    ]);
    const finished = this.ends.slice(0, ENDS_AT_A_TIME).map(({row}) => row);
    return {status: 200, fields: {running, finished}};
  }

  /** A value that changes with each 2 s of work, if the case saves any. */
  #checkpoint({workedMs, record}) {
    const saves = Math.floor(workedMs / CHECKPOINT_MS);
    if (!this.saves || saves === 0) return record.checkpoint;
    return `${record.task.slice(0, 8)}${String(saves).padStart(8, '0')}`;
  }

  #percent({workedMs, durationMs}) {
    return Math.min(99, Math.floor((100 * workedMs) / durationMs));
  }

  #tick() {
    const now = this.clock;
    const lapses = this.hasLease && now >= this.leaseUntil;
    if (lapses) {
      this.hasLease = false;
      this.judge.onLapse(this.ends.map(({record}) => record));
    }
    for (const [task, run] of [...this.runs]) {
      run.workedMs += ((now - run.tickAt) * run.pace) / 100;
      run.tickAt = now;
      if (lapses) this.#end(task, run, 'lapsed');
      else if (run.stopAt !== undefined && now >= run.stopAt) {
        this.#end(task, run, 'stopped');
      } else if (run.workedMs >= run.durationMs) {
        this.#end(task, run, 'done');
      }
    }
  }

  #end(task, run, how) {
    this.runs.delete(task);
    const {attempt, record} = run;
    this.highest.set(task, Math.max(this.highest.get(task) ?? 0, attempt));
    this.ends.push({row: [++this.lastEnd, task, attempt, how, ''], record});
    this.judge.onEnd(record, how);
    for (const wake of [...this.#waiting]) wake();
  }
}

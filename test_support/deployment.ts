import {ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {stringify} from 'yaml';
import {InstanceRole, InstanceState} from '../src/common/base/platform.js';
import {EMPTY_SIZE, Size} from '../src/common/base/size.js';
import {FakeInstanceList} from './fake_instance_list.js';
import {FakeLogService} from './fake_log_service.js';
import {LedgerEntry, FakeWorkerServer} from './fake_worker_server.js';

/** Composition of a local deployment. */
export interface DeploymentPlan {
  readonly dataCentres: readonly string[];
  readonly entriesPerDataCentre: number;
  readonly workersPerDataCentre: number;
  readonly workerCapacity: Size;
  readonly services: readonly string[];
  /** First port of a block of about 150; 0 chooses free ports. */
  readonly basePort: number;
  /** Settings of every daemon, which override the generated ones. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** Options of the runtime of every daemon. */
  readonly nodeArguments?: readonly string[];
}

/** An entry instance: a daemon in a process of its own. */
export interface Entry {
  readonly id: string;
  readonly dataCentre: string;
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly peerPort: number;
  readonly settingsFile: string;
  /** The newest process of the instance; undefined before its first start. */
  process: ChildProcess | undefined;
}

const HOST = '127.0.0.1';
const PORTS_PER_ENTRY = 3;
const FIRST_ENTRY_PORT_OFFSET = 10;
const WORKERS_PER_RACK = 2;

/** Path of the built daemon, relative to the root of the repository. */
const DAEMON_PATH = join('dist', 'src', 'daemon', 'main.js');

/**
 * A local deployment on the loopback interface. The fakes of the platform and
 * of the workers run in this process, each daemon in a process of its own.
 * Needs a build.
 */
export class Deployment {
  readonly logService = new FakeLogService();
  readonly instanceList = new FakeInstanceList();
  readonly workers: FakeWorkerServer[] = [];
  readonly entries: Entry[] = [];
  private readonly directory = mkdtempSync(join(tmpdir(), 'jasminegauge-'));
  private logUrl = '';
  private instanceListUrl = '';

  constructor(
    private readonly plan: DeploymentPlan,
    private readonly onLogLine: (entry: string, line: string) => void = () =>
      undefined,
  ) {}

  /** Base URLs of the log service and of the instance list. */
  get platformUrls(): {readonly log: string; readonly instances: string} {
    return {log: this.logUrl, instances: this.instanceListUrl};
  }

  /** Starts the fakes and the daemons; does not wait until they are ready. */
  async start(): Promise<void> {
    const {basePort} = this.plan;
    const logPort = await this.logService.listen(basePort);
    const listPort = await this.instanceList.listen(
      basePort === 0 ? 0 : basePort + 1,
    );
    this.logUrl = `http://${HOST}:${logPort}`;
    this.instanceListUrl = `http://${HOST}:${listPort}`;
    for (const dataCentre of this.plan.dataCentres) {
      for (let i = 0; i < this.plan.workersPerDataCentre; i++) {
        await this.addWorker(dataCentre, i);
      }
    }
    for (const dataCentre of this.plan.dataCentres) {
      for (let i = 0; i < this.plan.entriesPerDataCentre; i++) {
        await this.addEntry(dataCentre, i);
      }
    }
  }

  /** Kills the daemons, including paused ones, and closes the fakes. */
  async stop(): Promise<void> {
    for (const entry of this.entries) {
      entry.process?.kill('SIGCONT');
      entry.process?.kill('SIGKILL');
    }
    await Promise.all(this.entries.map(entry => this.waitForExit(entry)));
    await Promise.all(this.workers.map(worker => worker.close()));
    await this.logService.close();
    await this.instanceList.close();
    rmSync(this.directory, {recursive: true, force: true});
  }

  /** Starts or restarts the process of an entry. */
  startEntry(entry: Entry): void {
    const child = spawn(
      process.execPath,
      [
        ...(this.plan.nodeArguments ?? []),
        DAEMON_PATH,
        '--settings',
        entry.settingsFile,
      ],
      {stdio: ['ignore', 'ignore', 'pipe']},
    );
    entry.process = child;
    let partialLine = '';
    child.stderr.setEncoding('utf8');
    child.stderr.on('data', (chunk: string) => {
      const lines = (partialLine + chunk).split('\n');
      partialLine = lines.pop() ?? '';
      for (const line of lines) this.onLogLine(entry.id, line);
    });
  }

  sendSignal(entry: Entry, signal: NodeJS.Signals): void {
    entry.process?.kill(signal);
  }

  /**
   * Waits until the process of an entry has ended. Resolves with its exit code,
   * or with null if a signal ended it or it was never started.
   */
  waitForExit(entry: Entry): Promise<number | null> {
    const child = entry.process;
    if (child === undefined || child.exitCode !== null) {
      return Promise.resolve(child?.exitCode ?? null);
    }
    if (child.signalCode !== null) return Promise.resolve(null);
    return new Promise(resolve => child.once('exit', resolve));
  }

  /** Removes an entry from the instance list, as the platform does. */
  removeFromInstanceList(entry: Entry): void {
    this.instanceList.remove(entry.id);
  }

  /** The ledger entries of all workers, ordered by time. */
  ledger(): LedgerEntry[] {
    return this.workers
      .flatMap(worker => worker.ledger)
      .sort((a, b) => a.timeMs - b.timeMs);
  }

  /**
   * Adds an entry instance to the instance list and starts its process.
   * `index` is zero-based; the id has `index + 1`.
   */
  async addEntry(dataCentre: string, index: number): Promise<Entry> {
    const id = `${dataCentre}-entry-${index + 1}`;
    const ports = await this.chooseEntryPorts();
    const settingsFile = join(this.directory, `${id}.yaml`);
    const [caller, operator, peer] = ports;
    writeFileSync(
      settingsFile,
      stringify({
        instance: id,
        dataCentre,
        dataCentres: Object.fromEntries(
          this.plan.dataCentres.map(name => [
            name,
            {delayMs: name === dataCentre ? 0 : 1.5},
          ]),
        ),
        caller: {host: HOST, port: caller},
        operator: {host: HOST, port: operator},
        peer: {host: HOST, port: peer},
        platform: this.platformUrls,
        ...this.plan.settings,
      }),
    );
    const entry: Entry = {
      id,
      dataCentre,
      callerUrl: `http://${HOST}:${caller}`,
      operatorUrl: `http://${HOST}:${operator}`,
      peerPort: peer,
      settingsFile,
      process: undefined,
    };
    this.entries.push(entry);
    this.instanceList.put({
      id,
      role: InstanceRole.ENTRY,
      start: 1,
      dataCentre,
      rack: `${dataCentre}-rack-1`,
      host: HOST,
      port: caller,
      peerPort: peer,
      state: InstanceState.LIVE,
      capacity: EMPTY_SIZE,
      services: [],
      slots: 0,
      connections: 0,
    });
    this.startEntry(entry);
    return entry;
  }

  private async addWorker(dataCentre: string, index: number): Promise<void> {
    const worker = new FakeWorkerServer(`${dataCentre}-worker-${index + 1}`);
    const {basePort} = this.plan;
    const requested = basePort === 0 ? 0 : basePort + 100 + this.workers.length;
    const port = await worker.listen(requested);
    const rack = Math.floor(index / WORKERS_PER_RACK) + 1;
    this.workers.push(worker);
    this.instanceList.put(
      worker.toInstance(
        port,
        dataCentre,
        `${dataCentre}-rack-${rack}`,
        this.plan.workerCapacity,
        this.plan.services,
      ),
    );
  }

  private async chooseEntryPorts(): Promise<number[]> {
    const {basePort} = this.plan;
    if (basePort === 0) return findFreePorts(PORTS_PER_ENTRY);
    const first =
      basePort +
      FIRST_ENTRY_PORT_OFFSET +
      this.entries.length * PORTS_PER_ENTRY;
    return [first, first + 1, first + 2];
  }
}

/**
 * Range of the chosen ports. It lies below the ephemeral ports of Linux (from
 * 32,768): an ephemeral port could be taken by a connection of another test
 * between the check and the start of the daemon, which then never gets ready.
 */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;

/** Distance between the first ports that processes with adjacent ids try. */
const START_PORT_STRIDE = 97;

let nextPort =
  FIRST_PORT + ((process.pid * START_PORT_STRIDE) % (LAST_PORT - FIRST_PORT));

async function isFree(port: number): Promise<boolean> {
  const {createServer} = await import('node:net');
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });
}

/** Finds ports of the loopback interface that no process listens on. */
async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = nextPort++;
    if (nextPort > LAST_PORT) nextPort = FIRST_PORT;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

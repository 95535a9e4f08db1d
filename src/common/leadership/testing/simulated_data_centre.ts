import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Millis} from '../../base/clock.js';
import {Instance} from '../../base/platform.js';
import {DataCentreRecord, MemberId, StoredRecord} from '../../stream/types.js';
import {formatMemberId} from '../member.js';
import {LeadershipPeerMessage} from '../types.js';
import {FaultState} from './fault_state.js';
import {EventQueue} from './event_queue.js';
import {instanceFor} from './instance_for.js';
import {SimulatedApplication} from './simulated_application.js';
import {SimulatedProcess} from './simulated_process.js';

/** How long a writer waits for the response to an append. */
const APPEND_TIMEOUT_MS: Millis = 800;

/**
 * Time after which the platform drops an unresponsive instance from the list.
 */
const PLATFORM_TIMEOUT_MS: Millis = 2000;

/**
 * Largest fraction by which the rate of a clock deviates from simulated time.
 */
const MAX_CLOCK_RATE_ERROR = 0.01;

/** Response to a read of the simulated log. */
export interface LogReadResponse {
  readonly records: ReadonlyArray<StoredRecord<DataCentreRecord>>;
  readonly atEnd: boolean;
}

/**
 * Simulates the processes of a data centre with a log, an instance list and a
 * network. Checks after each event that at most one process holds the lease.
 */
export class SimulatedDataCentre {
  readonly queue = new EventQueue();
  readonly faultState = new FaultState();
  readonly log: Array<StoredRecord<DataCentreRecord>> = [];
  /** Running processes by instance id. */
  readonly processes = new Map<string, SimulatedProcess>();
  /** Log of the simulation for failure messages. */
  readonly trace: string[] = [];
  /** Members on the instance list. */
  private readonly listed = new Set<MemberId>();
  private newIdCount = 0;
  /** Members that a ticket declares gone. */
  private readonly declaredGone: MemberId[] = [];
  /** Start number of the newest process of each instance id. */
  private readonly lastStarts = new Map<string, number>();
  private readonly generator;

  /**
   * @param application creates the application of each process; without it a
   *   leader appends batches with placeholder records.
   */
  constructor(
    seed: number,
    private readonly application?: (
      process: SimulatedProcess,
    ) => SimulatedApplication,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  get time(): Millis {
    return this.queue.time;
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly random = (): number => uniformFloat64(this.generator);

  /** Returns a number from `low` (inclusive) to `high` (exclusive). */
  randomBetween(low: number, high: number): number {
    return low + this.random() * (high - low);
  }

  addTrace(text: string): void {
    this.trace.push(`${this.time.toFixed(0)} ${text}`);
  }

  /** Starts a process; an earlier process of the same id has to have ended. */
  start(id: string): SimulatedProcess {
    const start = (this.lastStarts.get(id) ?? 0) + 1;
    this.lastStarts.set(id, start);
    const member = formatMemberId(id, start);
    const rate = this.randomBetween(
      1 - MAX_CLOCK_RATE_ERROR,
      1 + MAX_CLOCK_RATE_ERROR,
    );
    const process = new SimulatedProcess(
      this,
      id,
      member,
      rate,
      this.application,
    );
    this.addTrace(`start ${member} rate ${rate.toFixed(4)}`);
    for (const other of this.processes.values()) {
      this.connectPeer(process, other);
      this.connectPeer(other, process);
    }
    this.processes.set(id, process);
    this.queue.after(this.randomBetween(200, 2500), () => {
      if (!process.ended) this.listed.add(member);
    });
    process.start();
    process.receive({kind: 'declared-gone', ids: [...this.declaredGone]});
    return process;
  }

  /** Returns an id that no process has had. */
  newId(): string {
    return `n${++this.newIdCount}`;
  }

  /** Declares a process gone by a ticket that all processes read. */
  declareGone(member: MemberId): void {
    this.declaredGone.push(member);
    for (const process of this.processes.values()) {
      process.receive({kind: 'declared-gone', ids: [...this.declaredGone]});
    }
  }

  /** Ends a process; the list drops it 0.3 to 4 seconds later. */
  kill(process: SimulatedProcess): void {
    this.addTrace(`kill ${process.member}`);
    process.ended = true;
    this.processes.delete(process.id);
    this.queue.after(this.randomBetween(300, 4000), () =>
      this.listed.delete(process.member),
    );
  }

  /**
   * Pauses a process. The platform drops it from the list if the pause exceeds
   * `PLATFORM_TIMEOUT_MS` and lists it again afterwards.
   */
  pause(process: SimulatedProcess, duration: Millis): void {
    if (process.isPaused) return;
    this.addTrace(`pause ${process.member} for ${duration}`);
    process.pause(duration);
    this.queue.after(PLATFORM_TIMEOUT_MS, () => {
      if (process.isPaused) this.listed.delete(process.member);
    });
    this.queue.after(duration + this.randomBetween(0, 2000), () => {
      if (!process.ended && !process.isPaused) this.listed.add(process.member);
    });
  }

  send(from: MemberId, to: MemberId, message: LeadershipPeerMessage): void {
    const {faultState: faults} = this;
    if (faults.cut(FaultState.link(from, to)).isOpen(this.time)) return;
    if (faults.lossyNetwork.isOpen(this.time) && this.random() < 0.3) {
      return;
    }
    const delay =
      this.random() < 0.02
        ? this.randomBetween(5, 2500)
        : this.randomBetween(0.5, 5);
    this.queue.after(delay, () => {
      this.findProcess(to)?.receive({kind: 'peer', from, message});
    });
  }

  /** Appends a record; calls `done` with undefined if no response arrives. */
  append(
    from: MemberId,
    data: DataCentreRecord,
    done: (offset: number | undefined) => void,
  ): void {
    const lossy = this.faultState.lossyLog.isOpen(this.time);
    const slow = this.faultState.slowLog.isOpen(this.time);
    const delay =
      slow && this.random() < 0.5
        ? this.randomBetween(APPEND_TIMEOUT_MS, 5000)
        : this.randomBetween(1, 10);
    if (this.isCutFromLog(from) || (lossy && this.random() < 0.3)) {
      this.queue.after(APPEND_TIMEOUT_MS, () => done(undefined));
      return;
    }
    if (delay >= APPEND_TIMEOUT_MS) {
      this.queue.after(APPEND_TIMEOUT_MS, () => done(undefined));
    }
    this.queue.after(delay, () => {
      const offset = this.storeRecord(data);
      if (delay >= APPEND_TIMEOUT_MS) return;
      const lost = offset === undefined || (lossy && this.random() < 0.4);
      const wait = lost ? APPEND_TIMEOUT_MS : this.randomBetween(1, 10);
      this.queue.after(wait, () => done(lost ? undefined : offset));
    });
  }

  /** Reads records; calls `done` with undefined if the log does not respond. */
  read(
    from: MemberId,
    position: number,
    done: (answer: LogReadResponse | undefined) => void,
  ): void {
    this.queue.after(this.randomBetween(1, 10), () => {
      if (this.isCutFromLog(from)) {
        this.queue.after(300, () => done(undefined));
        return;
      }
      const records = this.log.slice(position, position + 100);
      const atEnd = position + records.length === this.log.length;
      const slow = this.faultState.slowLog.isOpen(this.time);
      const delay = slow
        ? this.randomBetween(1, 1200)
        : this.randomBetween(1, 10);
      this.queue.after(delay, () => done({records, atEnd}));
    });
  }

  /** Requests the instance list; calls `done` with undefined on failure. */
  list(
    from: MemberId,
    done: (instances: readonly Instance[] | undefined) => void,
  ): void {
    const {faultState: faults, time} = this;
    const listed = faults.listEmpty.isOpen(time) ? [] : [...this.listed];
    const failed =
      faults.listOutage.isOpen(time) ||
      faults.cut(FaultState.listLink(from)).isOpen(time);
    this.queue.after(this.randomBetween(1, 20), () =>
      done(failed ? undefined : listed.map(instanceFor)),
    );
  }

  /** Processes that hold the lease now, each by its own clock. */
  leaseHolders(): SimulatedProcess[] {
    return [...this.processes.values()].filter(process => process.mayAct);
  }

  /**
   * Runs until `end`; checks after each event that at most one process holds
   * the lease.
   */
  runUntil(end: Millis): void {
    this.queue.runUntil(end, () => this.checkSingleHolder());
  }

  /**
   * Runs until exactly one process holds the lease; returns false if that does
   * not happen before `end`.
   */
  runUntilLeader(end: Millis): boolean {
    while (this.time < end) {
      this.runUntil(Math.min(end, this.time + 100));
      if (this.leaseHolders().length === 1) return true;
    }
    return false;
  }

  private checkSingleHolder(): void {
    const holders = this.leaseHolders();
    if (holders.length < 2) return;
    const names = holders.map(process => process.member).join(' and ');
    throw new Error(
      `${names} hold the lease at once.\n${this.trace.slice(-60).join('\n')}`,
    );
  }

  /** Stores a record and returns its offset; undefined during an outage. */
  private storeRecord(data: DataCentreRecord): number | undefined {
    if (this.faultState.logOutage.isOpen(this.time)) return undefined;
    const offset = this.log.length;
    this.log.push({offset, timeMs: this.time, data});
    if (data.kind === 'view') {
      this.addTrace(
        `log ${offset}: view ${data.leader} [${data.members.join(' ')}] ` +
          `base ${data.base} by ${data.writer}/${data.sequence}`,
      );
    }
    return offset;
  }

  private isCutFromLog(from: MemberId): boolean {
    return (
      this.faultState.logOutage.isOpen(this.time) ||
      this.faultState.cut(FaultState.logLink(from)).isOpen(this.time)
    );
  }

  /** Reports a peer connection to `process`, unless the link is cut then. */
  private connectPeer(process: SimulatedProcess, peer: SimulatedProcess): void {
    const link = FaultState.link(process.member, peer.member);
    this.queue.after(this.randomBetween(1, 300), () => {
      if (this.faultState.cut(link).isOpen(this.time) || peer.ended) return;
      process.receive({kind: 'peer-up', member: peer.member});
    });
  }

  private findProcess(member: MemberId): SimulatedProcess | undefined {
    for (const process of this.processes.values()) {
      if (process.member === member) return process;
    }
    return undefined;
  }
}

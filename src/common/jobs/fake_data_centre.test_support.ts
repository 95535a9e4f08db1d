import {MINUTE, Millis, SECOND} from '../base/clock.js';
import {EMPTY_CONFIGURATION} from '../tickets/types.js';
import {FakeCaller} from './fake_caller.test_support.js';
import {FakeNode} from './fake_node.test_support.js';
import {FakeRecord, FakeStream} from './fake_stream.test_support.js';
import {FakeWorker, ExecutionEvent} from './fake_worker.test_support.js';
import {Simulation} from './simulation.test_support.js';

/** Size of a run and the kinds of faults that occur in it. */
export interface Scenario {
  readonly seed: number;
  readonly workers: number;
  readonly jobs: number;
  /** Another node becomes the leader, or the leader starts a new view. */
  readonly takeovers: boolean;
  /** Nodes stop for 0.5 to 6 seconds. */
  readonly pauses: boolean;
  /** The log does not answer for 0.5 to 15 seconds. */
  readonly logOutages: boolean;
  /** Appends are lost or late. */
  readonly lostAppends: boolean;
  /** Answers of workers are lost. */
  readonly lostAnswers: boolean;
  /** Requests to workers and their answers take up to 5 seconds. */
  readonly lateMessages: boolean;
  /** Workers are killed and restart within 20 seconds. */
  readonly workerKills: boolean;
  /** Workers are cut off for up to 20 seconds, and instance lists are empty. */
  readonly partitions: boolean;
  /** Every task fails on two of the workers. */
  readonly failingWorkers: boolean;
  /** Some callers cancel their jobs. */
  readonly cancellations: boolean;
  /** The services of the workers have random slowdowns. */
  readonly interference: boolean;
}

/** Quota of each team; less than the workers have, so that it limits starts. */
export const TEAM_QUOTA = {processors: 5, memoryMb: 6000, accelerators: 2};

/** Instances that may lead. */
const NODE_COUNT = 3;

/** Keys that several instances claim. */
const CLAIM_KEY_COUNT = 10;

/** How long faults are injected. */
export const FAULT_PERIOD_MS: Millis = 60 * SECOND;

/** How long the data centre has after the faults to finish its jobs. */
export const RECOVERY_PERIOD_MS: Millis = 2 * MINUTE;

/** Interval of the loop of a node. */
const STEP_MS: Millis = 50;

/** Lease of the leader, 3 s less the 2% drift allowance. */
const LEASE_MS: Millis = 2940;

/** A data centre under a simulated clock, with faults from a seed. */
export class FakeDataCentre {
  readonly simulation: Simulation;
  /** Every start and end of a task, as the workers executed them. */
  readonly ledger: ExecutionEvent[] = [];
  readonly stream: FakeStream;
  readonly workers = new Map<string, FakeWorker>();
  readonly nodes: FakeNode[] = [];
  readonly callers: FakeCaller[] = [];
  /** Keys of the claims that were granted. */
  readonly grantedClaims: string[] = [];
  private readonly networkFaults = {
    lostAnswerProbability: 0,
    lateMessageProbability: 0,
  };
  /** Node that takes over once no node holds a lease. */
  private successor: FakeNode | undefined;
  /** Whether the leader was told to drain before it gives up its lease. */
  private isLeaderDraining = false;

  constructor(private readonly scenario: Scenario) {
    this.simulation = new Simulation(scenario.seed);
    this.stream = new FakeStream(this.simulation);
    for (let i = 0; i < scenario.workers; i++) this.addWorker(i);
    for (let i = 0; i < NODE_COUNT; i++) this.addNode(i);
    this.stream.records.push({kind: 'view', base: null, leader: 0});
    this.nodes[0].leaseEpoch = 0;
  }

  /** Runs the fault period and the recovery period. */
  run(): void {
    const {simulation, scenario} = this;
    for (const node of this.nodes) {
      simulation.after(node.index, () =>
        simulation.every(STEP_MS, () => node.runOnce()),
      );
    }
    simulation.every(SECOND, () => this.publishInstances());
    simulation.every(500, () => this.updateLeader());
    simulation.every(SECOND, () => this.injectFaults());
    this.networkFaults.lostAnswerProbability = scenario.lostAnswers ? 0.15 : 0;
    this.networkFaults.lateMessageProbability = scenario.lateMessages
      ? 0.08
      : 0;
    this.stream.lossProbability = scenario.lostAppends ? 0.2 : 0;
    this.stream.delayProbability = scenario.lostAppends ? 0.05 : 0;
    for (let i = 0; i < scenario.jobs; i++) this.addCaller(i);
    for (let i = 0; i < CLAIM_KEY_COUNT; i++) this.addClaimRequests(i);
    simulation.runUntil(FAULT_PERIOD_MS);
    this.stopMessageFaults();
    simulation.runUntil(FAULT_PERIOD_MS + RECOVERY_PERIOD_MS);
    for (const worker of this.workers.values()) worker.advance(simulation.now);
  }

  /** The node that leads by the last view, once it has read that view. */
  private get leader(): FakeNode | undefined {
    const {records} = this.stream;
    return this.nodes.find(({epoch}) => epoch === this.lastViewOffset(records));
  }

  private lastViewOffset(records: readonly FakeRecord[]): number {
    return records.findLastIndex(({kind}) => kind === 'view');
  }

  private addWorker(index: number): void {
    const {simulation} = this;
    const fields = {
      capacity: {processors: 4, memoryMb: 4000, accelerators: 1},
      rack: `r${index % 2}`,
      clockOffset: simulation.between(-1e6, 1e6),
      // Within the drift that the scheduler allows for (2%).
      clockRate: simulation.between(0.985, 1.015),
    };
    const worker = new FakeWorker(`w${index}`, fields, this.ledger);
    // A job fails for good once it has failed on three workers, so that at most
    // two workers may fail every task.
    if (this.scenario.failingWorkers && index < 2) {
      worker.failsAllTasks = true;
    }
    this.workers.set(worker.id, worker);
  }

  private addNode(index: number): void {
    const node = new FakeNode(
      index,
      this.simulation,
      this.stream,
      this.workers,
      this.networkFaults,
    );
    const quota = TEAM_QUOTA;
    const teams = {a: {quota, weight: 1}, b: {quota, weight: 2}};
    const configuration = {...EMPTY_CONFIGURATION, number: 1, teams};
    node.handle({kind: 'configuration', configuration});
    this.nodes.push(node);
  }

  private addCaller(index: number): void {
    const caller = new FakeCaller(index, this.simulation, this.nodes);
    this.callers.push(caller);
    const {simulation} = this;
    simulation.after(simulation.between(100, FAULT_PERIOD_MS / 2), () =>
      caller.submit(),
    );
    if (!this.scenario.cancellations || !simulation.chance(0.3)) return;
    simulation.after(simulation.between(1000, FAULT_PERIOD_MS), () =>
      caller.cancel(),
    );
  }

  /** Lets six instances claim the same key at random times. */
  private addClaimRequests(index: number): void {
    const {simulation} = this;
    const key = `claim-${index}`;
    for (let attempt = 0; attempt < 6; attempt++) {
      simulation.after(simulation.between(0, FAULT_PERIOD_MS), () => {
        const node = simulation.pick(this.nodes);
        const request = `${key}/${attempt}`;
        const instance = `i${attempt}`;
        node.sendRequest(
          request,
          {kind: 'claim', request, key, instance},
          answer =>
            answer.ifRight(value => {
              if (value.kind === 'claim' && value.claim.granted) {
                this.grantedClaims.push(key);
              }
            }),
        );
      });
    }
  }

  private publishInstances(): void {
    const instances = [...this.workers.values()].map(({instance}) => instance);
    const isListEmpty = this.scenario.partitions && this.simulation.chance(0.1);
    const list = isListEmpty ? [] : instances;
    for (const node of this.nodes) {
      node.deliver({kind: 'instances', instances: list});
    }
  }

  /** Renews the leader's lease, or appoints the successor once it has ended. */
  private updateLeader(): void {
    const {simulation, stream} = this;
    const {leader} = this;
    if (this.successor === undefined) {
      if (leader === undefined) return;
      if (simulation.now >= leader.pausedUntil) {
        leader.leaseUntil = simulation.now + LEASE_MS;
      }
      return;
    }
    if (this.isLeaderDraining && leader?.scheduler.unconfirmedStarts === 0) {
      leader.leaseUntil = simulation.now;
    }
    const isLeaseHeld = this.nodes.some(
      node => simulation.now < node.leaseUntil,
    );
    if (isLeaseHeld || !stream.available) return;
    const base = this.lastViewOffset(stream.records);
    const {index} = this.successor;
    stream.records.push({kind: 'view', base, leader: index});
    this.successor.leaseUntil = simulation.now + LEASE_MS;
    this.successor.leaseEpoch = stream.records.length - 1;
    this.successor = undefined;
    this.isLeaderDraining = false;
  }

  /** Injects the faults of the scenario at random. */
  private injectFaults(): void {
    const {simulation, scenario} = this;
    if (simulation.now >= FAULT_PERIOD_MS) return;
    if (scenario.takeovers && simulation.chance(0.12)) this.changeLeader();
    if (scenario.pauses && simulation.chance(0.1)) {
      const node = simulation.pick(this.nodes);
      node.pausedUntil = simulation.now + simulation.between(500, 6000);
    }
    if (scenario.logOutages && simulation.chance(0.06)) this.startLogOutage();
    if (scenario.workerKills && simulation.chance(0.06)) this.killWorker();
    if (scenario.partitions && simulation.chance(0.08)) this.disconnectWorker();
    if (scenario.interference) this.reportInterference();
  }

  /** Starts a takeover by another node, or a new view of the same leader. */
  private changeLeader(): void {
    const {simulation, leader} = this;
    if (this.successor !== undefined || leader === undefined) return;
    if (simulation.chance(0.3)) {
      if (this.stream.available) leader.changeMembers();
      return;
    }
    const others = this.nodes.filter(node => node !== leader);
    this.successor = simulation.pick(others);
    this.isLeaderDraining = simulation.chance(0.4);
    if (this.isLeaderDraining) leader.deliver({kind: 'drain'});
  }

  private startLogOutage(): void {
    const {simulation, stream} = this;
    if (!stream.available) return;
    stream.available = false;
    simulation.after(simulation.between(500, 15_000), () => {
      stream.available = true;
    });
  }

  private killWorker(): void {
    const {simulation} = this;
    const worker = simulation.pick([...this.workers.values()]);
    if (!worker.isUp) return;
    worker.kill(simulation.now);
    simulation.after(simulation.between(100, 20_000), () => worker.restart());
  }

  private disconnectWorker(): void {
    const {simulation} = this;
    const worker = simulation.pick([...this.workers.values()]);
    if (!worker.isConnected) return;
    worker.isConnected = false;
    simulation.after(simulation.between(100, 20_000), () => {
      worker.isConnected = true;
    });
  }

  /** Sends the nodes a random slowdown of each worker. */
  private reportInterference(): void {
    const {simulation} = this;
    for (const {id} of this.workers.values()) {
      const message = {
        kind: 'interference',
        worker: id,
        slowdown: simulation.between(1, 1.8),
        measuredAt: simulation.now - simulation.between(100, 3000),
      } as const;
      for (const node of this.nodes) node.deliver(message);
    }
  }

  /** Ends the loss and delay of appends, requests and answers. */
  private stopMessageFaults(): void {
    this.stream.lossProbability = 0;
    this.stream.delayProbability = 0;
    this.networkFaults.lostAnswerProbability = 0;
    this.networkFaults.lateMessageProbability = 0;
  }
}

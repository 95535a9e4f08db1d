import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {Either, Left, Right} from 'purify-ts';
import {Clock, Millis, SECOND} from '../../common/base/clock.js';
import {
  AppendPace,
  AppendReport,
} from '../../common/batch/admission/append_pace.js';
import {JobAdmission} from '../../common/batch/admission/job_admission.js';
import {JobCaller} from '../../common/batch/admission/job_memory.js';
import {leastJobMemory} from '../../common/batch/admission/job_memory_limit.js';
import {CostMeter, CostPart} from '../../common/batch/cost_meter.js';
import {ProcessUsage} from '../../common/batch/cost_report.js';
import {
  ProcessIdentity,
  replacesProcess,
} from '../../common/batch/earlier_authority.js';
import {ViewAges} from '../../common/batch/explain/explanation.js';
import {EvacuationOrder} from '../../common/batch/evacuation/evacuated_data_centres.js';
import {isWeaker} from '../../common/batch/election.js';
import {
  InstanceRecord,
  isFinal,
  LAYOUT_KEY,
  RecordKind,
} from '../../common/batch/job_records.js';
import {
  isStoreReachable,
  LONG_POLL_TIMEOUT_MS,
} from '../../common/batch/isolation/store_contact.js';
import {hasOwner, JobView, KnownJob} from '../../common/batch/job_view.js';
import {Scheduler} from '../../common/batch/scheduler.js';
import {
  DecisionLog,
  SchedulerTimings,
} from '../../common/batch/scheduler_state.js';
import {ShardLoad, WHOLE_FLEET} from '../../common/batch/shard_layout.js';
import {
  KeyedLog,
  KeyedRecord,
  ReadResult,
  StoredRecord,
  Topic,
} from '../../common/batch/store.js';
import {
  BatchConfiguration,
  JobShape,
  Queue,
  WorkerListing,
} from '../../common/batch/types.js';
import {EvacuationLog} from './evacuation_log.js';
import {Forwarder} from './intake/forwarder.js';
import {IntakePath} from './intake/intake_path.js';
import {JobIntake} from './intake/job_intake.js';
import {NeighbourService} from './intake/neighbour_api.js';
import {ForwardedWrite} from './intake/neighbour_messages.js';
import {NeighbourTransport} from './intake/neighbour_transport.js';
import {Rejections} from './intake/rejections.js';
import {IntakeWriter} from './intake_writer.js';
import {IntakeResult} from './pending_write.js';
import {JobLookup, JobStatus, LogUnavailableError} from './job_lookup.js';
import {LogTail, LogTailListener} from './log_tail.js';
import {RelayedWorkerCalls} from './relayed_worker_calls.js';
import {ShardRole} from './shard_role.js';
import {ShardRoleHost} from './shard_role_host.js';
import {SpecLoader} from './spec_loader.js';
import {Term} from './term.js';
import {WorkerList} from './worker_list.js';

/**
 * Minimum interval between two reads of a topic; the scheduler reads the intake
 * without one. Queries that need more recent records read on their own.
 * Heartbeats of the scheduler must be read well within the time after which it
 * counts as failed.
 */
const STATES_READ_INTERVAL_MS: Millis = 250;
const INTAKE_READ_INTERVAL_MS: Millis = 600;
const WORKERS_READ_INTERVAL_MS: Millis = 300;

/** Interval of the checks whether to claim the scheduler role. */
const ELECTION_PERIOD_MS: Millis = 100;

/** Timeout of an append of the instance's record, and delay before a retry. */
const ANNOUNCE_TIMEOUT_MS: Millis = 2 * SECOND;

/** Interval of the checks whether the topics are loaded. */
const LOAD_CHECK_INTERVAL_MS: Millis = 10;

/** Earlier processes that an instance tells of, at most. */
const MAX_ENDED_PROCESSES = 8;

/** Age of a scheduler's last record up to which its load counts as known. */
const MAX_LOAD_AGE_MS: Millis = 3 * SECOND;

/** Decodes records that the operator and the workers write. */
export interface RecordDecoder {
  /** Returns undefined for a record that isn't a valid configuration. */
  configuration(record: KeyedRecord): BatchConfiguration | undefined;
  /** Returns undefined for an entry that doesn't describe a valid worker. */
  worker(record: KeyedRecord): WorkerListing | undefined;
  /** Returns undefined for a record that is not about an evacuation. */
  evacuation(record: KeyedRecord): EvacuationOrder | undefined;
}

/** Settings and collaborators of an instance. */
export interface BatchInstanceDependencies {
  readonly name: string;
  readonly log: KeyedLog;
  /** Creates the client by which the scheduler of a term calls workers. */
  readonly createWorkerCalls: () => RelayedWorkerCalls;
  readonly decoder: RecordDecoder;
  readonly clock: Clock;
  readonly wallClock: Clock;
  /** Clock for the end of this instance's permissions. */
  readonly permissionClock: Clock;
  readonly decisions: DecisionLog;
  /** Returns the durations that apply to the next term. */
  readonly timings: () => SchedulerTimings;
  /** Delay of this instance's claims; differs so that claims don't collide. */
  readonly claimDelayMs: Millis;
  /** What this instance tells the others about itself. */
  readonly announcement: InstanceRecord;
  /** Measures what the scheduler spends its time on. */
  readonly costs: CostMeter;
  readonly processUsage: ProcessUsage;
  /**
   * Sends requests to other instances. Without it, or without a relay address
   * of its own, the instance does not forward.
   */
  readonly transport?: NeighbourTransport;
  /** Reads specifications that are not kept. Without it, all are kept. */
  readonly specs?: SpecLoader;
}

/**
 * An instance of the system: answers callers from its replica of the log,
 * appends their jobs and cancellations, and runs the schedulers of the shards
 * whose scheduler role it holds.
 */
export class BatchInstance implements NeighbourService {
  /** Latest configuration of the operator; undefined before it is read. */
  configuration: BatchConfiguration | undefined;
  readonly view: JobView;
  private readonly evacuations: EvacuationLog;
  /** Listed workers; kept up to date only during a term. */
  private readonly workers: WorkerList;
  readonly lookup: JobLookup;
  readonly rejections: Rejections;
  /** Decides which jobs there is memory for. */
  readonly admission: JobAdmission;
  private readonly jobIntake: JobIntake;
  private readonly intake: IntakeWriter;
  /** Undefined if this instance does not forward. */
  private readonly forwarder: Forwarder | undefined;
  private readonly intakePath: IntakePath;
  private readonly pace = new AppendPace(() => this.view.instances.size);
  /** Tells this process apart from all others. */
  private readonly identity: ProcessIdentity;
  /** Earlier processes of this instance, which have ended. */
  private endedIncarnations: readonly string[] = [];
  private readonly statesTail: LogTail;
  private readonly intakeTail: LogTail;
  /** Keys of the intake's newest records whose jobs were not passed on yet. */
  private loadedKeys: string[] = [];
  private readonly operatorTail: LogTail;
  private readonly workersTail: LogTail;
  /** Parts of this instance in the shards, by shard. */
  private readonly roles = new Map<string, ShardRole>();
  private readonly roleHost: ShardRoleHost;
  private stopping = false;

  constructor(private readonly dependencies: BatchInstanceDependencies) {
    const {log, clock, decisions, name, announcement} = dependencies;
    this.identity = {
      instance: name,
      incarnation: randomBytes(6).toString('hex'),
      address: announcement.relayAddress,
    };
    this.admission = this.createAdmission();
    this.view = new JobView(
      (key, error) =>
        decisions.decide('record-fault', {key, error: String(error)}),
      this.admission.memory,
      () => this.specMemoryBytes,
    );
    this.intake = new IntakeWriter(
      log,
      clock,
      record => this.onIntake([record]),
      () => this.intakeTail.consecutiveFailures,
      this.pace,
    );
    this.forwarder = this.createForwarder();
    this.intakePath = this.createIntakePath();
    this.jobIntake = this.createJobIntake();
    this.statesTail = this.createTail(
      Topic.STATES,
      () => STATES_READ_INTERVAL_MS,
      (records, isReset) => this.onStates(records, isReset),
      {onRead: succeeded => this.onStatesRead(succeeded)},
    );
    this.intakeTail = this.createIntakeTail();
    this.evacuations = this.createEvacuations();
    this.operatorTail = this.createOperatorTail();
    this.workersTail = this.createTail(
      Topic.WORKERS,
      () => WORKERS_READ_INTERVAL_MS,
      (records, isReset) =>
        dependencies.costs.measure(
          CostPart.LIST,
          () => this.onWorkers(records, isReset),
          records.length,
        ),
    );
    this.workers = new WorkerList(
      record => dependencies.decoder.worker(record),
      (key, error) => this.onFault(`worker entry ${key}`, error),
    );
    this.roleHost = {
      ...dependencies,
      identity: this.identity,
      view: this.view,
      workers: this.workers,
      statesTail: this.statesTail,
      intakeTail: this.intakeTail,
      workersTail: this.workersTail,
      operatorTail: this.operatorTail,
      evacuated: this.evacuations.evacuated,
      configuration: () => this.configuration!,
      loads: () => this.shardLoads(),
      isStopping: () => this.stopping,
      onRoleChange: () => this.onRoleChange(),
    };
    this.addRole(WHOLE_FLEET);
    this.lookup = this.createLookup();
    this.rejections = this.createRejections();
  }

  /** Whether this instance can serve callers. */
  get isReady(): boolean {
    return !this.stopping && this.isLoaded && this.isLogReadable;
  }

  private get isLogReadable(): boolean {
    const tails = [this.statesTail, this.intakeTail, this.operatorTail];
    const readsAt = tails.map(({syncedAt}) => syncedAt);
    return isStoreReachable(readsAt, this.dependencies.clock.now());
  }

  /** Whether the configuration and the job topics have been read once. */
  private get isLoaded(): boolean {
    return this.configuration !== undefined && this.areTopicsLoaded;
  }

  private get areTopicsLoaded(): boolean {
    return this.statesTail.isLoaded && this.intakeTail.isLoaded;
  }

  /** Whether this instance is the scheduler of a shard. */
  get isScheduler(): boolean {
    return this.terms().next().value !== undefined;
  }

  /** Jobs for which the schedulers of this instance have no memory yet. */
  get deferredJobs(): number {
    let count = 0;
    for (const {scheduler} of this.terms()) {
      count += scheduler.deferredJobs.size;
    }
    return count;
  }

  private *terms(): Generator<Term> {
    for (const {term} of this.roles.values()) if (term) yield term;
  }

  /** Term of the scheduler that owns a job; undefined if it is elsewhere. */
  private writerOf(id: string): Term | undefined {
    const job = this.view.jobs.get(id);
    if (job === undefined || !this.isScheduler) return undefined;
    const term = this.roles.get(this.view.ownerOf(job))?.term;
    return term?.scheduler.isLeaving(id) ? undefined : term;
  }

  get name(): string {
    return this.dependencies.name;
  }

  /** `host:port` at which other instances reach this one, if they do. */
  get relayAddress(): string | undefined {
    return this.identity.address;
  }

  /** Scheduler of a shard, if this instance has it. */
  schedulerFor(shard: string): Scheduler | undefined {
    return this.roles.get(shard)?.term?.scheduler;
  }

  /** Ages of what this instance has read from the store. */
  viewAges(): ViewAges {
    const {clock, permissionClock} = this.dependencies;
    const now = clock.now();
    return {
      configurationVersion: this.configuration?.version ?? null,
      configurationMs: ageOf(this.operatorTail, permissionClock.now()),
      intakeMs: ageOf(this.intakeTail, now),
      statesMs: ageOf(this.statesTail, now),
      workerListMs: this.isScheduler ? ageOf(this.workersTail, now) : null,
    };
  }

  /** Loads of the shards whose schedulers have stored a record lately. */
  private shardLoads(): ReadonlyMap<string, ShardLoad> {
    const now = this.dependencies.clock.now();
    const loads = new Map<string, ShardLoad>();
    for (const [shard, {election}] of this.roles) {
      const load = this.view.schedulerOf(shard)?.load;
      if (load === undefined || election.silence(now) > MAX_LOAD_AGE_MS) {
        continue;
      }
      loads.set(shard, load);
    }
    return loads;
  }

  private addRole(shard: string): void {
    const {claimDelayMs, clock} = this.dependencies;
    const role = new ShardRole(shard, this.roleHost, claimDelayMs);
    // The scheduler's record may have been read before the layout.
    const known = this.view.schedulerOf(shard);
    if (known !== undefined) role.election.onHeartbeat(known, clock.now());
    this.roles.set(shard, role);
  }

  start(): void {
    for (const tail of this.tails()) void tail.run();
    this.workersTail.pause();
    void this.announce();
    void this.runElections();
  }

  /** Publishes what elections, relays and the end of authority depend on. */
  private async announce(): Promise<void> {
    const {name, announcement, clock, decisions} = this.dependencies;
    // The record of the process before is replaced, so it is read first.
    while (!this.stopping && !this.areTopicsLoaded) {
      await sleep(LOAD_CHECK_INTERVAL_MS);
    }
    const {incarnation} = this.identity;
    this.endedIncarnations = this.findEndedProcesses();
    const {endedIncarnations} = this;
    const record = {...announcement, incarnation, endedIncarnations};
    while (!this.stopping) {
      const deadline = clock.now() + ANNOUNCE_TIMEOUT_MS;
      const result = await this.intake.announce(name, record, deadline);
      decisions.decide('announce', {...record, result});
      if (result === IntakeResult.STORED) return;
      await sleep(ANNOUNCE_TIMEOUT_MS);
    }
  }

  /**
   * Earlier processes of this instance, as far as they are known: if they were
   * schedulers, they grant no more leases.
   */
  private findEndedProcesses(): string[] {
    const {instance, incarnation} = this.identity;
    const ended = new Set(this.endedIncarnations);
    const schedulers = [...this.roles.keys()].map(shard =>
      this.view.schedulerOf(shard),
    );
    const known = this.view.instances.get(instance);
    const former = known?.incarnation && {
      instance,
      incarnation: known.incarnation,
      address: known.relayAddress,
    };
    for (const other of [former, ...schedulers]) {
      if (!other || !replacesProcess(this.identity, other)) continue;
      ended.add(other.incarnation);
      if (other !== former) continue;
      for (const earlier of known?.endedIncarnations ?? []) ended.add(earlier);
    }
    ended.delete(incarnation);
    return [...ended].slice(0, MAX_ENDED_PROCESSES);
  }

  /** Reports not ready, resigns from its role and makes no more claims. */
  stop(): void {
    this.stopping = true;
    for (const term of this.terms()) term.resign();
    const {name, clock} = this.dependencies;
    void this.intake.withdraw(name, clock.now() + ANNOUNCE_TIMEOUT_MS);
  }

  /** Stops, and reads the log no more. */
  dispose(): void {
    this.stop();
    for (const tail of this.tails()) tail.stop();
  }

  /** See `JobIntake.submit`. */
  submit(
    queue: Queue,
    id: string,
    shape: JobShape,
    deadline: Millis,
    caller?: JobCaller,
  ): Promise<IntakeResult> {
    return this.jobIntake.submit(queue, id, shape, deadline, caller);
  }

  /** Whether no record of the log could hold the progress of a job. */
  isTooLarge(shape: JobShape): boolean {
    return this.jobIntake.isTooLarge(shape);
  }

  /**
   * Cancels a job; undefined if there is none. A job in a final phase stays as
   * it is.
   */
  async cancel(
    id: string,
    deadline: Millis,
  ): Promise<Either<LogUnavailableError, IntakeResult | undefined>> {
    const known = await this.lookup.status(id);
    return known
      .map(async status => {
        if (status === undefined) return undefined;
        if (isFinal(status.phase)) return IntakeResult.STORED;
        const key = RecordKind.CANCELLATION + id;
        const record = {key, value: Uint8Array.of(1)};
        return this.intakePath.store(record, deadline);
      })
      .caseOf<Promise<Either<LogUnavailableError, IntakeResult | undefined>>>({
        Left: error => Promise.resolve(Left(error)),
        Right: async result => Right(await result),
      });
  }

  get maxRecordBytes(): number {
    return this.dependencies.log.limits.recordBytes;
  }

  storeForwarded(
    record: KeyedRecord,
    deadline: Millis,
    sender: AppendReport,
  ): Promise<ForwardedWrite> {
    return this.jobIntake.storeForwarded(record, deadline, sender);
  }

  onSlowStore(collector: AppendReport, isConfirmed: boolean): void {
    this.intakePath.onSlowStore(collector, isConfirmed);
  }

  lookUpForwarded(
    id: string,
  ): Promise<Either<LogUnavailableError, JobStatus | undefined>> {
    return this.lookup.statusHere(id);
  }

  private createAdmission(): JobAdmission {
    const {clock, announcement} = this.dependencies;
    return new JobAdmission({
      now: () => clock.now(),
      limitBytes: () =>
        leastJobMemory([announcement, ...this.view.instances.values()]),
      instances: () => this.view.instances.size,
    });
  }

  private createForwarder(): Forwarder | undefined {
    const {name, announcement, transport, clock, decisions} = this.dependencies;
    const {relayAddress, dataCentre = ''} = announcement;
    if (transport === undefined || relayAddress === undefined) return undefined;
    return new Forwarder({
      name,
      dataCentre,
      transport,
      clock,
      decisions,
      instances: () => this.view.instances,
      schedulers: () => this.schedulers(),
      pace: this.pace,
    });
  }

  private createLookup(): JobLookup {
    const {forwarder} = this;
    return new JobLookup({
      view: this.view,
      intakeTail: this.intakeTail,
      statesTail: this.statesTail,
      clock: this.dependencies.clock,
      writer: job => this.writerOf(job),
      askNeighbour: forwarder?.lookUp.bind(forwarder),
    });
  }

  private createRejections(): Rejections {
    return new Rejections({
      clock: this.dependencies.clock,
      writer: this.intake,
      intakeTail: this.intakeTail,
      forwarder: this.forwarder,
      pace: this.pace,
      configuration: () => this.configuration,
      admission: this.admission,
    });
  }

  private createIntakePath(): IntakePath {
    const {clock, decisions} = this.dependencies;
    return new IntakePath({
      writer: this.intake,
      forwarder: this.forwarder,
      pace: this.pace,
      clock,
      decisions,
      probe: () => this.canReadIntake(),
      onStored: record => this.onIntake([record]),
    });
  }

  /** Memory of jobs beyond which their specifications are not kept. */
  private get specMemoryBytes(): number {
    const {specs, announcement} = this.dependencies;
    if (specs === undefined) return Infinity;
    return announcement.jobMemoryBytes ?? Infinity;
  }

  private createJobIntake(): JobIntake {
    const {wallClock, decisions, log} = this.dependencies;
    return new JobIntake({
      view: this.view,
      path: this.intakePath,
      admission: this.admission,
      wallClock,
      decisions,
      recordBytes: log.limits.recordBytes,
    });
  }

  private createIntakeTail(): LogTail {
    return this.createTail(
      Topic.INTAKE,
      () => (this.isScheduler ? 0 : INTAKE_READ_INTERVAL_MS),
      records => this.onIntakeRead(records),
      {
        onPage: records => this.onIntakePage(records),
        onEndReached: () => this.admission.onIntakeRead(),
      },
    );
  }

  /** Whether a read of the intake, without waiting for records, succeeds. */
  private async canReadIntake(): Promise<boolean> {
    const from = Math.max(0, this.intakeTail.nextOffset);
    const {result} = await this.dependencies.log.read(Topic.INTAKE, from, 0);
    return result !== ReadResult.FAILED;
  }

  /** Instances that have a scheduler, in the order of the shards. */
  private schedulers(): readonly string[] {
    return this.view.layout.shards.flatMap(shard => {
      const record = this.view.schedulerOf(shard);
      return record === undefined || record.resigned ? [] : record.instance;
    });
  }

  private createTail(
    topic: Topic,
    intervalMs: () => Millis,
    onRecords: LogTailListener['onRecords'],
    listener: Partial<LogTailListener> = {},
    clock = this.dependencies.clock,
  ): LogTail {
    return new LogTail(
      this.dependencies.log,
      topic,
      clock,
      {waitMs: LONG_POLL_TIMEOUT_MS, intervalMs},
      {
        onRecords,
        onRead: () => {},
        onFault: error => this.onFault(`tail of ${topic}`, error),
        ...listener,
      },
    );
  }

  /** The age of what it has read is counted like a permission. */
  private createOperatorTail(): LogTail {
    return this.createTail(
      Topic.OPERATOR,
      () => 0,
      (records, isReset) => this.onOperator(records, isReset),
      {onEndReached: sentAt => this.evacuations.evacuated.confirm(sentAt)},
      this.dependencies.permissionClock,
    );
  }

  private createEvacuations(): EvacuationLog {
    const {decoder, clock, decisions} = this.dependencies;
    return new EvacuationLog({
      decode: record => decoder.evacuation(record),
      clock,
      decisions,
      schedulers: () => [...this.terms()].map(({scheduler}) => scheduler.state),
    });
  }

  private tails(): readonly LogTail[] {
    return [
      this.statesTail,
      this.intakeTail,
      this.operatorTail,
      this.workersTail,
    ];
  }

  private onStates(records: readonly KeyedRecord[], isReset: boolean): void {
    const now = this.dependencies.clock.now();
    const beats = new Set<string>();
    if (isReset) this.view.beginStates();
    for (const record of records) {
      this.view.apply(record, now, isReset);
      if (record.key[0] === RecordKind.SCHEDULER) {
        beats.add(record.key.slice(1));
      } else if (record.key[0] === RecordKind.STATE) {
        this.onStateRecord(record.key.slice(1));
      }
    }
    for (const shard of beats) {
      const record = this.view.schedulerOf(shard);
      this.roles.get(shard)?.election.onHeartbeat(record, now);
    }
  }

  /**
   * The end of a job ends its detached tasks, in whatever shards they are, and
   * one that was given up ends its job.
   */
  private onStateRecord(id: string): void {
    if (!this.isScheduler) return;
    const known = this.view.find(id);
    if (known?.state === undefined || !isFinal(known.state.phase)) return;
    const job = this.view.jobs.get(known.detached?.job ?? id);
    if (job?.detachedTasks !== undefined) this.onJobChange(job);
  }

  private onStatesRead(succeeded: boolean): void {
    const now = this.dependencies.clock.now();
    for (const {election} of this.roles.values()) {
      if (succeeded) election.onLogReadable(now);
      else election.onLogUnreadable();
    }
  }

  /** Applies a part of the newest records of the intake. */
  private onIntakePage(records: readonly KeyedRecord[]): void {
    const now = this.dependencies.clock.now();
    for (const record of records) {
      this.view.apply(record, now);
      this.loadedKeys.push(record.key);
    }
  }

  /** Handles what the tail has read, and what it has passed on before. */
  private onIntakeRead(records: readonly KeyedRecord[]): void {
    const {loadedKeys} = this;
    this.loadedKeys = [];
    this.onIntake(records, loadedKeys);
  }

  /** @param appliedKeys keys of records that were applied before. */
  private onIntake(
    records: readonly KeyedRecord[],
    appliedKeys: readonly string[] = [],
  ): void {
    const now = this.dependencies.clock.now();
    // A job must not be taken before a later record tells that a task has left
    // it; earlier records of the task may have been replaced.
    for (const record of records) this.view.apply(record, now);
    for (const key of [...appliedKeys, ...records.map(({key}) => key)]) {
      try {
        this.onIntakeRecord(key);
      } catch (error) {
        this.onFault(`record ${key}`, error);
      }
    }
    for (const term of this.terms()) term.signal();
  }

  private onIntakeRecord(key: string): void {
    if (key[0] === RecordKind.INSTANCE) this.onInstance(key);
    if (key === LAYOUT_KEY) this.onLayout();
    if (!this.isScheduler) return;
    const job = this.view.find(key.slice(1));
    if (job !== undefined) this.onJobChange(job);
  }

  /** Passes a job that was read, and its detached tasks, to their owners. */
  private onJobChange(job: KnownJob): void {
    for (const known of [job, ...(job.detachedTasks?.values() ?? [])]) {
      if (!hasOwner(known)) continue;
      this.roles.get(this.view.ownerOf(known))?.onJob(known);
    }
  }

  /** Takes part in the shards of a new layout, and in no others. */
  private onLayout(): void {
    const {shards} = this.view.layout;
    this.dependencies.decisions.decide('layout', {shards});
    for (const [shard, {term}] of [...this.roles]) {
      if (shards.includes(shard)) continue;
      term?.resign();
      this.roles.delete(shard);
    }
    for (const shard of shards) {
      if (!this.roles.has(shard)) this.addRole(shard);
    }
    this.updateWeakness();
    this.onStatesRead(true);
  }

  private updateWeakness(): void {
    const {processors} = this.dependencies.announcement;
    const all = [...this.view.instances.values()];
    const isWeak = isWeaker(
      processors,
      all.map(record => record.processors),
    );
    for (const {election} of this.roles.values()) election.setWeak(isWeak);
  }

  private onRoleChange(): void {
    const active = [...this.roles.values()].filter(({isActive}) => isActive);
    for (const role of this.roles.values()) {
      role.election.setBusy(active.some(other => other !== role));
    }
    if (active.length === 0) this.workersTail.pause();
  }

  /** Logs an error that ends only what it occurred in. */
  private onFault(part: string, error: unknown): void {
    const text = error instanceof Error ? error.stack : String(error);
    this.dependencies.decisions.decide('fault', {part, error: text});
  }

  /** Resigns when an instance with far more processors has announced itself. */
  private onInstance(key: string): void {
    const {name, decisions} = this.dependencies;
    const {processors} = this.dependencies.announcement;
    const {instances} = this.view;
    this.updateWeakness();
    const other = key.slice(1);
    for (const role of this.roles.values()) role.onInstance();
    const announced = instances.get(other)?.processors;
    if (announced === undefined) {
      // The withdrawal of an earlier process under this name was stored late.
      if (other === name && !this.stopping) void this.announce();
      return;
    }
    if (!this.isScheduler || !isWeaker(processors, [announced])) return;
    decisions.decide('yield', {processors, to: other, has: announced});
    for (const term of this.terms()) term.resign();
  }

  private onOperator(records: readonly StoredRecord[], isReset: boolean): void {
    if (this.evacuations.apply(records, isReset)) {
      for (const term of this.terms()) term.signal();
    }
    for (const record of records) {
      const configuration = this.dependencies.decoder.configuration(record);
      if (configuration === undefined) continue;
      if (configuration.version <= (this.configuration?.version ?? -1)) {
        continue;
      }
      this.configuration = configuration;
      this.dependencies.decisions.decide('configuration', {
        version: configuration.version,
        queues: configuration.queues.length,
      });
      for (const term of this.terms()) {
        term.scheduler.onConfiguration(configuration);
      }
    }
  }

  private onWorkers(records: readonly KeyedRecord[], isReset: boolean): void {
    this.workers.apply(records, isReset);
    for (const role of this.roles.values()) role.onWorkers(this.workers.byId);
  }

  private async runElections(): Promise<void> {
    while (!this.stopping) {
      await sleep(ELECTION_PERIOD_MS);
      if (!this.isLoaded) continue;
      for (const role of [...this.roles.values()]) {
        if (role.isClaimDue) void role.claim();
      }
    }
  }
}

/** Time since the last read of a topic, in ms; null before the first. */
function ageOf({syncedAt}: LogTail, now: Millis): Millis | null {
  return syncedAt === -Infinity ? null : Math.round(now - syncedAt);
}

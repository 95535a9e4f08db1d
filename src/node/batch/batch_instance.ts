import {randomBytes, randomInt} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {Either, Left, Right} from 'purify-ts';
import {Clock, Millis, SECOND} from '../../common/base/clock.js';
import {CostMeter, CostPart} from '../../common/batch/cost_meter.js';
import {CostReport, ProcessUsage} from '../../common/batch/cost_report.js';
import {Election, isWeaker} from '../../common/batch/election.js';
import {
  InstanceRecord,
  isFinal,
  packRecord,
  RecordKind,
  SCHEDULER_KEY,
  SchedulerRecord,
} from '../../common/batch/job_records.js';
import {JobView} from '../../common/batch/job_view.js';
import {Scheduler} from '../../common/batch/scheduler.js';
import {
  DecisionLog,
  SchedulerState,
  SchedulerTimings,
} from '../../common/batch/scheduler_state.js';
import {
  AppendResult,
  KeyedLog,
  KeyedRecord,
  StoredRecord,
  Topic,
} from '../../common/batch/store.js';
import {
  BatchConfiguration,
  JobShape,
  Queue,
  WorkerListing,
} from '../../common/batch/types.js';
import {IntakeWriter} from './intake_writer.js';
import {IntakeResult} from './pending_write.js';
import {JobLookup, LogUnavailableError} from './job_lookup.js';
import {FencedWriter, WRITER_NAME} from './fenced_writer.js';
import {LogTail} from './log_tail.js';
import {MeteredWorkerCalls} from './metered_worker_calls.js';
import {RelayedWorkerCalls} from './relayed_worker_calls.js';
import {RoleWriter} from './role_writer.js';
import {Takeover} from './takeover.js';
import {WorkerList} from './worker_list.js';
import {Term, TermEndReason} from './term.js';

/**
 * Minimum interval between two reads of a topic; the scheduler reads the intake
 * without one. Queries that need more recent records read on their own.
 * Heartbeats of the scheduler must be read well within the time after which it
 * counts as failed.
 */
const STATES_READ_INTERVAL_MS: Millis = 250;
const INTAKE_READ_INTERVAL_MS: Millis = 600;
const WORKERS_READ_INTERVAL_MS: Millis = 300;

/**
 * Longest time that the store may hold a read without records; a connection
 * that doesn't respond is noticed after it.
 */
const LONG_POLL_TIMEOUT_MS: Millis = 1 * SECOND;

/** Time without a successful read after which the instance isn't ready. */
const MAX_READ_GAP_MS: Millis = 3 * SECOND;

/** Interval of the checks whether to claim the scheduler role. */
const ELECTION_PERIOD_MS: Millis = 100;

/** Timeout of an append of the instance's record, and delay before a retry. */
const ANNOUNCE_TIMEOUT_MS: Millis = 2 * SECOND;

/** Timeout of the append that claims the scheduler role. */
const CLAIM_TIMEOUT_MS: Millis = 800;

/**
 * The first sequence number of a term is random and below this, so that two
 * instances that claim the same epoch use different numbers.
 */
const FIRST_SEQUENCE_LIMIT = 2 ** 30;

/** Decodes records that the operator and the workers write. */
export interface RecordDecoder {
  /** Returns undefined for a record that isn't a valid configuration. */
  configuration(record: KeyedRecord): BatchConfiguration | undefined;
  /** Returns undefined for an entry that doesn't describe a valid worker. */
  worker(record: KeyedRecord): WorkerListing | undefined;
}

/** Settings and collaborators of an instance. */
export interface BatchInstanceDependencies {
  readonly name: string;
  readonly log: KeyedLog;
  readonly workerClient: RelayedWorkerCalls;
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
}

/**
 * An instance of the system: answers callers from its replica of the log,
 * appends their jobs and cancellations, and runs the scheduler while it holds
 * the scheduler role.
 */
export class BatchInstance {
  /** Latest configuration of the operator; undefined before it is read. */
  configuration: BatchConfiguration | undefined;
  readonly view: JobView;
  /** Listed workers; kept up to date only during a term. */
  private readonly workers: WorkerList;
  readonly lookup: JobLookup;
  private readonly intake: IntakeWriter;
  private readonly election: Election;
  /** Tells this process apart from earlier ones under the same name. */
  private readonly incarnation = randomBytes(6).toString('hex');
  private readonly statesTail: LogTail;
  private readonly intakeTail: LogTail;
  private readonly operatorTail: LogTail;
  private readonly workersTail: LogTail;
  private readonly takeover: Takeover;
  /** Current term; undefined unless this instance is the scheduler. */
  private term: Term | undefined;
  private stopping = false;

  constructor(private readonly dependencies: BatchInstanceDependencies) {
    const {log, clock, claimDelayMs, decisions} = dependencies;
    this.view = new JobView((key, error) =>
      decisions.decide('record-fault', {key, error: String(error)}),
    );
    this.intake = new IntakeWriter(
      log,
      clock,
      record => this.onIntake([record]),
      () => this.intakeTail.consecutiveFailures,
    );
    this.election = new Election(this.incarnation, claimDelayMs, clock.now());
    this.statesTail = this.createTail(
      Topic.STATES,
      () => STATES_READ_INTERVAL_MS,
      records => this.onStates(records),
      succeeded => this.onStatesRead(succeeded),
    );
    this.intakeTail = this.createTail(
      Topic.INTAKE,
      () => (this.term ? 0 : INTAKE_READ_INTERVAL_MS),
      records => this.onIntake(records),
    );
    this.operatorTail = this.createTail(
      Topic.OPERATOR,
      () => 0,
      records => this.onOperator(records),
    );
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
    this.takeover = new Takeover({
      log,
      clock,
      view: this.view,
      intakeTail: this.intakeTail,
      workersTail: this.workersTail,
    });
    this.lookup = new JobLookup({
      view: this.view,
      intakeTail: this.intakeTail,
      statesTail: this.statesTail,
      clock,
      writer: () => this.term,
    });
  }

  /** Whether this instance can serve callers. */
  get isReady(): boolean {
    const {syncedAt} = this.intakeTail;
    const isLogReadable =
      this.dependencies.clock.now() - syncedAt < MAX_READ_GAP_MS;
    return !this.stopping && this.isLoaded && isLogReadable;
  }

  /** Whether the configuration and the job topics have been read once. */
  private get isLoaded(): boolean {
    return (
      this.configuration !== undefined &&
      this.statesTail.isLoaded &&
      this.intakeTail.isLoaded
    );
  }

  get isScheduler(): boolean {
    return this.term !== undefined;
  }

  start(): void {
    for (const tail of this.tails()) void tail.run();
    this.workersTail.pause();
    void this.announce();
    void this.runElections();
  }

  /** Publishes what elections and the choice of relays depend on. */
  private async announce(): Promise<void> {
    const {name, announcement, clock, decisions} = this.dependencies;
    while (!this.stopping) {
      const deadline = clock.now() + ANNOUNCE_TIMEOUT_MS;
      const result = await this.intake.announce(name, announcement, deadline);
      decisions.decide('announce', {...announcement, result});
      if (result === IntakeResult.STORED) return;
      await sleep(ANNOUNCE_TIMEOUT_MS);
    }
  }

  /** Reports not ready, resigns from its role and makes no more claims. */
  stop(): void {
    this.stopping = true;
    this.term?.resign();
    const {name, clock} = this.dependencies;
    void this.intake.withdraw(name, clock.now() + ANNOUNCE_TIMEOUT_MS);
  }

  /** Stops, and reads the log no more. */
  dispose(): void {
    this.stop();
    for (const tail of this.tails()) tail.stop();
  }

  /**
   * Stores a job unless it is known already.
   * @param deadline local time by which the result is returned.
   */
  async submit(
    queue: Queue,
    id: string,
    shape: JobShape,
    deadline: Millis,
  ): Promise<IntakeResult> {
    if (this.view.phase(id) !== undefined) return IntakeResult.STORED;
    const acceptedAt = this.dependencies.wallClock.now();
    const submission = {queue, acceptedAt, shape};
    return this.intake.submit(id, submission, deadline);
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
        return this.intake.cancel(id, deadline);
      })
      .caseOf<Promise<Either<LogUnavailableError, IntakeResult | undefined>>>({
        Left: error => Promise.resolve(Left(error)),
        Right: async result => Right(await result),
      });
  }

  private createTail(
    topic: Topic,
    intervalMs: () => Millis,
    onRecords: (records: readonly StoredRecord[], isReset: boolean) => void,
    onRead: (succeeded: boolean) => void = () => {},
  ): LogTail {
    return new LogTail(
      this.dependencies.log,
      topic,
      this.dependencies.clock,
      {waitMs: LONG_POLL_TIMEOUT_MS, intervalMs},
      {
        onRecords,
        onRead,
        onFault: error => this.onFault(`tail of ${topic}`, error),
      },
    );
  }

  private tails(): readonly LogTail[] {
    return [
      this.statesTail,
      this.intakeTail,
      this.operatorTail,
      this.workersTail,
    ];
  }

  private onStates(records: readonly KeyedRecord[]): void {
    const now = this.dependencies.clock.now();
    for (const record of records) this.view.apply(record, now);
    this.election.onHeartbeat(this.view.scheduler, now);
  }

  private onStatesRead(succeeded: boolean): void {
    if (succeeded) this.election.onLogReadable(this.dependencies.clock.now());
    else this.election.onLogUnreadable();
  }

  private onIntake(records: readonly KeyedRecord[]): void {
    const now = this.dependencies.clock.now();
    for (const record of records) {
      this.view.apply(record, now);
      try {
        this.onIntakeRecord(record.key);
      } catch (error) {
        this.onFault(`record ${record.key}`, error);
      }
    }
    this.term?.signal();
  }

  private onIntakeRecord(key: string): void {
    if (key[0] === RecordKind.INSTANCE) this.onInstance(key);
    const job = this.view.jobs.get(key.slice(1));
    if (job !== undefined) this.term?.scheduler.onJob(job);
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
    const all = [...instances.values()].map(record => record.processors);
    this.election.setWeak(isWeaker(processors, all));
    const other = key.slice(1);
    const announced = instances.get(other)?.processors;
    if (announced === undefined) {
      // The withdrawal of an earlier process under this name was stored late.
      if (other === name && !this.stopping) void this.announce();
      return;
    }
    if (this.term === undefined || !isWeaker(processors, [announced])) return;
    decisions.decide('yield', {processors, to: other, has: announced});
    this.term.resign();
  }

  private onOperator(records: readonly KeyedRecord[]): void {
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
      this.term?.scheduler.onConfiguration(configuration);
    }
  }

  private onWorkers(records: readonly KeyedRecord[], isReset: boolean): void {
    this.workers.apply(records, isReset);
    if (this.term === undefined) return;
    const {byId} = this.workers;
    this.dependencies.workerClient.setFleet(this.view.instances, byId);
    this.term.scheduler.onWorkerListings(byId);
  }

  private async runElections(): Promise<void> {
    while (!this.stopping) {
      await sleep(ELECTION_PERIOD_MS);
      if (!this.isLoaded) continue;
      const untilClaimMs = this.election.timeUntilClaim(
        this.dependencies.clock.now(),
      );
      if (untilClaimMs === undefined || untilClaimMs > 0) continue;
      try {
        await this.claim();
      } catch (error) {
        this.onFault('term', error);
      }
    }
  }

  /** Claims the scheduler role and, on success, runs a term until it ends. */
  private async claim(): Promise<void> {
    const {log, name, decisions} = this.dependencies;
    // A version that kept the role in the progress topic may have run before.
    if (
      this.view.scheduler === undefined &&
      !(await this.takeover.loadProgress())
    ) {
      return;
    }
    this.statesTail.pause();
    const epoch = (this.view.scheduler?.epoch ?? 0) + 1;
    const record: SchedulerRecord = {
      epoch,
      instance: name,
      incarnation: this.incarnation,
      resigned: false,
      quickTakeovers: this.election.quickTakeovers(
        this.dependencies.clock.now(),
      ),
    };
    const sequence = randomInt(FIRST_SEQUENCE_LIMIT);
    const claimedAt = this.dependencies.permissionClock.now();
    const end = this.statesTail.nextOffset;
    const response = await log.append(
      Topic.STATES,
      [{key: SCHEDULER_KEY, value: packRecord(record)}],
      {expectedEnd: end, writer: {name: WRITER_NAME, epoch, sequence}},
      CLAIM_TIMEOUT_MS,
    );
    const {quickTakeovers} = record;
    const {result} = response;
    decisions.decide('claim', {epoch, result, end, quickTakeovers});
    let nextOffset = end;
    try {
      if (result === AppendResult.STORED) {
        const begin = response.end ?? end + 1;
        nextOffset = await this.runTerm(record, claimedAt, sequence + 1, begin);
        const now = this.dependencies.clock.now();
        this.election.onHeartbeat(this.view.scheduler, now);
      }
    } finally {
      this.statesTail.resume(nextOffset);
    }
    // Gives the tail time to catch up before the next claim.
    await sleep(STATES_READ_INTERVAL_MS * 3);
  }

  /**
   * Runs a term until it ends.
   * @param claimedAt time of the permission clock before the claim was sent.
   * @param sequence sequence number of its first append.
   * @param end end of the states topic after the claim.
   * @returns the offset from which the states topic is to be read on.
   */
  private async runTerm(
    record: SchedulerRecord,
    claimedAt: Millis,
    sequence: number,
    end: number,
  ): Promise<number> {
    const {log, clock, permissionClock, decisions} = this.dependencies;
    let nextOffset = end;
    const previous = this.view.scheduler;
    const previousAuthorityMs =
      previous === undefined || previous.resigned
        ? 0
        : this.dependencies.timings().authorityMs;
    this.view.scheduler = record;
    let isFenced = false;
    let scheduler: Scheduler | undefined;
    const onFenced = (): void => {
      isFenced = true;
      this.term?.onFenced();
    };
    const role = new RoleWriter(log, permissionClock, record, sequence, {
      onFenced,
      onStored: (records, topicEnd, sentAt) => {
        nextOffset = topicEnd ?? nextOffset + records.length;
        this.statesTail.markSynced();
        for (const entry of records) this.view.apply(entry, clock.now());
        scheduler?.leases.confirmAuthority(sentAt);
      },
    });
    const progress = new FencedWriter(
      log,
      Topic.PROGRESS,
      record.epoch,
      randomInt(FIRST_SEQUENCE_LIMIT),
      permissionClock,
      {
        onFenced,
        onStored: (_records, _end, sentAt) =>
          scheduler?.leases.confirmAuthority(sentAt),
      },
    );
    let reason: TermEndReason = TermEndReason.FENCED;
    try {
      await this.takeover.load(progress, () => isFenced);
      if (!isFenced) {
        scheduler = this.createScheduler(record.epoch, previousAuthorityMs);
        scheduler.leases.confirmAuthority(claimedAt);
        this.term = this.beginTerm(scheduler, role, progress, claimedAt);
        // The instance may have been told to stop during the takeover.
        if (this.stopping) this.term.resign();
        reason = await this.term.run();
      }
    } finally {
      this.term = undefined;
      role.close();
      progress.close();
      this.dependencies.workerClient.release();
      this.workersTail.pause();
      decisions.decide('term-ends', {epoch: record.epoch, reason});
    }
    if (reason === TermEndReason.FENCED) this.election.onLogUnreadable();
    return nextOffset;
  }

  /** Restores the scheduler's state and creates its term. */
  private beginTerm(
    scheduler: Scheduler,
    role: RoleWriter,
    progress: FencedWriter,
    claimedAt: Millis,
  ): Term {
    const {log, workerClient, clock, permissionClock, decisions, costs} =
      this.dependencies;
    workerClient.setFleet(this.view.instances, this.workers.byId);
    scheduler.restore(this.view);
    scheduler.onWorkerListings(this.workers.byId);
    const {state} = scheduler;
    decisions.decide('term-begins', {
      epoch: state.epoch,
      jobs: state.jobs.size,
      waiting: state.waitingTasks.size,
      takeoverMs: Math.round(permissionClock.now() - claimedAt),
    });
    return new Term(scheduler, {
      log,
      workerClient: new MeteredWorkerCalls(workerClient, costs),
      clock,
      role,
      progress,
      costReport: new CostReport(state, this.dependencies.processUsage),
    });
  }

  private createScheduler(
    epoch: number,
    previousAuthorityMs: Millis,
  ): Scheduler {
    const {clock, wallClock, permissionClock, decisions, costs} =
      this.dependencies;
    const configuration = this.configuration!;
    return new Scheduler(
      new SchedulerState(
        epoch,
        previousAuthorityMs,
        this.dependencies.timings(),
        clock,
        wallClock,
        decisions,
        configuration,
        permissionClock,
        costs,
      ),
      this.view.interference,
    );
  }
}

import {randomInt} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {Millis} from '../../common/base/clock.js';
import {CostReport} from '../../common/batch/cost_report.js';
import {
  earlierAuthorityEnd,
  isToldAsEnded,
  replacesProcess,
} from '../../common/batch/earlier_authority.js';
import {Election} from '../../common/batch/election.js';
import {
  LAYOUT_KEY,
  packLayout,
  packRecord,
  RecordKind,
  schedulerKey,
  SchedulerRecord,
} from '../../common/batch/job_records.js';
import {KnownJob} from '../../common/batch/job_view.js';
import {Scheduler} from '../../common/batch/scheduler.js';
import {
  DecisionLog,
  SchedulerState,
} from '../../common/batch/scheduler_state.js';
import {recordSize} from '../../common/batch/log_limits.js';
import {ShardLayout, WHOLE_FLEET} from '../../common/batch/shard_layout.js';
import {
  AppendResult,
  KeyedRecord,
  progressTopic,
  Topic,
} from '../../common/batch/store.js';
import {WorkerListing} from '../../common/batch/types.js';
import {logInForce} from './evacuation_log.js';
import {EvidenceExchange} from './evidence_exchange.js';
import {FencedWriter, writerName} from './fenced_writer.js';
import {FleetDivision} from './fleet_division.js';
import {JobHandOvers} from './job_hand_overs.js';
import {MeteredWorkerCalls} from './metered_worker_calls.js';
import {RelayedWorkerCalls} from './relayed_worker_calls.js';
import {RoleWriter, SchedulerStatus} from './role_writer.js';
import {ShardDecisionLog} from './shard_decision_log.js';
import {ShardRoleHost} from './shard_role_host.js';
import {Takeover} from './takeover.js';
import {Term, TermEndReason} from './term.js';

/** Timeout of the append that claims the scheduler role. */
const CLAIM_TIMEOUT_MS: Millis = 800;

/**
 * The first sequence number of a term is random and below this, so that two
 * instances that claim the same epoch use different numbers.
 */
const FIRST_SEQUENCE_LIMIT = 2 ** 30;

/** Delay after a term or a failed claim, in which records are read. */
const CLAIM_PAUSE_MS: Millis = 750;

/** Delay before the states topic is read again for this instance's claim. */
const CLAIM_READ_DELAY_MS: Millis = 50;

/** The writers of one term. */
interface TermWriters {
  readonly role: RoleWriter;
  readonly progress: FencedWriter;
  /** Writes to the intake under the epoch of the term. */
  readonly intake: FencedWriter;
}

/**
 * An instance's part in one shard: claims the scheduler role of the shard when
 * it is vacant, and runs the scheduler for a term.
 */
export class ShardRole {
  readonly election: Election;
  /** Current term; undefined unless this instance is the scheduler. */
  term: Term | undefined;
  /** Whether a claim, a takeover or a term is under way. */
  isActive = false;
  private readonly takeover: Takeover;
  private readonly decisions: DecisionLog;
  private workerCalls: RelayedWorkerCalls | undefined;
  private handOvers: JobHandOvers | undefined;
  private exchange: EvidenceExchange | undefined;
  private writers: TermWriters | undefined;

  constructor(
    readonly shard: string,
    private readonly host: ShardRoleHost,
    claimDelayMs: Millis,
  ) {
    const {announcement, clock, decisions} = host;
    const isRemote = shard !== WHOLE_FLEET && shard !== announcement.dataCentre;
    this.election = new Election(
      host.identity.incarnation,
      claimDelayMs,
      clock.now(),
      isRemote,
    );
    this.takeover = new Takeover({...host, shard});
    this.decisions =
      shard === WHOLE_FLEET
        ? decisions
        : new ShardDecisionLog(decisions, shard);
  }

  /** Whether a claim is due. */
  get isClaimDue(): boolean {
    if (this.isActive) return false;
    return this.election.timeUntilClaim(this.host.clock.now()) === 0;
  }

  /** Claims the scheduler role and, on success, runs a term until it ends. */
  async claim(): Promise<void> {
    this.isActive = true;
    this.host.onRoleChange();
    try {
      await this.claimOnce();
    } catch (error) {
      this.onFault('term', error);
    }
    // Gives the tail time to catch up before the next claim.
    await sleep(CLAIM_PAUSE_MS);
    this.isActive = false;
    this.host.onRoleChange();
  }

  /** Applies the current list of workers. */
  onWorkers(listings: ReadonlyMap<string, WorkerListing>): void {
    if (this.term === undefined) return;
    const own = this.ownWorkers(listings);
    this.workerCalls?.setFleet(this.host.view.instances, own);
    this.term.scheduler.onWorkerListings(own);
    this.handOvers?.setListings(listings);
  }

  private async claimOnce(): Promise<void> {
    const {log, view, statesTail, clock} = this.host;
    // A version that kept the role in the progress topic may have run before.
    const isUnclaimed = view.schedulerOf(this.shard) === undefined;
    if (isUnclaimed && this.shard === WHOLE_FLEET) {
      if (!(await this.takeover.loadSchedulers())) return;
    }
    // A heartbeat that was not read yet may show that the scheduler is alive.
    if (!(await statesTail.refresh())) return;
    if (this.election.timeUntilClaim(clock.now()) !== 0) return;
    const epoch = view.nextEpoch(this.shard);
    const quickTakeovers = this.election.quickTakeovers(clock.now());
    const record: SchedulerRecord = {
      ...this.host.identity,
      epoch,
      resigned: false,
      quickTakeovers,
      authorityMs: this.host.timings().authorityMs,
    };
    const sequence = randomInt(FIRST_SEQUENCE_LIMIT);
    const claimedAt = this.host.permissionClock.now();
    const {result} = await log.append(
      Topic.STATES,
      [{key: schedulerKey(this.shard), value: packRecord(record)}],
      {writer: {name: writerName(this.shard), epoch, sequence}},
      CLAIM_TIMEOUT_MS,
    );
    this.decisions.decide('claim', {epoch, result, quickTakeovers});
    if (result !== AppendResult.STORED) return;
    await this.runTerm(record, claimedAt, sequence + 1);
    this.election.onHeartbeat(view.schedulerOf(this.shard), clock.now());
  }

  /**
   * Runs a term until it ends.
   * @param claimedAt time of the permission clock before the claim was sent.
   * @param sequence sequence number of its first append.
   */
  private async runTerm(
    record: SchedulerRecord,
    claimedAt: Millis,
    sequence: number,
  ): Promise<void> {
    let isFenced = false;
    const writers = this.createWriters(record, sequence, () => {
      isFenced = true;
      this.term?.onFenced();
    });
    this.writers = writers;
    let reason: TermEndReason = TermEndReason.FENCED;
    try {
      const records = await this.takeover.load(
        writers.progress,
        writers.intake,
        () => isFenced,
      );
      await this.readClaim(record.epoch, () => isFenced);
      if (!isFenced && this.isInLayout) {
        this.term = this.beginTerm(record, writers, claimedAt, records);
      }
      if (this.term !== undefined) reason = await this.term.run();
      else if (!isFenced) await writers.role.resign(this.earlierAuthorityMs);
    } finally {
      this.term = undefined;
      this.exchange?.close();
      this.handOvers = undefined;
      this.writers = undefined;
      writers.role.close();
      writers.progress.close();
      writers.intake.close();
      this.workerCalls?.release();
      this.decisions.decide('term-ends', {epoch: record.epoch, reason});
    }
    if (reason === TermEndReason.FENCED) this.election.onLogUnreadable();
  }

  private get isInLayout(): boolean {
    return this.host.view.layout.has(this.shard);
  }

  private createWriters(
    record: SchedulerRecord,
    sequence: number,
    onFenced: () => void,
  ): TermWriters {
    const {log, permissionClock: clock, view} = this.host;
    const {shard} = this;
    const {epoch} = record;
    const confirm = (sentAt: Millis): void =>
      this.term?.scheduler.leases.confirmAuthority(sentAt);
    const onRefused = (refused: KeyedRecord, topic: Topic): void =>
      this.decisions.decide('record-refused', {
        topic,
        key: refused.key,
        bytes: recordSize(refused),
        limit: log.limits.recordBytes,
      });
    const role = new RoleWriter(
      log,
      clock,
      record,
      sequence,
      {
        onFenced,
        onRefused,
        onStored: (records, _end, sentAt) => {
          const now = this.host.clock.now();
          for (const entry of records) {
            // Heartbeats are applied in the order of the topic, by its tail.
            if (entry.key[0] !== RecordKind.SCHEDULER) view.apply(entry, now);
            // A successor knows of no other appends when they were made.
            else confirm(sentAt);
          }
        },
      },
      shard,
      () => this.status(),
    );
    const createWriter = (topic: Topic): FencedWriter =>
      new FencedWriter(
        log,
        topic,
        epoch,
        randomInt(FIRST_SEQUENCE_LIMIT),
        clock,
        {
          onFenced,
          onRefused,
          onStored: () => {},
        },
        shard,
      );
    return {
      role,
      progress: createWriter(progressTopic(shard)),
      intake: createWriter(Topic.INTAKE),
    };
  }

  /** What heartbeats tell of the term; nothing before it has begun. */
  private status(): SchedulerStatus {
    const load = this.handOvers?.load();
    const earlierAuthorityMs =
      this.term?.scheduler.state.earlierAuthorityLeftMs;
    return {
      ...(load !== undefined && {load}),
      ...(earlierAuthorityMs !== undefined && {
        earlierAuthorityMs: Math.ceil(earlierAuthorityMs),
      }),
    };
  }

  /**
   * Reads the states topic up to this instance's claim, so that the last record
   * of the predecessor is known.
   */
  private async readClaim(
    epoch: number,
    isFenced: () => boolean,
  ): Promise<void> {
    const {view, statesTail} = this.host;
    while (!isFenced() && view.schedulerOf(this.shard)?.epoch !== epoch) {
      if (!(await statesTail.refresh())) await sleep(CLAIM_READ_DELAY_MS);
    }
  }

  /**
   * Restores the scheduler's state and creates its term. Has no asynchronous
   * step: takeovers of other shards apply their progress to the same replica.
   */
  private beginTerm(
    record: SchedulerRecord,
    writers: TermWriters,
    claimedAt: Millis,
    progressRecords: readonly KeyedRecord[],
  ): Term {
    const {host} = this;
    const {clock, permissionClock, view, workers} = host;
    const {role, progress, intake} = writers;
    this.takeover.applyProgress(progressRecords);
    const scheduler = this.createScheduler(record.epoch);
    scheduler.leases.confirmAuthority(claimedAt);
    this.workerCalls ??= host.createWorkerCalls();
    const {workerCalls} = this;
    const own = this.ownWorkers(workers.byId);
    workerCalls.setFleet(view.instances, own);
    scheduler.restore(view);
    view.dropProgress();
    scheduler.onWorkerListings(own);
    const {state} = scheduler;
    this.exchange = this.createExchange(scheduler);
    void this.exchange?.run();
    this.decisions.decide('term-begins', {
      epoch: state.epoch,
      jobs: state.jobs.size,
      waiting: state.waitingTasks.size,
      workers: own.size,
      earlierAuthorityMs: Math.round(state.earlierAuthorityLeftMs),
      takeoverMs: Math.round(permissionClock.now() - claimedAt),
    });
    logInForce(this.decisions, state, clock.now());
    const division = new FleetDivision({
      ...host,
      state,
      divide: layout => void this.divide(layout),
    });
    const term = new Term(scheduler, {
      workerClient: new MeteredWorkerCalls(workerCalls, host.costs),
      clock,
      role,
      progress,
      intake,
      costReport: new CostReport(state, host.processUsage),
      specs: host.specs,
      onTick: () => {
        division.run();
        this.handOvers?.run();
      },
    });
    this.handOvers = this.createHandOvers(term, intake);
    // The instance may have been told to stop during the takeover.
    if (host.isStopping()) term.resign();
    return term;
  }

  /** Time for which schedulers before this term may still grant leases. */
  private get earlierAuthorityMs(): Millis {
    return Math.max(0, this.earlierAuthorityEnd - this.host.clock.now());
  }

  private get earlierAuthorityEnd(): Millis {
    const {view, timings, clock} = this.host;
    const now = clock.now();
    const endedBy = this.hasPredecessorEnded ? now : Infinity;
    const {authorityMs} = timings();
    const term = view.earlierTermOf(this.shard);
    return earlierAuthorityEnd(now, term, endedBy, authorityMs);
  }

  /** Whether the process of the scheduler before this term has ended. */
  private get hasPredecessorEnded(): boolean {
    const {view, identity} = this.host;
    const predecessor = view.predecessorOf(this.shard);
    if (predecessor === undefined) return false;
    return (
      replacesProcess(identity, predecessor) ||
      isToldAsEnded(predecessor, view.instances)
    );
  }

  /** Handles what an instance has told about itself. */
  onInstance(): void {
    const {term} = this;
    if (term === undefined || !this.hasPredecessorEnded) return;
    const {state} = term.scheduler;
    const leftMs = state.earlierAuthorityLeftMs;
    state.endEarlierAuthority(this.earlierAuthorityEnd);
    if (state.earlierAuthorityLeftMs === leftMs) return;
    const predecessor = this.host.view.predecessorOf(this.shard)!;
    this.decisions.decide('predecessor-ended', {
      instance: predecessor.instance,
      incarnation: predecessor.incarnation,
      leftMs: Math.round(leftMs),
    });
  }

  private createScheduler(epoch: number): Scheduler {
    const {host} = this;
    const timings = host.timings();
    const state = new SchedulerState(
      epoch,
      this.earlierAuthorityMs,
      timings,
      host.clock,
      host.wallClock,
      this.decisions,
      host.configuration(),
      host.permissionClock,
      host.costs,
      this.shard,
      host.log.limits.recordBytes,
      host.evacuated,
      host.announcement.jobMemoryBytes,
    );
    return new Scheduler(state, host.view.interference);
  }

  /** A fleet that is not divided has no shard to hand jobs over to. */
  private createHandOvers(
    term: Term,
    intake: FencedWriter,
  ): JobHandOvers | undefined {
    const {host, shard, decisions} = this;
    if (!host.view.layout.isDivided) return undefined;
    return new JobHandOvers({...host, shard, decisions, term, intake});
  }

  private createExchange({
    interference,
  }: Scheduler): EvidenceExchange | undefined {
    const {log, view} = this.host;
    if (!view.layout.isDivided) return undefined;
    return new EvidenceExchange(log, this.shard, interference, (key, error) =>
      this.onFault(`interference of ${key}`, error),
    );
  }

  private ownWorkers(
    listings: ReadonlyMap<string, WorkerListing>,
  ): ReadonlyMap<string, WorkerListing> {
    const {layout} = this.host.view;
    if (!layout.isDivided) return listings;
    return new Map(
      [...listings].filter(
        ([, {dataCentre}]) => layout.shardOf(dataCentre) === this.shard,
      ),
    );
  }

  /** Takes a job that was read, or hands it over before it is started. */
  onJob(known: KnownJob): void {
    const {term, handOvers} = this;
    if (term === undefined) return;
    const {scheduler} = term;
    const isNew = !scheduler.state.jobs.has(known.id);
    scheduler.onJob(known);
    const job = scheduler.state.jobs.get(known.id);
    if (!isNew || job === undefined || known.state !== undefined) return;
    handOvers?.onNewJob(job);
  }

  /** Stores the layout of a divided fleet, whose schedulers replace this one. */
  private async divide(layout: ShardLayout): Promise<void> {
    const {term} = this;
    const value = packLayout(layout);
    await this.writers?.intake.append([{key: LAYOUT_KEY, value}]);
    term?.resign();
  }

  private onFault(part: string, error: unknown): void {
    const text = error instanceof Error ? error.stack : String(error);
    this.decisions.decide('fault', {part, error: text});
  }
}

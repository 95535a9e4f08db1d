import {Millis, SECOND} from '../base/clock.js';
import {
  ActiveJob,
  ActiveStep,
  ActiveTask,
  isStepReady,
  ownTaskCount,
} from './active_job.js';
import {DemandBalance, DemandKind} from './demand_balance.js';
import {HandOver, HandOverReason} from './hand_over.js';
import {HandOverBudget} from './hand_over_budget.js';
import {HandOverDestinations, spread} from './hand_over_destinations.js';
import {HandOverLedger} from './hand_over_ledger.js';
import {isFinal} from './job_records.js';
import {ListedCapacity} from './listed_capacity.js';
import {ReservationBalance, reservesForGood} from './reservation_balance.js';
import {reservationOf} from './room.js';
import {RoomBalance} from './room_balance.js';
import {RoomSearch} from './room_search.js';
import {SchedulerState} from './scheduler_state.js';
import {ShardLayout, ShardLoad} from './shard_layout.js';
import {WorkerListing} from './types.js';
import {
  DetailedLoad,
  hasRun,
  unfinishedSteps,
  WaitingJob,
  WaitingWork,
} from './waiting_work.js';
import {WorkerContact} from './worker_contact.js';

/** Hand-overs of a job after which it moves only if it can't run at all. */
const MAX_GENERATION = 3;

/** Maximum numbers of hand-overs, and of tasks to look at, for each call. */
const MAX_HAND_OVERS = 20;
const MAX_SCANNED_TASKS = 2000;

/** Maximum number of jobs behind the front to look at in each call. */
const MAX_BALANCE_TRIES = 200;

/** Time that other jobs wait before they leave for a shorter backlog. */
const BACKLOG_WAIT_MS: Millis = SECOND;

/** Backlog of jobs at the front of the order that stay. */
const FRONT_MS: Millis = SECOND;

/** Minimum time between two updates of the grouped listings. */
const LISTINGS_INTERVAL_MS: Millis = 0.5 * SECOND;

/** Times for which the load of this shard and the order of jobs are kept. */
const LOAD_TTL_MS: Millis = 0.3 * SECOND;
const ORDER_TTL_MS: Millis = SECOND;

/** A waiting job without runs. */
interface Candidate {
  readonly job: ActiveJob;
  /** A waiting task of the job. */
  readonly task: ActiveTask;
  /** Steps that are not done. */
  readonly steps: readonly ActiveStep[];
}

/** Returns the shard that takes a job; undefined if it stays. */
type Rule = (candidate: Candidate, now: Millis) => string | undefined;

/** Chooses waiting jobs that the scheduler of a shard hands over. */
export class HandOverPolicy {
  private readonly work: WaitingWork;
  private readonly capacity: ListedCapacity;
  readonly ledger = new HandOverLedger();
  private readonly destinations: HandOverDestinations;
  private readonly contact = new WorkerContact();
  private readonly budget = new HandOverBudget();
  private readonly demandBalance: DemandBalance;
  private readonly roomSearch: RoomSearch;
  private listings: ReadonlyMap<string, WorkerListing> = new Map();
  private isGroupingStale = false;
  /** Whether this shard's listings are complete enough to miss a worker. */
  private isListed = false;
  private groupedAt: Millis = -Infinity;
  private ownLoad: DetailedLoad = {
    backlogMs: 0,
    usableWorkers: 0,
    demand: 0,
    reserved: 0,
    room: [],
    cpuMilli: 0,
  };
  private loadedAt: Millis = -Infinity;
  /** Jobs behind the front of the order that were not tried yet, reversed. */
  private behindFront: WaitingJob[] = [];
  private orderedAt: Millis = -Infinity;
  private cursor: Iterator<ActiveTask>;
  /**
   * Jobs to which only the rule for room applies while workers are listed as in
   * a version.
   */
  private plainJobs = new WeakSet<ActiveJob>();
  private plainVersion = 0;

  /** Rules for single jobs; the first one that applies decides. */
  private readonly rules: readonly (readonly [HandOverReason, Rule])[] = [
    [
      HandOverReason.NO_WORKER_FITS,
      (candidate, now) => this.whereItFits(candidate, now),
    ],
    [HandOverReason.EVACUATED, candidate => this.awayFromEvacuation(candidate)],
    [HandOverReason.UNREACHABLE, candidate => this.awayFromSilence(candidate)],
    [HandOverReason.DATA, (candidate, now) => this.whereDataIs(candidate, now)],
    [
      HandOverReason.NO_ROOM,
      (candidate, now) => this.whereRoomIs(candidate, now),
    ],
  ];

  /**
   * @param shard name of this scheduler's shard.
   * @param generationOf number of times that a job was handed over.
   * @param random returns a random number from 0 to 1, without 1.
   */
  constructor(
    private readonly state: SchedulerState,
    private readonly shard: string,
    private readonly generationOf: (job: ActiveJob) => number,
    random: () => number = Math.random,
  ) {
    this.demandBalance = new DemandBalance(random);
    this.work = new WaitingWork(state);
    this.capacity = new ListedCapacity(shard);
    this.destinations = new HandOverDestinations(
      shard,
      this.capacity,
      this.ledger,
    );
    this.roomSearch = new RoomSearch(
      shard,
      state,
      this.destinations,
      new RoomBalance(this.ledger, random),
    );
    this.cursor = state.waitingTasks.values();
  }

  setLayout(layout: ShardLayout): void {
    this.destinations.layout = layout;
    this.isGroupingStale = true;
  }

  /**
   * Sets the listings of all workers of the fleet, by id. To be called after
   * each change, also if the map is the same.
   */
  setListings(listings: ReadonlyMap<string, WorkerListing>): void {
    this.listings = listings;
    this.isGroupingStale = true;
  }

  /** Sets the last known loads of the shards. */
  setLoads(loads: ReadonlyMap<string, ShardLoad>): void {
    this.destinations.loads = loads;
  }

  /** Load of this shard without the jobs that were chosen lately. */
  load(now: Millis): ShardLoad {
    this.ledger.expire(now);
    this.ownLoad = this.work.load(({id}) => this.ledger.has(id), now);
    this.loadedAt = now;
    const {backlogMs, usableWorkers, demand, reserved, room} = this.ownLoad;
    return {backlogMs, usableWorkers, demand, reserved, room};
  }

  /**
   * Chooses another shard for a job that this scheduler has just taken, before
   * any of its tasks is placed; undefined if it stays.
   */
  chooseForNew(
    job: ActiveJob,
    reservations: ReservationBalance,
    now: Millis,
  ): HandOver | undefined {
    if (job.handOvers > 0 || job.hasStarted || !this.isListed) return undefined;
    const shards = this.destinations.usable(
      this.destinations.shardsForAll(unfinishedSteps(job)),
    );
    const to = reservesForGood(job)
      ? reservations.choose(job, shards, shard => this.capacity.cpuMilli(shard))
      : this.demandBalance.choose(
          hasReservedStep(job) ? DemandKind.RESERVED : DemandKind.ALL,
          this.ownLoad,
          shards,
          this.destinations.loads,
        );
    if (to === undefined) return undefined;
    return this.handOver(job, to, HandOverReason.DEMAND, now);
  }

  /**
   * Chooses a limited number of jobs to hand over. A chosen job is not chosen
   * again for a while.
   */
  *choose(now: Millis): Generator<HandOver> {
    if (!this.destinations.layout.isDivided) return;
    const elapsed = this.contact.update(this.state.workers.values(), now);
    this.ledger.expire(now);
    this.groupListings(now);
    if (now - this.loadedAt >= LOAD_TTL_MS) this.load(now);
    this.roomSearch.begin();
    let left = MAX_HAND_OVERS;
    for (const handOver of this.search(elapsed, now)) {
      yield handOver;
      if (--left === 0) return;
    }
  }

  private *search(elapsed: Millis, now: Millis): Generator<HandOver> {
    yield* this.scan(now);
    yield* this.balance(elapsed, now);
  }

  private groupListings(now: Millis): void {
    this.capacity.expire(now);
    const isDue = now - this.groupedAt >= LISTINGS_INTERVAL_MS;
    if (this.isGroupingStale && isDue) {
      const {layout} = this.destinations;
      this.capacity.update(this.listings.values(), layout, now);
      this.isGroupingStale = false;
      this.groupedAt = now;
    }
    if (this.capacity.version !== this.plainVersion) {
      this.plainVersion = this.capacity.version;
      this.plainJobs = new WeakSet();
    }
    const hasWorkers = this.capacity.cpuMilli(this.shard) > 0;
    if (hasWorkers || this.contact.isLost) this.isListed = true;
  }

  /** Applies the rules for single jobs to the next part of the queue. */
  private *scan(now: Millis): Generator<HandOver> {
    const {waitingTasks} = this.state;
    const seen = new Set<ActiveJob>();
    const count = Math.min(MAX_SCANNED_TASKS, waitingTasks.size);
    for (let index = 0; index < count; index++) {
      if (this.roomSearch.isExhausted) return;
      const task = this.nextTask();
      if (task === undefined) return;
      const {job} = task.step.occurrence;
      const isFirst = !seen.has(job);
      seen.add(job);
      if (!this.isWaiting(job)) continue;
      const handOver = isFirst ? this.applyRules(job, task, now) : undefined;
      if (handOver !== undefined) yield handOver;
      else yield* this.detach(task, now);
    }
  }

  /**
   * Hands a perpetual task of a running job over by itself if it has waited for
   * room that another shard has. The runs of the job's other tasks stay.
   */
  private *detach(task: ActiveTask, now: Millis): Generator<HandOver> {
    const {step} = task;
    const {job} = step.occurrence;
    if (!canBeDetached(task) || this.ledger.has(task.name)) return;
    const to = this.shardWithRoom(task, now);
    if (to === undefined) return;
    const workMs = this.work.ofTask(task);
    const reservedMilli = reservedMilliOf(step);
    this.ledger.add(task.name, to, {workMs, reservedMilli}, now);
    yield {job, task, to, reason: HandOverReason.NO_ROOM};
  }

  /** Next waiting task, in a cycle through all of them. */
  private nextTask(): ActiveTask | undefined {
    const next = this.cursor.next();
    if (next.done !== true) return next.value;
    this.cursor = this.state.waitingTasks.values();
    const first = this.cursor.next();
    return first.done === true ? undefined : first.value;
  }

  /** Whether a job may leave and is neither over nor about to leave. */
  private isWaiting(job: ActiveJob): boolean {
    if (isFinal(job.phase) || !job.canLeave) return false;
    if (this.ledger.has(job.id)) return false;
    return this.state.jobs.get(job.id) === job;
  }

  private applyRules(
    job: ActiveJob,
    task: ActiveTask,
    now: Millis,
  ): HandOver | undefined {
    const needsRules = this.contact.isLost || this.isEvacuated;
    if (this.plainJobs.has(job) && !needsRules) {
      const to = this.whereRoomIs({job, task}, now);
      if (to === undefined) return undefined;
      return this.handOver(job, to, HandOverReason.NO_ROOM, now);
    }
    const candidate = {job, task, steps: unfinishedSteps(job)};
    if (this.isPlain(candidate)) this.plainJobs.add(job);
    for (const [reason, rule] of this.rules) {
      const to = rule(candidate, now);
      if (to === undefined) continue;
      return hasRun(job) ? undefined : this.handOver(job, to, reason, now);
    }
    return undefined;
  }

  /** Whether all workers of this shard are in an evacuated data centre. */
  private get isEvacuated(): boolean {
    return this.state.evacuated.has(this.shard) && !this.contact.isPresent;
  }

  /** Whether only silence of all workers or want of room makes a job leave. */
  private isPlain({steps}: Candidate): boolean {
    if (!this.destinations.canRunAll(steps, this.shard)) return false;
    return steps.every(({shape}) => !shape.perpetual && shape.dataRack === '');
  }

  private handOver(
    job: ActiveJob,
    to: string,
    reason: HandOverReason,
    now: Millis,
  ): HandOver {
    const workMs = this.work.ofJob(job);
    const reservedMilli = unfinishedSteps(job)
      .filter(step => step.shape.perpetual || isStepReady(step))
      .map(step => reservedMilliOf(step) * ownTaskCount(step))
      .reduce((sum, milli) => sum + milli, 0);
    this.ledger.add(job.id, to, {workMs, reservedMilli}, now);
    const {backlogMs, cpuMilli} = this.ownLoad;
    const left = backlogMs - spread(workMs, cpuMilli);
    this.ownLoad = {...this.ownLoad, backlogMs: Math.max(0, left)};
    return {job, to, reason};
  }

  /** Rule for jobs that can't run here with the listed workers. */
  private whereItFits(
    {job, task, steps}: Candidate,
    now: Millis,
  ): string | undefined {
    if (this.destinations.canRunAll(steps, this.shard)) return undefined;
    if (!this.isListed) return undefined;
    const canContinue = steps.some(
      step => isStepReady(step) && this.capacity.canRun(step, this.shard),
    );
    if (canContinue) {
      // A job that came for room uses it before it moves on for later steps.
      const cameForRoom = this.generationOf(job) > 0;
      if (cameForRoom && this.roomSearch.hasOwnRoom(task.step, now)) {
        return undefined;
      }
      const shards = this.destinations.shardsForAll(steps);
      return this.destinations.shortest(shards);
    }
    const fitting = this.destinations.shardsForRest(steps);
    return (
      this.destinations.shortest(fitting) ??
      this.destinations.firstUnknown(fitting)
    );
  }

  /**
   * Rule for a shard whose data centre is evacuated. An evacuation lasts, so
   * jobs leave at once, however often they were handed over before.
   */
  private awayFromEvacuation({steps}: Candidate): string | undefined {
    if (!this.isEvacuated) return undefined;
    return this.destinations.shortest(this.destinations.shardsForRest(steps));
  }

  /** Rule for a shard without usable workers. */
  private awayFromSilence({job, steps}: Candidate): string | undefined {
    if (!this.contact.isLost) return undefined;
    if (this.isSettled(job)) return undefined;
    return this.destinations.shortest(this.destinations.shardsForRest(steps));
  }

  /** Rule for jobs that run faster in the shard that has their data. */
  private whereDataIs(
    {job, task, steps}: Candidate,
    now: Millis,
  ): string | undefined {
    if (job.hasStarted || this.generationOf(job) > 0) return undefined;
    const withData = steps.filter(({shape}) => shape.dataRack !== '');
    if (withData.length === 0) return undefined;
    const count = (shard: string) =>
      withData.filter(step => this.capacity.hasData(step, shard)).length;
    const ownCount = count(this.shard);
    if (ownCount === withData.length) return undefined;
    const shards = this.destinations.shardsForAll(steps);
    const most = Math.max(...shards.map(count));
    if (most <= ownCount) return undefined;
    const to = this.destinations.shortest(
      shards.filter(shard => count(shard) === most),
    );
    if (to === undefined) return undefined;
    const {timePredictor, timings} = this.state;
    const savedMs =
      (timings.remoteFactor - 1) * timePredictor.criticalPath(task.step, now);
    const addedMs =
      this.destinations.expectedBacklog(to) - this.ownLoad.backlogMs;
    return addedMs < savedMs ? to : undefined;
  }

  /** Rule for jobs without runs whose tasks wait for room. */
  private whereRoomIs(
    {job, task}: Pick<Candidate, 'job' | 'task'>,
    now: Millis,
  ): string | undefined {
    if (!this.roomSearch.isDue(task, now) || hasRun(job)) return undefined;
    return this.shardWithRoom(task, now);
  }

  /**
   * Another shard with room for a task that has waited in vain; undefined if it
   * stays.
   */
  private shardWithRoom(task: ActiveTask, now: Millis): string | undefined {
    // The room of workers that are silent for a moment is not known. For those
    // that are silent for long, another rule moves the jobs that end.
    const {isPresent, isLost} = this.contact;
    const isClosed = isLost || this.isEvacuated;
    if (!isPresent && !(isClosed && task.step.shape.perpetual)) {
      return undefined;
    }
    if (!this.roomSearch.isDue(task, now)) return undefined;
    return this.roomSearch.choose(task, now);
  }

  /** Hands over jobs to shards with clearly shorter backlogs. */
  private *balance(elapsed: Millis, now: Millis): Generator<HandOver> {
    const peers = this.destinations.peers();
    this.budget.accrue(this.ownLoad, peers, elapsed);
    if (!this.contact.isPresent) return;
    const isAllowed = () => peers.some(({shard}) => this.budget.allows(shard));
    if (!isAllowed()) return;
    this.orderJobs(now);
    for (let tries = 0; tries < MAX_BALANCE_TRIES && isAllowed(); tries++) {
      const waiting = this.behindFront.pop();
      if (waiting === undefined) return;
      const to = this.whereItStartsEarlier(waiting);
      if (to === undefined) continue;
      this.budget.spend(to, waiting.workMs);
      yield this.handOver(waiting.job, to, HandOverReason.BACKLOG, now);
    }
  }

  /** Collects jobs that have waited and are not about to start here. */
  private orderJobs(now: Millis): void {
    if (now - this.orderedAt < ORDER_TTL_MS) return;
    this.orderedAt = now;
    let aheadMs = 0;
    this.behindFront = this.work.inOrder(now).filter(waiting => {
      const isBehind = spread(aheadMs, this.ownLoad.cpuMilli) >= FRONT_MS;
      aheadMs += waiting.workMs;
      return isBehind && this.hasWaitedInVain(waiting, now);
    });
    this.behindFront.reverse();
  }

  private hasWaitedInVain(
    {job, waitingSince}: WaitingJob,
    now: Millis,
  ): boolean {
    if (now - waitingSince < BACKLOG_WAIT_MS) return false;
    return !job.hasStarted && !this.isSettled(job);
  }

  private whereItStartsEarlier({job, workMs}: WaitingJob): string | undefined {
    if (!this.isWaiting(job) || job.hasStarted || hasRun(job)) return undefined;
    const shards = this.destinations.shardsForAll(unfinishedSteps(job));
    const to = this.destinations.shortest(
      shards.filter(shard => this.budget.allows(shard)),
    );
    if (to === undefined) return undefined;
    const addedMs = spread(workMs, this.capacity.cpuMilli(to));
    const isEarlier =
      this.destinations.expectedBacklog(to) + addedMs < this.ownLoad.backlogMs;
    return isEarlier ? to : undefined;
  }

  /** Whether a job was handed over too often to leave a shard that fits. */
  private isSettled(job: ActiveJob): boolean {
    return this.generationOf(job) >= MAX_GENERATION;
  }
}

/**
 * Whether a task may leave its job. Nothing waits for the end of a perpetual
 * task, and the job shows that it runs.
 */
function canBeDetached({step}: ActiveTask): boolean {
  const {job} = step.occurrence;
  const {perpetual, gang, fills} = step.shape;
  if (!perpetual || gang || fills) return false;
  return job.hasStarted && job.detached === undefined;
}

/** Processors that a task reserves, in thousandths of a core. */
function reservedMilliOf({shape}: ActiveStep): number {
  return reservationOf(shape).cpuMilli;
}

/** Whether a job has tasks that reserve processors. */
function hasReservedStep({submission}: ActiveJob): boolean {
  return submission.shape.steps.some(({fills}) => !fills);
}

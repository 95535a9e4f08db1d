import {Millis, SECOND} from '../../base/clock.js';
import {ActiveStep, ActiveTask} from '../active_job.js';
import {SchedulerState} from '../scheduler_state.js';
import {isUsable} from '../worker_exclusion.js';
import {Run, WorkerState} from '../worker_state.js';
import {ExpectedEnds} from './expected_ends.js';
import {GapFit} from './gap_fit.js';
import {LargeSteps} from './large_steps.js';
import {Reservation} from './reservation.js';
import {ReservationPlan} from './reservation_plan.js';
import {FoundRoom, ReservationSearch} from './reservation_search.js';
import {UnreservedSize} from './unreserved_size.js';

/**
 * Reservations at a time. Where tasks of 1 s leave, a gap opens within about
 * half a second, so four let eight large tasks start each second in addition to
 * those that find room. Each takes room from tasks that come first by rank.
 */
const MAX_RESERVATIONS = 4;

/**
 * Share of the usable workers that may be reserved; at least one may. With 0.05,
 * jobs of middle size lost 0.02 to 0.04 of their on-time share in trials
 * (docs/design/lookahead-placement.md).
 */
const MAX_WORKER_SHARE = 0.03;

/**
 * Part of its tolerance that a step has used before it gets a reservation. Of a
 * tolerance of about 1 s, 0.6 s are left, enough for a gap that takes half a
 * second; tasks that have waited less often find room by themselves.
 */
const MIN_URGENCY = 0.4;

/**
 * Most waiting tasks of a step, other than a gang, that get reservations while
 * the step can be in time. The job waits for the last of its tasks, so room for
 * a few of many helps none, and takes it from jobs with less work.
 */
const MAX_WAITING_TASKS = 4;

/** Minimum time between two searches, each of which takes up to 1.5 ms. */
const SEARCH_INTERVAL_MS: Millis = 50;

/** Time until a step for which no room is expected in time is tried again. */
const RETRY_INTERVAL_MS: Millis = 0.5 * SECOND;

/**
 * Time after its expected time at which a reservation is missed, as a share of
 * the time that it looks ahead, and at least: expected times are wrong by a
 * fifth, and ends are known after a report and a scan.
 */
const EXPIRY_SHARE = 0.2;
const MIN_EXPIRY_MS: Millis = 200;

/** A large step that a scan could not place. */
interface LargeStep {
  readonly step: ActiveStep;
  readonly waiting: readonly ActiveTask[];
  readonly isLate: boolean;
  /** Part of its tolerance that it has used, from 0 to 1; 1 and more if late. */
  readonly urgency: number;
}

/** Room that would be reserved, and the time until then. */
export interface ExpectedRoom extends FoundRoom {
  readonly dueInMs: Millis;
}

/**
 * Keeps room for the few large tasks that wait longest against their objective,
 * and lets smaller ones use it until it is needed. Without a large task that
 * waits it changes no decision.
 */
export class Lookahead {
  readonly plan: ReservationPlan;
  readonly search: ReservationSearch;
  private readonly unreservedSize = new UnreservedSize();
  private readonly largeSteps = new LargeSteps(this.unreservedSize);
  private readonly gapFit = new GapFit();
  /** Workers of the current slice of a scan. */
  private workers: readonly WorkerState[] = [];
  /** Foreseen ends as of the current slice of a scan. */
  private ends: ExpectedEnds | undefined;
  /** Large steps that the current scan could not place. */
  private waiting: LargeStep[] = [];
  private searchedAt: Millis = -Infinity;
  /** Local times before which steps without any expected room are not tried. */
  private readonly retryAt = new WeakMap<ActiveStep, Millis>();

  constructor(private readonly state: SchedulerState) {
    this.plan = new ReservationPlan(state.log);
    this.search = new ReservationSearch(this.unreservedSize);
  }

  /** Releases what is void, before a slice of a scan of usable workers. */
  beginSlice(workers: readonly WorkerState[], now: Millis): void {
    this.workers = workers;
    this.ends = undefined;
    this.gapFit.refresh(now);
    if (this.plan.size === 0) return;
    this.plan.refresh(step => this.waitingTasks(step), now);
  }

  /** Releases all reservations, as no task waits. */
  clear(): void {
    if (this.plan.size > 0) this.plan.refresh(() => 0, this.state.now());
  }

  /** Whether a task may be placed on a worker that has room for it. */
  admits(step: ActiveStep, worker: WorkerState): boolean {
    if (this.plan.on(worker) === undefined) return true;
    // The order among large steps is that of their ranks.
    if (this.isLarge(step)) return true;
    return this.plan.admits(step, worker, this.currentEnds());
  }

  /** Cost of a worker on which a task would use the gap for a large one. */
  gapCost(step: ActiveStep, worker: WorkerState): number {
    const cost = this.gapFit.costOf(step, worker);
    return cost > 0 && this.isLarge(step) ? 0 : cost;
  }

  /** Handles the placement of a task. */
  onPlaced({task, worker}: Run): void {
    if (this.plan.on(worker) === undefined) return;
    const {step} = task;
    this.plan.onPlaced(step, worker, this.isLarge(step), this.state.now());
  }

  /**
   * Releases reservations for those of a step's perpetual tasks that are not
   * placed and have waited too long. Returns whether there were any.
   */
  yieldTo(step: ActiveStep, tasks: readonly ActiveTask[]): boolean {
    const before = this.plan.size;
    if (before === 0) return false;
    const left = tasks.filter(({run}) => run === undefined).length;
    this.plan.yieldTo(step, left, this.state.now());
    return this.plan.size < before;
  }

  /** Notes the tasks of a step that the scan has not placed. */
  noteWaiting(
    step: ActiveStep,
    waiting: readonly ActiveTask[],
    isLate: boolean,
  ): void {
    if (!this.isLarge(step)) return;
    const now = this.state.now();
    const readySince = Math.min(...waiting.map(task => task.readySince));
    const slack = this.state.timePredictor.slack(step, now);
    this.waiting.push({
      step,
      waiting,
      isLate,
      urgency: urgencyOf(now - readySince, slack),
    });
  }

  /** Ends a scan: may reserve room for one of the steps that wait. */
  endScan(workers: Iterable<WorkerState>, now: Millis): void {
    const {waiting} = this;
    this.waiting = [];
    if (waiting.length === 0) return;
    const mostUrgent = waiting.reduce((a, b) => (isBefore(b, a) ? b : a));
    this.gapFit.hold(mostUrgent.step, now);
    if (this.plan.size >= MAX_RESERVATIONS) return;
    if (now - this.searchedAt < SEARCH_INTERVAL_MS) return;
    const next = this.nextToReserve(waiting, now);
    if (next === undefined) return;
    this.searchedAt = now;
    this.reserve(next, [...workers], now);
  }

  /** Reservation that a step has on a worker or on others, if any. */
  reservationOf(step: ActiveStep): Reservation | undefined {
    for (const reservation of this.plan.all()) {
      if (reservation.step === step) return reservation;
    }
    return undefined;
  }

  private isLarge(step: ActiveStep): boolean {
    return this.largeSteps.isLarge(step, this.workers, this.state.now());
  }

  /**
   * Where room would be reserved for waiting tasks of a step once they have used
   * enough of their tolerance; undefined if none would be. Changes nothing.
   */
  expectedRoom(
    step: ActiveStep,
    waiting: readonly ActiveTask[],
    workers: readonly WorkerState[],
  ): ExpectedRoom | undefined {
    const now = this.state.now();
    // Without workers there is no size to compare with.
    if (workers.length === 0) return undefined;
    if (!this.largeSteps.isLarge(step, workers, now)) return undefined;
    const room = this.search.preview(() =>
      this.findRoom(step, waiting, workers, now),
    );
    if (room === undefined) return undefined;
    const readySince = Math.min(...waiting.map(task => task.readySince));
    const waited = now - readySince;
    const slack = this.state.timePredictor.slack(step, now);
    const isDue = urgencyOf(waited, slack) >= MIN_URGENCY;
    const dueInMs = isDue ? 0 : MIN_URGENCY * (waited + slack) - waited;
    return {...room, dueInMs};
  }

  private nextToReserve(
    waiting: readonly LargeStep[],
    now: Millis,
  ): LargeStep | undefined {
    const hasLate = [...this.plan.all()].some(({isLate}) => isLate);
    let next: LargeStep | undefined;
    for (const large of waiting) {
      const {step, isLate, urgency} = large;
      if (urgency < MIN_URGENCY) continue;
      if (isLate ? hasLate : isWide(large)) continue;
      if (next !== undefined && !isBefore(large, next)) continue;
      if (now < (this.retryAt.get(step) ?? -Infinity)) continue;
      const reserved = this.plan.countOf(step);
      const wanted = step.shape.gang ? 1 : this.waitingTasks(step);
      if (reserved < wanted) next = large;
    }
    return next;
  }

  private reserve(
    {step, waiting, isLate}: LargeStep,
    workers: readonly WorkerState[],
    now: Millis,
  ): void {
    if (this.unreservedShare(workers) <= 0) return;
    const room = this.findRoom(step, waiting, workers, now);
    // Room that comes too late would be taken from jobs that can be in time.
    const slack = Math.max(0, this.state.timePredictor.slack(step, now));
    if (room === undefined || (!isLate && room.at - now > slack)) {
      this.retryAt.set(step, now + RETRY_INTERVAL_MS);
      return;
    }
    const {slots, at} = room;
    const expiry = Math.max(MIN_EXPIRY_MS, EXPIRY_SHARE * (at - now));
    this.plan.add({
      step,
      slots,
      madeAt: now,
      expectedAt: at,
      expiresAt: at + expiry,
      isLate,
    });
  }

  /** Workers that may be reserved in addition. */
  private unreservedShare({length}: readonly WorkerState[]): number {
    const most = Math.max(1, Math.floor(length * MAX_WORKER_SHARE));
    return most - this.plan.workerCount;
  }

  private findRoom(
    step: ActiveStep,
    waiting: readonly ActiveTask[],
    workers: readonly WorkerState[],
    now: Millis,
  ): FoundRoom | undefined {
    const unreserved = workers.filter(
      worker => isUsable(worker, now) && this.plan.on(worker) === undefined,
    );
    return this.search.find(
      step,
      waiting,
      unreserved,
      this.unreservedShare(workers),
      this.currentEnds(),
      now,
    );
  }

  private currentEnds(): ExpectedEnds {
    const {timePredictor, timings} = this.state;
    const now = this.state.now();
    this.ends ??= new ExpectedEnds(timePredictor, timings.stopMs, now);
    return this.ends;
  }

  private waitingTasks({tasks}: ActiveStep): number {
    let count = 0;
    for (const task of tasks) if (this.state.waitingTasks.has(task)) count++;
    return count;
  }
}

/** Whether too many of a step's tasks wait for reservations to help its job. */
function isWide({step, waiting}: LargeStep): boolean {
  return !step.shape.gang && waiting.length > MAX_WAITING_TASKS;
}

/** Part of a tolerance that a wait has used; above 1 once it is over. */
function urgencyOf(waited: Millis, slack: Millis): number {
  if (slack > 0) return waited / (waited + slack);
  return 1 - slack / SECOND;
}

/** Whether a step comes first: in time before late, then the most urgent. */
function isBefore(a: LargeStep, b: LargeStep): boolean {
  if (a.isLate !== b.isLate) return !a.isLate;
  return a.urgency > b.urgency;
}

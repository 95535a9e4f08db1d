import {Millis, SECOND} from '../base/clock.js';
import {ActiveStep, ActiveTask} from './active_job.js';
import {Backlog, WaitReason} from './backlog.js';
import {EvacuationBacklog} from './evacuation/evacuation_backlog.js';
import {countObstacles, PlacementPreview} from './explain/placement_preview.js';
import {HeadroomForecast} from './headroom.js';
import {JobPhase, TaskPhase} from './job_records.js';
import {Lookahead} from './lookahead/lookahead.js';
import {PerpetualBacklog} from './perpetual_backlog.js';
import {perpetualWidth} from './perpetual_width.js';
import {PlacementCost} from './placement_cost.js';
import {MAX_FORCED_START_LOAD, reservedShares} from './reserved_shares.js';
import {CommandKind, SchedulerState} from './scheduler_state.js';
import {RoomReport} from './room_report.js';
import {CandidateWorkers} from './candidate_workers.js';
import {isStarved, STARVED_RANK, stepRank} from './step_rank.js';
import {isUsable} from './worker_exclusion.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';

/**
 * Waiting time of a short task after which capacity counts as scarce. Short
 * tasks are those that reserve processors and end by themselves.
 */
const SHORT_TASK_WAIT_MS: Millis = 150;

/** Time for which capacity then counts as scarce. */
const SHORTAGE_HOLD_TIME_MS: Millis = 3 * SECOND;

/**
 * Time after which a best-effort job without runs starts one task regardless
 * of interference. Callers expect a start within 3 s when less than half is in
 * use.
 */
const FORCED_START_DELAY_MS: Millis = 1500;

/**
 * Time after which a scan is interrupted, so that heartbeats, reports and
 * callers don't wait for the rest of a long queue.
 */
const SCAN_SLICE_MS: Millis = 15;

/**
 * Pause after a slice of a scan, as a multiple of the slice's duration. It
 * limits the share of CPU time that a long queue takes. The pauses are spread
 * over the scan: one at its end would grow with the queue, and workers would be
 * idle meanwhile.
 */
const SLICE_PAUSE_FACTOR = 3;

/** Time for which the number of workers that perpetual steps need is kept. */
const WIDTH_INTERVAL_MS: Millis = 0.5 * SECOND;

/** Waiting tasks of one step; the lowest rank is served first. */
interface WaitingStep {
  readonly step: ActiveStep;
  readonly tasks: ActiveTask[];
  readonly rank: number;
}

/** Assigns waiting tasks to workers. */
export class Placement {
  readonly lookahead: Lookahead;
  private readonly placementCost: PlacementCost;
  private readonly backlog: Backlog;
  private readonly perpetualBacklog: PerpetualBacklog;
  private readonly evacuationBacklog: EvacuationBacklog;
  private readonly roomReport: RoomReport;
  /** Local time before which no slice of a scan begins. */
  private nextSliceAt: Millis = -Infinity;
  /** Steps that the current scan has tried, in this and in earlier slices. */
  private readonly triedSteps = new Set<ActiveStep>();
  /** Workers that a perpetual step needs, and since when that is known. */
  private perpetualWidth = 0;
  private widthKnownAt: Millis = -Infinity;
  /** Local time at which short tasks last waited for capacity. */
  private shortTasksWaitedAt: Millis = -Infinity;

  constructor(
    private readonly state: SchedulerState,
    forecast: HeadroomForecast,
  ) {
    this.lookahead = new Lookahead(state);
    this.placementCost = new PlacementCost(
      state.clock,
      forecast,
      state.timePredictor,
      this.lookahead,
    );
    this.backlog = new Backlog(state.log);
    this.perpetualBacklog = new PerpetualBacklog(state);
    this.evacuationBacklog = new EvacuationBacklog(state);
    this.roomReport = new RoomReport(state.log);
  }

  /**
   * Places waiting tasks in order of the rank of their steps, and stages a
   * start command for each of them.
   */
  run(): void {
    if (this.state.waitingTasks.size === 0) this.lookahead.clear();
    if (this.state.waitingTasks.size === 0 || !this.state.placesTasks) return;
    const startedAt = this.state.now();
    if (startedAt < this.nextSliceAt) return;
    const isComplete = this.scanSlice();
    const endedAt = this.state.now();
    this.nextSliceAt = endedAt + SLICE_PAUSE_FACTOR * (endedAt - startedAt);
    if (!isComplete) return;
    this.triedSteps.clear();
    this.backlog.endScan(endedAt);
    this.perpetualBacklog.run();
    this.evacuationBacklog.run();
    this.lookahead.endScan(this.usableWorkers(endedAt), endedAt);
    this.roomReport.endScan(this.usableWorkers(endedAt), endedAt);
  }

  /**
   * Places tasks of the steps that the scan has not tried yet, at least of one,
   * until the time of a slice is over. Steps that have become urgent since the
   * last slice come first. Returns whether all steps were tried.
   */
  private scanSlice(): boolean {
    const now = this.state.now();
    const workers = [...this.usableWorkers(now)];
    if (workers.length === 0) return true;
    this.beginSlice(workers, now);
    const steps = this.waitingSteps(this.triedSteps);
    const deadline = this.state.now() + SCAN_SLICE_MS;
    for (const [index, {step, tasks, rank}] of steps.entries()) {
      if (index > 0 && this.state.now() >= deadline) return false;
      this.triedSteps.add(step);
      this.trackShortTasks(step, tasks);
      let reason = this.placeStep(step, tasks, workers);
      if (rank === STARVED_RANK && this.lookahead.yieldTo(step, tasks)) {
        reason = this.placeStep(step, tasks, workers);
      }
      this.noteWaiting(step, tasks, reason);
    }
    return true;
  }

  private beginSlice(workers: readonly WorkerState[], now: Millis): void {
    this.updateReserve(workers, now);
    this.lookahead.beginSlice(workers, now);
  }

  /**
   * What a scan would do now with waiting tasks of a step if it were the first,
   * except that a perpetual task that waited too long takes no reserved room.
   * Only caches change, and reservations that are void are released, as at the
   * beginning of each slice.
   * @param mostWeighed workers that are returned with their costs, at most.
   */
  preview(
    step: ActiveStep,
    tasks: readonly ActiveTask[],
    mostWeighed: number,
  ): PlacementPreview {
    const now = this.state.now();
    const workers = [...this.usableWorkers(now)];
    if (workers.length > 0) this.beginSlice(workers, now);
    const rank = this.rankOf(step, tasks, now);
    const waiting = this.waitingSteps(new Set());
    const index = waiting.findIndex(other => other.step === step);
    const ahead = waiting.filter((other, otherIndex) =>
      index < 0 ? other.rank <= rank : otherIndex < index,
    );
    const preview = {
      rank,
      stepsAhead: ahead.length,
      tasksAhead: ahead.reduce((sum, other) => sum + other.tasks.length, 0),
      isForced: this.needsForcedStart(step, tasks[0], workers),
      weighed: this.candidates(step, workers).weigh(tasks[0], mostWeighed),
      excluded: countObstacles(this.state.workers.values(), worker =>
        this.placementCost.obstacle(step, worker, now),
      ),
      reservation: this.lookahead.reservationOf(step),
    };
    const chosen = this.tryPlacing(step, tasks, workers);
    const left = tasks.filter(task => !chosen.has(task));
    const expectedRoom =
      left.length === 0 || preview.reservation !== undefined
        ? undefined
        : this.lookahead.expectedRoom(step, left, workers);
    return {...preview, chosen, expectedRoom};
  }

  /** Workers that tasks of a step would be placed on now. */
  private tryPlacing(
    step: ActiveStep,
    tasks: readonly ActiveTask[],
    workers: readonly WorkerState[],
  ): Map<ActiveTask, WorkerState> {
    const chosen = new Map<ActiveTask, WorkerState>();
    const runs: Run[] = [];
    // Sums of fractions would differ in their last digits afterwards.
    const sums = workers.map(({reserved, bestEffortCpuMilli}) => {
      return {reserved, bestEffortCpuMilli};
    });
    try {
      for (const run of this.assign(step, tasks, workers)) {
        runs.push(run);
        chosen.set(run.task, run.worker);
      }
    } finally {
      for (const run of runs) this.withdraw(run);
      workers.forEach((worker, index) => Object.assign(worker, sums[index]));
    }
    return chosen;
  }

  /** Places tasks of a step; returns why the others, if any, wait. */
  private placeStep(
    step: ActiveStep,
    tasks: readonly ActiveTask[],
    workers: readonly WorkerState[],
  ): WaitReason {
    const checkpoint = step.shape.gang ? gangCheckpoint(step) : undefined;
    const assigned = this.assign(step, tasks, workers);
    let next = assigned.next();
    while (next.done !== true) {
      const run = next.value;
      if (checkpoint !== undefined) run.task.checkpoint = checkpoint;
      this.place(run);
      next = assigned.next();
    }
    return next.value;
  }

  /**
   * Reserves room for tasks of a step and yields a run for each, which the
   * caller places or withdraws; returns why the others, if any, wait.
   */
  private assign(
    step: ActiveStep,
    tasks: readonly ActiveTask[],
    workers: readonly WorkerState[],
  ): Generator<Run, WaitReason> {
    return step.shape.gang
      ? this.assignGang(step, workers)
      : this.assignTasks(step, tasks, workers);
  }

  private updateReserve(workers: readonly WorkerState[], now: Millis): void {
    if (now - this.widthKnownAt >= WIDTH_INTERVAL_MS) {
      this.widthKnownAt = now;
      this.perpetualWidth = perpetualWidth(this.state);
    }
    this.placementCost.reserve.update(workers, this.perpetualWidth);
    this.placementCost.preferred.update(workers);
  }

  private *usableWorkers(now: Millis): Generator<WorkerState> {
    for (const worker of this.state.workers.values()) {
      if (isUsable(worker, now)) yield worker;
    }
  }

  /** Notes why the rest of a step's tasks waits. */
  private noteWaiting(
    step: ActiveStep,
    tasks: readonly ActiveTask[],
    reason: WaitReason,
  ): void {
    const waiting = tasks.filter(({run}) => run === undefined);
    if (waiting.length === 0) return;
    const now = this.state.now();
    const isLate = this.state.timePredictor.isLate(step, now);
    this.backlog.add(step, waiting, reason, isLate, now);
    this.roomReport.addWaiting(step.shape, waiting.length, isLate);
    this.lookahead.noteWaiting(step, waiting, isLate);
  }

  /** Notes the time if short tasks wait for capacity. */
  private trackShortTasks(
    {shape}: ActiveStep,
    tasks: readonly ActiveTask[],
  ): void {
    if (shape.fills || shape.perpetual) return;
    const now = this.state.now();
    const isWaiting = tasks.some(
      task => now - task.readySince > SHORT_TASK_WAIT_MS,
    );
    if (isWaiting) this.shortTasksWaitedAt = now;
  }

  /**
   * Returns the steps with waiting tasks that a scan has not tried yet, in order
   * of their rank.
   */
  private waitingSteps(tried: ReadonlySet<ActiveStep>): WaitingStep[] {
    const groups = new Map<ActiveStep, ActiveTask[]>();
    const now = this.state.now();
    for (const task of this.state.waitingTasks) {
      if (task.notBefore > now || tried.has(task.step)) continue;
      if (task.step.occurrence.job.heldUntil > 0) continue;
      const tasks = groups.get(task.step);
      if (tasks === undefined) groups.set(task.step, [task]);
      else tasks.push(task);
    }
    return [...groups]
      .map(([step, tasks]) => {
        return {step, tasks, rank: this.rankOf(step, tasks, now)};
      })
      .sort((a, b) => a.rank - b.rank);
  }

  private rankOf(
    step: ActiveStep,
    tasks: readonly ActiveTask[],
    now: Millis,
  ): number {
    return isStarved(step, tasks, now)
      ? STARVED_RANK
      : stepRank(step, this.state.timePredictor, now);
  }

  private *assignTasks(
    step: ActiveStep,
    tasks: readonly ActiveTask[],
    workers: readonly WorkerState[],
  ): Generator<Run, WaitReason> {
    if (this.needsForcedStart(step, tasks[0], workers)) {
      const worker = this.forcedStartWorker(step, workers);
      if (worker !== undefined) yield this.reserveNext(tasks[0], worker);
    }
    const candidates = this.candidates(step, workers);
    for (const task of tasks) {
      if (candidates.isEmpty) return WaitReason.ROOM;
      if (task.run !== undefined) continue;
      const worker = candidates.best(task);
      if (worker === undefined) continue;
      yield this.reserveNext(task, worker);
      candidates.refresh(worker);
    }
    return step.shape.fills ? WaitReason.INTERFERENCE : WaitReason.ROOM;
  }

  /**
   * Whether a best-effort job has no runs although enough processors are
   * unreserved. One of its tasks is then started at whatever pace it gets.
   */
  private needsForcedStart(
    {shape, occurrence}: ActiveStep,
    first: ActiveTask,
    workers: readonly WorkerState[],
  ): boolean {
    const waited = this.state.now() - first.readySince;
    if (!shape.fills || waited < FORCED_START_DELAY_MS) return false;
    if (reservedShares(workers).all > MAX_FORCED_START_LOAD) return false;
    for (const task of occurrence.job.tasks()) if (task.run) return false;
    return true;
  }

  /** Worker with the lowest cost for a task regardless of interference. */
  private forcedStartWorker(
    step: ActiveStep,
    workers: readonly WorkerState[],
  ): WorkerState | undefined {
    let best: WorkerState | undefined;
    let lowestCost = Infinity;
    for (const worker of workers) {
      const cost = this.placementCost.forcedStartCost(step, worker);
      if (cost === undefined || cost >= lowestCost) continue;
      lowestCost = cost;
      best = worker;
    }
    return best;
  }

  private candidates(
    step: ActiveStep,
    workers: readonly WorkerState[],
  ): CandidateWorkers {
    const now = this.state.now();
    const areShortTasksWaiting =
      now - this.shortTasksWaitedAt < SHORTAGE_HOLD_TIME_MS;
    return new CandidateWorkers(
      step,
      workers,
      this.placementCost,
      now,
      this.state.wallClock.now(),
      areShortTasksWaiting,
      this.state.timePredictor.isLate(step, now),
    );
  }

  /** Yields runs of either all tasks of a gang or none. */
  private *assignGang(
    step: ActiveStep,
    workers: readonly WorkerState[],
  ): Generator<Run, WaitReason> {
    const pendingTasks = step.tasks.filter(
      ({phase}) => phase !== TaskPhase.DONE,
    );
    if (pendingTasks.some(task => task.run)) return WaitReason.ROOM;
    const racks = new Set(workers.map(({rack}) => rack));
    const workerSets: (readonly WorkerState[])[] = step.shape.sameRack
      ? [...racks].map(rack => workers.filter(worker => worker.rack === rack))
      : [];
    workerSets.push(workers);
    const attempt = Math.max(...pendingTasks.map(task => task.attempt)) + 1;
    for (const workerSet of workerSets) {
      const reservedRuns: Run[] = [];
      const candidates = this.candidates(step, workerSet);
      for (const task of pendingTasks) {
        const worker = candidates.best(task);
        if (worker === undefined) break;
        reservedRuns.push(this.reserve(task, worker, attempt));
        candidates.refresh(worker);
      }
      if (reservedRuns.length === pendingTasks.length) {
        yield* reservedRuns;
        return WaitReason.ROOM;
      }
      for (const run of reservedRuns) this.withdraw(run);
    }
    return WaitReason.ROOM;
  }

  private withdraw(run: Run): void {
    run.worker.remove(run);
    run.task.run = undefined;
  }

  private reserveNext(task: ActiveTask, worker: WorkerState): Run {
    return this.reserve(task, worker, task.attempt + 1);
  }

  /** Creates a run of a task and reserves its resources on a worker. */
  private reserve(task: ActiveTask, worker: WorkerState, attempt: number): Run {
    const now = this.state.now();
    const run: Run = {
      task,
      attempt,
      worker,
      born: worker.born,
      longLeaseUntil: this.state.longLeaseUntil(worker),
      phase: RunPhase.STAGED,
      placedAt: now,
      attributedAt: 0,
      uncertain: false,
      confirmedAt: 0,
      stopAcceptedAt: 0,
      percent: 0,
      lastProgressAt: now,
      pace: 100,
      wasSlowed: false,
      gauge: 0,
    };
    task.run = run;
    worker.add(run);
    return run;
  }

  /** Marks a run's task as placed, and stages the start command. */
  private place(run: Run): void {
    const {task, worker} = run;
    const {job} = task.step.occurrence;
    task.phase = TaskPhase.PLACED;
    task.attempt = run.attempt;
    this.state.waitingTasks.delete(task);
    job.hasStarted = true;
    if (job.phase === JobPhase.QUEUED) job.phase = JobPhase.RUNNING;
    this.state.jobsToStore.add(job);
    this.state.afterCommit.push({kind: CommandKind.START, run});
    const isLate = this.state.timePredictor.isLate(task.step, run.placedAt);
    this.roomReport.addPlaced(task.step.shape, isLate);
    this.lookahead.onPlaced(run);
    this.state.log.decide('place', {
      task: task.name,
      attempt: run.attempt,
      worker: worker.id,
      waitedMs: Math.round(run.placedAt - task.readySince),
      reportAgeMs: Math.round(run.placedAt - worker.lastResponseAt),
    });
  }
}

/** Checkpoint from which all tasks of a gang resume; empty for none. */
function gangCheckpoint({tasks}: ActiveStep): string {
  const resumable = tasks.find(
    ({phase, checkpoint}) => phase !== TaskPhase.DONE && checkpoint !== '',
  );
  return resumable?.checkpoint ?? '';
}

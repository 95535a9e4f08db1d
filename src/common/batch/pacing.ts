import {Millis, SECOND} from '../base/clock.js';
import {
  cpuShare,
  headroom,
  HeadroomForecast,
  timeOverTarget,
} from './headroom.js';
import {CommandKind, SchedulerState} from './scheduler_state.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';

/** Minimum time between two pace changes of a run, as reports lag behind. */
const MIN_PACE_HOLD_MS: Millis = 650;

/** Expected headroom below which best-effort runs are slowed down. */
const SLOW_DOWN_THRESHOLD = 1.1;

/** Headroom that a slow-down restores. */
const SLOW_DOWN_TARGET = 1.3;

/** Headroom that remains after a speed-up. */
const SPEED_UP_TARGET = 1.35;

/**
 * Time ahead for which paces are chosen. It covers the delay of reports and of
 * pace changes.
 */
const LOOKAHEAD_MS: Millis = 800;

/** Headroom below which a serving run counts as over its target. */
const OVER_TARGET_HEADROOM = 1.05;

/**
 * Minimum increase of a pace, in percentage points; smaller ones aren't sent.
 */
const MIN_SPEED_UP = 10;

/** Headroom loss of a serving run below which a best-effort run is ignored. */
const NEGLIGIBLE_LOSS = 0.1;

/** Factor by which runs of late jobs rank higher for slow-downs. */
const LATE_RANK_FACTOR = 3;

/** Time over target after which all best-effort runs on the worker halt. */
const HALT_ALL_AFTER_MS: Millis = 2000;

/** Highest pace, in percent, at which a slowed run is moved. */
const MAX_MOVED_PACE = 35;

/** Time without a pace change after which a slowed run is moved. */
const MOVE_DELAY_MS: Millis = 1000;

/** Maximum moves per task; each costs the time to stop and restore it. */
const MAX_MOVES = 2;

/** MOVE_DELAY_MS for runs without checkpoints, which start over. */
const RESTART_DELAY_MS: Millis = 3000;

/** Time until reports show the full effect of a start or a pace change. */
export const SETTLING_TIME_MS: Millis = 600;

/**
 * Minimum time between two samples of one run; a reported gauge covers half a
 * second.
 */
const MIN_SAMPLE_GAP_MS: Millis = 400;

/** Running serving and best-effort runs of one worker. */
interface ColocatedRuns {
  readonly serving: readonly Run[];
  readonly bestEffort: readonly Run[];
  /** Reported share of the worker's processors in use, by best-effort image. */
  readonly usage: ReadonlyMap<string, number>;
  /** The same once recent starts and pace changes have their full effect. */
  readonly expectedUsage: ReadonlyMap<string, number>;
}

/**
 * Controls the pace of best-effort runs next to serving runs. When a serving
 * run is expected to exceed its target for the tail latency, the runs that
 * interfere most are slowed down first; they speed up again as far as the
 * interference model predicts enough headroom.
 */
export class Pacing {
  /** Local time of the last pace change of a run. */
  private readonly paceChangedAt = new WeakMap<Run, Millis>();
  /** Local time of the last sample of a serving run. */
  private readonly sampledAt = new WeakMap<Run, Millis>();

  constructor(
    private readonly state: SchedulerState,
    private readonly forecast: HeadroomForecast,
  ) {}

  /** Updates the model and the paces after a report of the worker. */
  onReport(worker: WorkerState): void {
    const colocated = this.colocatedRuns(worker);
    if (colocated.serving.length === 0) {
      for (const run of colocated.bestEffort) this.setPace(run, 100);
      return;
    }
    for (const run of colocated.serving) trackOverTarget(run, this.state.now());
    this.observe(colocated);
    if (colocated.bestEffort.length === 0) return;
    const paces = this.slowDowns(colocated);
    this.addSpeedUps(colocated, paces);
    for (const run of colocated.bestEffort) {
      const pace = paces.get(run) ?? run.pace;
      if (pace !== run.pace) this.setPace(run, pace);
      else this.moveIfSlow(run);
    }
  }

  /** Passes samples to the model, unless a pace changed recently. */
  private observe({serving, bestEffort, usage}: ColocatedRuns): void {
    const now = this.state.now();
    if (!this.isSettled(bestEffort)) return;
    for (const run of serving) {
      if (now - (this.sampledAt.get(run) ?? 0) < MIN_SAMPLE_GAP_MS) continue;
      this.sampledAt.set(run, now);
      this.forecast.observe(run, usage, now);
    }
  }

  /** Whether reports show the current paces. */
  private isSettled(bestEffort: readonly Run[]): boolean {
    const now = this.state.now();
    return bestEffort.every(
      run => now - (this.paceChangedAt.get(run) ?? 0) >= SETTLING_TIME_MS,
    );
  }

  /**
   * Headroom of a serving run after LOOKAHEAD_MS at the current paces: the
   * reported headroom plus its trend, if falling, less the further loss by
   * starts and pace changes that reports don't show yet.
   */
  private expectedHeadroom(
    servingRun: Run,
    {usage, expectedUsage}: ColocatedRuns,
  ): number {
    const trend = Math.min(
      0,
      this.forecast.trend(servingRun, this.state.now()),
    );
    const reportedLoss = this.forecast.headroomLoss(servingRun, usage);
    const expectedLoss = this.forecast.headroomLoss(servingRun, expectedUsage);
    const ahead = LOOKAHEAD_MS / SECOND;
    return headroom(servingRun) + trend * ahead + reportedLoss - expectedLoss;
  }

  private colocatedRuns(worker: WorkerState): ColocatedRuns {
    const now = this.state.now();
    const serving: Run[] = [];
    const bestEffort: Run[] = [];
    const usage = new Map<string, number>();
    const expectedUsage = new Map<string, number>();
    const capacity = worker.capacity.cpuMilli;
    for (const run of worker.runs.values()) {
      if (run.phase !== RunPhase.RUNNING) continue;
      const {shape} = run.task.step;
      if (shape.targetMs > 0 && run.percent === 100) serving.push(run);
      if (!shape.fills) continue;
      bestEffort.push(run);
      const planned = (cpuShare(run) * run.pace) / 100;
      const age = now - run.confirmedAt;
      const reported = run.gauge / capacity;
      const isYoung = age < SETTLING_TIME_MS;
      // The gauge averages over half a second, so it shows a younger run only
      // in part.
      addTo(
        usage,
        shape.image,
        isYoung ? planned * (age / SETTLING_TIME_MS) : reported,
      );
      const isSteady = !isYoung && this.isSettled([run]);
      addTo(expectedUsage, shape.image, isSteady ? reported : planned);
    }
    return {serving, bestEffort, usage, expectedUsage};
  }

  /**
   * Returns lower paces for the runs that interfere, the largest loss first.
   */
  private slowDowns(colocated: ColocatedRuns): Map<Run, number> {
    const now = this.state.now();
    const paces = new Map<Run, number>();
    for (const servingRun of colocated.serving) {
      if (timeOverTarget(servingRun, now) > HALT_ALL_AFTER_MS) {
        for (const run of colocated.bestEffort) paces.set(run, 0);
        return paces;
      }
      const expected = this.expectedHeadroom(servingRun, colocated);
      if (expected < SLOW_DOWN_THRESHOLD) {
        this.reducePaces(
          servingRun,
          SLOW_DOWN_TARGET - expected,
          colocated,
          paces,
        );
      }
    }
    return paces;
  }

  /** Lowers paces until a serving run regains the missing headroom. */
  private reducePaces(
    servingRun: Run,
    missing: number,
    colocated: ColocatedRuns,
    paces: Map<Run, number>,
  ): void {
    let remaining = missing;
    const byRank = [...colocated.bestEffort].sort(
      (a, b) =>
        this.slowDownRank(b, servingRun) - this.slowDownRank(a, servingRun),
    );
    for (const run of byRank) {
      const pace = paces.get(run) ?? run.pace;
      const loss = this.headroomLoss(run, servingRun, pace);
      if (loss < NEGLIGIBLE_LOSS) continue;
      if (remaining <= 0) return;
      const kept = Math.max(0, 1 - remaining / loss);
      paces.set(run, Math.floor(pace * kept));
      remaining -= loss;
    }
  }

  /** Raises paces as long as all serving runs keep SPEED_UP_TARGET. */
  private addSpeedUps(colocated: ColocatedRuns, paces: Map<Run, number>): void {
    const spareHeadroom = new Map<Run, number>();
    for (const servingRun of colocated.serving) {
      spareHeadroom.set(
        servingRun,
        this.expectedHeadroom(servingRun, colocated) - SPEED_UP_TARGET,
      );
    }
    for (const run of colocated.bestEffort) {
      if (run.pace === 100 || paces.has(run)) continue;
      // Percentage points by which the pace is raised.
      let points = 100 - run.pace;
      for (const [servingRun, left] of spareHeadroom) {
        const loss = this.headroomLoss(run, servingRun, points);
        if (loss < NEGLIGIBLE_LOSS || loss <= left) continue;
        points = Math.max(0, Math.floor((points * left) / loss));
      }
      if (points < MIN_SPEED_UP) continue;
      paces.set(run, run.pace + points);
      for (const [servingRun, left] of spareHeadroom) {
        spareHeadroom.set(
          servingRun,
          left - this.headroomLoss(run, servingRun, points),
        );
      }
    }
  }

  /** Runs with a higher rank slow down first; runs of late jobs rank higher. */
  private slowDownRank(run: Run, servingRun: Run): number {
    const factor = this.isLate(run) ? LATE_RANK_FACTOR : 1;
    return this.weight(run, servingRun) * factor;
  }

  private isLate({task}: Run): boolean {
    return this.state.timePredictor.isLate(task.step, this.state.now());
  }

  private weight(run: Run, servingRun: Run): number {
    return this.forecast.weight(servingRun, run.task.step.shape.image);
  }

  /** Headroom that a serving run loses to a best-effort run at a pace. */
  private headroomLoss(run: Run, servingRun: Run, percent: number): number {
    return (this.weight(run, servingRun) * cpuShare(run) * percent) / 100;
  }

  /** Moves a run to another worker if its pace stays low. */
  private moveIfSlow(run: Run): void {
    if (run.pace > MAX_MOVED_PACE) return;
    const {task} = run;
    const slowFor = this.state.now() - (this.paceChangedAt.get(run) ?? 0);
    const {checkpoints} = task.step.shape;
    if (slowFor < (checkpoints ? MOVE_DELAY_MS : RESTART_DELAY_MS)) return;
    if (task.interferenceMoves >= MAX_MOVES || this.isLate(run)) return;
    task.interferenceMoves++;
    task.failedOn = run.worker.id;
    this.state.stop(run, 'it disturbs a serving task');
  }

  private setPace(run: Run, percent: number): void {
    const now = this.state.now();
    if (percent === run.pace) return;
    if (now - (this.paceChangedAt.get(run) ?? 0) < MIN_PACE_HOLD_MS) return;
    this.state.log.decide('pace', {
      task: run.task.name,
      worker: run.worker.id,
      from: run.pace,
      to: percent,
    });
    this.paceChangedAt.set(run, now);
    run.pace = percent;
    run.wasSlowed ||= percent < 100;
    this.state.immediate.push({kind: CommandKind.PACE, run, percent});
  }
}

/** Updates the time since which a serving run is over its target. */
function trackOverTarget(run: Run, now: Millis): void {
  if (headroom(run) >= OVER_TARGET_HEADROOM) run.overTargetSince = undefined;
  else run.overTargetSince ??= now;
}

function addTo(sums: Map<string, number>, key: string, value: number): void {
  sums.set(key, (sums.get(key) ?? 0) + value);
}

import {Millis} from '../base/clock.js';
import {CommandKind, SchedulerState} from './scheduler_state.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';

/** Least time between two changes of pace on one worker: a gauge's window. */
const CHANGE_INTERVAL: Millis = 450;

/** Share of the tail-latency target above which fillers slow down. */
const SLOW_DOWN_AT = 0.9;

/** Share of the target below which fillers may work faster. */
const SPEED_UP_AT = 0.65;

/** Steps by which the pace falls (factor) and rises (percentage points). */
const SLOW_DOWN_FACTOR = 0.5;
const SPEED_UP_POINTS = 15;

/** Below this pace, in percent, fillers are halted. */
const LEAST_PACE = 15;

/** Pace of the filling tasks on one worker. */
interface WorkerPace {
  percent: number;
  changedAt: Millis;
}

/**
 * Slows filling tasks on workers whose serving tasks exceed their target for
 * the tail latency, and lets them speed up when it is well below.
 */
export class Pacing {
  private readonly paces = new WeakMap<WorkerState, WorkerPace>();

  constructor(private readonly state: SchedulerState) {}

  /** Pace of fillers on a worker, in percent. */
  percent(worker: WorkerState): number {
    return this.paces.get(worker)?.percent ?? 100;
  }

  /** Decides after a report of the worker. */
  onReport(worker: WorkerState): void {
    const fillers: Run[] = [];
    let worst = 0;
    for (const run of worker.runs.values()) {
      if (run.phase !== RunPhase.RUNNING) continue;
      const {fills, targetMs} = run.task.step.shape;
      if (fills) fillers.push(run);
      if (targetMs > 0) worst = Math.max(worst, run.gauge / targetMs);
    }
    const pace = this.paceOf(worker);
    if (fillers.length === 0 && pace.percent === 100) return;
    this.adjust(worker, pace, worst);
    for (const run of fillers) {
      if (run.pace === pace.percent) continue;
      this.state.urgent.push({
        kind: CommandKind.PACE,
        run,
        percent: pace.percent,
      });
    }
  }

  private paceOf(worker: WorkerState): WorkerPace {
    let pace = this.paces.get(worker);
    if (pace === undefined) {
      pace = {percent: 100, changedAt: 0};
      this.paces.set(worker, pace);
    }
    return pace;
  }

  private adjust(worker: WorkerState, pace: WorkerPace, worst: number): void {
    const now = this.state.now();
    if (now - pace.changedAt < CHANGE_INTERVAL) return;
    let {percent} = pace;
    if (worst > SLOW_DOWN_AT) {
      percent = Math.floor(percent * SLOW_DOWN_FACTOR);
      if (percent < LEAST_PACE) percent = 0;
    } else if (worst < SPEED_UP_AT) {
      percent = Math.min(100, percent + SPEED_UP_POINTS);
    }
    if (percent === pace.percent) return;
    this.state.log.decide('pace', {
      worker: worker.id,
      from: pace.percent,
      to: percent,
      tailOfTarget: Math.round(worst * 100) / 100,
    });
    pace.percent = percent;
    pace.changedAt = now;
  }
}

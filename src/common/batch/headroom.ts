import {ActiveStep} from './active_job.js';
import {Millis} from '../base/clock.js';
import {BestEffortUsage, InterferenceModel} from './interference.js';
import {BaselineHeadroom} from './baseline_headroom.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';

/** Upper bound of the headroom; differences above it don't matter. */
const MAX_HEADROOM = 8;

/**
 * Assumed headroom of a serving task without load, as targets are set to
 * multiples of the latency without load.
 */
const IDLE_HEADROOM = 5;

/** Bounds of an estimated load, as IDLE_HEADROOM is only a rough value. */
const MIN_LOAD = 0.25;
const MAX_LOAD = 0.75;

/** Share of its worker's processors that a best-effort run may use. */
export function cpuShare(run: Run): number {
  const {shape} = run.task.step;
  return shape.cpuMilli / run.worker.capacity.cpuMilli;
}

/**
 * Headroom of a serving run: its target divided by the reported tail latency.
 * It is 1 at the target and lower above it.
 */
export function headroom(run: Run): number {
  const {targetMs} = run.task.step.shape;
  return Math.min(MAX_HEADROOM, targetMs / Math.max(1, run.gauge));
}

/** Time for which reports have shown a run over its target; 0 if it isn't. */
export function timeOverTarget(run: Run, now: Millis): Millis {
  return run.overTargetSince === undefined ? 0 : now - run.overTargetSince;
}

/** Predicts the headroom of serving runs from load and interference. */
export class HeadroomForecast {
  private readonly baselines = new WeakMap<ActiveStep, BaselineHeadroom>();

  constructor(readonly interference: InterferenceModel) {}

  /** Updates the estimates by the latest report of a serving run. */
  observe(run: Run, usage: BestEffortUsage, now: Millis): void {
    const {step} = run.task;
    const {image} = step.shape;
    const baseline = this.baselineOf(step);
    const sample = {headroom: headroom(run), usage, at: now};
    this.interference.observe(run, image, sample, baseline.trend(now));
    const loss = this.interference.headroomLoss(image, usage);
    baseline.observe(sample.headroom + loss, now);
  }

  /** Lowest expected headroom of a serving run from `now` to `now + ahead`. */
  predict(
    run: Run,
    usage: BestEffortUsage,
    now: Millis,
    ahead: Millis,
  ): number {
    const baseline = this.baselineOf(run.task.step).forecast(now, ahead);
    return baseline - this.headroomLoss(run, usage);
  }

  /** Headroom that a serving run loses to best-effort tasks. */
  headroomLoss(run: Run, usage: BestEffortUsage): number {
    return this.interference.headroomLoss(run.task.step.shape.image, usage);
  }

  /**
   * Expected share of its reserved processors that a serving run uses, from
   * `now` to `now + ahead`.
   */
  load(run: Run, now: Millis, ahead: Millis): number {
    const baseline = this.baselineOf(run.task.step).forecast(now, ahead);
    const load = 1 - baseline / IDLE_HEADROOM;
    return Math.min(MAX_LOAD, Math.max(MIN_LOAD, load));
  }

  /** Change of a serving run's headroom per second due to its own load. */
  trend(run: Run, now: Millis): number {
    return this.baselineOf(run.task.step).trend(now);
  }

  /** Headroom loss of a serving run if an image used the whole worker. */
  weight(serving: Run, bestEffortImage: string): number {
    return this.interference.weight(
      serving.task.step.shape.image,
      bestEffortImage,
    );
  }

  /** Mean weight of all known best-effort images for a serving image. */
  meanWeight(servingImage: string): number {
    return this.interference.meanWeight(servingImage);
  }

  /** The weight plus a margin that shrinks as samples of the pair arrive. */
  weightUpperBound(servingImage: string, bestEffortImage: string): number {
    return this.interference.weightUpperBound(servingImage, bestEffortImage);
  }

  private baselineOf(step: ActiveStep): BaselineHeadroom {
    let baseline = this.baselines.get(step);
    if (baseline === undefined) {
      baseline = new BaselineHeadroom();
      this.baselines.set(step, baseline);
    }
    return baseline;
  }
}

/** Serving runs of a worker that run or are about to. */
export function servingRuns(worker: WorkerState): Run[] {
  return [...worker.runs.values()].filter(
    ({task, phase}) =>
      task.step.shape.targetMs > 0 && phase !== RunPhase.STOPPING,
  );
}

/**
 * Share of a worker's processors that its best-effort runs use at full pace, by
 * image.
 */
export function fullPaceUsage(worker: WorkerState): Map<string, number> {
  const usage = new Map<string, number>();
  for (const run of worker.runs.values()) {
    const {fills, image} = run.task.step.shape;
    if (fills) usage.set(image, (usage.get(image) ?? 0) + cpuShare(run));
  }
  return usage;
}

import {Clock, Millis} from '../base/clock.js';
import {ActiveJob, ActiveStep} from './active_job.js';
import {RunTimeSpread} from './lookahead/run_time_spread.js';
import {RunTimePredictor} from './run_time_predictor.js';
import {Run} from './worker_state.js';

/**
 * Growth of a step's duration per unit of the natural logarithm of its task
 * count. Task durations vary, and a step ends with its slowest task.
 */
const WIDTH_GROWTH = 0.25;

/** Fraction of its expected duration that a job takes at best. */
const OPTIMISTIC_FRACTION = 0.7;

/** Factor by which the true objective may exceed the predicted one. */
const LATENESS_TOLERANCE = 1.15;

/** Time for which the prediction of a job is cached. */
const PREDICTION_TTL_MS: Millis = 300;

/**
 * Remaining work of a job above which jobs are not told apart: 14 hours of one
 * core.
 */
const MAX_WORK_MS: Millis = 5e7;

/** Weight of the queue's prediction, as a number of measured runs. */
const PRIOR_WEIGHT = 1;

/** Prediction for one job. */
interface JobPrediction {
  /** Local time of the prediction. */
  readonly computedAt: Millis;
  /** Expected remaining work, in ms of one core. */
  readonly remainingWorkMs: Millis;
  /** Duration of the longest chain of steps that starts with each step. */
  readonly criticalPaths: readonly Millis[];
}

/** Predicts the durations of jobs and whether they meet their objectives. */
export class JobTimePredictor {
  readonly runTimePredictor = new RunTimePredictor();
  /** Errors of the expected run times. */
  readonly spread = new RunTimeSpread();
  private readonly predictions = new WeakMap<ActiveJob, JobPrediction>();

  constructor(private readonly clock: Clock) {}

  /**
   * Records the duration of a run that ended as done. Ignores runs of perpetual
   * tasks and runs that were slowed, were never confirmed or may have resumed
   * from a checkpoint.
   */
  onRunDone(run: Run): void {
    const {step} = run.task;
    const {shape, occurrence} = step;
    if (shape.perpetual || run.confirmedAt === 0 || run.wasSlowed) return;
    if (run.task.checkpoint !== '' && run.attempt > 1) return;
    const actual = this.clock.now() - run.confirmedAt;
    const {name} = occurrence.job.queue;
    this.spread.observe(name, this.expectedRunTime(step), actual);
    this.runTimePredictor.observe(name, shape.estimateMs, actual);
    step.measuredRuns++;
    step.measuredTotalMs += actual;
  }

  /** Expected run time of one task of a step on a healthy worker. */
  expectedRunTime(step: ActiveStep): Millis {
    const {shape, occurrence, measuredRuns, measuredTotalMs} = step;
    const {name} = occurrence.job.queue;
    const prior = this.runTimePredictor.predict(name, shape.estimateMs);
    const weight = measuredRuns + PRIOR_WEIGHT;
    return (measuredTotalMs + PRIOR_WEIGHT * prior) / weight;
  }

  /**
   * Expected duration of the longest chain of steps that starts with a step.
   */
  criticalPath(
    {occurrence, number}: ActiveStep,
    now: Millis = this.clock.now(),
  ): Millis {
    return this.predictionOf(occurrence.job, now).criticalPaths[number];
  }

  /** Expected time from the release of a job's occurrence to its objective. */
  latencyObjective(job: ActiveJob, now: Millis = this.clock.now()): Millis {
    const {stretch, latencyMs} = job.queue;
    const longest = Math.max(0, ...this.predictionOf(job, now).criticalPaths);
    return stretch * longest + latencyMs;
  }

  /**
   * Time for which a step may still wait without delaying its occurrence beyond
   * the objective; negative if it is expected to miss it.
   */
  slack(step: ActiveStep, now: Millis): Millis {
    const {job, releasedAt} = step.occurrence;
    const objectiveAt = releasedAt + this.latencyObjective(job, now);
    return objectiveAt - this.criticalPath(step, now) - now;
  }

  /** Whether a step's occurrence is unlikely to meet its objective. */
  isLate(step: ActiveStep, now: Millis): boolean {
    const {job, releasedAt} = step.occurrence;
    const expected =
      now - releasedAt + this.criticalPath(step, now) * OPTIMISTIC_FRACTION;
    return expected > this.latencyObjective(job, now) * LATENESS_TOLERANCE;
  }

  private predictionOf(job: ActiveJob, now: Millis): JobPrediction {
    const cached = this.predictions.get(job);
    if (cached !== undefined && now - cached.computedAt < PREDICTION_TTL_MS) {
      return cached;
    }
    const prediction = {
      computedAt: now,
      remainingWorkMs: this.computeRemainingWork(job),
      criticalPaths: this.computeCriticalPaths(job),
    };
    this.predictions.set(job, prediction);
    return prediction;
  }

  /** Expected remaining work of a job, in ms of one core. */
  remainingWork(job: ActiveJob, now: Millis): Millis {
    return this.predictionOf(job, now).remainingWorkMs;
  }

  private computeRemainingWork(job: ActiveJob): Millis {
    let work = 0;
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.steps) {
        const {cpuMilli, count} = step.shape;
        const left = (count - step.doneCount) * this.expectedRunTime(step);
        work += (left * cpuMilli) / 1000;
      }
    }
    return Math.min(work, MAX_WORK_MS);
  }

  private computeCriticalPaths(job: ActiveJob): readonly Millis[] {
    const {steps} = job.submission.shape;
    // Occurrences have the same steps; the latest has the newest measurements.
    const latest = [...job.occurrences.values()].pop();
    const {name} = job.queue;
    const criticalPaths = new Array<Millis>(steps.length).fill(0);
    // Steps depend on earlier steps only, so the last step has no successor.
    for (let number = steps.length - 1; number >= 0; number--) {
      const {estimateMs, count, after} = steps[number];
      const taskMs = latest
        ? this.expectedRunTime(latest.steps[number])
        : this.runTimePredictor.predict(name, estimateMs);
      criticalPaths[number] += taskMs * (1 + WIDTH_GROWTH * Math.log(count));
      for (const earlier of after) {
        criticalPaths[earlier] = Math.max(
          criticalPaths[earlier],
          criticalPaths[number],
        );
      }
    }
    return criticalPaths;
  }
}

import {Millis} from '../base/clock.js';
import {Run} from './worker_state.js';

/** Steps by which averages follow new run times. */
const QUEUE_STEP = 0.03;
const WORKER_STEP = 0.25;

/** Bounds of one run time against the expected one, against outliers. */
const LEAST_RATIO = 0.25;
const LARGEST_RATIO = 8;

/**
 * Learns which workers are slow. Estimates of callers are off by half or more,
 * so a run time counts against the mean of its queue.
 */
export class WorkerSpeeds {
  /** Mean ratio of run time to estimate, by queue. */
  private readonly queueRatios = new Map<string, number>();

  /** Takes in the end of a run that had its processors to itself. */
  onDone(run: Run, now: Millis): void {
    const {shape, occurrence} = run.task.step;
    if (shape.fills || shape.perpetual || shape.estimateMs <= 0) return;
    if (run.confirmedAt === 0) return;
    const queue = occurrence.job.queue.name;
    const ratio = (now - run.confirmedAt) / shape.estimateMs;
    const mean = this.queueRatios.get(queue) ?? ratio;
    const relative = bounded(ratio / mean);
    this.queueRatios.set(queue, mean * (1 + QUEUE_STEP * (relative - 1)));
    const {worker} = run;
    worker.slowness += WORKER_STEP * (relative - worker.slowness);
  }
}

function bounded(ratio: number): number {
  return Math.min(LARGEST_RATIO, Math.max(LEAST_RATIO, ratio));
}

import {Millis, SECOND} from '../../base/clock.js';
import {ActiveStep} from '../active_job.js';
import {reservationOf, tasksThatFit} from '../room.js';
import {unsuitableReason} from '../worker_exclusion.js';
import {WorkerState} from '../worker_state.js';
import {addResources} from './room_forecast.js';

/**
 * Cost of a worker on which a short task would use a gap for a large one,
 * relative to a load of 0 to 1. It is below the costs of a cold worker (0.5), a
 * slow one (0.7) and one in another rack than the data (3).
 */
const GAP_COST = 0.45;

/**
 * Time for which gaps are kept after a large task has waited, as for the
 * shortage of capacity in placement.ts.
 */
const HOLD_TIME_MS: Millis = 3 * SECOND;

/** Keeps gaps for large tasks when short ones are placed. */
export class GapFit {
  private largeStep: ActiveStep | undefined;
  private heldUntil: Millis = -Infinity;

  /** Notes that tasks of a large step wait at a local time. */
  hold(step: ActiveStep, now: Millis): void {
    this.largeStep = step;
    this.heldUntil = now + HOLD_TIME_MS;
  }

  /** Forgets the large step once its time is over. */
  refresh(now: Millis): void {
    if (now >= this.heldUntil) this.largeStep = undefined;
  }

  /** Additional cost of a worker for a task of a step; 0 for no large step. */
  costOf({shape}: ActiveStep, worker: WorkerState): number {
    const {largeStep} = this;
    if (largeStep === undefined || shape.fills || shape.perpetual) return 0;
    if (shape.cpuMilli >= largeStep.shape.cpuMilli) return 0;
    const {free} = worker;
    const before = tasksThatFit(free, largeStep.shape);
    if (before === 0) return 0;
    if (unsuitableReason(largeStep, worker) !== undefined) return 0;
    const left = addResources(free, reservationOf(shape), -1);
    return tasksThatFit(left, largeStep.shape) < before ? GAP_COST : 0;
  }
}

import {Millis} from '../../base/clock.js';
import {ActiveStep} from '../active_job.js';
import {WorkerState} from '../worker_state.js';

/** Room that is kept free on workers for tasks of a step that waits. */
export interface Reservation {
  readonly step: ActiveStep;
  /** Numbers of the step's tasks for which each worker keeps room. */
  readonly slots: ReadonlyMap<WorkerState, number>;
  /** Local time at which it was made. */
  readonly madeAt: Millis;
  /** Local time at which the room is expected. */
  readonly expectedAt: Millis;
  /** Local time at which it is released as missed. */
  readonly expiresAt: Millis;
  /** Whether the job was unlikely to meet its objective. */
  readonly isLate: boolean;
}

/** How a reservation ended. */
export const ReservationEnd = {
  /** A task of the step was placed on its workers. */
  MET: 'met',
  /** Its expected time and a margin are over. */
  MISSED: 'missed',
  /** It is not needed or not possible any more; see ReleaseCause. */
  RELEASED: 'released',
} as const;
export type ReservationEnd =
  (typeof ReservationEnd)[keyof typeof ReservationEnd];

/** Why a reservation was released. */
export const ReleaseCause = {
  /** The step found room elsewhere, was cancelled or was handed over. */
  NOT_WAITING: 'not-waiting',
  /** A worker can get no runs: it died, drains, left or was evacuated. */
  UNUSABLE_WORKER: 'unusable-worker',
  /** A task of another large step, which comes first, has taken the room. */
  OVERTAKEN: 'overtaken',
  /** A perpetual task that waited too long has room nowhere else. */
  PERPETUAL_TASK: 'perpetual-task',
} as const;
export type ReleaseCause = (typeof ReleaseCause)[keyof typeof ReleaseCause];

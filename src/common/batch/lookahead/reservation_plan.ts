import {Millis} from '../../base/clock.js';
import {ActiveStep} from '../active_job.js';
import {reservationOf} from '../room.js';
import {DecisionLog} from '../scheduler_state.js';
import {hasRoom, isUsable} from '../worker_exclusion.js';
import {WorkerState} from '../worker_state.js';
import {ExpectedEnds} from './expected_ends.js';
import {ReleaseCause, Reservation, ReservationEnd} from './reservation.js';
import {addResources, covers, freeAt} from './room_forecast.js';

/** The reservations of a term, at most one on a worker. */
export class ReservationPlan {
  private readonly byWorker = new Map<WorkerState, Reservation>();
  private readonly reservations = new Set<Reservation>();

  constructor(private readonly log: DecisionLog) {}

  get size(): number {
    return this.reservations.size;
  }

  get workerCount(): number {
    return this.byWorker.size;
  }

  all(): Iterable<Reservation> {
    return this.reservations;
  }

  /** Reservation on a worker, if any. */
  on(worker: WorkerState): Reservation | undefined {
    return this.byWorker.get(worker);
  }

  /** Number of reservations for a step. */
  countOf(step: ActiveStep): number {
    let count = 0;
    for (const reservation of this.reservations) {
      if (reservation.step === step) count++;
    }
    return count;
  }

  add(reservation: Reservation): void {
    this.reservations.add(reservation);
    for (const worker of reservation.slots.keys()) {
      this.byWorker.set(worker, reservation);
    }
    this.report('made', reservation, reservation.madeAt);
  }

  /**
   * Releases the reservations that are void or over at a local time.
   * @param waitingTasks number of tasks of a step that wait.
   */
  refresh(waitingTasks: (step: ActiveStep) => number, now: Millis): void {
    for (const reservation of this.reservations) {
      const {step, slots, expiresAt} = reservation;
      if (this.countOf(step) > waitingTasks(step)) {
        this.release(reservation, ReleaseCause.NOT_WAITING, now);
      } else if (![...slots.keys()].every(worker => isUsable(worker, now))) {
        this.release(reservation, ReleaseCause.UNUSABLE_WORKER, now);
      } else if (now >= expiresAt) {
        this.end(reservation, ReservationEnd.MISSED, now);
      }
    }
  }

  /**
   * Ends the reservation on a worker on which a task of its step was placed, or
   * one of another large step.
   */
  onPlaced(
    step: ActiveStep,
    worker: WorkerState,
    isLarge: boolean,
    now: Millis,
  ): void {
    const reservation = this.byWorker.get(worker);
    if (reservation?.step === step) {
      this.end(reservation, ReservationEnd.MET, now);
    } else if (reservation !== undefined && isLarge) {
      this.release(reservation, ReleaseCause.OVERTAKEN, now);
    }
  }

  /**
   * Releases the reservations of up to `most` workers with room for a perpetual
   * task that has waited too long.
   */
  yieldTo(step: ActiveStep, most: number, now: Millis): void {
    let left = most;
    for (const [worker, reservation] of this.byWorker) {
      if (left === 0) return;
      if (!hasRoom(step, worker)) continue;
      left--;
      this.release(reservation, ReleaseCause.PERPETUAL_TASK, now);
    }
  }

  /**
   * Whether a task of a step may be placed on a worker that has room for it. On
   * a reserved worker it may if it delays the reserved tasks by no more than is
   * unforeseen, or does not have to wait for them.
   */
  admits(step: ActiveStep, worker: WorkerState, ends: ExpectedEnds): boolean {
    const reservation = this.byWorker.get(worker);
    if (reservation === undefined || reservation.step === step) return true;
    const {shape, occurrence} = step;
    if (shape.perpetual) return false;
    const {occurrence: other} = reservation.step;
    if (occurrence.job.queue.priority < other.job.queue.priority) return true;
    if (leavesRoom(step, worker, reservation, ends)) return true;
    return (
      !shape.fills && ends.upperEndOf(step, worker) <= reservation.expectedAt
    );
  }

  private release(
    reservation: Reservation,
    cause: ReleaseCause,
    now: Millis,
  ): void {
    this.end(reservation, ReservationEnd.RELEASED, now, cause);
  }

  private end(
    reservation: Reservation,
    end: ReservationEnd,
    now: Millis,
    cause?: ReleaseCause,
  ): void {
    this.reservations.delete(reservation);
    for (const worker of reservation.slots.keys()) {
      this.byWorker.delete(worker);
    }
    this.report(end, reservation, now, cause);
  }

  private report(
    event: 'made' | ReservationEnd,
    reservation: Reservation,
    now: Millis,
    cause?: ReleaseCause,
  ): void {
    const {step, slots, madeAt, expectedAt, isLate} = reservation;
    const {job, number} = step.occurrence;
    const isOver =
      event === ReservationEnd.MET || event === ReservationEnd.MISSED;
    this.log.decide('reservation', {
      event,
      cause,
      step: `${job.id}.${number}.${step.number}`,
      queue: job.queue.name,
      cpuMilli: step.shape.cpuMilli,
      gang: step.shape.gang,
      workers: [...slots.keys()].map(({id}) => id),
      isLate,
      expectedMs: Math.round(expectedAt - madeAt),
      actualMs: event === 'made' ? undefined : Math.round(now - madeAt),
      errorMs: isOver ? Math.round(Math.abs(now - expectedAt)) : undefined,
      held: this.reservations.size,
    });
  }
}

/**
 * Whether a worker still has room for the reserved tasks at the expected time
 * with another task placed now that doesn't end before.
 */
function leavesRoom(
  {shape}: ActiveStep,
  worker: WorkerState,
  {step, slots, expectedAt}: Reservation,
  ends: ExpectedEnds,
): boolean {
  const free = freeAt(worker, ends.of(worker), expectedAt);
  const left = addResources(free, reservationOf(shape), -1);
  const need = reservationOf(step.shape);
  const count = slots.get(worker) ?? 1;
  return covers(left, {
    cpuMilli: count * need.cpuMilli,
    memoryMb: count * need.memoryMb,
    gpus: count * need.gpus,
  });
}

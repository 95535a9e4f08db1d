import {Millis} from '../../base/clock.js';
import {ActiveStep, ActiveTask} from '../active_job.js';
import {covers, slotTimes} from './room_forecast.js';
import {isUnderLimit, unsuitableReason} from '../worker_exclusion.js';
import {WorkerState} from '../worker_state.js';
import {reservationOf} from '../room.js';
import {ExpectedEnds} from './expected_ends.js';
import {UnreservedSize} from './unreserved_size.js';

/**
 * Most workers whose runs one search goes through. The best of 64 is among the
 * first twentieth of a larger fleet with a probability of 0.96; with 200, a
 * search at 490 workers took over a tenth of a slice of 15 ms.
 */
export const MAX_SEARCHED_WORKERS = 64;

/** Room that a search has found. */
export interface FoundRoom {
  /** Numbers of tasks by worker. */
  readonly slots: ReadonlyMap<WorkerState, number>;
  /** Local time at which all of it is expected. */
  readonly at: Millis;
}

/** Room for one task on a worker. */
interface Slot {
  readonly worker: WorkerState;
  readonly at: Millis;
}

/** Finds where room for a step's tasks is expected first. */
export class ReservationSearch {
  /** Position in the list of workers at which the next search begins. */
  private nextIndex = 0;
  /** Numbers of runs and of workers that all searches have gone through. */
  visitedRuns = 0;
  visitedWorkers = 0;

  constructor(private readonly unreservedSize: UnreservedSize) {}

  /**
   * Room for one of the waiting tasks, or for all of them if they are a gang;
   * undefined if none is expected, or on more than `mostWorkers` workers only.
   * @param workers usable workers without a reservation.
   */
  find(
    step: ActiveStep,
    waiting: readonly ActiveTask[],
    workers: readonly WorkerState[],
    mostWorkers: number,
    ends: ExpectedEnds,
    now: Millis,
  ): FoundRoom | undefined {
    const count = step.shape.gang ? waiting.length : 1;
    const slots = this.slots(step, count, workers, ends, now);
    if (!step.shape.gang || !step.shape.sameRack) {
      return firstRoom(slots, count, mostWorkers);
    }
    const racks = new Map<string, Slot[]>();
    for (const slot of slots) {
      const {rack} = slot.worker;
      const others = racks.get(rack);
      if (others === undefined) racks.set(rack, [slot]);
      else others.push(slot);
    }
    let best: FoundRoom | undefined;
    for (const rackSlots of racks.values()) {
      const room = firstRoom(rackSlots, count, mostWorkers);
      if (room !== undefined && room.at < (best?.at ?? Infinity)) best = room;
    }
    return best ?? firstRoom(slots, count, mostWorkers);
  }

  /** Runs a search that leaves the position and the counts as they are. */
  preview<T>(search: () => T): T {
    const {nextIndex, visitedRuns, visitedWorkers} = this;
    try {
      return search();
    } finally {
      Object.assign(this, {nextIndex, visitedRuns, visitedWorkers});
    }
  }

  private slots(
    step: ActiveStep,
    count: number,
    workers: readonly WorkerState[],
    ends: ExpectedEnds,
    now: Millis,
  ): Slot[] {
    const slots: Slot[] = [];
    const need = reservationOf(step.shape);
    const runsBefore = ends.computed;
    let visited = 0;
    let seen = 0;
    for (; seen < workers.length && visited < MAX_SEARCHED_WORKERS; seen++) {
      const worker = workers[(this.nextIndex + seen) % workers.length];
      if (!couldHold(step, worker)) continue;
      if (!covers(this.unreservedSize.of(worker), need)) continue;
      visited++;
      const times = slotTimes(step, worker, ends.of(worker), count, now);
      for (const at of times) slots.push({worker, at});
    }
    this.nextIndex = (this.nextIndex + seen) % Math.max(1, workers.length);
    this.visitedWorkers += visited;
    this.visitedRuns += ends.computed - runsBefore;
    return slots;
  }
}

/** Whether a worker could get a task of a step once it has room. */
function couldHold(step: ActiveStep, worker: WorkerState): boolean {
  if (unsuitableReason(step, worker) !== undefined) return false;
  const isTested = worker.isOnProbation || worker.perpetualTestsUntil > 0;
  return !isTested && isUnderLimit(step, worker);
}

/** The earliest `count` of the slots, unless they are on too many workers. */
function firstRoom(
  slots: readonly Slot[],
  count: number,
  mostWorkers: number,
): FoundRoom | undefined {
  if (slots.length < count) return undefined;
  const first = [...slots].sort((a, b) => a.at - b.at).slice(0, count);
  const counts = new Map<WorkerState, number>();
  for (const {worker} of first) {
    counts.set(worker, (counts.get(worker) ?? 0) + 1);
  }
  if (counts.size > mostWorkers) return undefined;
  return {slots: counts, at: first[count - 1].at};
}

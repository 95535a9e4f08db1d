import {Resources} from '../types.js';
import {WorkerState} from '../worker_state.js';
import {reservationOf} from '../room.js';
import {addResources} from './room_forecast.js';

/** What perpetual runs reserve on a worker, and for which runs it was summed. */
interface PerpetualSum {
  readonly runsVersion: number;
  readonly reserved: Resources;
}

/** Computes what workers have left beside their perpetual runs. */
export class UnreservedSize {
  private readonly sums = new WeakMap<WorkerState, PerpetualSum>();

  /** Resources of a worker without those that its perpetual runs reserve. */
  of(worker: WorkerState): Resources {
    return addResources(worker.capacity, this.perpetualOf(worker), -1);
  }

  private perpetualOf(worker: WorkerState): Resources {
    const {runsVersion} = worker;
    const known = this.sums.get(worker);
    if (known?.runsVersion === runsVersion) return known.reserved;
    let reserved: Resources = {cpuMilli: 0, memoryMb: 0, gpus: 0};
    for (const {task} of worker.runs.values()) {
      const {shape} = task.step;
      if (!shape.perpetual) continue;
      reserved = addResources(reserved, reservationOf(shape));
    }
    this.sums.set(worker, {runsVersion, reserved});
    return reserved;
  }
}

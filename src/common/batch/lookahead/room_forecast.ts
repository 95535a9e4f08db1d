import {Millis} from '../../base/clock.js';
import {ActiveStep} from '../active_job.js';
import {reservationOf} from '../room.js';
import {Resources} from '../types.js';
import {WorkerState} from '../worker_state.js';
import {ExpectedEnd} from './expected_ends.js';

/** A sum of resources; `b` counts `factor` times. */
export function addResources(
  a: Resources,
  b: Resources,
  factor = 1,
): Resources {
  return {
    cpuMilli: a.cpuMilli + factor * b.cpuMilli,
    memoryMb: a.memoryMb + factor * b.memoryMb,
    gpus: a.gpus + factor * b.gpus,
  };
}

/** Whether resources suffice for a need. */
export function covers(free: Resources, need: Resources): boolean {
  return (
    free.cpuMilli >= need.cpuMilli &&
    free.memoryMb >= need.memoryMb &&
    free.gpus >= need.gpus
  );
}

/** Resources that are expected to be free on a worker at a local time. */
export function freeAt(
  worker: WorkerState,
  ends: readonly ExpectedEnd[],
  at: Millis,
): Resources {
  let {cpuMilli, memoryMb, gpus} = worker.free;
  for (const end of ends) {
    if (end.at > at) continue;
    cpuMilli += end.cpuMilli;
    memoryMb += end.memoryMb;
    gpus += end.gpus;
  }
  return {cpuMilli, memoryMb, gpus};
}

/**
 * Local times at which a worker is expected to have room for the first, second
 * and each further task of a step, up to `most` of them. It goes through
 * thousands of ends in a search, so it creates no objects for them.
 */
export function slotTimes(
  {shape}: ActiveStep,
  worker: WorkerState,
  ends: readonly ExpectedEnd[],
  most: number,
  now: Millis,
): Millis[] {
  const times: Millis[] = [];
  const need = reservationOf(shape);
  const limit = Math.min(most, shape.maxPerWorker || Infinity);
  let {cpuMilli, memoryMb, gpus} = worker.free;
  for (let index = -1; index < ends.length; index++) {
    const end = index < 0 ? undefined : ends[index];
    if (end !== undefined) {
      cpuMilli += end.cpuMilli;
      memoryMb += end.memoryMb;
      gpus += end.gpus;
    }
    while (
      times.length < limit &&
      cpuMilli >= need.cpuMilli * (times.length + 1) &&
      memoryMb >= need.memoryMb * (times.length + 1) &&
      gpus >= need.gpus * (times.length + 1)
    ) {
      times.push(end?.at ?? now);
    }
    if (times.length >= limit) break;
  }
  return times;
}

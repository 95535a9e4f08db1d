import {Resources, StepShape} from './types.js';
import {WorkerState} from './worker_state.js';

/** Decimal digits of the unreserved processors; the rest is rounded down. */
const ROOM_DIGITS = 2;

/** Binary digits of the unreserved memory; the rest is rounded down. */
const MEMORY_BITS = 2;

/** Most tasks that count for one worker, for tasks that reserve next to nothing. */
const MAX_TASKS_PER_WORKER = 1000;

/**
 * Unreserved resources of workers: amounts, and the number of workers that have
 * them. Unlike their sum, it tells whether a task finds room on one worker.
 * Memory is absent in records of earlier versions, GPUs of workers without any.
 */
export type Room = readonly (readonly [
  cpuMilli: number,
  workers: number,
  memoryMb?: number,
  gpus?: number,
])[];

/** Counts workers by their unreserved resources. */
export function roomOf(workers: Iterable<WorkerState>): Room {
  const counts = new Map<string, [number, number, number, number?]>();
  for (const {capacity, reserved} of workers) {
    const cpuMilli = roundCpu(capacity.cpuMilli - reserved.cpuMilli);
    const memoryMb = roundMemory(capacity.memoryMb - reserved.memoryMb);
    const gpus = Math.max(0, capacity.gpus - reserved.gpus);
    const key = [cpuMilli, memoryMb, gpus].join();
    const entry = counts.get(key);
    if (entry !== undefined) entry[1]++;
    else if (capacity.gpus > 0) counts.set(key, [cpuMilli, 1, memoryMb, gpus]);
    // Tasks that need GPUs are not sent to workers that have none.
    else counts.set(key, [cpuMilli, 1, memoryMb]);
  }
  return [...counts.values()];
}

function roundCpu(unreserved: number): number {
  const free = Math.max(0, unreserved);
  const digits = String(Math.floor(free)).length;
  return free - (free % 10 ** Math.max(0, digits - ROOM_DIGITS));
}

function roundMemory(unreserved: number): number {
  const free = Math.max(0, unreserved);
  const bits = free < 1 ? 0 : Math.floor(Math.log2(free)) + 1;
  return free - (free % 2 ** Math.max(0, bits - MEMORY_BITS));
}

/** What a task reserves on its worker; best-effort tasks no processors. */
export function reservationOf(shape: StepShape): Resources {
  const {fills, cpuMilli, memoryMb, gpus} = shape;
  return {cpuMilli: fills ? 0 : cpuMilli, memoryMb, gpus};
}

/** Number of tasks of a step for which a worker's free resources suffice. */
export function tasksThatFit(free: Resources, shape: StepShape): number {
  const need = reservationOf(shape);
  const limits = [shape.maxPerWorker || MAX_TASKS_PER_WORKER];
  if (need.cpuMilli > 0) limits.push(free.cpuMilli / need.cpuMilli);
  if (need.memoryMb > 0) limits.push(free.memoryMb / need.memoryMb);
  if (need.gpus > 0) limits.push(free.gpus / need.gpus);
  return Math.max(0, Math.floor(Math.min(...limits)));
}

/** Number of tasks of a step for which there is room. */
export function tasksInRoom(room: Room, shape: StepShape): number {
  let tasks = 0;
  for (const [
    cpuMilli,
    workers,
    memoryMb = Infinity,
    gpus = Infinity,
  ] of room) {
    tasks += workers * tasksThatFit({cpuMilli, memoryMb, gpus}, shape);
  }
  return tasks;
}

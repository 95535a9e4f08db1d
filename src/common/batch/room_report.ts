import {Millis, SECOND} from '../base/clock.js';
import {DecisionLog} from './scheduler_state.js';
import {StepShape} from './types.js';
import {WorkerState} from './worker_state.js';

/** Minimum time between two reports. */
const REPORT_INTERVAL_MS: Millis = 2 * SECOND;

/** Lower bounds of the size classes of tasks and gaps, in cores. */
const SIZE_CLASSES_CORES = [0, 4, 8, 12, 16, 24, 32, 48, 64];

/** Counts by size class. */
type Histogram = number[];

/** What happened to tasks since the last report. */
interface PlacedTasks {
  inTime: number;
  late: number;
}

/** The tasks of a scan that found no room. */
interface WaitingTasks {
  /** Short tasks by the processors that they need. */
  readonly bySize: Histogram;
  /** Short tasks whose job can't meet its objective. */
  late: number;
  /** Perpetual tasks. */
  perpetual: number;
  /** Processors and memory of the smallest short task. */
  smallest: {cpuMilli: number; memoryMb: number} | undefined;
}

/**
 * Logs how the unreserved processors are distributed over the workers while
 * tasks that reserve processors wait for room, and whether late tasks are
 * placed meanwhile. Short tasks reserve processors and end by themselves.
 */
export class RoomReport {
  private placed: PlacedTasks = {inTime: 0, late: 0};
  private waiting = noTasks();
  private reportedAt: Millis = -Infinity;

  constructor(private readonly log: DecisionLog) {}

  /** Notes that a task was placed. */
  addPlaced(shape: StepShape, isLate: boolean): void {
    if (!isShort(shape)) return;
    if (isLate) this.placed.late++;
    else this.placed.inTime++;
  }

  /** Notes the tasks of a step that a scan has not placed. */
  addWaiting(shape: StepShape, count: number, isLate: boolean): void {
    const {waiting} = this;
    if (shape.perpetual && !shape.fills) waiting.perpetual += count;
    if (!isShort(shape)) return;
    const {cpuMilli, memoryMb} = shape;
    waiting.bySize[sizeClass(cpuMilli)] += count;
    if (isLate) waiting.late += count;
    if (cpuMilli < (waiting.smallest?.cpuMilli ?? Infinity)) {
      waiting.smallest = {cpuMilli, memoryMb};
    }
  }

  /** Ends a scan: logs a summary if tasks wait, unless the last is recent. */
  endScan(workers: Iterable<WorkerState>, now: Millis): void {
    const {waiting, placed} = this;
    this.waiting = noTasks();
    if (waiting.smallest === undefined && waiting.perpetual === 0) return;
    if (now - this.reportedAt < REPORT_INTERVAL_MS) return;
    this.reportedAt = now;
    this.placed = {inTime: 0, late: 0};
    this.log.decide('room', {
      sizes: SIZE_CLASSES_CORES,
      ...summarizeRoom(workers, waiting.smallest),
      waiting: waiting.bySize,
      waitingLate: waiting.late,
      waitingPerpetual: waiting.perpetual,
      placed: placed.inTime,
      placedLate: placed.late,
    });
  }
}

/** Sums up the unreserved processors of workers. */
function summarizeRoom(
  workers: Iterable<WorkerState>,
  smallest: WaitingTasks['smallest'],
): Readonly<Record<string, unknown>> {
  const free = emptyHistogram();
  let capacityMilli = 0;
  let perpetualMilli = 0;
  let shortMilli = 0;
  let lacksMemory = 0;
  for (const worker of workers) {
    const freeMilli = worker.capacity.cpuMilli - worker.reserved.cpuMilli;
    free[sizeClass(freeMilli)]++;
    capacityMilli += worker.capacity.cpuMilli;
    const perpetual = perpetualCpuMilli(worker);
    perpetualMilli += perpetual;
    shortMilli += worker.reserved.cpuMilli - perpetual;
    if (smallest === undefined || freeMilli < smallest.cpuMilli) continue;
    const freeMb = worker.capacity.memoryMb - worker.reserved.memoryMb;
    if (freeMb < smallest.memoryMb) lacksMemory++;
  }
  return {free, capacityMilli, perpetualMilli, shortMilli, lacksMemory};
}

/** Processors that perpetual tasks reserve on a worker. */
function perpetualCpuMilli(worker: WorkerState): number {
  let cpuMilli = 0;
  for (const {task} of worker.runs.values()) {
    const {shape} = task.step;
    if (shape.perpetual && !shape.fills) cpuMilli += shape.cpuMilli;
  }
  return cpuMilli;
}

function isShort({fills, perpetual}: StepShape): boolean {
  return !fills && !perpetual;
}

function noTasks(): WaitingTasks {
  return {
    bySize: emptyHistogram(),
    late: 0,
    perpetual: 0,
    smallest: undefined,
  };
}

function emptyHistogram(): Histogram {
  return SIZE_CLASSES_CORES.map(() => 0);
}

/** Index of the size class of an amount of processors. */
function sizeClass(cpuMilli: number): number {
  const above = SIZE_CLASSES_CORES.findIndex(cores => cores * 1000 > cpuMilli);
  if (above < 0) return SIZE_CLASSES_CORES.length - 1;
  return Math.max(0, above - 1);
}

import {EMPTY_SIZE, Size, addSizes, fits, subtractSizes} from '../base/size.js';
import {TaskId} from './types.js';

/** Capacity of one worker and its use. */
interface WorkerCapacity {
  capacity: Size;
  reserved: Size;
  allocated: Size;
  readonly tasks: Map<TaskId, Size>;
}

/**
 * Tracks the capacity that is allocated on each worker. A task counts from the
 * decision to start it until it has certainly ended; the reservations of the
 * services that the worker serves count all the time.
 */
export class Capacity {
  private readonly workers = new Map<string, WorkerCapacity>();

  /** Sets the capacity of a worker and the part reserved for its services. */
  setWorker(worker: string, capacity: Size, reserved: Size): void {
    const entry = this.getOrCreate(worker);
    entry.capacity = capacity;
    entry.reserved = reserved;
  }

  /** Removes a worker, unless tasks are allocated on it. */
  removeWorker(worker: string): void {
    if (this.workers.get(worker)?.tasks.size === 0) {
      this.workers.delete(worker);
    }
  }

  /** Free capacity of a worker; negative where the worker is overcommitted. */
  available(worker: string): Size {
    const entry = this.workers.get(worker);
    if (entry === undefined) return EMPTY_SIZE;
    const usable = subtractSizes(entry.capacity, entry.reserved);
    return subtractSizes(usable, entry.allocated);
  }

  /** Capacity of a worker less the reservations of its services. */
  allocatable(worker: string): Size {
    const entry = this.workers.get(worker);
    if (entry === undefined) return EMPTY_SIZE;
    return subtractSizes(entry.capacity, entry.reserved);
  }

  /**
   * Allocates capacity to a task if there is enough.
   *
   * @returns whether the capacity was allocated.
   */
  tryAllocate(worker: string, task: TaskId, size: Size): boolean {
    const entry = this.workers.get(worker);
    if (entry === undefined || entry.tasks.has(task)) return false;
    if (!fits(size, this.available(worker))) return false;
    this.add(entry, task, size);
    return true;
  }

  /**
   * Allocates capacity to a task that already runs, even if it does not fit.
   */
  addRunning(worker: string, task: TaskId, size: Size): void {
    const entry = this.getOrCreate(worker);
    if (!entry.tasks.has(task)) this.add(entry, task, size);
  }

  /** Releases the capacity of a task that certainly does not run. */
  release(worker: string, task: TaskId): void {
    const entry = this.workers.get(worker);
    const size = entry?.tasks.get(task);
    if (entry === undefined || size === undefined) return;
    entry.tasks.delete(task);
    // Recomputed, because subtracting fractions would accumulate rounding
    // errors.
    entry.allocated = [...entry.tasks.values()].reduce(addSizes, EMPTY_SIZE);
  }

  /** Tasks that have capacity allocated on a worker. */
  tasksOn(worker: string): readonly TaskId[] {
    return [...(this.workers.get(worker)?.tasks.keys() ?? [])];
  }

  private add(entry: WorkerCapacity, task: TaskId, size: Size): void {
    entry.tasks.set(task, size);
    entry.allocated = addSizes(entry.allocated, size);
  }

  private getOrCreate(worker: string): WorkerCapacity {
    let entry = this.workers.get(worker);
    if (entry === undefined) {
      entry = {
        capacity: EMPTY_SIZE,
        reserved: EMPTY_SIZE,
        allocated: EMPTY_SIZE,
        tasks: new Map(),
      };
      this.workers.set(worker, entry);
    }
    return entry;
  }
}

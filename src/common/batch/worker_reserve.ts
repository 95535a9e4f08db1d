import {unitHash} from '../base/rendezvous.js';
import {ActiveStep} from './active_job.js';
import {WorkerState} from './worker_state.js';

/** Share of the processors that perpetual tasks leave to other tasks. */
const RESERVED_SHARE = 0.15;

/**
 * Processors that perpetual tasks leave to other tasks while there is room for
 * them elsewhere. They are whole workers: perpetual tasks hold what they have
 * until they are cancelled, a part of each worker is too small for tasks that
 * need much of one, and on a worker without serving tasks best-effort tasks
 * disturb none. It is a part of each worker where there are few, or where steps
 * of perpetual tasks need more workers than would be kept.
 */
export class WorkerReserve {
  /** Workers of the services that keep whole workers, and whether it is one. */
  private readonly isKept = new Map<WorkerState, boolean>();
  private readonly ranks = new WeakMap<WorkerState, number>();

  /**
   * Chooses the workers of each service by their ids, so that a successor
   * chooses the same.
   * @param minWorkers number of workers that a step of perpetual tasks needs.
   */
  update(workers: readonly WorkerState[], minWorkers = 0): void {
    const services = new Map<string, WorkerState[]>();
    for (const worker of workers) {
      const service = worker.listing?.service ?? '';
      const group = services.get(service);
      if (group === undefined) services.set(service, [worker]);
      else group.push(worker);
    }
    this.isKept.clear();
    for (const group of services.values()) {
      const count = Math.floor(RESERVED_SHARE * group.length);
      if (count === 0 || count < minWorkers) continue;
      group.sort((a, b) => this.rankOf(a) - this.rankOf(b));
      group.forEach((worker, index) => this.isKept.set(worker, index < count));
    }
  }

  /** Whether the reserve is left when a perpetual task is placed on a worker. */
  isLeftBy(step: ActiveStep, worker: WorkerState): boolean {
    const isKept = this.isKept.get(worker);
    return isKept === undefined ? leavesPart(step, worker) : !isKept;
  }

  private rankOf(worker: WorkerState): number {
    let rank = this.ranks.get(worker);
    if (rank === undefined) {
      rank = unitHash(worker.id);
      this.ranks.set(worker, rank);
    }
    return rank;
  }
}

/** Whether a task leaves a part of a worker, or room for another such task. */
function leavesPart({shape}: ActiveStep, worker: WorkerState): boolean {
  const capacity = worker.capacity.cpuMilli;
  const free = capacity - worker.reserved.cpuMilli;
  const reserve = capacity * RESERVED_SHARE;
  return free >= Math.min(shape.cpuMilli + reserve, 2 * shape.cpuMilli);
}

import {WorkerAddress} from '../../common/batch/worker_calls.js';

interface NumberedWorker {
  readonly address: string;
  readonly number: number;
}

/**
 * Numbers the workers that are called over a link, so that id and address are
 * sent once. A worker with a new address gets a new number.
 */
export class WorkerNumbers {
  /** Last number of each worker, by id. */
  private readonly workers = new Map<string, NumberedWorker>();
  private newWorkers: WorkerAddress[] = [];
  private nextNumber = 0;

  /** Number of a worker on the link. */
  numberOf({id, address}: WorkerAddress): number {
    const known = this.workers.get(id);
    if (known?.address === address) return known.number;
    const number = this.nextNumber++;
    this.workers.set(id, {address, number});
    this.newWorkers.push({id, address});
    return number;
  }

  /** Returns the workers that were numbered since the last call, in order. */
  takeNew(): readonly WorkerAddress[] {
    const taken = this.newWorkers;
    if (taken.length > 0) this.newWorkers = [];
    return taken;
  }
}

import {Queue} from './types.js';

/** Configurations of queues that are kept; more begin a new table. */
const MAX_QUEUES = 1000;

/** Holds one copy of each configuration of a queue, which many jobs share. */
export class QueueTable {
  private readonly queues = new Map<string, Queue>();

  /** Returns the copy of a queue's configuration. */
  intern(queue: Queue): Queue {
    const key = JSON.stringify(queue);
    const known = this.queues.get(key);
    if (known !== undefined) return known;
    if (this.queues.size >= MAX_QUEUES) this.queues.clear();
    this.queues.set(key, queue);
    return queue;
  }
}

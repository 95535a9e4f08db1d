/**
 * Turns that are taken in one iteration of the event loop. Two pieces of 128
 * chunks each take less than 1 ms. Only one connection is accepted in each
 * iteration, so longer ones keep new callers waiting behind a crowd.
 */
const TURNS_PER_ITERATION = 2;

/**
 * Turns that are taken before those of clients that have had more: the largest
 * body in chunks of 16 kB takes six.
 */
const EARLY_TURNS = 8;

/**
 * Takes turns in the order of their requests, a few in each iteration of the
 * event loop, so that clients with much pending input don't delay others.
 */
export class TurnQueue {
  private readonly early = new Set<() => void>();
  private readonly late = new Set<() => void>();
  private isScheduled = false;

  /**
   * Calls `turn` later.
   *
   * @param taken turns that the client has taken already.
   */
  add(taken: number, turn: () => void): void {
    (taken < EARLY_TURNS ? this.early : this.late).add(turn);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled || this.early.size + this.late.size === 0) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      for (let i = 0; i < TURNS_PER_ITERATION; i++) this.takeNext();
      this.schedule();
    });
  }

  private takeNext(): void {
    const queue = this.early.size > 0 ? this.early : this.late;
    for (const turn of queue) {
      queue.delete(turn);
      turn();
      return;
    }
  }
}

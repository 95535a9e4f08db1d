import {Millis} from '../base/clock.js';

/** Factor by which an overload signal reduces the limit. */
const DECREASE_FACTOR = 0.9;

/**
 * Limit on the concurrent requests of one service, adapted by additive increase
 * and multiplicative decrease (AIMD).
 *
 * The limit reacts to overload signals: timeouts and responses with status 503
 * or 429. A limit based on the latency gradient would also shrink when a batch
 * task slows a worker down. Fewer requests don't help in that case, and the
 * router already sends them to other targets.
 */
export class ConcurrencyLimit {
  private current: number;
  private decreasedAt: Millis = -Infinity;

  /** `capacity` is the maximum that the targets accept from this instance. */
  constructor(private capacity: number) {
    this.current = Math.max(1, capacity);
  }

  get value(): number {
    return Math.max(1, Math.floor(this.current));
  }

  /** Changes the capacity. A limit equal to the old capacity follows it. */
  setCapacity(capacity: number): void {
    const atCapacity = this.current >= this.capacity;
    this.capacity = Math.max(1, capacity);
    this.current = atCapacity
      ? this.capacity
      : Math.min(this.current, this.capacity);
  }

  /**
   * Counts a successful request. The limit grows only while requests wait
   * because of it.
   */
  onSuccess(requestsWaiting: boolean): void {
    if (!requestsWaiting) return;
    // Adds 1 for every `current` successful requests.
    this.current = Math.min(this.capacity, this.current + 1 / this.current);
  }

  /**
   * Counts an overload signal. Signals within one service time have the same
   * cause and count once.
   */
  onOverload(serviceTime: Millis, now: Millis): void {
    if (now - this.decreasedAt < serviceTime) return;
    this.decreasedAt = now;
    this.current = Math.max(1, this.current * DECREASE_FACTOR);
  }
}

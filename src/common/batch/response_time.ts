import {Millis} from '../base/clock.js';

/** Bounds of the time that a worker has for a response. */
const MIN_RESPONSE_MS: Millis = 700;
const MAX_RESPONSE_MS: Millis = 2800;

/** Factors after a call without a response and after one with a response. */
const GROWTH = 2;
const DECAY = 0.9;

/**
 * Time that a worker has for a response. It grows while the worker does not
 * respond: one that is only slow would otherwise never get a new lease, and its
 * runs would end with the old one. Three calls fit into a lease.
 */
export class ResponseTime {
  private limit: Millis = MIN_RESPONSE_MS;

  get limitMs(): Millis {
    return this.limit;
  }

  onResponse(): void {
    this.limit = Math.max(MIN_RESPONSE_MS, this.limit * DECAY);
  }

  onTimeout(): void {
    this.limit = Math.min(MAX_RESPONSE_MS, this.limit * GROWTH);
  }
}

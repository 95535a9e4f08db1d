import {Millis, SECOND} from '../base/clock.js';
import {DetailedLoad} from './waiting_work.js';

/**
 * Backlog by which this shard has to exceed another one before jobs leave for
 * it: a constant part, and a part in proportion to the other's backlog. It is
 * wider than the margin of the ShardRouter, which moves jobs at no cost.
 */
const MIN_MARGIN_MS: Millis = SECOND;
const RELATIVE_MARGIN = 0.25;

/**
 * Time in which the difference would be evened out if it stayed the same. Loads
 * are known with a delay of up to 0.6 s; a faster response would move too much.
 */
const RESPONSE_MS: Millis = 2 * SECOND;

/** Another shard to which jobs may be handed over. */
export interface Peer {
  readonly shard: string;
  readonly backlogMs: Millis;
  /** Processors of its workers, in thousandths of a core. */
  readonly cpuMilli: number;
}

/**
 * Limits the work that leaves for each other shard over time, in proportion to
 * the difference of the backlogs.
 */
export class HandOverBudget {
  /** Work that may leave now, by shard, in ms of one core. */
  private readonly credits = new Map<string, Millis>();

  /** Adds what the time since the last call allows. */
  accrue(own: DetailedLoad, peers: readonly Peer[], elapsed: Millis): void {
    let totalCpuMilli = own.cpuMilli;
    for (const {cpuMilli} of peers) totalCpuMilli += cpuMilli;
    for (const {shard, backlogMs, cpuMilli} of peers) {
      const limit = backlogMs * (1 + RELATIVE_MARGIN) + MIN_MARGIN_MS;
      const excess = Math.max(0, own.backlogMs - limit);
      const share = cpuMilli / Math.max(1, totalCpuMilli);
      const surplus = (excess * share * own.cpuMilli) / 1000;
      const credit = this.creditOf(shard) + (surplus * elapsed) / RESPONSE_MS;
      this.credits.set(shard, Math.min(credit, surplus));
    }
  }

  /** Whether a job may leave for a shard; a large one leaves a debt. */
  allows(shard: string): boolean {
    return this.creditOf(shard) > 0;
  }

  /** Takes the work of a job that leaves, in ms of one core. */
  spend(shard: string, workMs: Millis): void {
    this.credits.set(shard, this.creditOf(shard) - workMs);
  }

  private creditOf(shard: string): Millis {
    return this.credits.get(shard) ?? 0;
  }
}

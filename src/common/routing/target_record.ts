import {Millis, MINUTE, SECOND} from '../base/clock.js';
import {Instance} from '../base/platform.js';

/** Time for which a target is skipped after it refused a connection. */
export const CONNECTION_REFUSED_SKIP_MS: Millis = 1 * SECOND;

/** Maximum number of connections from this instance to one target. */
export const MAX_TARGET_CONNECTIONS = 64;

/**
 * Time for which the statistics of a target are kept after the instance list
 * stops showing it. A faulty list can omit a target for a while, and a target
 * that reappears must keep its ejection.
 */
export const ABSENT_RETENTION_MS: Millis = 5 * MINUTE;

/** Requests of all services that this instance has in flight at one target. */
export class TargetRecord {
  inFlight = 0;
  private skippedUntil: Millis = 0;
  private currentLimit = 1;
  /** When the target vanished from the instance list; undefined if listed. */
  absentSince: Millis | undefined;

  /**
   * `firstSeenAt` is when the target first appeared; undefined for targets in
   * the first list, which get no slow start.
   */
  constructor(
    public instance: Instance,
    readonly firstSeenAt: Millis | undefined,
  ) {}

  /**
   * Applies new data from the instance list. `sharingInstances` is the number
   * of entry instances among which the slots are divided.
   */
  update(instance: Instance, sharingInstances: number): void {
    this.instance = instance;
    this.absentSince = undefined;
    const share = Math.floor(instance.slots / Math.max(1, sharingInstances));
    const connections = Math.min(instance.connections, MAX_TARGET_CONNECTIONS);
    this.currentLimit = Math.max(1, Math.min(share, connections));
  }

  /** Maximum number of requests in flight. */
  get limit(): number {
    return this.currentLimit;
  }

  get isFull(): boolean {
    return this.inFlight >= this.limit;
  }

  /** Requests in flight as a fraction of the limit. */
  get load(): number {
    return this.inFlight / this.limit;
  }

  /** Records that the instance list doesn't show the target. */
  markAbsent(now: Millis): void {
    this.absentSince ??= now;
  }

  /** Tells whether the record can be deleted. */
  isExpired(now: Millis): boolean {
    const since = this.absentSince ?? now;
    return this.inFlight === 0 && now - since >= ABSENT_RETENTION_MS;
  }

  startSkip(now: Millis): void {
    this.skippedUntil = now + CONNECTION_REFUSED_SKIP_MS;
  }

  isSkipped(now: Millis): boolean {
    return now < this.skippedUntil;
  }
}

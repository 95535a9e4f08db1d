import {Millis, SECOND} from '../base/clock.js';
import {ActiveJob} from './active_job.js';

/**
 * Time after which a job that was handed over is known from the load of its new
 * shard, or is still here because its hand-over was not stored.
 */
const RETENTION_MS: Millis = 2 * SECOND;

/** A hand-over that was chosen lately. */
interface RecentHandOver {
  readonly to: string;
  readonly workMs: Millis;
  /** Local time at which it was chosen or stored. */
  readonly at: Millis;
}

/** The hand-overs that were chosen lately, whose outcome is not known yet. */
export class HandOverLedger {
  /** Those that are not being stored; the oldest first. */
  private readonly recent = new Map<ActiveJob, RecentHandOver>();
  /** Those that are being stored. */
  private readonly inFlight = new Map<ActiveJob, RecentHandOver>();
  /** Work that was sent lately, by shard, in ms of one core. */
  private readonly work = new Map<string, Millis>();

  /** @param workMs expected work of the job, in ms of one core. */
  add(job: ActiveJob, to: string, workMs: Millis, now: Millis): void {
    this.recent.set(job, {to, workMs, at: now});
    this.work.set(to, this.workTo(to) + workMs);
  }

  /** Keeps a hand-over until its record is stored. */
  beginStoring(job: ActiveJob): void {
    const handOver = this.recent.get(job);
    if (handOver === undefined) return;
    this.recent.delete(job);
    this.inFlight.set(job, handOver);
  }

  /** Handles that the record of a hand-over is stored. */
  endStoring(job: ActiveJob, now: Millis): void {
    const handOver = this.inFlight.get(job);
    if (handOver === undefined) return;
    this.inFlight.delete(job);
    this.recent.set(job, {...handOver, at: now});
  }

  /** Forgets earlier hand-overs. */
  expire(now: Millis): void {
    for (const [job, {to, workMs, at}] of this.recent) {
      if (now - at <= RETENTION_MS) return;
      this.recent.delete(job);
      this.work.set(to, Math.max(0, this.workTo(to) - workMs));
    }
  }

  has(job: ActiveJob): boolean {
    return this.recent.has(job) || this.inFlight.has(job);
  }

  /** Work that was sent to a shard lately, in ms of one core. */
  workTo(shard: string): Millis {
    return this.work.get(shard) ?? 0;
  }
}

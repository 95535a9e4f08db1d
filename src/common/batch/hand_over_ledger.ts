import {Millis, SECOND} from '../base/clock.js';
import {ActiveJob} from './active_job.js';

/**
 * Time after which a job that was handed over is known from the load of its new
 * shard, or is still here because its hand-over was not stored.
 */
const RETENTION_MS: Millis = 2 * SECOND;

/** A hand-over that was chosen lately. */
interface RecentHandOver {
  readonly job: ActiveJob;
  readonly to: string;
  readonly workMs: Millis;
  readonly at: Millis;
}

/** The hand-overs that were chosen lately, whose outcome is not known yet. */
export class HandOverLedger {
  /** The oldest first. */
  private readonly recent: RecentHandOver[] = [];
  private readonly jobs = new Set<ActiveJob>();
  /** Work that was sent lately, by shard, in ms of one core. */
  private readonly work = new Map<string, Millis>();

  /** @param workMs expected work of the job, in ms of one core. */
  add(job: ActiveJob, to: string, workMs: Millis, now: Millis): void {
    this.recent.push({job, to, workMs, at: now});
    this.jobs.add(job);
    this.work.set(to, this.workTo(to) + workMs);
  }

  /** Forgets earlier hand-overs. */
  expire(now: Millis): void {
    while (this.recent.length > 0 && now - this.recent[0].at > RETENTION_MS) {
      const {job, to, workMs} = this.recent.shift()!;
      this.jobs.delete(job);
      this.work.set(to, Math.max(0, this.workTo(to) - workMs));
    }
  }

  has(job: ActiveJob): boolean {
    return this.jobs.has(job);
  }

  /** Work that was sent to a shard lately, in ms of one core. */
  workTo(shard: string): Millis {
    return this.work.get(shard) ?? 0;
  }
}

import {Millis, SECOND} from '../base/clock.js';

/**
 * Time after which a job that was handed over is known from the load of its new
 * shard, or is still here because its hand-over was not stored.
 */
const RETENTION_MS: Millis = 2 * SECOND;

/** What a job, or a task that leaves its job, takes to its new shard. */
export interface SentWork {
  /** Expected work, in ms of one core. */
  readonly workMs: Millis;
  /**
   * Processors that its perpetual tasks and its ready ones reserve, in
   * thousandths of a core.
   */
  readonly reservedMilli: number;
}

/** A hand-over that was chosen lately. */
interface RecentHandOver extends SentWork {
  readonly to: string;
  /** Local time at which it was chosen or stored. */
  readonly at: Millis;
}

const NO_WORK: SentWork = {workMs: 0, reservedMilli: 0};

/**
 * The hand-overs that were chosen lately, whose outcome is not known yet, by id
 * of the job or name of the task.
 */
export class HandOverLedger {
  /** Those that are not being stored; the oldest first. */
  private readonly recent = new Map<string, RecentHandOver>();
  /** Those that are being stored. */
  private readonly inFlight = new Map<string, RecentHandOver>();
  /** What was sent lately, by shard. */
  private readonly sent = new Map<string, SentWork>();

  add(id: string, to: string, work: SentWork, now: Millis): void {
    this.recent.set(id, {...work, to, at: now});
    this.count(to, work, 1);
  }

  /** Forgets a hand-over that is not made, so that it can be chosen again. */
  remove(id: string): void {
    const handOver = this.recent.get(id);
    if (handOver === undefined) return;
    this.recent.delete(id);
    this.count(handOver.to, handOver, -1);
  }

  /** Keeps a hand-over until its record is stored. */
  beginStoring(id: string): void {
    const handOver = this.recent.get(id);
    if (handOver === undefined) return;
    this.recent.delete(id);
    this.inFlight.set(id, handOver);
  }

  /** Handles that the record of a hand-over is stored. */
  endStoring(id: string, now: Millis): void {
    const handOver = this.inFlight.get(id);
    if (handOver === undefined) return;
    this.inFlight.delete(id);
    this.recent.set(id, {...handOver, at: now});
  }

  /** Forgets earlier hand-overs. */
  expire(now: Millis): void {
    for (const [id, handOver] of this.recent) {
      if (now - handOver.at <= RETENTION_MS) return;
      this.recent.delete(id);
      this.count(handOver.to, handOver, -1);
    }
  }

  has(id: string): boolean {
    return this.recent.has(id) || this.inFlight.has(id);
  }

  /** Work that was sent to a shard lately, in ms of one core. */
  workTo(shard: string): Millis {
    return this.sent.get(shard)?.workMs ?? 0;
  }

  /** Processors that what was sent to a shard lately reserves there. */
  reservedMilliTo(shard: string): number {
    return this.sent.get(shard)?.reservedMilli ?? 0;
  }

  private count(to: string, work: SentWork, sign: 1 | -1): void {
    const {workMs, reservedMilli} = this.sent.get(to) ?? NO_WORK;
    this.sent.set(to, {
      workMs: Math.max(0, workMs + sign * work.workMs),
      reservedMilli: Math.max(0, reservedMilli + sign * work.reservedMilli),
    });
  }
}

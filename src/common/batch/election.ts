import {Millis} from '../base/clock.js';
import {SchedulerRecord} from './job_records.js';

/** Time without a heartbeat after which another instance claims the role. */
export const SCHEDULER_TIMEOUT_MS: Millis = 1100;

/**
 * Time since the start of a term within which its replacement counts as a quick
 * takeover. From the second one in a row, the timeout doubles with each, up to
 * the maximum exponent: a scheduler that is slow under its load is silent at
 * times, and each takeover adds to the load.
 */
const QUICK_TAKEOVER_MS: Millis = 10_000;
const MAX_TIMEOUT_DOUBLINGS = 1;

/** Time between two heartbeats of the scheduler. */
export const HEARTBEAT_INTERVAL_MS: Millis = 300;

/** Additional delay of claims by an instance with far fewer processors. */
export const WEAK_CANDIDATE_DELAY_MS: Millis = 1500;

/** Additional delay of claims for a shard of another data centre. */
export const REMOTE_CANDIDATE_DELAY_MS: Millis = 700;

/** Additional delay of claims by the scheduler of another shard. */
export const BUSY_CANDIDATE_DELAY_MS: Millis = 3000;

/**
 * Share of the largest instance's processors below which an instance is weak.
 */
const MIN_STRONG_SHARE = 0.7;

/** Delay of the first claim, in which instances discover each other. */
export const FIRST_CLAIM_DELAY_MS: Millis = 400;

/** Whether an instance has far fewer processors, in cores, than another. */
export function isWeaker(
  processors: number,
  others: Iterable<number>,
): boolean {
  return processors < MIN_STRONG_SHARE * Math.max(0, ...others);
}

/**
 * Leader election: decides when this instance claims the scheduler role. Only
 * time in which the log could be read counts towards the heartbeat timeout: an
 * outage of the log hides heartbeats and is no reason to replace the scheduler.
 */
export class Election {
  /** Local time of the last heartbeat, or of the start before the first. */
  private lastHeartbeat: Millis;
  /** Local time since which the log is readable; undefined while it isn't. */
  private readableSince: Millis | undefined;
  /** Record of the latest claim; undefined before any was read. */
  private schedulerRecord: SchedulerRecord | undefined;
  /**
   * Local time at which the latest claim was read; the age of one that was there
   * when this instance started is unknown and counts as high.
   */
  private termSeenAt: Millis = -Infinity;
  /** Whether another instance has far more processors. */
  private isWeak = false;
  /** Whether this instance is the scheduler of another shard. */
  private isBusy = false;

  /**
   * @param incarnation of this instance.
   * @param delayMs delay of each claim; differs so that claims don't collide.
   */
  constructor(
    private readonly incarnation: string,
    private readonly delayMs: Millis,
    now: Millis,
    /** Whether the shard is that of another data centre. */
    private readonly isRemote = false,
  ) {
    this.lastHeartbeat = now;
  }

  /** Time since the last heartbeat. */
  silence(now: Millis): Millis {
    return now - this.lastHeartbeat;
  }

  /** Handles a record of the scheduler. */
  onHeartbeat(current: SchedulerRecord | undefined, now: Millis): void {
    const known = this.schedulerRecord;
    if (known !== undefined && current?.epoch !== known.epoch) {
      this.termSeenAt = now;
    }
    this.schedulerRecord = current;
    this.lastHeartbeat = now;
  }

  /** Sets whether another instance has far more processors. */
  setWeak(isWeak: boolean): void {
    this.isWeak = isWeak;
  }

  /** Sets whether this instance is the scheduler of another shard. */
  setBusy(isBusy: boolean): void {
    this.isBusy = isBusy;
  }

  /** Handles a successful read of the log. */
  onLogReadable(now: Millis): void {
    this.readableSince ??= now;
  }

  /** Handles a failed read of the log; suspends claims. */
  onLogUnreadable(): void {
    this.readableSince = undefined;
  }

  /** Time until a claim is due; undefined while the log is unreadable. */
  timeUntilClaim(now: Millis): Millis | undefined {
    if (this.readableSince === undefined) return undefined;
    const wait = this.heartbeatTimeout() + this.candidateDelay();
    const silentSince = Math.max(this.lastHeartbeat, this.readableSince);
    return Math.max(0, silentSince + wait + this.delayMs - now);
  }

  /** Number of quick takeovers in a row if this instance claims now. */
  quickTakeovers(now: Millis): number {
    if (this.schedulerRecord === undefined || this.isRoleVacant) return 0;
    if (now - this.termSeenAt > QUICK_TAKEOVER_MS) return 0;
    return (this.schedulerRecord.quickTakeovers ?? 0) + 1;
  }

  private get isRoleVacant(): boolean {
    return (
      this.schedulerRecord?.resigned === true ||
      this.schedulerRecord?.incarnation === this.incarnation
    );
  }

  /** Delay by which better candidates make their claims first. */
  private candidateDelay(): Millis {
    return (
      (this.isWeak ? WEAK_CANDIDATE_DELAY_MS : 0) +
      (this.isRemote ? REMOTE_CANDIDATE_DELAY_MS : 0) +
      (this.isBusy ? BUSY_CANDIDATE_DELAY_MS : 0)
    );
  }

  private heartbeatTimeout(): Millis {
    if (this.schedulerRecord === undefined) return FIRST_CLAIM_DELAY_MS;
    if (this.isRoleVacant) return 0;
    const quickTakeovers = this.schedulerRecord.quickTakeovers ?? 0;
    const doublings = Math.max(0, quickTakeovers - 1);
    return (
      SCHEDULER_TIMEOUT_MS * 2 ** Math.min(doublings, MAX_TIMEOUT_DOUBLINGS)
    );
  }
}

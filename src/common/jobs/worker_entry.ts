import {Millis} from '../base/clock.js';
import {Instance} from '../base/platform.js';
import {ClockEstimate} from './clock_estimate.js';
import {ActiveTask} from './active_job.js';
import {TaskId} from './types.js';

/** What the scheduler knows about a worker. */
export class WorkerEntry {
  /** Entry in the newest instance list; undefined if there is none. */
  instance: Instance | undefined;
  readonly clock: ClockEstimate;
  readonly tasks = new Map<TaskId, ActiveTask>();
  /** Whether a status that was requested in this term has been read. */
  isReconciled = false;
  /** Whether the worker's status or the instance list says that it leaves. */
  leaving = false;
  /** Local send time of the newest poll that was answered. */
  lastSentAt: Millis = -Infinity;
  /** Local time at which the newest status was received. */
  lastReceivedAt: Millis = -Infinity;
  /** Reading of the worker's clock in the newest status. */
  lastNowMs: Millis = -Infinity;
  /** Local time of the last unanswered poll or failed connection. */
  unreachableAt: Millis = -Infinity;
  /** Local time of the next poll; -Infinity until the first poll of a term. */
  nextPollAt: Millis = -Infinity;

  constructor(
    readonly id: string,
    driftFraction: number,
  ) {
    this.clock = new ClockEstimate(driftFraction);
  }

  /** Whether a status with these times is older than the newest one read. */
  isStale(sentAt: Millis, nowMs: Millis): boolean {
    if (sentAt < this.lastSentAt) return true;
    return nowMs <= this.lastNowMs && sentAt < this.lastReceivedAt;
  }

  /** Whether a poll that was sent at most `maxAgeMs` ago was answered. */
  hasResponded(now: Millis, maxAgeMs: Millis): boolean {
    return now - this.lastSentAt <= maxAgeMs;
  }

  /** As `hasResponded`, for a poll that was sent after the last failure. */
  isReachable(now: Millis, maxAgeMs: Millis): boolean {
    return (
      this.lastSentAt > this.unreachableAt && this.hasResponded(now, maxAgeMs)
    );
  }
}

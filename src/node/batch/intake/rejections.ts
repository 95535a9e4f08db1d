import {Clock, Millis, SECOND} from '../../../common/base/clock.js';
import {unitHash} from '../../../common/base/rendezvous.js';
import {JobAdmission} from '../../../common/batch/admission/job_admission.js';
import {AppendPace} from '../../../common/batch/admission/append_pace.js';
import {
  priorityRank,
  RejectionCause,
  retryAfterSeconds,
} from '../../../common/batch/admission/retry_after.js';
import {BatchConfiguration} from '../../../common/batch/types.js';
import {IntakeWriter} from '../intake_writer.js';
import {LogTail} from '../log_tail.js';
import {Forwarder} from './forwarder.js';

/** Age up to which a neighbour's answer tells that the store serves others. */
const SERVED_AGE_MS: Millis = 2 * SECOND;

/** Time after which a rejected caller has come back or given up. */
const RETURN_TIME_MS: Millis = 4 * SECOND;

/** Rejections that are counted at most; more don't change the spread. */
const MAX_COUNTED_REJECTIONS = 500;

/** Memory for whose release a rejected job waits: a job of a hundred tasks. */
const LARGE_JOB_BYTES = 50_000;

/** What a caller, and the log, is told about a rejection. */
export interface Rejection {
  readonly cause: RejectionCause;
  /** Value of the `retry-after` header, in seconds. */
  readonly retryAfterS: number;
  /** Time since the store has failed; 0 if it has not or if it is unknown. */
  readonly outageAgeMs: Millis;
  /** Neighbour that was tried last; undefined if none was tried. */
  readonly neighbour?: string;
  /** Time since that attempt. */
  readonly neighbourAgeMs?: Millis;
}

/** What rejections are decided on. */
export interface RejectionsDependencies {
  readonly clock: Clock;
  readonly writer: IntakeWriter;
  readonly intakeTail: Pick<LogTail, 'syncedAt' | 'consecutiveFailures'>;
  readonly forwarder: Forwarder | undefined;
  readonly pace: AppendPace;
  readonly configuration: () => BatchConfiguration | undefined;
  readonly admission: Pick<JobAdmission, 'releaseTimeMs'>;
}

/** Decides when the callers of rejected requests should return. */
export class Rejections {
  /** Local times of the latest rejections. */
  private readonly times: Millis[] = [];

  constructor(private readonly dependencies: RejectionsDependencies) {}

  /**
   * Describes the rejection of a request.
   * @param key tells callers apart, such as the path of the request.
   * @param priority of the queue; undefined if the queue is not known.
   * @param knownCause the cause if it is none of the store.
   * @param callerTimeMs time that the caller goes on trying.
   */
  describe(
    key: string,
    priority: number | undefined,
    knownCause?: RejectionCause,
    callerTimeMs: Millis = Infinity,
  ): Rejection {
    const {clock, forwarder} = this.dependencies;
    const now = clock.now();
    const cause = knownCause ?? this.cause(now);
    const since = this.failingSince();
    const outageAgeMs = since === undefined ? 0 : Math.round(now - since);
    const attempt = forwarder?.lastAttempt;
    return {
      cause,
      retryAfterS: retryAfterSeconds({
        cause,
        outageAgeMs,
        waitingCallers: this.countRejection(now),
        rank: this.rank(priority),
        spread: unitHash(`${key} ${now}`),
        releaseTimeMs:
          this.dependencies.admission.releaseTimeMs(LARGE_JOB_BYTES),
        callerTimeMs,
      }),
      outageAgeMs,
      neighbour: attempt?.neighbour,
      neighbourAgeMs: attempt && Math.round(now - attempt.at),
    };
  }

  private cause(now: Millis): RejectionCause {
    const {configuration, forwarder, pace} = this.dependencies;
    if (configuration() === undefined) return RejectionCause.NO_CONFIGURATION;
    const isServed =
      forwarder !== undefined &&
      !forwarder.breaker.hasRejections &&
      now - forwarder.servedAt < SERVED_AGE_MS;
    if (this.failingSince() === undefined || pace.isReportedSlow(now)) {
      return RejectionCause.STORE_SLOW;
    }
    return isServed ? RejectionCause.INSTANCE : RejectionCause.STORE_DOWN;
  }

  /** Local time since which calls to the store fail; undefined if they don't. */
  private failingSince(): Millis | undefined {
    const {writer, intakeTail, forwarder} = this.dependencies;
    const {consecutiveFailures, syncedAt} = intakeTail;
    const times = [
      writer.failingSince,
      forwarder?.breaker.openSince,
      consecutiveFailures > 0 ? syncedAt : undefined,
    ].filter(time => time !== undefined && time > -Infinity);
    return times.length === 0 ? undefined : Math.min(...(times as Millis[]));
  }

  private rank(priority: number | undefined): number {
    const queues = this.dependencies.configuration()?.queues ?? [];
    const all = queues.map(queue => queue.priority);
    return priority === undefined ? 0.5 : priorityRank(priority, all);
  }

  /** Counts a rejection; returns the number of callers that may come back. */
  private countRejection(now: Millis): number {
    const {times} = this;
    times.push(now);
    while (
      times[0] < now - RETURN_TIME_MS ||
      times.length > MAX_COUNTED_REJECTIONS
    ) {
      times.shift();
    }
    return times.length;
  }
}

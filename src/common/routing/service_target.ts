import {Millis, SECOND} from '../base/clock.js';
import {LatencyAverage} from './latency_average.js';
import {TargetHealth} from './target_health.js';
import {TargetRecord} from './target_record.js';

/** Duration of the slow start of a new or readmitted target. */
export const SLOW_START_MS: Millis = 10 * SECOND;

/** Fraction of its usual load that a target gets when slow start begins. */
const MIN_SLOW_START_SHARE = 0.1;

/**
 * A failed request counts as this multiple of the typical latency, up to
 * `MAX_FAILURE_PENALTY_MS`. Otherwise a target that fails immediately would
 * look fast and attract requests until it is ejected.
 */
const FAILURE_PENALTY_FACTOR = 10;

/** Limits the penalty, which raises the typical latency if all targets fail. */
const MAX_FAILURE_PENALTY_MS: Millis = 1 * SECOND;

/** Weight of a new sample in the mean latency, which detects slow targets. */
const MEAN_WEIGHT = 0.1;

/** Successful requests before the mean latency of a target is used. */
const MIN_MEAN_SAMPLES = 20;

/** Latency, health and slow start of one target for one service. */
export class ServiceTarget {
  readonly health = new TargetHealth();
  /** Peak-sensitive latency, including failures, which count as slow. */
  readonly latency = new LatencyAverage();
  /** Peak-sensitive latency of successful requests only. */
  readonly successLatency = new LatencyAverage();
  private mean: Millis = 0;
  private samples = 0;
  private slowStartedAt: Millis | undefined;

  constructor(readonly record: TargetRecord) {
    this.slowStartedAt = record.firstSeenAt;
  }

  /** Counts the latency of a successful request. */
  observeSuccess(latency: Millis, now: Millis): void {
    this.latency.observe(latency, now);
    this.successLatency.observe(latency, now);
    this.mean += (latency - this.mean) * (this.samples === 0 ? 1 : MEAN_WEIGHT);
    this.samples++;
  }

  /** Counts a failure as a slow request, even if it failed immediately. */
  observeFailure(latency: Millis, typicalLatency: Millis, now: Millis): void {
    const maxPenalty = Math.max(typicalLatency, MAX_FAILURE_PENALTY_MS);
    const penalty = Math.min(
      typicalLatency * FAILURE_PENALTY_FACTOR,
      maxPenalty,
    );
    this.latency.observe(Math.max(latency, penalty), now);
  }

  /** Mean latency of successful requests; undefined with too few samples. */
  get meanLatency(): Millis | undefined {
    return this.samples >= MIN_MEAN_SAMPLES ? this.mean : undefined;
  }

  /** Expected latency × (requests in flight + 1); lower is better. */
  score(now: Millis, typicalLatency: Millis): number {
    // With a latency of 0, the requests in flight would have no effect.
    const latency = Math.max(0.01, this.latency.value(now, typicalLatency));
    return latency * (this.record.inFlight + 1);
  }

  /** Restarts slow start and the mean latency after an ejection. */
  restartSlowStart(now: Millis): void {
    this.slowStartedAt = now;
    this.samples = 0;
    this.mean = 0;
  }

  /** Fraction of its usual load that the target may get now, up to 1. */
  slowStartShare(now: Millis): number {
    if (this.slowStartedAt === undefined) return 1;
    const share = (now - this.slowStartedAt) / SLOW_START_MS;
    if (share >= 1) this.slowStartedAt = undefined;
    return Math.min(1, Math.max(MIN_SLOW_START_SHARE, share));
  }
}

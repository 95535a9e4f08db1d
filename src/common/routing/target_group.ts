import {Millis} from '../base/clock.js';
import {RoutedRequest} from './types.js';
import {LatencyAverage} from './latency_average.js';
import {Random} from './random.js';
import {ServiceTarget} from './service_target.js';

/** Time for which computed medians are reused. */
const MAX_MEDIAN_AGE_MS: Millis = 100;

/** Fraction of the targets that may be ejected at the same time. */
const MAX_EJECTED_SHARE = 0.5;

/** A target is ejected as slow above this multiple of the median latency. */
export const SLOW_LATENCY_FACTOR = 5;

/**
 * Minimum excess over the median latency before a target is ejected as slow, so
 * that the jitter of very fast services causes no ejections.
 */
export const SLOW_MARGIN_MS: Millis = 50;

/**
 * Time after the end of an ejection before a non-idempotent request may be the
 * probe. Probes are likely to fail, and such a request can't be retried.
 */
export const NON_IDEMPOTENT_PROBE_DELAY_MS: Millis = 5000;

/** Median latencies in milliseconds over the targets of a group. */
export interface LatencyMedians {
  /** Includes failures, which count as slow. */
  readonly latency: Millis | undefined;
  /** Successful requests only. */
  readonly successLatency: Millis | undefined;
}

/** The targets of one service in one data centre. */
export class TargetGroup {
  private currentMedians: LatencyMedians = {
    latency: undefined,
    successLatency: undefined,
  };
  private mediansAt: Millis = -Infinity;

  private currentTargets: readonly ServiceTarget[] = [];

  constructor(readonly dataCentre: string) {}

  get targets(): readonly ServiceTarget[] {
    return this.currentTargets;
  }

  /** Replaces the targets and computes the medians again on the next use. */
  update(targets: readonly ServiceTarget[], now: Millis): void {
    this.currentTargets = targets;
    this.mediansAt = -Infinity;
    this.readmitExcess(now);
  }

  /**
   * Medians of the targets' peak-sensitive latencies; undefined before the
   * first sample. The value of a target without recent samples decays to
   * `baseline`.
   */
  medians(now: Millis, baseline: Millis): LatencyMedians {
    if (now - this.mediansAt >= MAX_MEDIAN_AGE_MS) {
      const medianOf = (averageOf: (target: ServiceTarget) => LatencyAverage) =>
        median(
          this.currentTargets
            .map(averageOf)
            .filter(average => average.hasSamples)
            .map(average => average.value(now, baseline)),
        );
      this.currentMedians = {
        latency: medianOf(target => target.latency),
        successLatency: medianOf(target => target.successLatency),
      };
      this.mediansAt = now;
    }
    return this.currentMedians;
  }

  /**
   * Returns the targets that may get the request now. A target that is due for
   * a probe is returned alone.
   */
  candidates(
    request: RoutedRequest,
    now: Millis,
    random: Random,
  ): readonly ServiceTarget[] {
    const usable = this.currentTargets.filter(
      ({record}) =>
        !record.isFull &&
        !record.isSkipped(now) &&
        !request.tried.includes(record.instance.id),
    );
    const probe = usable.find(target => canProbe(target, request, now));
    if (probe !== undefined) return [probe];
    const healthy = usable.filter(target => !target.health.ejected);
    const eligible = healthy.filter(target => {
      const share = target.slowStartShare(now);
      return share >= 1 || random.nextBoolean(share);
    });
    return eligible.length > 0 ? eligible : healthy;
  }

  /**
   * Ejects the target if it is failing or slow, unless the maximum fraction of
   * targets is ejected already. Returns whether it did.
   */
  ejectIfUnhealthy(target: ServiceTarget, now: Millis): boolean {
    if (target.health.ejected) return false;
    if (!target.health.isFailing && !this.isSlow(target)) return false;
    const maxEjected = Math.floor(
      this.currentTargets.length * MAX_EJECTED_SHARE,
    );
    if (this.ejectedTargets().length >= maxEjected) return false;
    target.health.eject(now);
    return true;
  }

  private isSlow(target: ServiceTarget): boolean {
    const mean = target.meanLatency;
    if (mean === undefined) return false;
    const otherMeans: Millis[] = [];
    for (const other of this.currentTargets) {
      const latency = other.meanLatency;
      if (other !== target && latency !== undefined) otherMeans.push(latency);
    }
    const otherMedian = median(otherMeans);
    if (otherMedian === undefined) return false;
    return (
      mean > otherMedian * SLOW_LATENCY_FACTOR &&
      mean > otherMedian + SLOW_MARGIN_MS
    );
  }

  private ejectedTargets(): ServiceTarget[] {
    return this.currentTargets.filter(target => target.health.ejected);
  }

  /**
   * Readmits targets, those whose ejection ends first, until the ejected ones
   * are within `MAX_EJECTED_SHARE` again. A group that shrinks can exceed it.
   */
  private readmitExcess(now: Millis): void {
    const maxEjected = Math.floor(
      this.currentTargets.length * MAX_EJECTED_SHARE,
    );
    const ejected = this.ejectedTargets();
    ejected.sort((a, b) => a.health.ejectionEnd - b.health.ejectionEnd);
    for (const target of ejected.slice(
      0,
      Math.max(0, ejected.length - maxEjected),
    )) {
      target.health.readmit(now);
    }
  }
}

function canProbe(
  target: ServiceTarget,
  request: RoutedRequest,
  now: Millis,
): boolean {
  if (!target.health.isProbeDue(now)) return false;
  if (request.tried.length > 0) return false;
  return (
    request.idempotent ||
    now >= target.health.ejectionEnd + NON_IDEMPOTENT_PROBE_DELAY_MS
  );
}

function median(values: Millis[]): Millis | undefined {
  if (values.length === 0) return undefined;
  values.sort((a, b) => a - b);
  return values[Math.floor((values.length - 1) / 2)];
}

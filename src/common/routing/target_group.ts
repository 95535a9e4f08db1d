import {Millis} from '../base/clock.js';
import {RoutedRequest} from './types.js';
import {Random} from './random.js';
import {ServiceTarget} from './service_target.js';

/** Latency to assume before anything was measured. */
const UNKNOWN_LATENCY_MS: Millis = 1;

/** How long the medians are used before they are taken anew. */
const MEDIAN_AGE_MS: Millis = 100;

/**
 * Time over which a measurement of a data centre that gets no requests loses
 * most of its weight.
 */
const ESTIMATE_MEMORY_MS: Millis = 60_000;

/** Share of the targets that may be ejected at the same time. */
const MAX_EJECTED_SHARE = 0.5;

/** How many times the median a mean latency must be to eject a target. */
export const SLOW_FACTOR = 5;

/**
 * Least difference from the median that ejects a slow target, so that jitter of
 * very fast services ejects nothing.
 */
export const SLOW_MARGIN_MS: Millis = 50;

/**
 * How long a non-idempotent request is kept away from a target that is due for
 * a probe. A probe is likely to fail, and such a request can't be sent again.
 */
export const PROBE_PATIENCE_MS: Millis = 5000;

/** Targets of one service in one data centre. */
export class TargetGroup {
  private medianLatency: Millis | undefined;
  private medianAt: Millis = -Infinity;
  private sampledAt: Millis | undefined;

  private members: readonly ServiceTarget[] = [];

  constructor(readonly dataCentre: string) {}

  get targets(): readonly ServiceTarget[] {
    return this.members;
  }

  /** Replaces the targets; what is known about the data centre is kept. */
  update(targets: readonly ServiceTarget[], now: Millis): void {
    this.members = targets;
    this.medianAt = -Infinity;
    this.readmitExcess(now);
  }

  /** Median of the targets' peak-sensitive latencies. */
  median(now: Millis): Millis {
    if (now - this.medianAt >= MEDIAN_AGE_MS) {
      const sampled = this.members.filter(target => target.latency.sampled);
      this.medianLatency = median(
        sampled.map(target => target.latency.value(now, 0, Infinity)),
      );
      this.medianAt = now;
    }
    return this.medianLatency ?? UNKNOWN_LATENCY_MS;
  }

  /** The median, moved towards `baseline` while nothing is sent here. */
  estimate(now: Millis, baseline: Millis): Millis {
    if (this.sampledAt === undefined) return baseline;
    const kept = Math.exp(-(now - this.sampledAt) / ESTIMATE_MEMORY_MS);
    return baseline + (this.median(now) - baseline) * kept;
  }

  /** Notes that a request to one of the targets has ended. */
  sampled(now: Millis): void {
    this.sampledAt = now;
  }

  /** Targets that may get the request now; a due probe comes alone. */
  candidates(
    request: RoutedRequest,
    now: Millis,
    random: Random,
  ): readonly ServiceTarget[] {
    const usable = this.members.filter(
      ({record}) =>
        !record.full &&
        !record.skipped(now) &&
        !request.tried.includes(record.instance.id),
    );
    const probe = usable.find(target => probeFits(target, request, now));
    if (probe !== undefined) return [probe];
    const healthy = usable.filter(target => !target.health.ejected);
    const ramped = healthy.filter(target => {
      const share = target.ramp(now);
      return share >= 1 || random.chance(share);
    });
    return ramped.length > 0 ? ramped : healthy;
  }

  /** Ejects the target if it is failing or slow and few enough are ejected. */
  judge(target: ServiceTarget, now: Millis): boolean {
    if (target.health.ejected) return false;
    if (!target.health.failing && !this.slow(target)) return false;
    const most = Math.floor(this.members.length * MAX_EJECTED_SHARE);
    if (this.ejected().length >= most) return false;
    target.health.eject(now);
    return true;
  }

  private slow(target: ServiceTarget): boolean {
    const own = target.meanLatency;
    if (own === undefined) return false;
    const others: Millis[] = [];
    for (const other of this.members) {
      const latency = other.meanLatency;
      if (other !== target && latency !== undefined) others.push(latency);
    }
    const usual = median(others);
    if (usual === undefined) return false;
    return own > usual * SLOW_FACTOR && own > usual + SLOW_MARGIN_MS;
  }

  private ejected(): ServiceTarget[] {
    return this.members.filter(target => target.health.ejected);
  }

  /** Keeps the ejected within their share after the group has shrunk. */
  private readmitExcess(now: Millis): void {
    const most = Math.floor(this.members.length * MAX_EJECTED_SHARE);
    const ejected = this.ejected();
    ejected.sort((a, b) => a.health.until - b.health.until);
    for (const target of ejected.slice(0, Math.max(0, ejected.length - most))) {
      target.health.readmit(now);
    }
  }
}

function probeFits(
  target: ServiceTarget,
  request: RoutedRequest,
  now: Millis,
): boolean {
  if (!target.health.probeDue(now)) return false;
  if (request.tried.length > 0) return false;
  return request.idempotent || now >= target.health.until + PROBE_PATIENCE_MS;
}

function median(values: Millis[]): Millis | undefined {
  if (values.length === 0) return undefined;
  values.sort((a, b) => a - b);
  return values[Math.floor((values.length - 1) / 2)];
}

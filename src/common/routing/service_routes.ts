import {Millis, MINUTE} from '../base/clock.js';
import {ServiceConfiguration} from '../tickets/types.js';
import {POLICIES, SelectionPolicy} from './policies.js';
import {Random} from './random.js';
import {RetryBudget} from './retry_budget.js';
import {ServiceTarget} from './service_target.js';
import {TargetGroup} from './target_group.js';
import {DEFAULT_EXTRA_DELAY_MS, RoutedRequest, RoutingState} from './types.js';

/**
 * Time constant with which the baseline follows the local latency. Far longer
 * than a disturbance, so that a slow data centre is compared with its own
 * normal latency.
 */
const BASELINE_DECAY_MS: Millis = 5 * MINUTE;

/** Latency assumed before the first measurement. */
const INITIAL_LATENCY_MS: Millis = 1;

/** The router's own data centre and its delays to the others. */
export type RoutingOrigin = Pick<RoutingState, 'dataCentre' | 'extraDelayMs'>;

/** A target and the group it belongs to. */
export interface Route {
  readonly target: ServiceTarget;
  readonly group: TargetGroup;
}

/** State of a target, as reported to operators. */
export interface TargetStatus {
  readonly target: string;
  readonly dataCentre: string;
  readonly inFlight: number;
  readonly limit: number;
  readonly ejected: boolean;
  /** Mean latency of successful requests; undefined with too few samples. */
  readonly meanLatency: Millis | undefined;
}

/** Target groups, retry budget and latency baseline of one service. */
export class ServiceRoutes {
  readonly budget = new RetryBudget();
  private readonly groups = new Map<string, TargetGroup>();
  private selectionCount = 0;
  /** Long-term average of the local median latency of successful requests. */
  private baseline: Millis = INITIAL_LATENCY_MS;
  private baselineUpdatedAt: Millis | undefined;

  constructor(
    private currentConfiguration: ServiceConfiguration,
    private origin: RoutingOrigin,
    private readonly random: Random,
  ) {}

  get configuration(): ServiceConfiguration {
    return this.currentConfiguration;
  }

  /** Replaces the configuration and the live targets, by data centre. */
  update(
    configuration: ServiceConfiguration,
    targets: ReadonlyMap<string, readonly ServiceTarget[]>,
    origin: RoutingOrigin,
    now: Millis,
  ): void {
    this.currentConfiguration = configuration;
    this.origin = origin;
    for (const dataCentre of targets.keys()) {
      if (!this.groups.has(dataCentre)) {
        this.groups.set(dataCentre, new TargetGroup(dataCentre));
      }
    }
    for (const [dataCentre, group] of this.groups) {
      group.update(targets.get(dataCentre) ?? [], now);
    }
  }

  private get local(): TargetGroup | undefined {
    return this.groups.get(this.origin.dataCentre);
  }

  /** Tells whether a target that isn't ejected has reached its limit. */
  hasFullTarget(): boolean {
    return [...this.groups.values()].some(group =>
      group.targets.some(
        ({health, record}) => record.isFull && !health.ejected,
      ),
    );
  }

  /** Concurrent requests that the targets accept from this instance. */
  get capacity(): number {
    let capacity = 0;
    for (const {targets} of this.groups.values()) {
      for (const {health, record} of targets) {
        if (!health.ejected) capacity += record.limit;
      }
    }
    return capacity;
  }

  describe(): TargetStatus[] {
    return [...this.groups.values()].flatMap(({dataCentre, targets}) =>
      targets.map(({record, health, meanLatency}) => ({
        target: record.instance.id,
        dataCentre,
        inFlight: record.inFlight,
        limit: record.limit,
        ejected: health.ejected,
        meanLatency,
      })),
    );
  }

  /**
   * Selects a target, preferring this data centre. Returns undefined if no
   * target can take the request.
   */
  selectRoute(request: RoutedRequest, now: Millis): Route | undefined {
    this.selectionCount++;
    this.updateBaseline(now);
    const local = this.local && this.selectFromGroup(this.local, request, now);
    if (local?.target.health.ejected) return local;
    return this.selectRemoteRoute(request, local, now) ?? local;
  }

  /** Typical latency of the group: its median, or the baseline if unknown. */
  latencyOf(group: TargetGroup, now: Millis): Millis {
    return group.medians(now, this.baseline).latency ?? this.baseline;
  }

  private selectFromGroup(
    group: TargetGroup,
    request: RoutedRequest,
    now: Millis,
  ): Route | undefined {
    const candidates = group.candidates(request, now, this.random);
    if (candidates.length === 0) return undefined;
    const typicalLatency = this.latencyOf(group, now);
    const context = {
      now,
      random: this.random,
      typicalLatency,
      selectionCount: this.selectionCount,
    };
    const policy: SelectionPolicy = POLICIES[this.configuration.routing];
    return {target: policy(candidates, context), group};
  }

  /**
   * Selects a target in another data centre if there is no local route, or if
   * the remote one is better by more than the extra delay.
   */
  private selectRemoteRoute(
    request: RoutedRequest,
    local: Route | undefined,
    now: Millis,
  ): Route | undefined {
    const costs = [...this.groups.values()]
      .filter(group => group !== this.local)
      .map(group => {
        const extraDelay = this.extraDelay(group.dataCentre);
        return {
          group,
          extraDelay,
          cost: this.latencyOf(group, now) + extraDelay,
        };
      })
      .sort((a, b) => a.cost - b.cost);
    for (const {group, extraDelay, cost} of costs) {
      // Scores alone would send requests to other data centres even under
      // balanced load, because this instance counts only its own requests in
      // flight at the remote targets.
      if (local && this.latencyOf(local.group, now) <= cost) return undefined;
      const remote = this.selectFromGroup(group, request, now);
      if (remote === undefined) continue;
      if (local === undefined) return remote;
      const gain = this.score(local, now) - this.score(remote, now);
      return gain > extraDelay ? remote : undefined;
    }
    return undefined;
  }

  private score({target, group}: Route, now: Millis): number {
    return target.score(now, this.latencyOf(group, now));
  }

  private extraDelay(dataCentre: string): Millis {
    const extraDelay = this.origin.extraDelayMs?.[dataCentre];
    return extraDelay ?? DEFAULT_EXTRA_DELAY_MS;
  }

  /**
   * Moves the baseline towards the current local latency. Failures are left
   * out: after an outage the baseline must be a normal latency, so that the
   * targets are tried again.
   */
  private updateBaseline(now: Millis): void {
    const current = this.local?.medians(now, this.baseline).successLatency;
    if (current === undefined) return;
    // The first measurement replaces the initial value.
    const updatedAt = this.baselineUpdatedAt ?? -Infinity;
    const decay = Math.exp(-(now - updatedAt) / BASELINE_DECAY_MS);
    this.baseline = current + (this.baseline - current) * decay;
    this.baselineUpdatedAt = now;
  }
}

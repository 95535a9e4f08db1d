import {Millis, MINUTE} from '../base/clock.js';
import {ServiceConfiguration} from '../tickets/types.js';
import {POLICIES, Policy} from './policies.js';
import {Random} from './random.js';
import {RetryBudget} from './retry_budget.js';
import {ServiceTarget} from './service_target.js';
import {TargetGroup} from './target_group.js';
import {DEFAULT_EXTRA_DELAY_MS, RoutedRequest, RoutingState} from './types.js';

/**
 * Time over which the usual latency follows the local one. Far longer than a
 * disturbance, so that a slow data centre is compared with its usual self.
 */
const BASELINE_MEMORY_MS: Millis = 5 * MINUTE;

/** Where the routes lead from. */
export type Surroundings = Pick<RoutingState, 'dataCentre' | 'extraDelayMs'>;

/** A target together with its group. */
export interface Route {
  readonly target: ServiceTarget;
  readonly group: TargetGroup;
}

/** All targets of one service, with what is kept per service. */
export class ServiceRoutes {
  readonly budget = new RetryBudget();
  private readonly groups = new Map<string, TargetGroup>();
  private turn = 0;
  private baseline: Millis | undefined;
  private baselineAt: Millis = 0;

  constructor(
    private currentConfiguration: ServiceConfiguration,
    private surroundings: Surroundings,
    private readonly random: Random,
  ) {}

  get configuration(): ServiceConfiguration {
    return this.currentConfiguration;
  }

  /** Takes new settings and the live targets by data centre. */
  update(
    configuration: ServiceConfiguration,
    targets: ReadonlyMap<string, readonly ServiceTarget[]>,
    surroundings: Surroundings,
    now: Millis,
  ): void {
    this.currentConfiguration = configuration;
    this.surroundings = surroundings;
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
    return this.groups.get(this.surroundings.dataCentre);
  }

  /** Tells whether a target is passed over only because of its limit. */
  anyFull(): boolean {
    return [...this.groups.values()].some(group =>
      group.targets.some(({health, record}) => record.full && !health.ejected),
    );
  }

  /** Picks a target for the request, in this data centre if possible. */
  pick(request: RoutedRequest, now: Millis): Route | undefined {
    this.turn++;
    const resting = this.local?.median(now);
    const baseline = this.followBaseline(resting, now);
    const local =
      this.local && this.pickIn(this.local, request, resting ?? baseline, now);
    if (local?.target.health.ejected) return local;
    const remote = this.pickRemote(request, baseline, local, now);
    return remote ?? local;
  }

  private pickIn(
    group: TargetGroup,
    request: RoutedRequest,
    resting: Millis,
    now: Millis,
  ): Route | undefined {
    const candidates = group.candidates(request, now, this.random);
    if (candidates.length === 0) return undefined;
    const context = {now, random: this.random, resting, turn: this.turn};
    const policy: Policy = POLICIES[this.configuration.routing];
    return {target: policy(candidates, context), group};
  }

  /** Picks in another data centre when none is local or the local is worse. */
  private pickRemote(
    request: RoutedRequest,
    baseline: Millis,
    local: Route | undefined,
    now: Millis,
  ): Route | undefined {
    const costs = [...this.groups.values()]
      .filter(group => group !== this.local)
      .map(group => ({
        group,
        estimate: group.estimate(now, baseline),
        extra: this.extraDelay(group.dataCentre),
      }))
      .sort((a, b) => a.estimate + a.extra - (b.estimate + b.extra));
    for (const {group, estimate, extra} of costs) {
      // The scores alone would send requests away under even load, because
      // this instance sees only its own requests at the remote targets.
      const slower = local && local.group.median(now) > estimate + extra;
      if (local && !slower) return undefined;
      const remote = this.pickIn(group, request, estimate, now);
      if (remote === undefined) continue;
      if (local === undefined) return remote;
      const localScore = local.target.score(now, local.group.median(now));
      const remoteScore = remote.target.score(now, estimate);
      return localScore > remoteScore + extra ? remote : undefined;
    }
    return undefined;
  }

  private extraDelay(dataCentre: string): Millis {
    const extra = this.surroundings.extraDelayMs?.[dataCentre];
    return extra ?? DEFAULT_EXTRA_DELAY_MS;
  }

  /** Moves the usual latency towards the local one and returns it. */
  private followBaseline(current: Millis | undefined, now: Millis): Millis {
    if (current === undefined) return this.baseline ?? 0;
    const kept = Math.exp(-(now - this.baselineAt) / BASELINE_MEMORY_MS);
    const before = this.baseline ?? current;
    this.baseline = current + (before - current) * kept;
    this.baselineAt = now;
    return this.baseline;
  }
}

import {Either, Left, Right} from 'purify-ts';
import {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {Millis, SECOND} from '../base/clock.js';
import {Emitter} from '../base/emitter.js';
import {Instance} from '../base/platform.js';
import {refuse, Refusal, RefusalKind} from '../base/refusal.js';
import {LeavingTargets} from './leaving_targets.js';
import {OUTCOME_EFFECTS, OutcomeEffect} from './outcome_effects.js';
import {Random} from './random.js';
import {Route, ServiceRoutes, TargetStatus} from './service_routes.js';
import {ServiceTarget} from './service_target.js';
import {TargetRecord} from './target_record.js';
import {
  AttemptOutcome,
  TargetSelection,
  RoutedRequest,
  RoutingState,
  TargetSelector,
} from './types.js';

/** Event: a target was ejected for one service. */
export interface Ejection {
  readonly service: string;
  readonly target: string;
  readonly until: Millis;
}

/**
 * Load balancer of one entry instance. It uses only what this instance has
 * observed; routers share no state.
 */
export class Router implements TargetSelector {
  private state: RoutingState | undefined;
  private readonly records = new Map<string, TargetRecord>();
  /** Targets by record and service name. */
  private readonly targets = new Map<
    TargetRecord,
    Map<string, ServiceTarget>
  >();
  private readonly routes = new Map<string, ServiceRoutes>();
  private readonly leaving = new LeavingTargets();
  private readonly unfinishedRoutes = new WeakMap<TargetSelection, Route>();
  private readonly random: Random;
  private readonly ejection = new Emitter<Ejection>();
  /** Latest time passed to a method, used by methods that aren't given one. */
  private latestTime: Millis = 0;

  readonly onEjection = this.ejection.event;

  constructor(generator: RandomGenerator) {
    this.random = new Random(generator);
  }

  update(state: RoutingState, now: Millis): void {
    this.latestTime = now;
    const isFirstList = this.records.size === 0;
    const listedIds = new Set(state.targets.map(target => target.id));
    for (const [id, record] of this.records) {
      if (!listedIds.has(id)) record.markAbsent(now);
      if (record.isExpired(now)) this.removeRecord(id, record);
    }
    const dataCentres = new Set(state.targets.map(target => target.dataCentre));
    for (const instance of state.targets) {
      this.leaving.observe(instance);
      // Entry instances of every data centre may send to a remote target.
      const isLocal = instance.dataCentre === state.dataCentre;
      const sharingInstances =
        state.entryInstances * (isLocal ? 1 : dataCentres.size);
      this.updateRecord(
        instance,
        sharingInstances,
        isFirstList ? undefined : now,
      );
    }
    this.state = state;
    this.updateRoutes(now);
  }

  markLeaving(target: string, start?: number): void {
    const knownStart = this.records.get(target)?.instance.start;
    const startNumber = start ?? knownStart;
    if (startNumber === undefined) return;
    this.leaving.mark(target, startNumber);
    this.updateRoutes(this.latestTime);
  }

  choose(
    request: RoutedRequest,
    now: Millis,
  ): Either<Refusal, TargetSelection> {
    this.latestTime = now;
    const routes = this.routes.get(request.service);
    if (routes === undefined) return Left(unknownService(request.service));
    const retry = request.tried.length > 0;
    if (retry && !routes.budget.available) {
      return Left(retryBudgetSpent(request.service));
    }
    const route = routes.selectRoute(request, now);
    if (route === undefined) return Left(noTarget(request.service, routes));
    if (retry) routes.budget.tryWithdraw();
    else routes.budget.deposit(routes.configuration.retryBudget);
    return Right(this.startAttempt(request.service, route, retry, now));
  }

  finish(
    choice: TargetSelection,
    outcome: AttemptOutcome,
    now: Millis,
    latency: Millis | 'unmeasured' = now - choice.chosenAt,
  ): void {
    this.latestTime = now;
    const route = this.unfinishedRoutes.get(choice);
    if (route === undefined) return;
    this.unfinishedRoutes.delete(choice);
    const {target} = route;
    target.record.inFlight--;
    const typicalLatency =
      this.routes.get(choice.service)?.latencyOf(route.group, now) ?? 0;
    const effect = effectOf(outcome, latency, typicalLatency);
    if (outcome === AttemptOutcome.NOT_SENT) target.record.startSkip(now);
    else if (effect === OutcomeEffect.FAILURE) {
      target.observeFailure(
        latency === 'unmeasured' ? 0 : latency,
        typicalLatency,
        now,
      );
    }
    if (effect === OutcomeEffect.SUCCESS && latency !== 'unmeasured') {
      target.observeSuccess(latency, now);
    }
    this.updateHealth(choice, route, effect, now);
  }

  /** Counts the outcome; ejects or readmits the target accordingly. */
  private updateHealth(
    choice: TargetSelection,
    {target, group}: Route,
    effect: OutcomeEffect,
    now: Millis,
  ): void {
    const {health} = target;
    const failed = effect === OutcomeEffect.FAILURE;
    if (choice.probe) {
      health.endProbe(effect === OutcomeEffect.NONE ? undefined : failed, now);
      if (!health.ejected) target.restartSlowStart(now);
      return;
    }
    // Ignores results of requests that were sent before the ejection.
    if (effect === OutcomeEffect.NONE || health.ejected) return;
    health.recordResult(failed);
    if (group.ejectIfUnhealthy(target, now)) {
      this.ejection.fire({
        service: choice.service,
        target: target.record.instance.id,
        until: health.ejectionEnd,
      });
    }
  }

  private startAttempt(
    service: string,
    {target, group}: Route,
    retry: boolean,
    now: Millis,
  ): TargetSelection {
    const probe = target.health.ejected;
    if (probe) target.health.startProbe();
    target.record.inFlight++;
    const choice: TargetSelection = {
      service,
      target: target.record.instance,
      chosenAt: now,
      retry,
      probe,
    };
    this.unfinishedRoutes.set(choice, {target, group});
    return choice;
  }

  private removeRecord(id: string, record: TargetRecord): void {
    this.records.delete(id);
    this.targets.delete(record);
  }

  capacity(service: string): number {
    return this.routes.get(service)?.capacity ?? 0;
  }

  /** Returns the state of the live targets of a service. */
  describeTargets(service: string): readonly TargetStatus[] {
    return this.routes.get(service)?.describe() ?? [];
  }

  /** Adds or updates a target. A higher start number starts a new record. */
  private updateRecord(
    instance: Instance,
    sharingInstances: number,
    firstSeenAt: Millis | undefined,
  ): void {
    const known = this.records.get(instance.id);
    // Ignores an outdated list from a source that lags behind.
    if (known && known.instance.start > instance.start) return;
    if (known && known.instance.start === instance.start) {
      known.update(instance, sharingInstances);
      return;
    }
    if (known) this.removeRecord(instance.id, known);
    const record = new TargetRecord(instance, firstSeenAt);
    record.update(instance, sharingInstances);
    this.records.set(instance.id, record);
    this.targets.set(record, new Map());
  }

  private updateRoutes(now: Millis): void {
    if (this.state === undefined) return;
    const {services} = this.state;
    for (const name of this.routes.keys()) {
      if (!Object.hasOwn(services, name)) this.routes.delete(name);
    }
    for (const [name, configuration] of Object.entries(services)) {
      let routes = this.routes.get(name);
      if (routes === undefined) {
        routes = new ServiceRoutes(configuration, this.state, this.random);
        this.routes.set(name, routes);
      }
      routes.update(configuration, this.liveTargets(name), this.state, now);
    }
  }

  /** Listed targets of a service that aren't leaving, by data centre. */
  private liveTargets(service: string): Map<string, ServiceTarget[]> {
    const byDataCentre = new Map<string, ServiceTarget[]>();
    for (const record of this.records.values()) {
      const {instance} = record;
      if (record.absentSince !== undefined) continue;
      if (!instance.services.includes(service)) continue;
      if (this.leaving.has(instance)) continue;
      const targets = byDataCentre.get(instance.dataCentre) ?? [];
      targets.push(this.serviceTarget(record, service));
      byDataCentre.set(instance.dataCentre, targets);
    }
    return byDataCentre;
  }

  private serviceTarget(record: TargetRecord, service: string): ServiceTarget {
    const byService = this.targets.get(record)!;
    let target = byService.get(service);
    if (target === undefined) {
      target = new ServiceTarget(record);
      byService.set(service, target);
    }
    return target;
  }
}

function effectOf(
  outcome: AttemptOutcome,
  latency: Millis | 'unmeasured',
  typicalLatency: Millis,
): OutcomeEffect {
  // A timeout below the typical latency says nothing about the target.
  const deadlineTooShort =
    outcome === AttemptOutcome.TIMED_OUT &&
    (latency === 'unmeasured' || latency < typicalLatency);
  return deadlineTooShort ? OutcomeEffect.NONE : OUTCOME_EFFECTS[outcome];
}

function unknownService(service: string): Refusal {
  return refuse(
    RefusalKind.UNKNOWN_SERVICE,
    `No service is called "${service}".`,
    'Check the name, or create the service with a ticket.',
  );
}

function retryBudgetSpent(service: string): Refusal {
  return refuse(
    RefusalKind.OVERLOADED,
    `The retry budget of service "${service}" is spent.`,
    'Try again later, or raise retryBudget with a ticket.',
    1 * SECOND,
  );
}

function noTarget(service: string, routes: ServiceRoutes): Refusal {
  if (routes.hasFullTarget()) {
    return refuse(
      RefusalKind.OVERLOADED,
      `All targets of service "${service}" are at their limits.`,
      'Try again later, or add workers for the service.',
      1 * SECOND,
    );
  }
  return refuse(
    RefusalKind.NO_TARGET,
    `No target of service "${service}" can take a request.`,
    'Try again later, and check that workers list the service.',
    1 * SECOND,
  );
}

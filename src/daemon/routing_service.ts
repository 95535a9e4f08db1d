import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Clock, Millis, MINUTE} from '../common/base/clock.js';
import {Disposable, DisposableStore} from '../common/base/disposable.js';
import {Instance, InstanceRole} from '../common/base/platform.js';
import {Router} from '../common/routing/router.js';
import {ServiceReport} from '../node/api_types.js';
import {InstanceListClient} from '../node/instance_list_client.js';
import {Metrics} from '../node/metrics.js';
import {ClaimSource, RequestEndKind} from '../node/proxy_types.js';
import {Slowdown} from '../node/peer_messages.js';
import {ServiceProxy} from '../node/service_proxy.js';
import {WorkerClient} from '../node/worker_client.js';
import {PeerStateService} from './peer_state_service.js';
import {TicketService} from './ticket_service.js';
import {Settings} from './types.js';

declare module '../common/kernel/kernel.js' {
  interface Services {
    routing: RoutingService;
  }
}

/**
 * How long a leaving target is reported to peers. The instance list shows it as
 * leaving earlier than that.
 */
const LEAVING_REPORT_MS: Millis = MINUTE;

/** With fewer measured targets the median is not meaningful. */
const MIN_MEASURED_TARGETS = 4;

/** Services that routing depends on. */
export interface RoutingDependencies {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly list: InstanceListClient;
  readonly tickets: TicketService;
  readonly peerStates: PeerStateService;
  readonly claims: ClaimSource;
  readonly metrics: Metrics;
  readonly workers: WorkerClient;
}

/**
 * Keeps the proxy and the router up to date: targets come from the instance
 * list, services and drained workers from the tickets, and leaving targets from
 * peers, worker statuses and responses of the targets.
 */
export class RoutingService implements Disposable {
  private readonly store = new DisposableStore();
  private readonly router = new Router(xoroshiro128plus(Date.now()));
  /** Local time at which each leaving target last announced it. */
  private readonly leavingReportedAt = new Map<string, Millis>();
  readonly proxy: ServiceProxy;

  constructor(private readonly dependencies: RoutingDependencies) {
    const {clock, claims, tickets, list, peerStates} = dependencies;
    this.proxy = this.store.add(
      new ServiceProxy(
        {
          router: this.router,
          claims,
          clock,
          wallClock: Date.now,
          service: name => {
            const {services} = tickets.state.configuration;
            // Inherited properties don't count: a service may be named
            // `constructor`.
            return Object.hasOwn(services, name) ? services[name] : undefined;
          },
        },
        {maxBodyBytes: dependencies.settings.limits.maxBodyBytes},
      ),
    );
    this.store.add(list.onList(() => this.updateProxy()));
    this.store.add(tickets.state.onChange(() => this.updateProxy()));
    this.store.add(
      peerStates.onTargetLeaving(target => this.router.markLeaving(target)),
    );
    this.store.add(
      this.proxy.onTargetLeaving(({target}) => this.recordLeaving(target)),
    );
    this.store.add(
      dependencies.workers.onMessage(message => {
        if (message.kind !== 'worker-status' || !message.status.leaving) return;
        this.router.markLeaving(message.worker);
        this.recordLeaving(message.worker);
      }),
    );
    this.recordRequestMetrics();
  }

  /** Returns the targets and requests of each service at this instance. */
  reportServices(): ServiceReport[] {
    const {services} = this.dependencies.tickets.state.configuration;
    const targets = this.listTargets();
    return Object.keys(services).map(service => {
      const listed = targets.filter(target =>
        target.services.includes(service),
      );
      const live = this.router.describeTargets(service);
      return {
        service,
        targets: live.length,
        ejected: live.filter(target => target.ejected).length,
        leaving: listed.length - live.length,
        inFlight: live.reduce((sum, target) => sum + target.inFlight, 0),
        queued: this.proxy.waiting(service),
      };
    });
  }

  /** Targets that were seen leaving here within `LEAVING_REPORT_MS`. */
  get leavingTargets(): readonly string[] {
    const now = this.dependencies.clock.now();
    for (const [target, at] of this.leavingReportedAt) {
      if (now - at > LEAVING_REPORT_MS) this.leavingReportedAt.delete(target);
    }
    return [...this.leavingReportedAt.keys()];
  }

  /**
   * Ratio of each worker's mean latency to that of the median target of the
   * same service and data centre, measured at this instance. For a worker with
   * several services, the highest ratio.
   */
  measureSlowdowns(): readonly Slowdown[] {
    const {services} = this.dependencies.tickets.state.configuration;
    const highest = new Map<string, number>();
    for (const service of Object.keys(services)) {
      for (const {worker, slowdown} of this.measureServiceSlowdowns(service)) {
        highest.set(worker, Math.max(highest.get(worker) ?? 0, slowdown));
      }
    }
    return [...highest].map(([worker, slowdown]) => ({worker, slowdown}));
  }

  dispose(): void {
    this.store.dispose();
  }

  private measureServiceSlowdowns(service: string): Slowdown[] {
    const {dataCentre} = this.dependencies.settings;
    const measured = this.router
      .describeTargets(service)
      .filter(target => target.dataCentre === dataCentre)
      .flatMap(({target, meanLatency}) =>
        meanLatency === undefined ? [] : [{worker: target, meanLatency}],
      )
      .sort((a, b) => a.meanLatency - b.meanLatency);
    if (measured.length < MIN_MEASURED_TARGETS) return [];
    const median = measured[Math.floor((measured.length - 1) / 2)].meanLatency;
    if (median <= 0) return [];
    return measured.map(({worker, meanLatency}) => ({
      worker,
      slowdown: meanLatency / median,
    }));
  }

  private recordLeaving(target: string): void {
    this.leavingReportedAt.set(target, this.dependencies.clock.now());
  }

  private recordRequestMetrics(): void {
    const {metrics} = this.dependencies;
    this.store.add(
      this.proxy.onRequestEnd(end => {
        metrics.requests.inc({service: end.service, outcome: end.kind});
        if (end.refusal !== undefined) {
          metrics.refusals.inc({kind: end.refusal});
        }
        if (end.attempts > 1) {
          metrics.retries.inc({service: end.service}, end.attempts - 1);
        }
        if (end.kind === RequestEndKind.ANSWERED) {
          metrics.observe('request_latency', end.service, end.latencyMs);
        }
      }),
    );
  }

  /**
   * Listed workers that run services, without those that a ticket drains. A
   * later ticket can bring such a worker back. Any other report that a worker
   * is leaving applies until the worker restarts.
   */
  private listTargets(): readonly Instance[] {
    const {list, tickets} = this.dependencies;
    const {workers} = tickets.state.configuration;
    const isDrained = (id: string) =>
      Object.hasOwn(workers, id) && workers[id].state === 'leaving';
    return list.instances.filter(
      ({id, role, services}) =>
        role === InstanceRole.WORKER && services.length > 0 && !isDrained(id),
    );
  }

  private updateProxy(): void {
    const {settings, list, tickets} = this.dependencies;
    const {configuration} = tickets.state;
    const entryInstances = list.instances.filter(
      instance =>
        instance.role === InstanceRole.ENTRY &&
        instance.dataCentre === settings.dataCentre,
    ).length;
    this.proxy.update({
      dataCentre: settings.dataCentre,
      entryInstances: Math.max(1, entryInstances),
      targets: this.listTargets(),
      services: configuration.services,
      extraDelayMs: Object.fromEntries(
        Object.entries(settings.dataCentres).map(([name, {delayMs}]) => [
          name,
          // A request crosses the distance both ways.
          2 * delayMs,
        ]),
      ),
    });
  }
}

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Clock} from '../common/base/clock.js';
import {Disposable, DisposableStore} from '../common/base/disposable.js';
import {Instance, InstanceRole} from '../common/base/platform.js';
import {Router} from '../common/routing/router.js';
import {ServiceReport} from '../node/api_types.js';
import {InstanceListClient} from '../node/instance_list_client.js';
import {Metrics} from '../node/metrics.js';
import {ClaimSource, RequestEndKind} from '../node/proxy_types.js';
import {ServiceProxy} from '../node/service_proxy.js';
import {PeerStateService} from './peer_state_service.js';
import {TicketService} from './ticket_service.js';
import {Settings} from './types.js';

declare module '../common/kernel/kernel.js' {
  interface Services {
    routing: RoutingService;
  }
}

/** Parts that routing depends on. */
export interface RoutingParts {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly list: InstanceListClient;
  readonly tickets: TicketService;
  readonly peerStates: PeerStateService;
  readonly claims: ClaimSource;
  readonly metrics: Metrics;
}

/**
 * Keeps the router's surroundings current: targets from the instance list,
 * services and leaving workers from the tickets, leaving targets from peers.
 */
export class RoutingService implements Disposable {
  private readonly store = new DisposableStore();
  private readonly router = new Router(xoroshiro128plus(Date.now()));
  readonly proxy: ServiceProxy;

  constructor(private readonly parts: RoutingParts) {
    const {clock, claims, tickets, list, peerStates} = parts;
    this.proxy = this.store.add(
      new ServiceProxy(
        {
          router: this.router,
          claims,
          clock,
          wallClock: Date.now,
          service: name => tickets.state.configuration.services[name],
        },
        {maxBodyBytes: parts.settings.limits.maxBodyBytes},
      ),
    );
    this.store.add(list.onList(() => this.update()));
    this.store.add(tickets.state.onChange(() => this.update()));
    this.store.add(
      peerStates.onTargetLeaving(target => this.router.markLeaving(target)),
    );
    this.listenToProxy();
  }

  /** Reports each service as this instance routes it. */
  reports(): ServiceReport[] {
    const {services} = this.parts.tickets.state.configuration;
    return Object.keys(services).map(service => ({
      service,
      targets: this.targets().filter(target =>
        target.services.includes(service),
      ).length,
      ejected: 0,
      leaving: 0,
      inFlight: this.proxy.inFlight,
      queued: 0,
    }));
  }

  dispose(): void {
    this.store.dispose();
  }

  private listenToProxy(): void {
    const {metrics} = this.parts;
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

  /** Workers of the list that serve requests. */
  private targets(): readonly Instance[] {
    return this.parts.list.instances.filter(
      instance =>
        instance.role === InstanceRole.WORKER && instance.services.length > 0,
    );
  }

  private update(): void {
    const {settings, list, tickets} = this.parts;
    const {configuration} = tickets.state;
    const entryInstances = list.instances.filter(
      instance =>
        instance.role === InstanceRole.ENTRY &&
        instance.dataCentre === settings.dataCentre,
    ).length;
    this.proxy.update({
      dataCentre: settings.dataCentre,
      entryInstances: Math.max(1, entryInstances),
      targets: this.targets(),
      services: configuration.services,
      extraDelayMs: Object.fromEntries(
        Object.entries(settings.dataCentres).map(([name, {delayMs}]) => [
          name,
          2 * delayMs,
        ]),
      ),
    });
    for (const [id, {state}] of Object.entries(configuration.workers)) {
      if (state === 'leaving') this.router.markLeaving(id);
    }
  }
}

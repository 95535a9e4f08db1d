import {Disposable} from '../common/base/disposable.js';
import {Emitter} from '../common/base/emitter.js';
import {refuse, RefusalKind, REFUSAL_STATUS} from '../common/base/refusal.js';
import {AdmissionLimits} from '../common/routing/admission.js';
import {RoutingState} from '../common/routing/types.js';
import {ServiceConfiguration} from '../common/tickets/types.js';
import {AdmissionQueue} from './admission_queue.js';
import {
  Exchange,
  JsonServer,
  RefusalError,
  RouteHandler,
} from './json_server.js';
import {ProxiedRequest} from './proxied_request.js';
import {
  DEFAULT_PROXY_OPTIONS,
  LeavingNotice,
  ProxyDependencies,
  ProxyOptions,
  RequestEnd,
  RequestEndKind,
} from './proxy_types.js';
import {readContext, readRequestId} from './request_context.js';
import {ServiceLatency} from './service_latency.js';
import {TargetPools} from './target_pools.js';
import {ProxyResources} from './request_attempts.js';

/** Reverse proxy for `/v1/services/{service}/{path}`, with any method. */
export class ServiceProxy implements Disposable {
  private readonly leavingNotices = new Emitter<LeavingNotice>();
  private readonly requestEnds = new Emitter<RequestEnd>();
  private readonly pools: TargetPools;
  private readonly resources: ProxyResources;
  private readonly queues = new Map<string, AdmissionQueue>();
  private readonly latencies = new Map<string, ServiceLatency>();
  private openRequests = 0;

  /** Fires after the router was told that a target is leaving. */
  readonly onTargetLeaving = this.leavingNotices.event;
  /** Fires when a request has ended. */
  readonly onRequestEnd = this.requestEnds.event;

  constructor(
    dependencies: ProxyDependencies,
    options: Partial<ProxyOptions> = {},
  ) {
    const allOptions = {...DEFAULT_PROXY_OPTIONS, ...options};
    this.pools = new TargetPools(allOptions.targetIdleTimeoutMs);
    this.resources = {
      ...dependencies,
      options: allOptions,
      pools: this.pools,
      reportLeaving: notice => {
        dependencies.router.markLeaving(notice.target, notice.start);
        this.leavingNotices.fire(notice);
      },
      latency: service => this.latencyFor(service),
    };
  }

  /** Adds the proxy's route to a server. */
  mount(server: JsonServer): void {
    server.route('*', '/v1/services/{service}/{path...}', this.handle);
  }

  /**
   * Applies new instances and configuration to the router and the queues, and
   * closes the connections to removed targets.
   */
  update(state: RoutingState): void {
    const {router, clock} = this.resources;
    router.update(state, clock.now());
    this.pools.retain(state.targets);
    for (const [name, queue] of this.queues) {
      const configuration = this.resources.service(name);
      if (configuration === undefined) this.removeService(name);
      else queue.update(this.admissionLimits(name, configuration));
    }
  }

  /** Number of requests of a service that wait in its queue. */
  waiting(service: string): number {
    return this.queues.get(service)?.waiting ?? 0;
  }

  /** Number of requests that have not ended, for a graceful shutdown. */
  get inFlight(): number {
    return this.openRequests;
  }

  /** Closes all connections to targets at once. */
  dispose(): void {
    this.pools.dispose();
    for (const queue of this.queues.values()) queue.dispose();
    this.leavingNotices.dispose();
    this.requestEnds.dispose();
  }

  readonly handle: RouteHandler = async exchange => {
    this.openRequests++;
    try {
      const request = this.createRequest(exchange);
      this.requestEnds.fire(await request.run());
    } catch (error) {
      if (error instanceof RefusalError) this.reportRefusal(exchange, error);
      throw error;
    } finally {
      this.openRequests--;
    }
  };

  private reportRefusal({url}: Exchange, {refusal}: RefusalError): void {
    const service = serviceNameOf(url);
    const known = this.resources.service(service) !== undefined;
    this.requestEnds.fire({
      // Unknown names are left out, because callers could otherwise create any
      // number of metrics.
      service: known ? service : '',
      kind: RequestEndKind.REFUSED,
      latencyMs: 0,
      attempts: 0,
      status: REFUSAL_STATUS[refusal.error],
      refusal: refusal.error,
    });
  }

  /** @throws RefusalError for an unknown service or invalid headers */
  private createRequest(exchange: Exchange): ProxiedRequest {
    const {request, response, url} = exchange;
    const id = readRequestId(request);
    response.setHeader('x-request-id', id);
    const service = serviceNameOf(url);
    const configuration = this.resources.service(service);
    if (configuration === undefined) {
      throw new RefusalError(
        refuse(
          RefusalKind.UNKNOWN_SERVICE,
          `No service is called "${service}".`,
          'Check the name, or create the service with a ticket.',
        ),
      );
    }
    const context = readContext(
      {
        request,
        url,
        service,
        defaultDeadlineMs: configuration.deadlineMs,
        now: this.resources.clock.now(),
        unixNow: this.resources.wallClock(),
      },
      id,
    );
    return context.caseOf({
      Left: refusal => {
        throw new RefusalError(refusal);
      },
      Right: read => {
        const queue = this.queueFor(service, configuration);
        return new ProxiedRequest(this.resources, queue, exchange, read);
      },
    });
  }

  private queueFor(
    service: string,
    configuration: ServiceConfiguration,
  ): AdmissionQueue {
    let queue = this.queues.get(service);
    if (queue === undefined) {
      const limits = this.admissionLimits(service, configuration);
      queue = new AdmissionQueue(this.resources.clock, limits);
      this.queues.set(service, queue);
    }
    return queue;
  }

  private latencyFor(service: string): ServiceLatency {
    let latency = this.latencies.get(service);
    if (latency === undefined) {
      latency = new ServiceLatency();
      this.latencies.set(service, latency);
    }
    return latency;
  }

  private admissionLimits(
    service: string,
    {queueLimit}: ServiceConfiguration,
  ): AdmissionLimits {
    return {queueLimit, capacity: this.resources.router.capacity(service)};
  }

  /** Removes a service; its waiting requests stay in the old queue. */
  private removeService(service: string): void {
    this.queues.delete(service);
    this.latencies.delete(service);
  }
}

/** Returns the service name of the path `/v1/services/{service}/...`. */
function serviceNameOf(url: URL): string {
  return decodeURIComponent(url.pathname.split('/')[3] ?? '');
}

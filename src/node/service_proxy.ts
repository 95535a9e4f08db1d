import {Disposable} from '../common/base/disposable.js';
import {Emitter} from '../common/base/emitter.js';
import {refuse, RefusalKind} from '../common/base/refusal.js';
import {RoutingState} from '../common/routing/types.js';
import {
  Exchange,
  JsonServer,
  RefusedRequest,
  RouteHandler,
} from './json_server.js';
import {ProxiedRequest, ProxyParts} from './proxied_request.js';
import {
  DEFAULT_PROXY_OPTIONS,
  LeavingNotice,
  ProxyDependencies,
  ProxyOptions,
  RequestEnd,
} from './proxy_types.js';
import {readContext, requestId} from './request_context.js';
import {TargetPools} from './target_pools.js';

/** Passes callers' requests to targets: `ANY /v1/services/{service}/{path}`. */
export class ServiceProxy implements Disposable {
  private readonly leaving = new Emitter<LeavingNotice>();
  private readonly ended = new Emitter<RequestEnd>();
  private readonly pools: TargetPools;
  private readonly parts: ProxyParts;
  private open = 0;

  /** A target said that it is leaving; the router knows already. */
  readonly onTargetLeaving = this.leaving.event;
  /** The exchange with a caller ended. */
  readonly onRequestEnd = this.ended.event;

  constructor(
    dependencies: ProxyDependencies,
    options: Partial<ProxyOptions> = {},
  ) {
    const allOptions = {...DEFAULT_PROXY_OPTIONS, ...options};
    this.pools = new TargetPools(allOptions.targetIdleMs);
    this.parts = {
      ...dependencies,
      options: allOptions,
      pools: this.pools,
      targetLeaving: notice => {
        dependencies.router.markLeaving(notice.target, notice.start);
        this.leaving.fire(notice);
      },
    };
  }

  /** Adds the proxy's route to a server. */
  mount(server: JsonServer): void {
    server.route('*', '/v1/services/{service}/{path...}', this.handle);
  }

  /** Passes new surroundings to the router and closes unused connections. */
  update(state: RoutingState): void {
    const {router, clock} = this.parts;
    router.update(state, clock.now());
    this.pools.retain(state.targets);
  }

  /** Exchanges with callers that have not ended, for a graceful shutdown. */
  get inFlight(): number {
    return this.open;
  }

  /** Cuts all connections to targets. */
  dispose(): void {
    this.pools.dispose();
    this.leaving.dispose();
    this.ended.dispose();
  }

  readonly handle: RouteHandler = async exchange => {
    this.open++;
    try {
      const request = this.accept(exchange);
      this.ended.fire(await request.run());
    } finally {
      this.open--;
    }
  };

  /** @throws RefusedRequest for an unknown service or faulty headers. */
  private accept(exchange: Exchange): ProxiedRequest {
    const {request, response, url} = exchange;
    const id = requestId(request);
    response.setHeader('x-request-id', id);
    const service = serviceOf(url);
    const configuration = this.parts.service(service);
    if (configuration === undefined) {
      throw new RefusedRequest(
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
        now: this.parts.clock.now(),
        unixNow: this.parts.wallClock(),
      },
      id,
    );
    return context.caseOf({
      Left: refusal => {
        throw new RefusedRequest(refusal);
      },
      Right: read => new ProxiedRequest(this.parts, exchange, read),
    });
  }
}

/** Reads the service's name from the path `/v1/services/{service}/...`. */
function serviceOf(url: URL): string {
  return decodeURIComponent(url.pathname.split('/')[3] ?? '');
}

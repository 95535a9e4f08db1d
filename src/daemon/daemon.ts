import {ConsolaInstance} from 'consola';
import {Clock, Millis} from '../common/base/clock.js';
import {Instance, InstanceRole} from '../common/base/platform.js';
import {refuse, RefusalKind} from '../common/base/refusal.js';
import {Kernel} from '../common/kernel/kernel.js';
import {ConnectionGuard} from '../node/connections/connection_guard.js';
import {
  DaemonListener,
  daemonLimits,
} from '../node/connections/daemon_limits.js';
import {addJobRoutes} from '../node/job_api.js';
import {InstanceListClient} from '../node/instance_list_client.js';
import {JsonServer, sendJson, sendRefusal} from '../node/json_server.js';
import {DEFAULT_LOG_TIMEOUTS, LogClient} from '../node/log_client.js';
import {Metrics} from '../node/metrics.js';
import {addOperatorRoutes} from '../node/operator_api.js';
import {PeerState} from '../node/peer_messages.js';
import {MAX_MESSAGE_BYTES, memberId, PeerMesh} from '../node/peer_mesh.js';
import {PlatformClient} from '../node/platform_client.js';
import {SystemClock} from '../node/system_clock.js';
import {WorkerClient} from '../node/worker_client.js';
import {DataCentreService} from './data_centre_service.js';
import {JobService} from './job_service.js';
import {OperatorService} from './operator_service.js';
import {PeerStateService} from './peer_state_service.js';
import {RoutingService} from './routing_service.js';
import {TicketService} from './ticket_service.js';
import {Settings} from './types.js';

declare module '../common/kernel/kernel.js' {
  interface Services {
    clock: Clock;
    platform: PlatformClient;
    list: InstanceListClient;
    mesh: PeerMesh;
    metrics: Metrics;
    workers: WorkerClient;
  }
}

/** Period of the ticks; batches of records are due at most every 25 ms. */
const TICK_PERIOD_MS: Millis = 25;

/** Time for the load balancer to notice that this instance is not ready. */
const UNREADY_NOTICE_MS: Millis = 1000;

/** Period at which the slowdowns measured here are passed to the scheduler. */
const LOCAL_SLOWDOWN_PERIOD_MS: Millis = 500;

/** Memory for incomplete messages of peers; the largest one fits. */
const LEAST_PEER_BYTES = 1.25 * MAX_MESSAGE_BYTES;

const DRAIN_POLL_MS: Millis = 25;

/** One entry instance: creates, connects, starts and stops its services. */
export class Daemon {
  private readonly kernel = new Kernel();
  private readonly callerServer: JsonServer;
  private readonly operatorServer: JsonServer;
  /** Identifies this process; higher for later starts of the instance. */
  private readonly startNumber = Date.now();
  private tickTimer: NodeJS.Timeout | undefined;
  /** True from a shutdown request, or from a ticket that sets `leaving`. */
  private draining = false;
  private stopping = false;
  /** Result of `drainOnce`. */
  private drained: Promise<void> | undefined;
  private nextLocalSlowdownsAt: Millis = 0;

  constructor(
    private readonly settings: Settings,
    private readonly logger: ConsolaInstance,
  ) {
    const limits = {
      maxBodyBytes: settings.limits.maxBodyBytes,
      requestTimeoutMs: settings.timeouts.requestMs,
    };
    this.callerServer = new JsonServer(
      limits,
      this.createGuard(DaemonListener.CALLER),
    );
    this.operatorServer = new JsonServer(
      limits,
      this.createGuard(DaemonListener.OPERATOR),
    );
    this.callerServer.httpServer.maxConnections =
      settings.limits.maxCallerConnections;
    this.registerPlatform();
    this.registerCores();
    this.registerInterfaces();
  }

  private createGuard(
    listener: DaemonListener,
    leastHeldBytes = 0,
  ): ConnectionGuard {
    const {limits, timeouts} = this.settings;
    const logger = this.logger.withTag('connections');
    return new ConnectionGuard(
      listener,
      daemonLimits({
        connections: limits.maxCallerConnections,
        heldBodyBytes: Math.max(limits.maxHeldBodyBytes, leastHeldBytes),
        requestMs: timeouts.requestMs,
      }),
      new SystemClock(),
      {decide: (decision, fields) => logger.warn(decision, fields)},
    );
  }

  /** Opens the ports and starts to read the streams and the instance list. */
  async start(): Promise<void> {
    const {caller, operator, peer} = this.settings;
    await this.kernel.get('mesh').listen(peer.port, peer.host);
    await this.operatorServer.listen(operator.port, operator.host);
    await this.callerServer.listen(caller.port, caller.host);
    this.kernel.get('list').start();
    this.kernel.get('tickets').start();
    this.kernel.get('dataCentre').start();
    this.tickTimer = setInterval(() => this.tick(), TICK_PERIOD_MS);
    this.logger.withTag('daemon').info('The daemon has started.', {
      instance: this.settings.instance,
      caller,
      operator,
      peer,
    });
  }

  /**
   * Shuts down gracefully: reports that it is not ready, resigns leadership and
   * waits up to `drainMs` for requests in flight.
   */
  async stop(): Promise<void> {
    if (this.stopping) return;
    this.stopping = true;
    const deadline = Date.now() + this.settings.timeouts.drainMs;
    await this.drainOnce();
    const closed = this.callerServer.close();
    const proxy = this.kernel.get('routing').proxy;
    await this.waitUntil(() => proxy.inFlight === 0, deadline);
    // A connection that was busy when the server closed stays open and idle.
    await this.waitUntil(() => false, Date.now() + DRAIN_POLL_MS);
    this.callerServer.closeIdleConnections();
    await Promise.race([closed, this.waitUntil(() => false, deadline)]);
    this.dispose();
    this.logger.withTag('daemon').info('The daemon has stopped.');
  }

  /**
   * Reports that this instance is not ready and resigns leadership; later calls
   * return the same promise. Requests that still arrive are served until the
   * process ends.
   */
  private drainOnce(): Promise<void> {
    this.drained ??= this.drainAndResign();
    return this.drained;
  }

  private async drainAndResign(): Promise<void> {
    this.draining = true;
    const deadline = Date.now() + this.settings.timeouts.drainMs;
    const dataCentre = this.kernel.get('dataCentre');
    this.logger.withTag('daemon').info('The daemon is draining.');
    this.kernel.get('peerStates').broadcast();
    dataCentre.stopStartingTasks();
    await this.waitUntil(() => false, Date.now() + UNREADY_NOTICE_MS);
    await this.waitUntil(() => dataCentre.canResign, deadline);
    // An unconfirmed start could take effect while the next leader collects the
    // tasks of the workers.
    if (dataCentre.canResign) dataCentre.resign();
  }

  /** Releases everything at once; requests in flight are aborted. */
  dispose(): void {
    clearInterval(this.tickTimer);
    this.callerServer.closeAllConnections();
    this.operatorServer.closeAllConnections();
    void this.operatorServer.close();
    this.kernel.dispose();
  }

  private registerPlatform(): void {
    const {kernel, settings, logger} = this;
    const clock = kernel.register('clock', new SystemClock());
    const platform = kernel.register('platform', new PlatformClient());
    const {instances} = settings.platform;
    kernel.register('metrics', new Metrics());
    kernel.register(
      'workers',
      new WorkerClient(platform, clock, settings.timeouts.workerMs),
    );
    const list = kernel.register(
      'list',
      new InstanceListClient(
        platform,
        instances,
        clock,
        settings.timeouts.instanceListMs,
      ),
    );
    const {host, port} = settings.peer;
    const mesh = kernel.register(
      'mesh',
      new PeerMesh(
        {
          kind: 'hello',
          version: 1,
          instance: settings.instance,
          start: this.startNumber,
          dataCentre: settings.dataCentre,
          address: `${host}:${port}`,
        },
        clock,
        {
          maxQueueMessages: settings.limits.maxPeerQueueMessages,
          maxQueueBytes: settings.limits.maxPeerQueueBytes,
          silenceMs: settings.timeouts.peerSilenceMs,
        },
        this.createGuard(DaemonListener.PEER, LEAST_PEER_BYTES),
      ),
    );
    mesh.setAddresses(settings.peers);
    const peerLogger = logger.withTag('peers');
    mesh.onPeerUp(peer => peerLogger.info('A peer link was opened.', {peer}));
    mesh.onPeerDown(peer => peerLogger.info('A peer link was closed.', {peer}));
    list.onList(({instances: listed}) =>
      this.updatePeerAddresses(mesh, listed),
    );
  }

  /** Makes the mesh dial all listed entry instances and those in settings. */
  private updatePeerAddresses(
    mesh: PeerMesh,
    listed: readonly Instance[],
  ): void {
    const entries = listed
      .filter(instance => instance.role === InstanceRole.ENTRY)
      .map(({id, host, peerPort}) => ({id, host, port: peerPort}));
    mesh.setAddresses([...entries, ...this.settings.peers]);
  }

  private registerCores(): void {
    const {kernel, settings, logger} = this;
    const clock = kernel.get('clock');
    const mesh = kernel.get('mesh');
    const self = memberId(settings.instance, this.startNumber);
    const log = new LogClient(
      kernel.get('platform'),
      settings.platform.log,
      clock,
      {...DEFAULT_LOG_TIMEOUTS, longPollMs: settings.timeouts.logWaitMs},
    );
    const tickets = kernel.register(
      'tickets',
      new TicketService(
        log,
        mesh,
        clock,
        self,
        settings.timeouts,
        logger.withTag('tickets'),
      ),
    );
    const dataCentre = kernel.register(
      'dataCentre',
      new DataCentreService({
        log,
        mesh,
        workers: kernel.get('workers'),
        clock,
        self,
        settings,
        logger: logger.withTag('scheduler'),
      }),
    );
    kernel.get('list').onList(update => dataCentre.updateInstances(update));
    tickets.state.onChange(configuration => {
      dataCentre.updateConfiguration(configuration);
      const ownEntry = configuration.instances[settings.instance];
      if (ownEntry?.state === 'leaving') void this.drainOnce();
    });
    const metrics = kernel.get('metrics');
    dataCentre.onJobEnd(job => metrics.jobsEnded.inc({state: job.state}));
    dataCentre.onStart(({submission, submittedMs, attempts}) => {
      if (attempts > 1) return;
      const queueTimeMs = Date.now() - submittedMs;
      metrics.observe('job_queue_time', submission.jobClass, queueTimeMs);
    });
    dataCentre.onEviction(() => metrics.evictions.inc());
  }

  private registerInterfaces(): void {
    const {kernel, settings} = this;
    const dependencies = {
      settings,
      clock: kernel.get('clock'),
      list: kernel.get('list'),
      metrics: kernel.get('metrics'),
      workers: kernel.get('workers'),
      tickets: kernel.get('tickets'),
      dataCentre: kernel.get('dataCentre'),
    };
    const mesh = kernel.get('mesh');
    const peerStates = kernel.register(
      'peerStates',
      new PeerStateService(mesh, () => this.buildPeerState()),
    );
    // Every instance sends its state every half second, which is as often as
    // the leader needs slowdowns.
    peerStates.onState(({peer, state}) => {
      if (peer.dataCentre !== settings.dataCentre) return;
      dependencies.dataCentre.reportSlowdowns(state.slowdowns);
    });
    const jobs = kernel.register(
      'jobs',
      new JobService(mesh, dependencies.dataCentre, peerStates, settings),
    );
    const routing = kernel.register(
      'routing',
      new RoutingService({...dependencies, peerStates, claims: jobs}),
    );
    const operator = kernel.register(
      'operator',
      new OperatorService({...dependencies, jobs, peerStates, routing}),
    );
    routing.proxy.mount(this.callerServer);
    addJobRoutes(this.callerServer, operator);
    this.addProbes();
    addOperatorRoutes(this.operatorServer, operator);
  }

  private addProbes(): void {
    this.callerServer.route('GET', '/ready', ({response}) => {
      const refusal = this.findNotReadyRefusal();
      if (refusal === undefined) sendJson(response, 200, {ready: true});
      else sendRefusal(response, refusal);
    });
    for (const server of [this.callerServer, this.operatorServer]) {
      server.route('GET', '/metrics', async ({response}) => {
        this.updateGauges();
        const text = await this.kernel.get('metrics').text();
        response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
        response.end(text);
      });
    }
  }

  private updateGauges(): void {
    const metrics = this.kernel.get('metrics');
    const tickets = this.kernel.get('tickets');
    const {stale, ticketAgeMs, configuration} = tickets.report();
    const leads = this.kernel.get('dataCentre').leasedView !== undefined;
    metrics.setGauge('ticket_number', 'Ticket in force.', configuration.number);
    metrics.setGauge(
      'ticket_age_milliseconds',
      'Time since the end of the ticket stream was confirmed.',
      Number.isFinite(ticketAgeMs) ? ticketAgeMs : -1,
    );
    metrics.setGauge('ticket_stale', '1 when the ticket may be old.', +stale);
    metrics.setGauge('leads', '1 on the leader of the data centre.', +leads);
  }

  /** Returns why this instance is not ready, or undefined if it is. */
  private findNotReadyRefusal() {
    if (this.draining) {
      return refuse(
        RefusalKind.SHUTTING_DOWN,
        'This instance is shutting down.',
        'Use another instance.',
      );
    }
    if (this.kernel.get('tickets').ready) return undefined;
    return refuse(
      RefusalKind.NOT_READY,
      'This instance knows no configuration yet.',
      'Try again when the log service or a peer can be reached.',
      1000,
    );
  }

  /** Builds the message that `PeerStateService` sends to all peers. */
  private buildPeerState(): PeerState {
    const tickets = this.kernel.get('tickets');
    return {
      kind: 'state',
      ticketNumber: tickets.state.configuration.number,
      ticketAgeMs: tickets.ticketAgeMs,
      leads: this.kernel.get('dataCentre').leasedView?.epoch ?? null,
      leaving: this.kernel.get('routing').leavingTargets,
      slowdowns: this.kernel.get('routing').measureSlowdowns(),
      draining: this.draining,
    };
  }

  private tick(): void {
    const dataCentre = this.kernel.get('dataCentre');
    this.kernel.get('tickets').tick();
    dataCentre.tick();
    const now = this.kernel.get('clock').now();
    if (now < this.nextLocalSlowdownsAt) return;
    this.nextLocalSlowdownsAt = now + LOCAL_SLOWDOWN_PERIOD_MS;
    dataCentre.reportSlowdowns(this.kernel.get('routing').measureSlowdowns());
  }

  /** Waits for `condition`, or until the wall clock reaches `deadline`. */
  private async waitUntil(
    condition: () => boolean,
    deadline: number,
  ): Promise<void> {
    while (!condition() && Date.now() < deadline) {
      await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS));
    }
  }
}

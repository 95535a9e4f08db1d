import {ConsolaInstance} from 'consola';
import {Clock, Millis, SECOND} from '../common/base/clock.js';
import {Disposable, DisposableStore} from '../common/base/disposable.js';
import {Emitter, Event} from '../common/base/emitter.js';
import {Instance, InstanceRole} from '../common/base/platform.js';
import {Scheduler} from '../common/jobs/scheduler.js';
import {
  JobRecord,
  JobView,
  SchedulerAction,
  SchedulerMessage,
} from '../common/jobs/types.js';
import {Leadership} from '../common/leadership/leadership.js';
import {
  LeadershipAction,
  LeadershipMessage,
} from '../common/leadership/types.js';
import {DataCentreReader} from '../common/stream/data_centre_reader.js';
import {
  DEFAULT_WRITER_LIMITS,
  QueueFullError,
  RecordWriter,
} from '../common/stream/record_writer.js';
import {
  DataCentreRecord,
  MemberId,
  StoredRecord,
  View,
} from '../common/stream/types.js';
import {Configuration} from '../common/tickets/types.js';
import {InstanceListUpdate} from '../node/instance_list_client.js';
import {LogClient} from '../node/log_client.js';
import {Slowdown} from '../node/peer_messages.js';
import {PeerMesh} from '../node/peer_mesh.js';
import {StreamChannel} from '../node/stream_channel.js';
import {WorkerAction, WorkerClient} from '../node/worker_client.js';
import {RequestResult, PendingRequests} from './pending_requests.js';
import {ProcessStartNumbers} from './process_start_numbers.js';
import {Settings} from './types.js';

declare module '../common/kernel/kernel.js' {
  interface Services {
    dataCentre: DataCentreService;
  }
}

/**
 * Age of a slowdown when it arrives: the mean latencies that it derives from
 * cover about this much time before it is sent.
 */
const SLOWDOWN_AGE_MS: Millis = SECOND;

/**
 * Entries that one job can have queued during an outage of the log. The end of
 * a job would be lost if the queue were full, so it has room for all jobs.
 */
const QUEUED_ENTRIES_PER_JOB = 4;

/** A scheduler message that gets an answer; without its request id. */
export type SchedulerRequest =
  Extract<SchedulerMessage, {readonly request: string}> extends infer M
    ? M extends {readonly request: string}
      ? Omit<M, 'request'>
      : never
    : never;

type ActionHandlers<A extends {readonly kind: string}> = {
  readonly [K in A['kind']]: (action: Extract<A, {kind: K}>) => void;
};

/** Objects that the service uses; the daemon owns them. */
export interface DataCentreDependencies {
  readonly log: LogClient;
  readonly mesh: PeerMesh;
  readonly workers: WorkerClient;
  readonly clock: Clock;
  readonly self: MemberId;
  readonly settings: Settings;
  readonly logger: ConsolaInstance;
}

/**
 * Runs the leadership and scheduler cores of this data centre: passes them
 * input from the log, the peers, the workers and the instance list, and
 * executes the actions that they return.
 */
export class DataCentreService implements Disposable {
  private readonly store = new DisposableStore();
  private readonly reader = new DataCentreReader();
  private readonly leadership: Leadership;
  private readonly scheduler: Scheduler;
  private readonly writer: RecordWriter<DataCentreRecord, JobRecord>;
  private readonly channel: StreamChannel<DataCentreRecord, JobRecord>;
  private readonly pendingRequests = this.store.add(new PendingRequests());
  private readonly workerById = new Map<string, Instance>();
  private readonly jobEndEmitter = this.store.add(new Emitter<JobView>());
  private readonly processStarts = new ProcessStartNumbers();
  private lastList: InstanceListUpdate | undefined;
  /** The view that this instance leads; its lease may have expired. */
  private ledView: View | undefined;

  private readonly startEmitter = this.store.add(new Emitter<JobView>());

  /** Fires with the job for each task start that this leader sends. */
  readonly onStart: Event<JobView> = this.startEmitter.event;

  private readonly evictionEmitter = this.store.add(new Emitter<void>());

  /** Fires for each task that this leader evicts. */
  readonly onEviction: Event<void> = this.evictionEmitter.event;

  /** Fires when a job of this data centre reaches a final state. */
  readonly onJobEnd: Event<JobView> = this.jobEndEmitter.event;

  constructor(private readonly dependencies: DataCentreDependencies) {
    const {log, mesh, workers, clock, self, settings, logger} = dependencies;
    this.processStarts.record(self);
    this.leadership = new Leadership({
      self,
      dataCentre: settings.dataCentre,
      timing: settings.leadership,
      random: Math.random,
    });
    this.scheduler = new Scheduler(this.leadership, {
      dataCentre: settings.dataCentre,
      timing: settings.scheduler,
      queueLimit: settings.limits.maxQueuedJobs,
    });
    this.writer = new RecordWriter<DataCentreRecord, JobRecord>(
      self,
      entries => ({
        kind: 'batch',
        // Queued entries are discarded when leadership ends, so all of them
        // belong to the current epoch.
        epoch: this.ledView?.epoch ?? -1,
        entries,
      }),
      {
        ...DEFAULT_WRITER_LIMITS,
        maxQueuedEntries:
          QUEUED_ENTRIES_PER_JOB * settings.limits.maxQueuedJobs,
      },
    );
    this.channel = this.store.add(
      new StreamChannel(
        log,
        `dc-${settings.dataCentre}`,
        this.writer,
        clock,
        logger,
      ),
    );
    this.subscribeToChannel();
    this.subscribeToPeers(mesh);
    this.store.add(workers.onMessage(message => this.sendToScheduler(message)));
  }

  start(): void {
    this.channel.start();
  }

  /** The view in force according to the records read so far. */
  get view(): View | undefined {
    return this.leadership.view;
  }

  /** The view that this instance leads, while its lease is valid. */
  get leasedView(): View | undefined {
    return this.leadership.mayAct(this.dependencies.clock.now())
      ? this.ledView
      : undefined;
  }

  get logAvailable(): boolean {
    return this.channel.available;
  }

  /** The job according to the records read here; undefined when unknown. */
  job(id: string): JobView | undefined {
    return this.scheduler.job(id);
  }

  allJobs(): Generator<JobView> {
    return this.scheduler.allJobs();
  }

  /**
   * Sends a request to the scheduler of this instance and waits for its answer.
   * Without one within `timeoutMs` the outcome is unknown.
   */
  request(
    request: SchedulerRequest,
    timeoutMs: Millis,
  ): Promise<RequestResult> {
    return this.pendingRequests.send(
      id => this.sendToScheduler({...request, request: id} as SchedulerMessage),
      timeoutMs,
    );
  }

  /** Passes a message to the scheduler and executes the resulting actions. */
  sendToScheduler(message: SchedulerMessage): void {
    const now = this.dependencies.clock.now();
    const actions = this.scheduler.handle(message, now, Date.now());
    for (const action of actions) {
      const handler = this.schedulerHandlers[action.kind] as (
        action: SchedulerAction,
      ) => void;
      handler(action);
    }
  }

  /** Applies an instance list that was read at `sentAt`. */
  updateInstances({instances, sentAt}: InstanceListUpdate): void {
    this.workerById.clear();
    const {dataCentre} = this.dependencies.settings;
    for (const instance of instances) {
      if (instance.role !== InstanceRole.WORKER) continue;
      if (instance.dataCentre !== dataCentre) continue;
      this.workerById.set(instance.id, instance);
    }
    this.lastList = {instances, sentAt};
    this.sendMembers(this.lastList);
    this.sendToScheduler({kind: 'instances', instances});
  }

  /** Applies the configuration of a newly accepted ticket. */
  updateConfiguration(configuration: Configuration): void {
    const ids = Object.entries(configuration.instances)
      .filter(([, {state}]) => state === 'gone')
      .map(([id]) => id);
    this.sendToLeadership({kind: 'declared-gone', ids});
    this.sendToScheduler({kind: 'configuration', configuration});
  }

  /** Passes on measured slowdowns of workers; ignored unless this one leads. */
  reportSlowdowns(slowdowns: readonly Slowdown[]): void {
    if (this.ledView === undefined) return;
    const measuredAt = this.dependencies.clock.now() - SLOWDOWN_AGE_MS;
    for (const {worker, slowdown} of slowdowns) {
      this.sendToScheduler({
        kind: 'interference',
        worker,
        slowdown,
        measuredAt,
      });
    }
  }

  tick(): void {
    this.sendToLeadership({kind: 'tick'});
    this.sendToScheduler({kind: 'tick'});
    this.channel.tick();
  }

  /** Stops starting tasks, so that `canResign` becomes true. */
  stopStartingTasks(): void {
    this.sendToScheduler({kind: 'drain'});
  }

  /** True when no task start is unconfirmed and no record is queued. */
  get canResign(): boolean {
    return this.scheduler.unconfirmedStarts === 0 && this.writer.queued === 0;
  }

  /** Ends the leadership of this instance; another member may take over. */
  resign(): void {
    this.sendToLeadership({kind: 'resign'});
  }

  dispose(): void {
    this.store.dispose();
  }

  private subscribeToChannel(): void {
    this.store.add(
      this.channel.onRecords(records => {
        for (const record of records) this.handleRecord(record);
      }),
    );
    this.store.add(
      this.channel.onCaughtUp(sentAt =>
        this.sendToLeadership({kind: 'caught-up', sentAt}),
      ),
    );
    this.store.add(
      this.channel.onAvailability(available => {
        this.sendToLeadership({kind: 'log', available});
        this.sendToScheduler({kind: 'log', available});
      }),
    );
  }

  private subscribeToPeers(mesh: PeerMesh): void {
    const {dataCentre} = this.dependencies.settings;
    this.store.add(
      mesh.onMessage(({peer, message}) => {
        if (message.kind !== 'leadership') return;
        if (peer.dataCentre !== dataCentre) return;
        this.sendToLeadership({
          kind: 'peer',
          from: peer.member,
          message: message.message,
        });
      }),
    );
    this.store.add(
      mesh.onPeerUp(peer => {
        if (peer.dataCentre !== dataCentre) return;
        this.recordProcess(peer.member);
        this.sendToLeadership({kind: 'peer-up', member: peer.member});
      }),
    );
    this.store.add(
      mesh.onPeerDown(peer => {
        if (peer.dataCentre !== dataCentre) return;
        this.sendToLeadership({kind: 'peer-down', member: peer.member});
      }),
    );
  }

  /** Sends the list to the leadership core, with start numbers of processes. */
  private sendMembers({instances, sentAt}: InstanceListUpdate): void {
    const members = this.processStarts.applyTo(instances);
    this.sendToLeadership({kind: 'instances', instances: members, sentAt});
  }

  /**
   * Records a process that was seen in a view or on a peer link. The leadership
   * core has to get it in an instance list before the `peer-up` message;
   * otherwise the earlier process of the instance counts as ended, but the new
   * one isn't asked for its consent.
   */
  private recordProcess(member: MemberId): void {
    if (!this.processStarts.record(member)) return;
    if (this.lastList !== undefined) this.sendMembers(this.lastList);
  }

  private handleRecord(stored: StoredRecord<DataCentreRecord>): void {
    const {self, logger} = this.dependencies;
    for (const event of this.reader.read(stored)) {
      if (event.kind === 'view-in-force') {
        event.view.members.forEach(member => this.recordProcess(member));
        this.sendToLeadership({kind: 'view-read', view: event.view});
      } else if (event.kind === 'view-void') {
        if (event.record.writer !== self) continue;
        this.sendToLeadership({kind: 'view-void', record: event.record});
      } else if (event.kind === 'batch-in-force') {
        this.sendToScheduler({
          kind: 'batch-read',
          offset: event.offset,
          batch: event.record,
          own: event.record.writer === self,
        });
      } else {
        logger.debug('A void record was skipped.', {offset: event.offset});
      }
    }
  }

  private sendToLeadership(message: LeadershipMessage): void {
    const now = this.dependencies.clock.now();
    for (const action of this.leadership.handle(message, now)) {
      this.runLeadershipAction(action);
    }
  }

  private runLeadershipAction(action: LeadershipAction): void {
    const handler = this.leadershipHandlers[action.kind] as (
      action: LeadershipAction,
    ) => void;
    handler(action);
  }

  private readonly leadershipHandlers: ActionHandlers<LeadershipAction> = {
    send: ({to, message}) =>
      void this.dependencies.mesh.send(to, {kind: 'leadership', message}),
    'append-view': ({base, leader, members}) => {
      const body = {kind: 'view', base, leader, members} as const;
      const now = this.dependencies.clock.now();
      this.channel.run(this.writer.enqueueRecord(body, now));
    },
    lead: ({view, continued}) => this.startLeading(view, continued),
    follow: ({view}) => this.stopLeading(view),
  };

  private stopLeading(view: View | undefined): void {
    if (this.ledView !== undefined) {
      this.dependencies.logger.info('This instance is no longer the leader.', {
        view,
      });
    }
    this.ledView = undefined;
    this.writer.discardEntries();
    this.sendToScheduler({kind: 'follow'});
  }

  private startLeading(view: View, continued: boolean): void {
    this.ledView = view;
    if (!continued) {
      this.dependencies.logger.info('This instance is now the leader.', {view});
      // Entries of an earlier term must not be written in this one.
      this.writer.discardEntries();
    }
    this.sendToScheduler({kind: 'lead', epoch: view.epoch, continued});
  }

  private readonly schedulerHandlers: ActionHandlers<SchedulerAction> = {
    append: ({entries}) => this.appendEntries(entries),
    answer: ({request, answer}) => this.pendingRequests.settle(request, answer),
    start: action => {
      const job = this.scheduler.job(action.start.job);
      if (job !== undefined) this.startEmitter.fire(job);
      this.sendToWorker(action);
    },
    poll: action => this.sendToWorker(action),
    'checkpoint-task': action => this.sendToWorker(action),
    'throttle-task': action => this.sendToWorker(action),
    'stop-task': action => this.sendToWorker(action),
    'forget-task': action => this.sendToWorker(action),
    'job-ended': ({job}) => this.jobEndEmitter.fire(job),
    violation: action =>
      this.dependencies.logger.error('A protocol rule was violated.', action),
  };

  private appendEntries(entries: readonly JobRecord[]): void {
    const evictions = entries.filter(
      entry => entry.kind === 'requeued' && entry.evicted,
    );
    for (let i = 0; i < evictions.length; i++) this.evictionEmitter.fire();
    try {
      const now = this.dependencies.clock.now();
      this.channel.run(this.writer.enqueue(entries, now));
    } catch (error) {
      if (!(error instanceof QueueFullError)) throw error;
      this.dependencies.logger.error(error.message);
    }
  }

  private sendToWorker(action: WorkerAction): void {
    const worker = this.workerById.get(action.worker);
    if (worker === undefined) return;
    void this.dependencies.workers.send(worker, action);
  }
}

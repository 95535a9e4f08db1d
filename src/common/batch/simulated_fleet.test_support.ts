import {ManualClock} from '../base/manual_clock.js';
import {Millis} from '../base/clock.js';
import {CostMeter} from './cost_meter.js';
import {EvacuatedDataCentres} from './evacuation/evacuated_data_centres.js';
import {JobView} from './job_view.js';
import {packRecord, RecordKind} from './job_records.js';
import {RunViolations} from './run_violations.test_support.js';
import {Scheduler} from './scheduler.js';
import {WHOLE_FLEET} from './shard_layout.js';
import {recordSize} from './log_limits.js';
import {LOG_LIMITS} from './log_limits.test_support.js';
import {KeyedRecord} from './store.js';
import {
  Command,
  CommandKind,
  DecisionLog,
  SchedulerState,
} from './scheduler_state.js';
import {
  CallKind,
  SERVICE,
  SimulatedWorker,
} from './simulated_worker.test_support.js';
import {BatchConfiguration, JobShape, Queue, StepShape} from './types.js';
import {
  LeaseRenewal,
  RenewalResponse,
  WorkerCallResult,
  WorkerResponse,
} from './worker_calls.js';
import {FollowUp} from './worker_leases.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';

export const QUEUE: Queue = {
  name: 'cuts',
  host: 'shop.example',
  pathPrefix: '/cuts/',
  service: SERVICE,
  priority: 0,
  maxAttempts: 2,
  stretch: 2,
  latencyMs: 1000,
  advised: false,
};

export const STEP: StepShape = {
  cpuMilli: 1000,
  memoryMb: 100,
  gpus: 0,
  count: 1,
  estimateMs: 1000,
  after: [],
  checkpoints: false,
  gang: false,
  sameRack: false,
  requiredLabel: '',
  dataRack: '',
  maxPerWorker: 0,
  speculative: false,
  perpetual: false,
  image: '',
  targetMs: 0,
  fills: false,
  mayMiss: 0,
};

/** A line of the scheduler's log. */
export interface LogEntry {
  readonly decision: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A renewal without a response so far. */
interface OpenRenewal {
  readonly state: WorkerState;
  readonly renewal: LeaseRenewal;
  readonly sentAt: Millis;
}

/** A response to a start request that is on its way. */
interface StartResponse {
  readonly run: Run;
  readonly response: WorkerResponse;
  /** Fencing token of the request. */
  readonly token: number;
}

/** Simulated time between two steps. */
const TICK_MS: Millis = 50;

/** Time for which a scheduler may grant leases after an append. */
const AUTHORITY_MS: Millis = 5000;

/** A scheduler with simulated workers and a log that commits at once. */
export class SimulatedFleet {
  readonly clock = new ManualClock(1000);
  readonly wallClock = new ManualClock(1_000_000);
  /** Advances further than `clock` while the machine is suspended. */
  readonly permissionClock = new ManualClock(1000);
  readonly workers = new Map<string, SimulatedWorker>();
  readonly view = new JobView(key => {
    throw new Error(`record ${key} cannot be decoded`);
  });
  /** Kinds of the scheduler's decisions, in order. */
  readonly decisions: string[] = [];
  /** The same with their fields. */
  readonly entries: LogEntry[] = [];
  /** Memory that each new scheduler has for jobs, in bytes. */
  jobMemoryBytes = Infinity;
  /** Whether batches can be stored. */
  isStoreAvailable = true;
  /** Shared by the schedulers, as they follow each other. */
  readonly evacuated = new EvacuatedDataCentres();
  /** Whether the operator topic is read in each step. */
  isOperatorTopicReadable = true;
  /** Keys of records that the log never accepts. */
  readonly refusedKeys = new Set<string>();
  /** Whether the scheduler fails before it stores the states of a batch. */
  dropsStates = false;
  scheduler: Scheduler;
  /** Whether expired jobs can't be removed from the intake. */
  failsRemovals = false;
  /** Called with the records of the states topic that were stored. */
  onStatesStored: (states: readonly KeyedRecord[]) => void = () => {};
  /** Run time of tasks on simulated workers. */
  taskMs: Millis = 1000;
  /** Names of tasks that crash each worker that starts them. */
  readonly crashingTasks = new Set<string>();
  /** Time for which a crashed worker is down. */
  downMs: Millis = 3000;
  /** Crashed workers return under another id. */
  renamesWorkers = false;
  /**
   * Start requests are executed, but their responses arrive only with
   * `deliverStartResponses`.
   */
  delaysStartResponses = false;
  /** Runs whose start request is to be sent again. */
  private readonly pendingStarts: Run[] = [];
  private startResponses: StartResponse[] = [];
  /** Renewals that are held, by worker. */
  private readonly openRenewals = new Map<SimulatedWorker, OpenRenewal>();
  private readonly runViolations = new RunViolations(
    () => this.clock.now(),
    this.workers,
  );
  private epoch = 0;

  constructor(
    private readonly queues: readonly Queue[] = [QUEUE],
    private readonly shard: string = WHOLE_FLEET,
    private readonly recordBytes: number = LOG_LIMITS.recordBytes,
  ) {
    this.scheduler = this.createScheduler(0);
  }

  /** Tasks that ran twice at a time or were started after their end. */
  get violations(): readonly string[] {
    return this.runViolations.found;
  }

  /**
   * Lets a new scheduler take over with the records of the log.
   * @param earlierAuthorityMs time for which earlier schedulers may still grant
   *     leases.
   */
  takeOver(earlierAuthorityMs: Millis = AUTHORITY_MS): void {
    this.pendingStarts.length = 0;
    this.startResponses = [];
    this.openRenewals.clear();
    this.scheduler = this.createScheduler(earlierAuthorityMs);
    this.scheduler.restore(this.view);
  }

  addWorker(
    id: string,
    cpuMilli = 4000,
    memoryMb = 4000,
    dataCentre = this.shard === WHOLE_FLEET ? undefined : this.shard,
  ): SimulatedWorker {
    const worker = new SimulatedWorker(
      id,
      cpuMilli,
      memoryMb,
      this.clock,
      this.runViolations,
      dataCentre,
    );
    this.workers.set(id, worker);
    return worker;
  }

  submit(
    id: string,
    steps: readonly Partial<StepShape>[],
    queue = QUEUE,
    schedule: Partial<JobShape> = {},
  ): void {
    const shape: JobShape = {
      spec: '',
      steps: steps.map(step => ({...STEP, ...step})),
      repeats: 0,
      startMs: 0,
      periodMs: 0,
      ...schedule,
    };
    const acceptedAt = this.wallClock.now();
    this.applyRecord(
      RecordKind.SUBMISSION + id,
      packRecord({queue, acceptedAt, shape}),
    );
  }

  /** Lets the scheduler read that a data centre is evacuated or back. */
  evacuate(dataCentre: string, isRequested = true): void {
    const order = {dataCentre, isRequested, offset: 0};
    this.evacuated.apply([order], false, this.clock.now());
  }

  cancel(id: string): void {
    this.applyRecord(RecordKind.CANCELLATION + id, Uint8Array.of(1));
  }

  /** Advances the simulated time by `duration` ms in small steps. */
  run(duration: Millis): void {
    const end = this.clock.now() + duration;
    while (this.clock.now() < end) this.tick();
  }

  /** Pairs of task and worker of all runs that the workers have. */
  running(): [string, string][] {
    return [...this.workers.values()].flatMap(worker =>
      [...worker.runs.keys()].map((task): [string, string] => [
        task,
        worker.id,
      ]),
    );
  }

  private applyRecord(key: string, value: Uint8Array): void {
    this.view.apply({key, value}, this.clock.now());
    this.scheduler.onJob(this.view.jobs.get(key.slice(1))!);
  }

  private createScheduler(earlierAuthorityMs: Millis): Scheduler {
    const configuration: BatchConfiguration = {
      version: 1,
      queues: this.queues,
      pools: [{name: QUEUE.service, hasAdmissionCheck: false}],
      maxBodyBytes: 1000,
    };
    const timings = {
      leaseMs: 6000,
      longestLeaseMs: 10_000,
      authorityMs: AUTHORITY_MS,
      stopMs: 400,
      keepEndedMs: 120_000,
      evacuateMs: 5000,
      earlyMs: 250,
      remoteFactor: 2,
    };
    const log: DecisionLog = {
      decide: (decision, fields) => {
        this.decisions.push(decision);
        this.entries.push({decision, fields});
      },
    };
    this.epoch++;
    const state = new SchedulerState(
      this.epoch,
      earlierAuthorityMs,
      timings,
      this.clock,
      this.wallClock,
      log,
      configuration,
      this.permissionClock,
      new CostMeter(this.clock),
      this.shard,
      this.recordBytes,
      this.evacuated,
      this.jobMemoryBytes,
    );
    return new Scheduler(state);
  }

  private tick(): void {
    this.clock.advance(TICK_MS);
    this.wallClock.advance(TICK_MS);
    this.permissionClock.advance(TICK_MS);
    const {scheduler} = this;
    if (this.isOperatorTopicReadable) {
      this.evacuated.confirm(this.permissionClock.now());
    }
    const listed = [...this.workers.values()].filter(({isListed}) => isListed);
    scheduler.onWorkerListings(
      new Map(listed.map(worker => [worker.id, worker.listing()])),
    );
    for (const worker of this.workers.values()) {
      this.bringBack(worker);
      worker.endRuns();
    }
    this.resendStarts();
    this.commit();
    for (const worker of this.workers.values()) this.renew(worker);
    for (const state of [...scheduler.state.workers.values()]) {
      if (!this.workers.has(state.id)) this.renewReplaced(state);
    }
    scheduler.tick();
    this.commit();
  }

  private bringBack(worker: SimulatedWorker): void {
    if (worker.backAt === undefined || worker.backAt > this.clock.now()) return;
    worker.backAt = undefined;
    worker.isUnreachable = false;
    worker.isListed = true;
    worker.restart();
    worker.born = this.wallClock.now();
    if (this.renamesWorkers) this.rename(worker);
  }

  /** Replaces a worker by one with another id at its address. */
  private rename(worker: SimulatedWorker): void {
    const {id, cpuMilli, memoryMb} = worker;
    this.workers.delete(id);
    const successor = this.addWorker(`${id}'`, cpuMilli, memoryMb);
    Object.assign(successor, {
      address: worker.address,
      rack: worker.rack,
      born: worker.born,
    });
  }

  private commit(): void {
    const {scheduler} = this;
    for (const command of scheduler.takeImmediate()) this.execute(command);
    if (!this.isStoreAvailable) return;
    const batch = scheduler.takeBatch();
    const states = this.dropsStates ? [] : batch.states;
    const refused: KeyedRecord[] = [];
    for (const record of [...batch.records, ...states]) {
      const isTooLarge = recordSize(record) > this.recordBytes;
      if (isTooLarge || this.refusedKeys.has(record.key)) refused.push(record);
      else this.view.apply(record, this.clock.now());
    }
    scheduler.leases.confirmAuthority(this.permissionClock.now());
    scheduler.onBatchStored(batch, refused);
    scheduler.onStatesStored(states);
    this.onStatesStored(states.filter(record => !refused.includes(record)));
    for (const command of batch.commands) this.execute(command);
    if (!this.failsRemovals) this.removeSubmissions(batch.expired);
  }

  private removeSubmissions(ids: readonly string[]): void {
    const now = this.clock.now();
    for (const id of ids) {
      const key = RecordKind.SUBMISSION + id;
      this.view.apply({key, value: new Uint8Array()}, now);
    }
    this.scheduler.onSubmissionsRemoved(ids);
  }

  /** Renews a worker's lease unless a renewal without response is open. */
  private renew(worker: SimulatedWorker): void {
    const open = this.openRenewals.get(worker);
    if (open !== undefined) {
      this.expireRenewal(worker, open);
      return;
    }
    const state = this.scheduler.state.workers.get(worker.id);
    if (state === undefined) return;
    const renewal = this.scheduler.leases.nextRenewal(state);
    const sentAt = this.clock.now();
    const isHeld = worker.heldKinds.has(CallKind.RENEWAL);
    const response: RenewalResponse = worker.receive(CallKind.RENEWAL, () =>
      worker.renew(renewal.acknowledgedEnd, {
        token: renewal.fencingToken,
        leaseUntil: renewal.leaseUntil,
      }),
    );
    if (isHeld) this.openRenewals.set(worker, {state, renewal, sentAt});
    else this.scheduler.onRenewalResponse(state, renewal, sentAt, response);
  }

  /** Gives a held renewal up once the time for its response is over. */
  private expireRenewal(worker: SimulatedWorker, open: OpenRenewal): void {
    const {state, renewal, sentAt} = open;
    const timeout = renewal.waitMs + renewal.responseMs;
    if (this.clock.now() - sentAt < timeout) return;
    this.openRenewals.delete(worker);
    this.scheduler.onRenewalResponse(state, renewal, sentAt, {
      result: WorkerCallResult.UNKNOWN,
    });
  }

  /** Renews a worker at whose address another one responds. */
  private renewReplaced(state: WorkerState): void {
    const renewal = this.scheduler.leases.nextRenewal(state);
    this.scheduler.onRenewalResponse(state, renewal, this.clock.now(), {
      result: WorkerCallResult.REPLACED,
    });
  }

  /** Sends a command to its worker. */
  execute(command: Command): void {
    if (command.kind === CommandKind.START) this.start(command);
    else if (command.kind === CommandKind.STOP) this.stop(command);
    else if (command.kind === CommandKind.STOP_STRAY) this.stopStray(command);
    else this.pace(command);
  }

  private start({run}: Command & {kind: typeof CommandKind.START}): void {
    if (run.phase !== RunPhase.STAGED) return;
    run.phase = RunPhase.STARTING;
    this.sendStart(run);
  }

  private resendStarts(): void {
    for (const run of this.pendingStarts.splice(0)) this.sendStart(run);
  }

  private sendStart(run: Run): void {
    const {leases} = this.scheduler;
    if (!leases.isStartPending(run)) return;
    const leaseUntil = leases.grantStart(run);
    if (leaseUntil === undefined) {
      this.pendingStarts.push(run);
      return;
    }
    const worker = this.workers.get(run.worker.id);
    const token = this.scheduler.state.fencingToken(run.worker);
    const response =
      worker === undefined
        ? {result: WorkerCallResult.REPLACED}
        : this.requestStart(worker, run, leaseUntil, token);
    const startResponse = {run, response, token};
    if (this.delaysStartResponses) this.startResponses.push(startResponse);
    else this.onStartResponse(startResponse);
  }

  private requestStart(
    worker: SimulatedWorker,
    {task, attempt}: Run,
    leaseUntil: Millis,
    token: number,
  ): WorkerResponse {
    const {perpetual, cpuMilli, speculative} = task.step.shape;
    if (speculative) this.runViolations.speculativeTasks.add(task.name);
    const request = {
      task: task.name,
      attempt,
      durationMs: perpetual ? Infinity : this.taskMs,
      percent: perpetual ? 100 : 0,
      gauge: perpetual ? 0 : cpuMilli,
      token,
      leaseUntil,
    };
    const response = worker.receive(CallKind.START, () => {
      const response = worker.start(request);
      if (worker.runs.has(task.name) && this.crashingTasks.has(task.name)) {
        worker.crash(this.clock.now() + this.downMs);
      }
      return response;
    });
    const isLost = worker.isUnreachable || worker.dropsStartResponses;
    return isLost ? {result: WorkerCallResult.UNKNOWN} : response;
  }

  private onStartResponse({run, response, token}: StartResponse): void {
    const next = this.scheduler.onStartResponse(run, response, token);
    if (next === FollowUp.REPEAT) this.pendingStarts.push(run);
  }

  /** Delivers the responses to start requests that are on their way. */
  deliverStartResponses(): void {
    const responses = this.startResponses;
    this.startResponses = [];
    for (const response of responses) this.onStartResponse(response);
  }

  private pace({
    run,
    percent,
  }: Command & {kind: typeof CommandKind.PACE}): void {
    const worker = this.workers.get(run.worker.id);
    const {name, step} = run.task;
    const gauge = (step.shape.cpuMilli * percent) / 100;
    const token = this.scheduler.state.fencingToken(run.worker);
    worker?.receive(CallKind.PACE, () =>
      worker.pace(name, percent, gauge, {token}),
    );
  }

  private stop(command: Command & {kind: typeof CommandKind.STOP}): void {
    const {run} = command;
    const worker = this.workers.get(run.worker.id);
    const token = this.scheduler.state.fencingToken(run.worker);
    const response =
      worker === undefined
        ? {result: WorkerCallResult.REPLACED}
        : worker.receive(CallKind.STOP, () =>
            worker.stop(run.task.name, run.attempt, {token}),
          );
    const next = this.scheduler.onStopResponse(run, response, token);
    if (next === FollowUp.REPEAT) this.scheduler.state.immediate.push(command);
  }

  private stopStray({
    worker: state,
    task,
    attempt,
  }: Command & {kind: typeof CommandKind.STOP_STRAY}): void {
    const worker = this.workers.get(state.id);
    const token = this.scheduler.state.fencingToken(state);
    worker?.receive(CallKind.STOP, () =>
      worker.stopStray(task, attempt, {token}),
    );
  }
}

import {ManualClock} from '../base/manual_clock.js';
import {Millis} from '../base/clock.js';
import {CostMeter} from './cost_meter.js';
import {JobView} from './job_view.js';
import {packRecord, RecordKind} from './job_records.js';
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
  BatchConfiguration,
  JobShape,
  Queue,
  ReportedEnd,
  RunOutcome,
  StepShape,
  WorkerListing,
  WorkerPhase,
} from './types.js';
import {WorkerCallResult, RenewalResponse} from './worker_calls.js';
import {FollowUp} from './worker_leases.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';

export const QUEUE: Queue = {
  name: 'cuts',
  host: 'shop.example',
  pathPrefix: '/cuts/',
  service: 'desk',
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

/** A run on a simulated worker. */
interface SimulatedRun {
  readonly attempt: number;
  readonly endsAt: Millis;
  percent: number;
  gauge: number;
  checkpoint?: string;
}

/** A simulated worker, which executes start and stop requests. */
export class SimulatedWorker {
  readonly runs = new Map<string, SimulatedRun>();
  /** Names of the tasks that were started, in order. */
  readonly starts: string[] = [];
  /** Names of the tasks whose stop was requested, in order. */
  readonly stops: string[] = [];
  /** Paces that were set, in percent and in order. */
  readonly paces: number[] = [];
  /** Ends that are not acknowledged yet. */
  ends: ReportedEnd[] = [];
  /** Most ends in one report. */
  maxListedEnds = 500;
  /** Phase that the worker publishes in its listing. */
  phase: WorkerPhase = WorkerPhase.READY;
  isListed = true;
  /** Renewals and requests get no response and have no effect. */
  isUnreachable = false;
  /** Start requests are executed, but their responses are lost. */
  dropsStartResponses = false;
  /** Local time at which a crashed worker is back; undefined if it is up. */
  backAt: Millis | undefined;
  rack = 'rack-1';
  /** Address, which stays when a worker returns under another id. */
  address: string;
  /** Runs that nothing expects go on after a stop request. */
  isSlowToStop = false;
  /** How runs end after their run time. */
  outcome: RunOutcome = RunOutcome.DONE;
  /** Number of the incarnation; stands for its start in ms since 1970. */
  born = 1;
  /** Highest fencing token that the worker has seen. */
  token = 0;
  private sequence = 0;

  /** Processors, in thousandths of a core; they may change. */
  cpuMilli: number;

  constructor(
    readonly id: string,
    cpuMilli: number,
    readonly memoryMb: number,
    readonly dataCentre = 'a',
  ) {
    this.cpuMilli = cpuMilli;
    this.address = `${id}:1`;
  }

  /** Loses all runs and ends, as a new incarnation with the same id. */
  restart(): void {
    this.runs.clear();
    this.ends = [];
    this.sequence = 0;
    this.token = 0;
    this.born++;
  }

  /** Stops responding at once, until `backAt`. */
  crash(backAt: Millis): void {
    this.runs.clear();
    this.isUnreachable = true;
    this.isListed = false;
    this.backAt = backAt;
  }

  /** Ends a run and reports the end until it is acknowledged. */
  end(task: string, end: RunOutcome): void {
    const run = this.runs.get(task);
    if (run === undefined) return;
    this.runs.delete(task);
    this.ends.push({
      sequence: ++this.sequence,
      task,
      attempt: run.attempt,
      end,
      checkpoint: '',
    });
  }

  listing(): WorkerListing {
    return {
      id: this.id,
      born: this.born,
      service: QUEUE.service,
      address: this.address,
      dataCentre: this.dataCentre,
      phase: this.phase,
      remainingMs: this.phase === WorkerPhase.DRAINING ? 4000 : undefined,
      warmupMs: 0,
      capacity: {cpuMilli: this.cpuMilli, memoryMb: this.memoryMb, gpus: 0},
      labels: ['kind', this.rack],
    };
  }
}

/** A line of the scheduler's log. */
export interface LogEntry {
  readonly decision: string;
  readonly fields: Readonly<Record<string, unknown>>;
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
  /** Whether batches can be stored. */
  isStoreAvailable = true;
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
  /** Runs whose start request is to be sent again. */
  private readonly pendingStarts: Run[] = [];
  private epoch = 0;

  constructor(
    private readonly queues: readonly Queue[] = [QUEUE],
    private readonly shard: string = WHOLE_FLEET,
    private readonly recordBytes: number = LOG_LIMITS.recordBytes,
  ) {
    this.scheduler = this.createScheduler(0);
  }

  /**
   * Lets a new scheduler take over with the records of the log.
   * @param earlierAuthorityMs time for which earlier schedulers may still grant
   *     leases.
   */
  takeOver(earlierAuthorityMs: Millis = AUTHORITY_MS): void {
    this.pendingStarts.length = 0;
    this.scheduler = this.createScheduler(earlierAuthorityMs);
    this.scheduler.restore(this.view);
  }

  addWorker(id: string, cpuMilli = 4000, memoryMb = 4000): SimulatedWorker {
    const dataCentre = this.shard === WHOLE_FLEET ? undefined : this.shard;
    const worker = new SimulatedWorker(id, cpuMilli, memoryMb, dataCentre);
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
      authorityMs: AUTHORITY_MS,
      stopMs: 400,
      keepEndedMs: 120_000,
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
    );
    return new Scheduler(state);
  }

  private tick(): void {
    this.clock.advance(TICK_MS);
    this.wallClock.advance(TICK_MS);
    this.permissionClock.advance(TICK_MS);
    const {scheduler} = this;
    const listed = [...this.workers.values()].filter(({isListed}) => isListed);
    scheduler.onWorkerListings(
      new Map(listed.map(worker => [worker.id, worker.listing()])),
    );
    for (const worker of this.workers.values()) {
      this.bringBack(worker);
      this.endRuns(worker);
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

  private endRuns(worker: SimulatedWorker): void {
    for (const [task, {endsAt}] of [...worker.runs]) {
      if (endsAt <= this.clock.now()) worker.end(task, worker.outcome);
    }
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

  private renew(worker: SimulatedWorker): void {
    const state = this.scheduler.state.workers.get(worker.id);
    if (state === undefined) return;
    const renewal = this.scheduler.leases.nextRenewal(state);
    const sentAt = this.clock.now();
    const response = this.respond(
      worker,
      renewal.fencingToken,
      renewal.acknowledgedEnd,
    );
    this.scheduler.onRenewalResponse(state, renewal, sentAt, response);
  }

  /** Renews a worker at whose address another one responds. */
  private renewReplaced(state: WorkerState): void {
    const renewal = this.scheduler.leases.nextRenewal(state);
    this.scheduler.onRenewalResponse(state, renewal, this.clock.now(), {
      result: WorkerCallResult.REPLACED,
    });
  }

  private respond(
    worker: SimulatedWorker,
    token: number,
    acknowledged: number,
  ): RenewalResponse {
    if (worker.isUnreachable) return {result: WorkerCallResult.UNKNOWN};
    if (token < worker.token) return {result: WorkerCallResult.FENCED};
    worker.token = token;
    worker.ends = worker.ends.filter(({sequence}) => sequence > acknowledged);
    const running = [...worker.runs].map(([task, run]) => ({
      task,
      attempt: run.attempt,
      checkpoint: run.checkpoint ?? '',
      percent: run.percent,
      gauge: run.gauge,
    }));
    const clockMs = this.clock.now();
    const ends = worker.ends.slice(0, worker.maxListedEnds);
    const hasMoreEnds = ends.length >= worker.maxListedEnds;
    const report = {born: worker.born, clockMs, running, ends, hasMoreEnds};
    return {result: WorkerCallResult.ACCEPTED, clockMs, report};
  }

  /** Sends a command to its worker. */
  execute(command: Command): void {
    if (command.kind === CommandKind.START) this.start(command);
    else if (command.kind === CommandKind.STOP) this.stop(command);
    else if (command.kind === CommandKind.STOP_STRAY) {
      const worker = this.workers.get(command.worker.id);
      worker?.stops.push(command.task);
      if (worker?.isSlowToStop) return;
      worker?.end(command.task, RunOutcome.STOPPED);
    } else {
      this.pace(command);
    }
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
    if (!this.scheduler.leases.isStartPending(run)) return;
    if (this.scheduler.leases.grantStart(run) === undefined) {
      this.pendingStarts.push(run);
      return;
    }
    const worker = this.workers.get(run.worker.id);
    if (worker === undefined) {
      const result = WorkerCallResult.REPLACED;
      this.scheduler.onStartResponse(run, {result});
      return;
    }
    if (!worker.isUnreachable && !worker.runs.has(run.task.name)) {
      worker.starts.push(run.task.name);
      const {perpetual, cpuMilli} = run.task.step.shape;
      worker.runs.set(run.task.name, {
        attempt: run.attempt,
        endsAt: perpetual ? Infinity : this.clock.now() + this.taskMs,
        percent: perpetual ? 100 : 0,
        gauge: perpetual ? 0 : cpuMilli,
      });
      if (this.crashingTasks.has(run.task.name)) {
        worker.crash(this.clock.now() + this.downMs);
      }
    }
    const isResponseLost = worker.isUnreachable || worker.dropsStartResponses;
    const result = isResponseLost
      ? WorkerCallResult.UNKNOWN
      : WorkerCallResult.ACCEPTED;
    const next = this.scheduler.onStartResponse(run, {result});
    if (next === FollowUp.REPEAT) this.pendingStarts.push(run);
  }

  private pace({
    run,
    percent,
  }: Command & {kind: typeof CommandKind.PACE}): void {
    const worker = this.workers.get(run.worker.id);
    if (worker === undefined) return;
    worker.paces.push(percent);
    const simulated = worker.runs.get(run.task.name);
    if (simulated === undefined) return;
    simulated.gauge = (run.task.step.shape.cpuMilli * percent) / 100;
  }

  private stop(command: Command & {kind: typeof CommandKind.STOP}): void {
    const {run} = command;
    const worker = this.workers.get(run.worker.id);
    if (worker === undefined) {
      const result = WorkerCallResult.REPLACED;
      this.scheduler.onStopResponse(run, {result});
      return;
    }
    const result = worker.isUnreachable
      ? WorkerCallResult.UNKNOWN
      : WorkerCallResult.ACCEPTED;
    if (!worker.isUnreachable) {
      worker.stops.push(run.task.name);
      worker.end(run.task.name, RunOutcome.STOPPED);
    }
    const next = this.scheduler.onStopResponse(run, {result});
    if (next === FollowUp.REPEAT) this.scheduler.state.immediate.push(command);
  }
}

import {Clock, Millis} from '../base/clock.js';
import {ActiveJob, ActiveTask} from './active_job.js';
import {ActiveJobs} from './active_jobs.js';
import {CostMeter} from './cost_meter.js';
import {EvacuatedDataCentres} from './evacuation/evacuated_data_centres.js';
import {JobStateRecord} from './job_records.js';
import {JobTimePredictor} from './job_time_predictor.js';
import {WHOLE_FLEET} from './shard_layout.js';
import {LeaseAccount, LeaseTimings} from './lease_account.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';
import {BatchConfiguration} from './types.js';

/** Kinds of command that the scheduler sends to workers. */
export const CommandKind = {
  /** Starts a placed run. */
  START: 'start',
  /** Stops a run. */
  STOP: 'stop',
  /** Stops a run that no task expects, such as one of a cancelled job. */
  STOP_STRAY: 'stop-stray',
  /** Sets the pace of a best-effort run. */
  PACE: 'pace',
} as const;

/** A command to a worker. */
export type Command =
  | {readonly kind: typeof CommandKind.START; readonly run: Run}
  | {readonly kind: typeof CommandKind.STOP; readonly run: Run}
  | {
      readonly kind: typeof CommandKind.STOP_STRAY;
      readonly worker: WorkerState;
      readonly task: string;
      readonly attempt: number;
    }
  | {
      readonly kind: typeof CommandKind.PACE;
      readonly run: Run;
      readonly percent: number;
    };

/** Receives the scheduler's decisions, for logs and metrics. */
export interface DecisionLog {
  decide(decision: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Timings that the platform guarantees or that the operator sets. */
export interface SchedulerTimings extends LeaseTimings {
  /**
   * Time for which a scheduler may grant leases after the log accepted one of
   * its records.
   */
  readonly authorityMs: Millis;
  /** Longest time that a worker takes to stop a run. */
  readonly stopMs: Millis;
  /** Time for which the state of an ended job is kept. */
  readonly keepEndedMs: Millis;
  /** Longest time by which a scheduled occurrence may start early. */
  readonly earlyMs: Millis;
  /**
   * Time after a request to evacuate a data centre from which on no task may
   * begin there; undefined if the platform sets none.
   */
  readonly evacuateMs?: Millis;
  /** Slowdown factor of tasks away from their data or spread over racks. */
  readonly remoteFactor: number;
}

/**
 * Fencing tokens per epoch. Bounds how often the token of one worker can be
 * raised in a term: with acknowledgements, after a restart, and after its runs
 * were declared lost.
 */
export const TOKENS_PER_EPOCH = 1_000_000;

/** Tokens per epoch that acknowledgements may use; the rest is for fences. */
const ACKNOWLEDGEMENT_TOKENS = TOKENS_PER_EPOCH / 2;

/** State shared by the components of the scheduler. */
export class SchedulerState {
  readonly jobs = new ActiveJobs();
  readonly workers = new Map<string, WorkerState>();
  /** What is remembered of removed workers, by id. */
  private readonly removedWorkers = new Map<
    string,
    Pick<WorkerState, 'lease' | 'openStarts' | 'tokenOffset'>
  >();
  /** Highest token offset of the workers that are forgotten. */
  private forgottenTokenOffset = 0;
  /** Jobs whose progress has to be stored. */
  readonly jobsToStore = new Set<ActiveJob>();
  /**
   * States of jobs that are over and that a predecessor has not stored, by job
   * id.
   */
  readonly statesToStore = new Map<string, JobStateRecord>();
  /** Commands to send at once. */
  readonly immediate: Command[] = [];
  /** Commands to send once the records of the next batch are durable. */
  readonly afterCommit: Command[] = [];
  /** Wall-clock times at which jobs ended, in ms since 1970, by job id. */
  readonly endedJobs = new Map<string, number>();
  /** Predicts the durations of jobs and tasks. */
  readonly timePredictor: JobTimePredictor;
  /** Tasks that are ready to run and not placed. */
  readonly waitingTasks = new Set<ActiveTask>();
  /** Local time by which earlier schedulers grant no more leases. */
  private earlierAuthorityEndsAt: Millis;
  /** Whether waiting tasks are placed; not while the fleet is being divided. */
  placesTasks = true;

  /**
   * @param previousAuthorityMs how much longer earlier schedulers may grant
   *     leases, in ms.
   */
  constructor(
    readonly epoch: number,
    previousAuthorityMs: Millis,
    readonly timings: SchedulerTimings,
    readonly clock: Clock,
    readonly wallClock: Clock,
    readonly log: DecisionLog,
    public configuration: BatchConfiguration,
    /** Clock for the end of the scheduler's own permission to grant leases. */
    readonly permissionClock: Clock = clock,
    readonly costs: CostMeter = new CostMeter(clock),
    /** Shard whose workers and jobs the scheduler has. */
    readonly shard: string = WHOLE_FLEET,
    /** Largest record that the log accepts, in bytes. */
    readonly recordBytes: number = Infinity,
    /** Kept up to date by the instance. */
    readonly evacuated = new EvacuatedDataCentres(),
    /** Memory that the scheduler has for jobs, in bytes. */
    readonly jobMemoryBytes: number = Infinity,
  ) {
    this.timePredictor = new JobTimePredictor(clock);
    this.earlierAuthorityEndsAt = clock.now() + previousAuthorityMs;
  }

  /** Time for which earlier schedulers may still grant leases. */
  get earlierAuthorityLeftMs(): Millis {
    return Math.max(0, this.earlierAuthorityEndsAt - this.now());
  }

  /**
   * Handles the news that earlier schedulers grant no more leases from a local
   * time on. Leases that they granted before may last for longer.
   */
  endEarlierAuthority(endsAt: Millis): void {
    if (endsAt >= this.earlierAuthorityEndsAt) return;
    this.earlierAuthorityEndsAt = endsAt;
    const until = this.earlierGrantsUntil;
    for (const {lease} of this.workers.values()) lease.limitInherited(until);
  }

  /** Local time by which all leases of earlier schedulers are granted. */
  get earlierGrantsUntil(): Millis {
    return Math.max(this.now(), this.earlierAuthorityEndsAt);
  }

  /** Local time up to now by which earlier schedulers may have granted some. */
  get earlierGrantsSoFar(): Millis {
    return Math.min(this.now(), this.earlierAuthorityEndsAt);
  }

  now(): Millis {
    return this.clock.now();
  }

  /** Returns the state of a worker and creates it at first use. */
  getOrCreateWorker(id: string): WorkerState {
    return this.workers.get(id) ?? this.createWorker(id);
  }

  private createWorker(id: string): WorkerState {
    const removed = this.removedWorkers.get(id);
    this.removedWorkers.delete(id);
    const lease = removed?.lease ?? new LeaseAccount(this.timings);
    const {evacuated} = this;
    const worker = new WorkerState(id, lease, removed?.openStarts, evacuated);
    worker.tokenOffset = removed?.tokenOffset ?? this.forgottenTokenOffset;
    if (removed !== undefined) {
      // Calls from before the removal must not start anything now.
      if (lease.mayBeUnderWay(this.now())) worker.fenceEarlierCalls();
      lease.onLaterIncarnation();
    }
    this.workers.set(id, worker);
    return worker;
  }

  /**
   * Removes a worker. As it may come back under its id, its lease is remembered
   * while calls may act on it, and the token from which to go on.
   */
  removeWorker(worker: WorkerState): void {
    const {id, lease, openStarts, tokenOffset} = worker;
    this.workers.delete(id);
    this.removedWorkers.set(id, {lease, openStarts, tokenOffset});
    const now = this.now();
    for (const [key, removed] of this.removedWorkers) {
      if (!removed.lease.isSettled(now)) continue;
      this.removedWorkers.delete(key);
      this.forgottenTokenOffset = Math.max(
        this.forgottenTokenOffset,
        removed.tokenOffset,
      );
    }
  }

  /** What `Run.longLeaseUntil` is for a run that is placed on a worker now. */
  longLeaseUntil({lease}: WorkerState): number | undefined {
    const now = this.now();
    if (!lease.mayBeLong(now)) return undefined;
    return Math.ceil(this.wallClock.now() + lease.longestEnd - now);
  }

  /** Logs an unexpected error that ends only the part in which it occurred. */
  onFault(part: string, error: unknown): void {
    const text = error instanceof Error ? error.stack : String(error);
    this.log.decide('fault', {part, error: text});
  }

  /** Fencing token for requests to a worker; higher in each later epoch. */
  fencingToken(worker: WorkerState): number {
    return this.epoch * TOKENS_PER_EPOCH + worker.tokenOffset;
  }

  /** Whether a token fences the calls for earlier incarnations of a worker. */
  isFence({fenceOffset}: WorkerState, token: number): boolean {
    return token >= this.epoch * TOKENS_PER_EPOCH + fenceOffset;
  }

  /**
   * Lets a worker that executes a later call first reject an acknowledgement
   * that is being sent: an incarnation that starts in between numbers its ends
   * anew, and would discard those that it has from later calls.
   */
  fenceAcknowledgement(worker: WorkerState): void {
    if (worker.tokenOffset >= ACKNOWLEDGEMENT_TOKENS) return;
    worker.fenceAcknowledgement();
  }

  /**
   * Asks the worker to stop a run, once. A run whose start waits for the commit
   * is stopped after the commit too.
   */
  stop(run: Run, reason: string): void {
    if (run.phase === RunPhase.STOPPING) return;
    const isStaged = run.phase === RunPhase.STAGED;
    run.phase = RunPhase.STOPPING;
    run.stopReason = reason;
    this.log.decide('stop', {
      task: run.task.name,
      attempt: run.attempt,
      worker: run.worker.id,
      reason,
    });
    const command: Command = {kind: CommandKind.STOP, run};
    (isStaged ? this.afterCommit : this.immediate).push(command);
  }
}

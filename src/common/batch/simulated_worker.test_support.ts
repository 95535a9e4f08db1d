import {Clock, Millis} from '../base/clock.js';
import {
  ReportedEnd,
  RunOutcome,
  WorkerListing,
  WorkerPhase,
  WorkerReport,
} from './types.js';
import {
  RenewalResponse,
  WorkerCallResult,
  WorkerResponse,
} from './worker_calls.js';

/** Service of the simulated workers. */
export const SERVICE = 'desk';

/** Longest lease on the worker's clock; a longer one is cut to it. */
export const MAX_HOLD_MS: Millis = 10_000;

/** Kinds of call to a worker. */
export const CallKind = {
  START: 'start',
  STOP: 'stop',
  RENEWAL: 'renewal',
  PACE: 'pace',
} as const;
export type CallKind = (typeof CallKind)[keyof typeof CallKind];

/** A call that is on its way to a worker; its caller gets no response. */
export interface HeldCall {
  readonly kind: CallKind;
  /** Fleet's time at which it was sent. */
  readonly sentAt: Millis;
  /** Executes it in the worker's present incarnation. */
  readonly execute: () => WorkerResponse;
}

/** What a call carries that is executed late, too. */
interface CallTerms {
  readonly token: number;
  /** End of the lease on the worker's clock; undefined keeps the lease. */
  readonly leaseUntil?: Millis;
}

/** A start request, with what the simulation decides on the run. */
export interface SimulatedStart extends CallTerms {
  readonly leaseUntil: Millis;
  readonly task: string;
  readonly attempt: number;
  readonly durationMs: Millis;
  readonly percent: number;
  readonly gauge: number;
}

/** A run on a simulated worker. */
interface SimulatedRun {
  readonly attempt: number;
  readonly endsAt: Millis;
  percent: number;
  gauge: number;
  checkpoint?: string;
}

/** What a worker tells the fleet of its runs. */
export interface RunObserver {
  onStart(worker: SimulatedWorker, task: string): void;
  /** Handles the acknowledgement of an end as done at `endedAt`. */
  onDoneAcknowledged(task: string, endedAt: Millis): void;
}

const NO_RESPONSE: WorkerResponse = {result: WorkerCallResult.UNKNOWN};

/**
 * A simulated worker. Executes calls under a lease, as the protocol says: a
 * call may be executed late, in a later incarnation than it was meant for.
 */
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
  /** Calls get no response and have no effect; the worker goes on. */
  isUnreachable = false;
  /** Start requests are executed, but their responses are lost. */
  dropsStartResponses = false;
  /** Kinds of call that are held, to be executed by `executeHeld`. */
  readonly heldKinds = new Set<CallKind>();
  /** Calls that are held, the earliest first. */
  readonly heldCalls: HeldCall[] = [];
  /** Local time at which a crashed worker is back; undefined if it is up. */
  backAt: Millis | undefined;
  rack = 'rack-1';
  /** Remaining warm-up time in its listing. */
  warmupMs: Millis = 0;
  /** Address, which stays when a worker returns under another id. */
  address: string;
  /** Runs that nothing expects go on after a stop request. */
  isSlowToStop = false;
  /** How runs end after their run time. */
  outcome: RunOutcome = RunOutcome.DONE;
  /** Number of the incarnation; stands for its start in ms since 1970. */
  born = 1;
  /** Highest fencing token that the incarnation has seen. */
  token = 0;
  /** Difference of the incarnation's monotonic clock to the fleet's. */
  clockOffsetMs: Millis = 0;
  /** End of the lease on the incarnation's clock. */
  private leaseEnd: Millis = -Infinity;
  /** Fleet's time at which a lease was over last. */
  private lapsedAt: Millis = -Infinity;
  /** Highest attempt of each task that was stopped or ended here. */
  private readonly endedAttempts = new Map<string, number>();
  /** Fleet's times of the ends, by sequence number. */
  private readonly endTimes = new Map<number, Millis>();
  private sequence = 0;

  constructor(
    readonly id: string,
    /** Processors, in thousandths of a core; they may change. */
    public cpuMilli: number,
    readonly memoryMb: number,
    private readonly fleetClock: Clock,
    private readonly observer: RunObserver,
    readonly dataCentre = 'a',
  ) {
    this.address = `${id}:1`;
  }

  /** Reading of the incarnation's monotonic clock. */
  get clockMs(): Millis {
    return this.fleetClock.now() + this.clockOffsetMs;
  }

  /**
   * Loses all runs, ends, the lease and the token, as a new incarnation with
   * the same id.
   * @param clockOffsetMs difference of its monotonic clock to the fleet's.
   */
  restart(clockOffsetMs: Millis = 0): void {
    this.runs.clear();
    this.ends = [];
    this.endTimes.clear();
    this.endedAttempts.clear();
    this.sequence = 0;
    this.token = 0;
    this.leaseEnd = -Infinity;
    this.lapsedAt = -Infinity;
    this.clockOffsetMs = clockOffsetMs;
    this.born++;
  }

  /** Stops responding at once, until `backAt`. */
  crash(backAt: Millis): void {
    this.runs.clear();
    this.isUnreachable = true;
    this.isListed = false;
    this.backAt = backAt;
  }

  /**
   * Returns the response that the caller of a call gets: none if the worker is
   * unreachable, or if the call is held.
   */
  receive<Response extends WorkerResponse>(
    kind: CallKind,
    execute: () => Response,
  ): Response | WorkerResponse {
    if (this.heldKinds.has(kind)) {
      this.heldCalls.push({kind, sentAt: this.fleetClock.now(), execute});
      return NO_RESPONSE;
    }
    return this.isUnreachable ? NO_RESPONSE : execute();
  }

  /** Executes the earliest held call of a kind; its response is lost. */
  executeHeld(kind: CallKind): WorkerResponse {
    const index = this.heldCalls.findIndex(call => call.kind === kind);
    if (index < 0) throw new Error(`no ${kind} is held`);
    const [call] = this.heldCalls.splice(index, 1);
    return call.execute();
  }

  /** Executes a start request. */
  start(request: SimulatedStart): WorkerResponse {
    const {task, attempt, durationMs, percent, gauge, leaseUntil} = request;
    if (!this.accepts(request)) return this.response(WorkerCallResult.FENCED);
    if (leaseUntil <= this.clockMs) return this.response(WorkerCallResult.LATE);
    this.extendLease(leaseUntil);
    if (attempt <= (this.endedAttempts.get(task) ?? 0)) {
      return this.response(WorkerCallResult.SUPERSEDED);
    }
    if (!this.runs.has(task)) {
      this.starts.push(task);
      const endsAt = this.fleetClock.now() + durationMs;
      this.runs.set(task, {attempt, endsAt, percent, gauge});
      this.observer.onStart(this, task);
    }
    return this.response(WorkerCallResult.ACCEPTED);
  }

  /** Executes a request to stop a run that no task expects. */
  stopStray(task: string, attempt: number, terms: CallTerms): WorkerResponse {
    if (!this.isSlowToStop) return this.stop(task, attempt, terms);
    if (!this.accepts(terms)) return this.response(WorkerCallResult.FENCED);
    this.stops.push(task);
    return this.response(WorkerCallResult.ACCEPTED);
  }

  /** Executes a stop request. */
  stop(task: string, attempt: number, terms: CallTerms): WorkerResponse {
    if (!this.accepts(terms)) return this.response(WorkerCallResult.FENCED);
    this.stops.push(task);
    const run = this.runs.get(task);
    if (run !== undefined && run.attempt <= attempt) {
      this.end(task, RunOutcome.STOPPED);
    }
    this.noteEnded(task, attempt);
    return this.response(WorkerCallResult.ACCEPTED);
  }

  /** Executes a request to pace a run. */
  pace(
    task: string,
    percent: number,
    gauge: number,
    terms: CallTerms,
  ): WorkerResponse {
    if (!this.accepts(terms)) return this.response(WorkerCallResult.FENCED);
    this.paces.push(percent);
    const run = this.runs.get(task);
    if (run !== undefined) run.gauge = gauge;
    return this.response(WorkerCallResult.ACCEPTED);
  }

  /** Executes a renewal; ends up to `acknowledged` are forgotten. */
  renew(acknowledged: number, terms: CallTerms): RenewalResponse {
    if (!this.accepts(terms)) return this.response(WorkerCallResult.FENCED);
    if (terms.leaseUntil !== undefined) this.extendLease(terms.leaseUntil);
    for (const end of this.ends) {
      if (end.sequence <= acknowledged) this.acknowledge(end);
    }
    this.ends = this.ends.filter(({sequence}) => sequence > acknowledged);
    const {clockMs} = this;
    return {
      result: WorkerCallResult.ACCEPTED,
      clockMs,
      report: this.report(clockMs),
    };
  }

  /** Ends a run and reports the end until it is acknowledged. */
  end(task: string, end: RunOutcome): void {
    const run = this.runs.get(task);
    if (run === undefined) return;
    const {attempt} = run;
    this.runs.delete(task);
    const sequence = ++this.sequence;
    this.ends.push({sequence, task, attempt, end, checkpoint: ''});
    this.endTimes.set(sequence, this.fleetClock.now());
    this.noteEnded(task, attempt);
  }

  /** Ends the runs whose time is over, or all if the lease is. */
  endRuns(): void {
    const now = this.fleetClock.now();
    for (const [task, {endsAt}] of [...this.runs]) {
      if (endsAt <= now) this.end(task, this.outcome);
    }
    if (this.clockMs < this.leaseEnd) return;
    if (this.leaseEnd > -Infinity) this.lapsedAt = now;
    this.leaseEnd = -Infinity;
    for (const task of [...this.runs.keys()]) {
      this.end(task, RunOutcome.LEASE_EXPIRED);
    }
  }

  listing(): WorkerListing {
    return {
      id: this.id,
      born: this.born,
      service: SERVICE,
      address: this.address,
      dataCentre: this.dataCentre,
      phase: this.phase,
      remainingMs: this.phase === WorkerPhase.DRAINING ? 4000 : undefined,
      warmupMs: this.warmupMs,
      capacity: {cpuMilli: this.cpuMilli, memoryMb: this.memoryMb, gpus: 0},
      labels: ['kind', this.rack],
    };
  }

  /** Whether no higher token was seen than that of a call. */
  private accepts({token}: CallTerms): boolean {
    if (token < this.token) return false;
    this.token = token;
    return true;
  }

  /** Never shortens the lease. */
  private extendLease(leaseUntil: Millis): void {
    const end = Math.min(leaseUntil, this.clockMs + MAX_HOLD_MS);
    this.leaseEnd = Math.max(this.leaseEnd, end);
  }

  private noteEnded(task: string, attempt: number): void {
    const highest = this.endedAttempts.get(task) ?? 0;
    this.endedAttempts.set(task, Math.max(highest, attempt));
  }

  /** An end does not count if the lease was over before it was acknowledged. */
  private acknowledge({sequence, task, end}: ReportedEnd): void {
    const endedAt = this.endTimes.get(sequence) ?? -Infinity;
    this.endTimes.delete(sequence);
    if (end !== RunOutcome.DONE || this.lapsedAt >= endedAt) return;
    this.observer.onDoneAcknowledged(task, endedAt);
  }

  private response(result: WorkerCallResult): WorkerResponse {
    return {result, clockMs: this.clockMs};
  }

  private report(clockMs: Millis): WorkerReport {
    const running = [...this.runs].map(([task, run]) => ({
      task,
      attempt: run.attempt,
      checkpoint: run.checkpoint ?? '',
      percent: run.percent,
      gauge: run.gauge,
    }));
    const ends = this.ends.slice(0, this.maxListedEnds);
    const hasMoreEnds = ends.length >= this.maxListedEnds;
    return {born: this.born, clockMs, running, ends, hasMoreEnds};
  }
}

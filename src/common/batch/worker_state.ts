import {Millis} from '../base/clock.js';
import {ActiveTask} from './active_job.js';
import {EvacuatedDataCentres} from './evacuation/evacuated_data_centres.js';
import {LeaseAccount, MAX_CALL_DELAY_MS} from './lease_account.js';
import {OpenStarts} from './open_starts.js';
import {ResponseTime} from './response_time.js';
import {KeyedRecord} from './store.js';
import {Resources, WorkerListing, WorkerPhase} from './types.js';

/** State of a run as the scheduler knows it. */
export const RunPhase = {
  /** Placed in this term; its record is not durable yet. */
  STAGED: 'staged',
  /** The start request is in flight, or its outcome is unknown. */
  STARTING: 'ordered',
  /** The worker confirmed the run. */
  RUNNING: 'running',
  /** A stop was requested; the worker has not reported the end yet. */
  STOPPING: 'stopping',
  /** Expected on the worker; no report since a takeover or restart shows it. */
  UNVERIFIED: 'unverified',
} as const;
export type RunPhase = (typeof RunPhase)[keyof typeof RunPhase];

/** One attempt to run a task on an incarnation of a worker. */
export interface Run {
  readonly task: ActiveTask;
  readonly attempt: number;
  readonly worker: WorkerState;
  /** Start of the worker's incarnation, ms since 1970. */
  born: number;
  /**
   * Time of day until which the worker may have a lease of a misdirected call,
   * in ms since 1970; undefined for no such lease.
   */
  longLeaseUntil?: number;
  phase: RunPhase;
  /** Local time at which the run was placed; set anew after a takeover. */
  readonly placedAt: Millis;
  /**
   * Local time of the last response that showed that the incarnation `born` has
   * the run; 0 for none.
   */
  attributedAt: Millis;
  /** Whether the worker may still execute an earlier start request. */
  uncertain: boolean;
  /**
   * Local time of the last start request without a response, if any; after a
   * takeover, the time until which earlier schedulers may have sent one.
   */
  unansweredAt?: Millis;
  /**
   * Local time of the first start request, if one was sent; after a takeover,
   * the time of the takeover.
   */
  startSentAt?: Millis;
  /** Lease end in the last start request, on the worker's clock. */
  leaseUntil?: Millis;
  /** Local time at which the worker confirmed the run; 0 before. */
  confirmedAt: Millis;
  /** Local time at which the worker accepted the stop; 0 before. */
  stopAcceptedAt: Millis;
  /** Why a stop was requested; undefined if none was. */
  stopReason?: string;
  /** Last reported progress, as in ReportedRun, and when it last changed. */
  percent: number;
  lastProgressAt: Millis;
  /** Percentage of its processors that the run was told to use. */
  pace: number;
  /** Whether the pace may have been below 100, which skews the run time. */
  wasSlowed: boolean;
  /**
   * Last reported tail latency in ms for a serving task; otherwise the
   * processors in use, in thousandths of a core.
   */
  gauge: number;
  /** Local time since which a serving run is over its target, if it is. */
  overTargetSince?: Millis;
}

/**
 * The scheduler's view of one worker: capacity, runs, lease and health. Times
 * are local unless stated otherwise.
 */
export class WorkerState {
  listing: WorkerListing | undefined;
  /** Address in the last listing; a worker may respond while unlisted. */
  address = '';
  /** Data centre in the last listing. */
  dataCentre = '';
  /** Rack in the last listing; empty if unknown. */
  rack = '';
  capacity: Resources = {cpuMilli: 0, memoryMb: 0, gpus: 0};
  /** Incarnation that responded last, ms since 1970; 0 before a response. */
  born = 0;
  /** Latest incarnation that is known, ms since 1970; 0 for none. */
  latestBorn = 0;
  /** Time at which an entry showed the latest incarnation. */
  private latestListedAt: Millis = -Infinity;
  /** Incarnations that responded, were listed or are recorded with runs. */
  private readonly knownIncarnations = new Set<number>();
  /** Runs on the worker, by task name. */
  readonly runs = new Map<string, Run>();
  /** Whether the last report did not list all ends. */
  hasMoreEnds = false;
  /** Whether the last report showed runs that no task expects there. */
  hasStrayRuns = false;
  /** Resources reserved for runs; best-effort runs reserve no processors. */
  reserved: Resources = {cpuMilli: 0, memoryMb: 0, gpus: 0};
  /** Grows whenever a run is added or removed. */
  runsVersion = 0;
  /** Processors of best-effort runs at full pace, in thousandths of a core. */
  bestEffortCpuMilli = 0;
  /** Last end whose acknowledgement the worker has received. */
  confirmedAck = 0;
  /** Whether the worker rejected the token of the last answered renewal. */
  wasRenewalFenced = false;
  /** Acknowledgement of the last renewal without a response that had one. */
  unansweredAck: number | undefined;
  /** Last end whose effects are durable. */
  durableEnd = 0;
  /** Last end that was processed. */
  processedEnd = 0;
  /** Offset of the fencing token in this term; grows to fence calls. */
  tokenOffset = 0;
  /** Offset of the token that fences the calls for earlier incarnations. */
  fenceOffset = 0;
  /** Last reading of the worker's monotonic clock, and when it arrived. */
  clockMs: Millis = 0;
  clockReceivedAt: Millis = 0;
  /** Time of the last response to a renewal that carried a report. */
  lastResponseAt: Millis = 0;
  /** Time at which a renewal had no report for the first time; else Infinity. */
  unansweredSince: Millis = Infinity;
  /** Whether a record says, or is about to say, that the worker is lost. */
  isRecordedAsLost = false;
  /** Last record that says so, or removes one, while it is not stored. */
  unstoredLossRecord: KeyedRecord | undefined;
  /** Whether the last renewal returned a report; otherwise no new lease. */
  isResponsive = false;
  /** Time that the worker has for its next response. */
  readonly responseTime = new ResponseTime();
  /** Time from which and until which the worker gets no starts. */
  quarantinedFrom: Millis = -Infinity;
  quarantinedUntil: Millis = 0;
  /** Quarantines since the last run that succeeded here. */
  quarantineCount = 0;
  /** Jobs whose tasks failed here since the last run that succeeded. */
  readonly consecutiveFailedJobs = new Set<string>();
  /** Time since which the worker is missing from the list of workers. */
  unlistedSince: Millis | undefined;
  /** Whether the last listing said that the worker drains. */
  wasDraining = false;
  /** Average ratio of actual to expected run time; 1 is as expected. */
  slowness = 1;
  /**
   * Whether the worker gets only one run at a time, as after a quarantine until
   * a run succeeds.
   */
  isOnProbation = false;
  /**
   * Time until which only perpetual tasks may test the worker, as its quarantine
   * was ended early for them; 0 if any may.
   */
  perpetualTestsUntil: Millis = 0;

  constructor(
    readonly id: string,
    readonly lease: LeaseAccount,
    readonly openStarts = new OpenStarts(),
    private readonly evacuated = new EvacuatedDataCentres(),
  ) {}

  get isDraining(): boolean {
    return this.listing?.phase === WorkerPhase.DRAINING;
  }

  /** Whether the worker is in an evacuated data centre. */
  get isEvacuated(): boolean {
    return this.evacuated.has(this.listing?.dataCentre ?? this.dataCentre);
  }

  /** Whether the worker is unresponsive, not listed and without runs. */
  get isUnused(): boolean {
    const isKnown = this.isResponsive || this.listing !== undefined;
    return !isKnown && this.runs.size === 0;
  }

  /** Time of the last response, or of the first failed renewal if none. */
  get silentSince(): Millis {
    return this.born > 0 ? this.lastResponseAt : this.unansweredSince;
  }

  /** Resources that no run reserves; negative after the capacity has shrunk. */
  get free(): Resources {
    return {
      cpuMilli: this.capacity.cpuMilli - this.reserved.cpuMilli,
      memoryMb: this.capacity.memoryMb - this.reserved.memoryMb,
      gpus: this.capacity.gpus - this.reserved.gpus,
    };
  }

  /**
   * Incarnation that responded last, or else the latest one that is recorded
   * with a run; 0 if there is none.
   */
  get knownBorn(): number {
    if (this.born > 0) return this.born;
    let latest = 0;
    for (const {born} of this.runs.values()) latest = Math.max(latest, born);
    return latest;
  }

  /** Whether all runs fit; not after the worker's capacity has shrunk. */
  get hasCapacityForRuns(): boolean {
    const {cpuMilli, memoryMb, gpus} = this.reserved;
    return (
      cpuMilli <= this.capacity.cpuMilli &&
      memoryMb <= this.capacity.memoryMb &&
      gpus <= this.capacity.gpus
    );
  }

  /** Whether a run was placed after the quarantine, to test the worker. */
  isProbationRun(run: Run): boolean {
    return this.isOnProbation && run.placedAt >= this.quarantinedUntil;
  }

  /** Whether a run that tests the worker is still present. */
  get hasProbationRun(): boolean {
    if (!this.isOnProbation) return false;
    return [...this.runs.values()].some(run => this.isProbationRun(run));
  }

  /** Estimates the worker's monotonic clock at the local time `now`. */
  estimateClock(now: Millis): Millis {
    return Math.floor(this.clockMs + (now - this.clockReceivedAt));
  }

  /** Sets the clock that a response carried. */
  setClock(clockMs: Millis, now: Millis): void {
    this.clockMs = clockMs;
    this.clockReceivedAt = now;
  }

  /** Time after which no run on the worker can still execute. */
  get leaseEnd(): Millis {
    return this.lease.longestEnd;
  }

  /** Time until then, in ms. */
  leaseLeft(now: Millis): Millis {
    return Math.max(0, this.leaseEnd - now);
  }

  /** Time after which a run on the worker can no longer execute. */
  leaseEndOf(run: Run): Millis {
    const {attributedAt, unansweredAt = -Infinity} = run;
    const isOfFormer = attributedAt > 0 && run.born !== this.latestBorn;
    // While it was shown there, no start request was under way any more that a
    // later incarnation could execute.
    const cannotMove = unansweredAt + MAX_CALL_DELAY_MS <= attributedAt;
    const wasSent = run.startSentAt !== undefined;
    const canExecute = wasSent && !(isOfFormer && cannotMove);
    return canExecute ? this.lease.longestEnd : this.lease.intendedEnd;
  }

  /** Handles an incarnation that records name. */
  onRecordedIncarnation(born: number): void {
    if (born === 0) return;
    this.knownIncarnations.add(born);
    this.latestBorn = Math.max(this.latestBorn, born);
  }

  /**
   * Handles the incarnation in the worker's entry. Returns whether it is later
   * than those that were known.
   */
  onListedIncarnation(born: number, now: Millis): boolean {
    if (this.knownIncarnations.has(born)) return false;
    const isLater = this.knownIncarnations.size > 0;
    this.knownIncarnations.add(born);
    this.latestBorn = born;
    if (!isLater) return false;
    this.latestListedAt = now;
    this.lease.onLaterIncarnation();
    return true;
  }

  /** Handles the first response of an incarnation in this term. */
  onRespondingIncarnation(born: number): void {
    const isRestart = this.born > 0;
    const isListed = this.knownIncarnations.has(born);
    const isLater = !isListed && this.knownIncarnations.size > 0;
    if (isRestart || isLater) this.lease.onLaterIncarnation();
    this.lease.endMisdirectedCalls();
    this.knownIncarnations.add(born);
    this.born = born;
    this.latestBorn = born;
  }

  /**
   * Handles a further response of the incarnation that responded last, to a call
   * that was sent at `sentAt`: an entry that was listed before it and names
   * another one does not show a later one.
   */
  onSameIncarnation(sentAt: Millis): void {
    if (this.isLatest(this.born) || sentAt <= this.latestListedAt) return;
    this.latestBorn = this.born;
    this.lease.endMisdirectedCalls();
  }

  /** Whether no later incarnation is known. */
  isLatest(born: number): boolean {
    return born === this.latestBorn;
  }

  /** Raises the token beyond those of all calls that were sent before. */
  fenceEarlierCalls(): void {
    this.tokenOffset++;
    this.fenceOffset = this.tokenOffset;
  }

  /** Raises the token beyond that of an acknowledgement that is being sent. */
  fenceAcknowledgement(): void {
    this.tokenOffset++;
  }

  add(run: Run): void {
    this.runs.set(run.task.name, run);
    this.adjustReserved(run, 1);
  }

  remove(run: Run): void {
    if (this.runs.get(run.task.name) !== run) return;
    this.runs.delete(run.task.name);
    this.adjustReserved(run, -1);
  }

  private adjustReserved(run: Run, sign: 1 | -1): void {
    this.runsVersion++;
    const {shape} = run.task.step;
    const cpu = shape.fills ? 0 : shape.cpuMilli;
    if (shape.fills) this.bestEffortCpuMilli += sign * shape.cpuMilli;
    this.reserved = {
      cpuMilli: this.reserved.cpuMilli + sign * cpu,
      memoryMb: this.reserved.memoryMb + sign * shape.memoryMb,
      gpus: this.reserved.gpus + sign * shape.gpus,
    };
  }
}

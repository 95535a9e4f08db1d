import {Millis} from '../base/clock.js';
import {CostEvent, CostPart} from './cost_meter.js';
import {CrashAttribution} from './crash_attribution.js';
import {JobLifecycle} from './job_lifecycle.js';
import {CLOCK_TOLERANCE_MS, mayHaveLongLease} from './lease_account.js';
import {CommandKind, SchedulerState} from './scheduler_state.js';
import {ReportedRun, WorkerListing, WorkerReport} from './types.js';
import {
  DEFINITE_REJECTIONS,
  LeaseRenewal,
  RenewalResponse,
  WorkerCallResult,
  WorkerResponse,
} from './worker_calls.js';
import {ExclusionReason, startObstacle} from './worker_exclusion.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';

/** Longest time that a worker holds a renewal open while no run ends. */
const RENEWAL_LONG_POLL_MS: Millis = 1000;

/** Delay before a task is placed again after its start was refused. */
const START_REFUSED_BACKOFF_MS: Millis = 250;

/** Minimum time between two lines about starts that are held back. */
const STARTS_HELD_INTERVAL_MS: Millis = 1000;

/**
 * Difference between a worker's clock and its estimate from which on it is
 * logged: the response is of another incarnation than the estimate.
 */
const LOGGED_CLOCK_DIFFERENCE_MS: Millis = 1000;

/** Results of calls whose lease the worker has taken. */
const LEASE_GRANTING_RESULTS: ReadonlySet<WorkerCallResult> = new Set([
  WorkerCallResult.ACCEPTED,
  WorkerCallResult.SUPERSEDED,
  WorkerCallResult.FULL,
]);

/** Whether a call to a worker is settled or has to be sent again. */
export const FollowUp = {SETTLED: 'settled', REPEAT: 'repeat'} as const;
export type FollowUp = (typeof FollowUp)[keyof typeof FollowUp];

/**
 * Grants leases to workers and tracks which runs exist. A run counts as lost
 * only once its worker reports so, another incarnation responds, or all leases
 * and requests that may have reached the worker have expired. Silence proves
 * nothing, not even of a drained worker that is no longer listed: one that is
 * cut off looks the same and runs on.
 */
export class WorkerLeases {
  /**
   * Time of the permission clock until which this scheduler has authority, that
   * is, may grant leases.
   */
  private authorityEndsAt: Millis = 0;
  /** Whether a worker has seen the fencing token of a later scheduler. */
  isFenced = false;
  /** Local time of the last line about starts that are held back. */
  private startsHeldLoggedAt: Millis = -Infinity;
  readonly crashes: CrashAttribution;

  constructor(
    private readonly state: SchedulerState,
    private readonly lifecycle: JobLifecycle,
  ) {
    this.crashes = new CrashAttribution(state, lifecycle);
  }

  /**
   * Extends the authority after the log accepted a record of this epoch.
   * @param sentAt time of the permission clock before the record was sent.
   */
  confirmAuthority(sentAt: Millis): void {
    const end = sentAt + this.state.timings.authorityMs;
    this.authorityEndsAt = Math.max(this.authorityEndsAt, end);
  }

  /** Whether this scheduler may grant leases now. */
  get hasAuthority(): boolean {
    return this.state.permissionClock.now() < this.authorityEndsAt;
  }

  /** Builds the next renewal for a worker and tracks the lease it grants. */
  nextRenewal(worker: WorkerState): LeaseRenewal {
    return this.state.costs.measure(
      CostPart.RENEWALS,
      () => this.buildRenewal(worker),
      0,
    );
  }

  private buildRenewal(worker: WorkerState): LeaseRenewal {
    const acknowledgedEnd = this.endToAcknowledge(worker);
    const base = {
      fencingToken: this.state.fencingToken(worker),
      acknowledgedEnd,
      responseMs: worker.responseTime.limitMs,
    };
    if (acknowledgedEnd > 0) this.state.fenceAcknowledgement(worker);
    const leaseUntil = this.grantLease(worker);
    if (leaseUntil === undefined) {
      // A worker that waits for a lease is polled again at once. Without
      // authority no lease can be granted, so that would only add calls.
      return {...base, waitMs: this.hasAuthority ? 0 : RENEWAL_LONG_POLL_MS};
    }
    return {...base, leaseUntil, waitMs: RENEWAL_LONG_POLL_MS};
  }

  /**
   * Sequence number of the last end that the worker may discard; 0 for nothing
   * new. A worker that restarts with the same id numbers its ends anew, so a
   * number of an earlier incarnation should not reach it: none is sent if the
   * last renewal got no response, and each only until the worker confirms it.
   * None follows a rejection: as an acknowledgement raises the token, only the
   * rejection of a renewal without one tells of a later scheduler.
   */
  private endToAcknowledge(worker: WorkerState): number {
    const isNew = worker.durableEnd > worker.confirmedAck;
    if (!isNew || !worker.isResponsive || worker.wasRenewalFenced) return 0;
    return this.withholdsAcknowledgement(worker) ? 0 : worker.durableEnd;
  }

  /**
   * Whether ends are to be acknowledged and have to wait for open starts. A
   * later incarnation may execute such a start: one of a task whose end was
   * acknowledged, or one whose own end the acknowledgement then reaches. A list
   * that is cut hides later ends, so its ends don't wait.
   */
  withholdsAcknowledgement(worker: WorkerState): boolean {
    const isNew = worker.durableEnd > worker.confirmedAck;
    if (!isNew || worker.hasMoreEnds) return false;
    return worker.openStarts.mayBeExecuted(this.state.now());
  }

  /**
   * Grants a lease and returns its end on the worker's clock in ms; undefined
   * if none may be granted. An unresponsive worker gets none, not even in start
   * requests: repeated ones would extend its lease forever, and its runs could
   * never be declared lost.
   */
  grantLease(worker: WorkerState): Millis | undefined {
    // No new lease before the record that the worker is lost is removed.
    if (!worker.isResponsive || !this.hasAuthority || worker.isRecordedAsLost) {
      return undefined;
    }
    // The clock of a later incarnation is not known.
    if (!worker.isLatest(worker.born)) return undefined;
    const {leaseMs} = this.state.timings;
    const now = this.state.now();
    worker.lease.grant(now);
    return worker.estimateClock(now) + leaseMs;
  }

  /** Processes the response to a renewal that was sent at `sentAt`. */
  onRenewalResponse(
    worker: WorkerState,
    renewal: LeaseRenewal,
    sentAt: Millis,
    response: RenewalResponse,
  ): void {
    const now = this.state.now();
    // The worker was removed meanwhile and may have come back.
    if (this.state.workers.get(worker.id) !== worker) return;
    if (response.result === WorkerCallResult.FENCED) {
      const token = renewal.fencingToken;
      const followUp = this.onFenced(worker, 'renewal', token);
      worker.wasRenewalFenced = true;
      if (followUp === FollowUp.REPEAT) return;
    }
    if (response.result === WorkerCallResult.REPLACED) {
      this.onReplaced(worker);
    }
    const {report} = response;
    const wasResponsive = worker.isResponsive;
    worker.isResponsive = report !== undefined;
    if (report === undefined) {
      worker.unansweredSince = Math.min(worker.unansweredSince, now);
      if (renewal.acknowledgedEnd > 0) {
        worker.unansweredAck = renewal.acknowledgedEnd;
      }
      if (response.result === WorkerCallResult.UNKNOWN) {
        worker.responseTime.onTimeout();
      }
      if (wasResponsive) this.logReachability(worker, false, response.result);
      return;
    }
    worker.responseTime.onResponse();
    worker.wasRenewalFenced = false;
    if (!wasResponsive) this.logReachability(worker, true, response.result);
    worker.lastResponseAt = now;
    worker.setClock(report.clockMs, now);
    this.onGrantAnswered(worker, renewal.leaseUntil, response);
    if (report.born === worker.born) worker.onSameIncarnation(sentAt);
    else if (!this.onRestart(worker, report)) return;
    this.crashes.onSameIncarnation(worker);
    worker.confirmedAck = Math.max(
      worker.confirmedAck,
      renewal.acknowledgedEnd,
    );
    if (!this.state.isFence(worker, renewal.fencingToken)) return;
    if (worker.isLatest(report.born)) worker.lease.onFenced(now);
    this.processReport(worker, report, sentAt);
  }

  /**
   * Handles the rejection of a call whose fencing token is too low. If the token
   * was raised after the sending, another call of this scheduler came first.
   * @returns whether the call is to be sent again.
   */
  private onFenced(worker: WorkerState, call: string, token: number): FollowUp {
    const now = this.state.fencingToken(worker);
    this.state.log.decide('call-fenced', {worker: worker.id, call, token, now});
    if (token < now) return FollowUp.REPEAT;
    this.isFenced = true;
    return FollowUp.SETTLED;
  }

  private logReachability(
    worker: WorkerState,
    reached: boolean,
    result: WorkerCallResult,
  ): void {
    this.state.log.decide(reached ? 'worker-regained' : 'worker-lost', {
      worker: worker.id,
      result,
      runs: worker.runs.size,
      leaseLeftMs: Math.round(worker.leaseLeft(this.state.now())),
    });
  }

  /**
   * Handles the worker's clock in a response to a command. It is not used for
   * later calls: the response does not tell which incarnation it is of.
   * @returns whether it is the clock of the incarnation that reported last.
   */
  private checkClock(
    worker: WorkerState,
    {clockMs}: WorkerResponse,
    call: string,
  ): boolean {
    if (clockMs === undefined) return false;
    const expectedMs = worker.estimateClock(this.state.now());
    const difference = Math.abs(clockMs - expectedMs);
    if (difference > LOGGED_CLOCK_DIFFERENCE_MS) {
      const {id, born} = worker;
      const fields = {worker: id, born, call, clockMs, expectedMs};
      this.state.log.decide('worker-clock-differs', fields);
    }
    return difference <= CLOCK_TOLERANCE_MS;
  }

  /** Accounts for the lease that an answered call has granted. */
  private onGrantAnswered(
    worker: WorkerState,
    leaseUntil: Millis | undefined,
    {result, clockMs}: WorkerResponse,
  ): void {
    if (leaseUntil === undefined || clockMs === undefined) return;
    if (!LEASE_GRANTING_RESULTS.has(result)) return;
    const now = this.state.now();
    if (!worker.lease.onGrantAnswered(leaseUntil - clockMs, now)) return;
    this.recordLongLease(worker);
  }

  /** Tells successors of the long lease with the records of its runs. */
  private recordLongLease(worker: WorkerState): void {
    const until = this.state.longLeaseUntil(worker);
    if (until === undefined) return;
    for (const run of worker.runs.values()) {
      run.longLeaseUntil = until;
      this.state.jobsToStore.add(run.task.step.occurrence.job);
    }
  }

  /** Handles the entry of a worker in the list. */
  onListing(worker: WorkerState, {born}: WorkerListing): void {
    if (!worker.onListedIncarnation(born, this.state.now())) return;
    this.logLaterIncarnation('worker-restart-listed', worker, born);
    this.recordLongLease(worker);
  }

  private logLaterIncarnation(
    decision: string,
    worker: WorkerState,
    born: number,
  ): void {
    this.state.log.decide(decision, {
      worker: worker.id,
      born,
      runs: worker.runs.size,
      leaseLeftMs: Math.round(worker.leaseLeft(this.state.now())),
      unansweredAck: worker.unansweredAck,
    });
  }

  /**
   * Handles the first response of an incarnation. Runs of the previous one have
   * ended, but requests sent to it may still arrive at the new one: a higher
   * fencing token rejects them, and the response to the next renewal shows what
   * was accepted before. Returns whether this report can be processed.
   */
  private onRestart(worker: WorkerState, report: WorkerReport): boolean {
    const isFirst = worker.born === 0;
    worker.onRespondingIncarnation(report.born);
    if (isFirst) this.onFirstResponse(worker, report.born);
    else this.logLaterIncarnation('worker-restarted', worker, report.born);
    worker.confirmedAck = 0;
    worker.unansweredAck = undefined;
    worker.durableEnd = 0;
    worker.processedEnd = 0;
    worker.consecutiveFailedJobs.clear();
    if (isFirst) return true;
    worker.fenceEarlierCalls();
    for (const run of worker.runs.values()) {
      if (run.born !== report.born) run.phase = RunPhase.UNVERIFIED;
    }
    return false;
  }

  /**
   * Handles the first response of a worker in this term. One that started lately
   * may have a lease of a call by which an earlier scheduler meant its
   * predecessor.
   */
  private onFirstResponse({lease}: WorkerState, born: number): void {
    const {state} = this;
    const age = state.wallClock.now() - born;
    if (!mayHaveLongLease(age, state.timings)) return;
    lease.inherit(state.earlierGrantsSoFar);
    lease.onLaterIncarnation();
    lease.endMisdirectedCalls();
  }

  /** Handles the response of another worker at the address of this one. */
  private onReplaced(worker: WorkerState): void {
    for (const run of [...worker.runs.values()]) {
      this.crashes.endRun(run, 'another incarnation answers at its address');
    }
  }

  private declareLost(run: Run, reason: string, silentSince?: Millis): void {
    this.lifecycle.onRunLost(run, reason, silentSince);
  }

  private processReport(
    worker: WorkerState,
    report: WorkerReport,
    sentAt: Millis,
  ): void {
    for (const end of report.ends) {
      if (end.sequence <= worker.processedEnd) continue;
      worker.processedEnd = end.sequence;
      this.state.costs.count(CostEvent.END);
      this.lifecycle.onRunEnd(worker, end);
    }
    worker.hasMoreEnds = report.hasMoreEnds;
    const reported = new Map(report.running.map(entry => [entry.task, entry]));
    worker.hasStrayRuns = false;
    for (const entry of report.running) {
      this.processReportedRun(worker, entry, sentAt);
    }
    // Runs in neither list may be among the ends that are still to be listed.
    if (report.hasMoreEnds) return;
    for (const run of [...worker.runs.values()]) {
      if (reported.get(run.task.name)?.attempt === run.attempt) continue;
      this.onRunNotReported(run, report.born, sentAt);
    }
  }

  private processReportedRun(
    worker: WorkerState,
    entry: ReportedRun,
    sentAt: Millis,
  ): void {
    const run = worker.runs.get(entry.task);
    if (run === undefined || run.attempt !== entry.attempt) {
      worker.hasStrayRuns = true;
      this.state.log.decide('stop-stray', {
        task: entry.task,
        attempt: entry.attempt,
        worker: worker.id,
      });
      const {task, attempt} = entry;
      this.state.immediate.push({
        kind: CommandKind.STOP_STRAY,
        worker,
        task,
        attempt,
      });
      return;
    }
    const now = this.state.now();
    if (run.born !== worker.born) {
      run.born = worker.born;
      run.longLeaseUntil = this.state.longLeaseUntil(worker);
      this.state.jobsToStore.add(run.task.step.occurrence.job);
    }
    run.attributedAt = sentAt;
    if (run.phase === RunPhase.STARTING || run.phase === RunPhase.UNVERIFIED) {
      if (run.phase === RunPhase.UNVERIFIED) this.resetPace(run);
      run.phase = RunPhase.RUNNING;
      run.confirmedAt = now;
      // Another incarnation may have accepted the stop.
      if (run.stopReason !== undefined) this.state.stop(run, run.stopReason);
    }
    const {perpetual} = run.task.step.shape;
    const isActive = perpetual && entry.percent === 100;
    if (isActive) run.task.crashes = [];
    if (entry.percent !== run.percent) run.lastProgressAt = now;
    run.percent = entry.percent;
    if (isActive) this.lifecycle.quarantine.onAtWork(run);
    run.gauge = entry.gauge;
    if (entry.checkpoint !== '') run.task.checkpoint = entry.checkpoint;
  }

  /** Resets the pace, which an earlier scheduler may have lowered. */
  private resetPace(run: Run): void {
    if (!run.task.step.shape.fills) return;
    run.pace = 100;
    this.state.immediate.push({
      kind: CommandKind.PACE,
      run,
      percent: run.pace,
    });
  }

  /** Handles a run that is missing from a report. */
  private onRunNotReported(run: Run, born: number, sentAt: Millis): void {
    const {phase} = run;
    if (phase === RunPhase.UNVERIFIED) {
      const reason = 'not reported by the worker';
      if (run.born !== born) this.crashes.endRun(run, reason);
      else this.declareLost(run, reason);
    } else if (phase === RunPhase.STOPPING) {
      if (run.stopAcceptedAt > 0 && run.stopAcceptedAt < sentAt) {
        this.declareLost(run, 'stopped before it started');
      }
    } else if (phase === RunPhase.RUNNING && run.confirmedAt < sentAt) {
      this.declareLost(run, 'no longer reported by the worker');
    } else if (run.born !== born && phase === RunPhase.STARTING) {
      run.born = born;
    }
  }

  /**
   * Grants a lease for a start request that is about to be sent. Returns its
   * end on the worker's clock in ms; undefined if none may be granted. Withdraws
   * the run if it could not be placed on its worker any more. To be called
   * right before each sending, as a data centre may be evacuated at any time.
   */
  grantStart(run: Run): Millis | undefined {
    const obstacle = startObstacle(run.task.step, run.worker);
    if (obstacle !== undefined) {
      this.withdrawObstructed(run, obstacle);
      return undefined;
    }
    if (this.mayHaveMissedEvacuation()) return undefined;
    const leaseUntil = this.grantLease(run.worker);
    if (leaseUntil === undefined) return undefined;
    const now = this.state.now();
    run.worker.openStarts.onSent(run, now);
    run.startSentAt ??= now;
    run.leaseUntil = leaseUntil;
    return leaseUntil;
  }

  /**
   * Whether the operator topic was read so long ago that a start could break
   * the bound of an evacuation. Starts then wait until it is read.
   */
  private mayHaveMissedEvacuation(): boolean {
    const {evacuated, permissionClock, timings, log} = this.state;
    const permissionNow = permissionClock.now();
    if (evacuated.allowsStarts(permissionNow, timings.evacuateMs)) return false;
    const now = this.state.now();
    if (now - this.startsHeldLoggedAt >= STARTS_HELD_INTERVAL_MS) {
      this.startsHeldLoggedAt = now;
      const ageMs = Math.round(evacuated.age(permissionNow));
      log.decide('starts-held', {reason: 'operator topic not read', ageMs});
    }
    return true;
  }

  /**
   * Withdraws a run unless the worker may have it: the next report shows
   * whether an earlier start was executed.
   */
  private withdrawObstructed(run: Run, obstacle: ExclusionReason): void {
    const {worker, task, unansweredAt = -Infinity} = run;
    if (run.uncertain && worker.lastResponseAt <= unansweredAt) return;
    this.state.log.decide('start-withdrawn', {
      task: task.name,
      attempt: run.attempt,
      worker: worker.id,
      reason: obstacle,
      uncertain: run.uncertain,
    });
    this.withdraw(run, `its worker has become unsuitable: ${obstacle}`);
    if (!task.step.shape.gang) return;
    // The others can't work without it, and wait for it on their workers.
    for (const other of task.step.tasks) {
      if (other.run === undefined || other.run === run) continue;
      this.state.stop(other.run, 'a member of its gang is not started');
    }
  }

  /** Withdraws a run whose placement could not be stored. */
  withdrawUnstored(run: Run): void {
    this.withdraw(run, 'its placement could not be stored');
  }

  /** Whether a start request is still to be sent, as the run is not lost. */
  isStartPending(run: Run): boolean {
    const isCurrent = run.worker.runs.get(run.task.name) === run;
    return isCurrent && run.phase === RunPhase.STARTING;
  }

  /**
   * Processes the response to a start request.
   * @param token fencing token of the request.
   */
  onStartResponse(run: Run, response: WorkerResponse, token: number): FollowUp {
    const {worker} = run;
    const now = this.state.now();
    const isSameClock = this.checkClock(worker, response, 'start');
    this.onGrantAnswered(worker, run.leaseUntil, response);
    const {result} = response;
    const {uncertain} = run;
    if (result === WorkerCallResult.UNKNOWN) {
      worker.openStarts.onUnanswered(run, now);
      run.uncertain = true;
      run.unansweredAt = now;
    } else {
      worker.openStarts.onAnswered(run);
    }
    if (!this.isStartPending(run)) return FollowUp.SETTLED;
    if (result === WorkerCallResult.ACCEPTED) {
      this.state.costs.count(CostEvent.START);
      run.phase = RunPhase.RUNNING;
      if (isSameClock) run.attributedAt = now;
      run.confirmedAt = now;
      run.lastProgressAt = now;
      return FollowUp.SETTLED;
    }
    this.state.log.decide('start-refused', {
      task: run.task.name,
      attempt: run.attempt,
      worker: worker.id,
      result,
      uncertain,
    });
    if (result === WorkerCallResult.FENCED) {
      return this.onFenced(worker, 'start', token);
    }
    if (result === WorkerCallResult.LATE || !DEFINITE_REJECTIONS.has(result)) {
      return FollowUp.REPEAT;
    }
    if (result === WorkerCallResult.UNHEALTHY) {
      this.lifecycle.quarantine.impose(run, 'it refuses starts as unhealthy');
    }
    this.withdraw(run, `start refused: ${result}`);
    return FollowUp.SETTLED;
  }

  /** Gives up a run that has not started, so that its task is placed anew. */
  private withdraw(run: Run, reason: string): void {
    if (run.uncertain) {
      this.state.stop(run, `an earlier start may still execute; ${reason}`);
      return;
    }
    run.task.notBefore = this.state.now() + START_REFUSED_BACKOFF_MS;
    this.declareLost(run, reason);
  }

  /**
   * Processes the response to a stop request.
   * @param token fencing token of the request.
   */
  onStopResponse(run: Run, response: WorkerResponse, token: number): FollowUp {
    const {worker} = run;
    const now = this.state.now();
    this.checkClock(worker, response, 'stop');
    if (worker.runs.get(run.task.name) !== run) return FollowUp.SETTLED;
    if (response.result === WorkerCallResult.FENCED) {
      return this.onFenced(worker, 'stop', token);
    }
    if (response.result === WorkerCallResult.ACCEPTED) run.stopAcceptedAt = now;
    const isOver =
      response.result === WorkerCallResult.ACCEPTED ||
      response.result === WorkerCallResult.REPLACED;
    return isOver ? FollowUp.SETTLED : FollowUp.REPEAT;
  }

  /**
   * Processes the response to a request to pace a run.
   * @param token fencing token of the request.
   */
  onPaceResponse(run: Run, {result}: WorkerResponse, token: number): FollowUp {
    if (result === WorkerCallResult.FENCED) {
      return this.onFenced(run.worker, 'pace', token);
    }
    const isUnsettled =
      result === WorkerCallResult.UNKNOWN ||
      result === WorkerCallResult.NOT_SENT;
    return isUnsettled ? FollowUp.REPEAT : FollowUp.SETTLED;
  }

  /** Declares runs lost whose worker's lease expired. */
  expireLeases(): void {
    const now = this.state.now();
    for (const worker of this.state.workers.values()) {
      if (worker.isResponsive) continue;
      // One without an address can't be called.
      if (worker.address === '') {
        worker.unansweredSince = Math.min(worker.unansweredSince, now);
      }
      this.expireRuns(worker);
      this.removeIfUnused(worker);
    }
  }

  /**
   * Declares the runs of a silent worker lost that can no longer execute.
   * Requests may still be in flight and arrive once the worker has a new lease,
   * when the task runs elsewhere; a higher fencing token rejects them.
   */
  private expireRuns(worker: WorkerState): void {
    const {state} = this;
    const now = state.now();
    if (now < worker.lease.intendedEnd) return;
    const lost: Run[] = [];
    for (const run of [...worker.runs.values()]) {
      if (run.phase === RunPhase.STAGED) continue;
      if (now < worker.leaseEndOf(run)) continue;
      const reason = 'the lease of its worker ran out';
      this.declareLost(run, reason, worker.silentSince);
      lost.push(run);
    }
    if (lost.length === 0) return;
    const {id, born, listing} = worker;
    state.log.decide('lease-over', {
      worker: id,
      runs: lost.length,
      runsLeft: worker.runs.size,
      born,
      listedBorn: listing?.born,
      silentMs: Math.round(now - worker.silentSince),
    });
    worker.fenceEarlierCalls();
    this.crashes.onLost(worker, lost);
  }

  /** Keeps a worker that is recorded as lost until the record is removed. */
  private removeIfUnused(worker: WorkerState): void {
    if (!worker.isUnused || worker.isRecordedAsLost) return;
    this.state.removeWorker(worker);
  }

  /**
   * Yields worker, incarnation and last processed end, to be acknowledged once
   * the records that follow from the ends are durable.
   */
  *unacknowledgedEnds(): Generator<[WorkerState, number, number]> {
    for (const worker of this.state.workers.values()) {
      if (worker.processedEnd <= worker.durableEnd) continue;
      yield [worker, worker.born, worker.processedEnd];
    }
  }
}

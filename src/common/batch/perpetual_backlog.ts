import {Millis, SECOND} from '../base/clock.js';
import {ActiveTask} from './active_job.js';
import {reservedShares, roundShare} from './reserved_shares.js';
import {SchedulerState} from './scheduler_state.js';
import {
  exclusionReason,
  ExclusionReason,
  isUsable,
} from './worker_exclusion.js';

/** Minimum time between two lines. */
const REPORT_INTERVAL_MS: Millis = SECOND;

/**
 * Time for which a perpetual task waits before it is logged. A task may wait
 * for a worker that keeps a reserve, or for its worker to return.
 */
const MIN_WAIT_MS: Millis = 2 * SECOND;

/** Logs why perpetual tasks have no run, as callers expect one soon. */
export class PerpetualBacklog {
  private reportedAt: Millis = -Infinity;

  constructor(private readonly state: SchedulerState) {}

  /** Logs a line if tasks have waited for long, unless the last is recent. */
  run(): void {
    const now = this.state.now();
    if (now - this.reportedAt < REPORT_INTERVAL_MS) return;
    this.reportedAt = now;
    const late = [...this.state.waitingTasks].filter(
      ({step, readySince}) =>
        step.shape.perpetual && now - readySince >= MIN_WAIT_MS,
    );
    if (late.length > 0) this.report(late, now);
  }

  private report(late: readonly ActiveTask[], now: Millis): void {
    const jobs = new Set(late.map(({step}) => step.occurrence.job));
    const isHeld = ({step, notBefore}: ActiveTask): boolean =>
      notBefore > now || step.occurrence.job.heldUntil > 0;
    const oldest = late.reduce((a, b) => (b.readySince < a.readySince ? b : a));
    const {step} = oldest;
    const {job} = step.occurrence;
    const usable = [...this.state.workers.values()].filter(worker =>
      isUsable(worker, now),
    );
    const free = usable.map(
      ({capacity, reserved}) => capacity.cpuMilli - reserved.cpuMilli,
    );
    const {all, perpetual} = reservedShares(usable);
    this.state.log.decide('perpetual-backlog', {
      tasks: late.length,
      jobs: jobs.size,
      held: late.filter(isHeld).length,
      oldest: oldest.name,
      oldestMs: Math.round(now - oldest.readySince),
      cpuMilli: step.shape.cpuMilli,
      maxPerWorker: step.shape.maxPerWorker,
      failedOn: oldest.failedOn,
      otherRuns: [...job.tasks()].filter(({run}) => run).length,
      handOvers: job.handOvers,
      reserved: roundShare(all),
      reservedForGood: roundShare(perpetual),
      mostFreeMilli: Math.max(0, ...free),
      ...this.countWorkers(oldest, now),
    });
  }

  /** Numbers of workers without room for a task by reason, and of the others. */
  private countWorkers(
    {step}: ActiveTask,
    now: Millis,
  ): {suitable: number; excluded: Partial<Record<ExclusionReason, number>>} {
    let suitable = 0;
    const excluded: Partial<Record<ExclusionReason, number>> = {};
    for (const worker of this.state.workers.values()) {
      const reason = exclusionReason(step, worker, now);
      if (reason === undefined) suitable++;
      else excluded[reason] = (excluded[reason] ?? 0) + 1;
    }
    return {suitable, excluded};
  }
}

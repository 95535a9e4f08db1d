import {Millis, SECOND} from '../base/clock.js';
import {ActiveStep, ActiveTask} from './active_job.js';
import {SchedulerState} from './scheduler_state.js';
import {
  exclusionReason,
  ExclusionReason,
  isUnderLimit,
  noRoomReason,
  unusableReason,
} from './worker_exclusion.js';
import {Run, WorkerState} from './worker_state.js';

/** Different jobs that fail on a worker in a row before it is quarantined. */
const FAILED_JOBS_TO_QUARANTINE = 3;

/** First and longest quarantine of a worker; each one is twice the last. */
const FIRST_QUARANTINE_MS: Millis = 3 * SECOND;
const MAX_QUARANTINE_MS: Millis = 24 * SECOND;

/**
 * Time that a perpetual task waits for another worker before it is tried on a
 * quarantined one. Callers expect a task that ended to run again within 6 s,
 * wherever there is room; after 2 s it leaves for another shard with room.
 */
const NEEDED_AFTER_MS: Millis = 2.5 * SECOND;

/**
 * Times for which a perpetual run has to be at work to end the probation of its
 * worker, and to show that it is sound, like the success of a run that ends.
 */
const TESTED_AFTER_MS: Millis = 0.5 * SECOND;
const PROVEN_AFTER_MS: Millis = 3 * SECOND;

/** Maximum number of steps for which a worker is searched in each check. */
const MAX_SEARCHED_STEPS = 10;

/**
 * Puts workers aside on which runs fail: such a worker gets no starts for a time
 * that doubles with each consecutive quarantine, up to a maximum, and then one
 * start at a time while it is on probation.
 */
export class Quarantine {
  constructor(private readonly state: SchedulerState) {}

  /**
   * Counts a failed run against its worker. Quarantines the worker after
   * failures of several jobs in a row, or after a single one on probation.
   */
  onFailed(run: Run): void {
    const {worker, task} = run;
    if (isKnown(run)) return;
    worker.consecutiveFailedJobs.add(task.step.occurrence.job.submittedId);
    const limit = worker.isOnProbation ? 1 : FAILED_JOBS_TO_QUARANTINE;
    if (worker.consecutiveFailedJobs.size < limit) return;
    worker.consecutiveFailedJobs.clear();
    this.impose(run, 'tasks of several jobs failed in a row');
  }

  /** Handles a run that its worker has ended with success. */
  onDone({worker}: Run): void {
    worker.consecutiveFailedJobs.clear();
    worker.isOnProbation = false;
    worker.perpetualTestsUntil = 0;
    worker.quarantineCount = 0;
  }

  /** Handles a report that a perpetual run is at work. */
  onAtWork(run: Run): void {
    const {worker} = run;
    if (run.placedAt < worker.quarantinedUntil) return;
    const workedFor = this.state.now() - run.lastProgressAt;
    if (workedFor < TESTED_AFTER_MS) return;
    // Other runs end the probation by succeeding; a perpetual one never ends.
    worker.isOnProbation = false;
    worker.perpetualTestsUntil = 0;
    if (workedFor >= PROVEN_AFTER_MS) worker.quarantineCount = 0;
  }

  /** Quarantines the worker of a run, unless the run tells nothing new. */
  impose(run: Run, reason: string): void {
    if (isKnown(run)) return;
    const {worker} = run;
    const duration = Math.min(
      FIRST_QUARANTINE_MS * 2 ** worker.quarantineCount,
      MAX_QUARANTINE_MS,
    );
    worker.quarantineCount++;
    worker.quarantinedFrom = this.state.now();
    worker.quarantinedUntil = worker.quarantinedFrom + duration;
    worker.isOnProbation = true;
    worker.perpetualTestsUntil = 0;
    this.state.log.decide('quarantine', {worker: worker.id, duration, reason});
  }

  /**
   * Ends quarantines of workers that perpetual tasks need, as they find no
   * other. These have no limit of attempts; until one of them is at work, or the
   * quarantine would have ended, tasks that have one are kept away.
   */
  admitNeeded(): void {
    const now = this.state.now();
    const workers = [...this.state.workers.values()];
    for (const worker of workers) {
      // The quarantine would have ended by itself.
      if (worker.perpetualTestsUntil <= now) worker.perpetualTestsUntil = 0;
    }
    let waiting = workers.filter(worker => isAdmissible(worker, now));
    if (waiting.length === 0) return;
    for (const [step, tasks] of this.stepsInNeed(now)) {
      const hasOther = workers.some(
        worker => exclusionReason(step, worker, now) === undefined,
      );
      if (hasOther) continue;
      const suitable = waiting.filter(
        worker =>
          noRoomReason(step, worker) === undefined &&
          isUnderLimit(step, worker),
      );
      for (const worker of suitable.slice(0, tasks.length)) {
        this.admit(worker, tasks[0], now);
      }
      waiting = waiting.filter(worker => isAdmissible(worker, now));
      if (waiting.length === 0) return;
    }
  }

  private admit(worker: WorkerState, task: ActiveTask, now: Millis): void {
    this.state.log.decide('quarantine-ended', {
      worker: worker.id,
      task: task.name,
      waitedMs: Math.round(now - task.readySince),
      leftMs: Math.round(worker.quarantinedUntil - now),
    });
    worker.perpetualTestsUntil = worker.quarantinedUntil;
    worker.quarantinedUntil = now;
  }

  /** Perpetual steps whose tasks have waited for long, with these tasks. */
  private stepsInNeed(now: Millis): ReadonlyMap<ActiveStep, ActiveTask[]> {
    const steps = new Map<ActiveStep, ActiveTask[]>();
    for (const task of this.state.waitingTasks) {
      const {step, readySince, notBefore} = task;
      if (!step.shape.perpetual || step.shape.gang) continue;
      if (step.occurrence.job.heldUntil > 0) continue;
      if (now - readySince < NEEDED_AFTER_MS || notBefore > now) continue;
      const tasks = steps.get(step);
      if (tasks !== undefined) tasks.push(task);
      else if (steps.size < MAX_SEARCHED_STEPS) steps.set(step, [task]);
    }
    return steps;
  }
}

/**
 * Whether a run was placed before the last quarantine of its worker began. What
 * happens to it has the same cause.
 */
function isKnown({worker, placedAt}: Run): boolean {
  return placedAt <= worker.quarantinedFrom;
}

/** Whether a worker's quarantine may be ended early, as nothing else bars it. */
function isAdmissible(worker: WorkerState, now: Millis): boolean {
  if (unusableReason(worker, now) !== ExclusionReason.QUARANTINED) return false;
  if (worker.hasStrayRuns || worker.born !== worker.listing?.born) return false;
  return now - worker.quarantinedFrom >= FIRST_QUARANTINE_MS;
}

import {Millis} from '../base/clock.js';
import {
  ActiveJob,
  ActiveOccurrence,
  ActiveTask,
  isStepDone,
  isStepReady,
} from './active_job.js';
import {
  isFinal,
  JobPhase,
  ProgressRecord,
  SubmissionRecord,
  TaskPhase,
  TaskRecord,
} from './job_records.js';
import {hasRoomForOccurrence} from './job_size.js';
import {KnownJob, LostWorker} from './job_view.js';
import {MAX_WALL_CLOCK_ERROR_MS} from './lease_account.js';
import {OccurrenceMemory} from './occurrence_memory.js';
import {Quarantine} from './quarantine.js';
import {SchedulerState} from './scheduler_state.js';
import {parseTaskName, Queue, ReportedEnd, RunOutcome} from './types.js';
import {SlownessTracker} from './slowness_tracker.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';

/**
 * Workers that crash soon after the start of one task, until its job is given
 * up. One more or less may be due to another cause.
 */
const MAX_CRASHED_WORKERS = 3;

/** Performs the state transitions of jobs and tasks. */
export class JobLifecycle {
  private readonly slownessTracker: SlownessTracker;

  /** Workers that previous schedulers recorded as unreachable. */
  lostWorkers: ReadonlyMap<string, LostWorker> = new Map();

  /** @param quarantine of the workers on which runs fail. */
  constructor(
    private readonly state: SchedulerState,
    readonly quarantine: Quarantine = new Quarantine(state),
  ) {
    this.slownessTracker = new SlownessTracker(state.timePredictor);
  }

  /**
   * Adds a job from the log and restores its recorded progress, if any. Ignores
   * jobs without a submission record and jobs that were added before. A job
   * that is over is added only if runs of it have to be stopped.
   */
  add(known: KnownJob): void {
    const {state} = this;
    const {submission, id} = known;
    if (submission === undefined || state.jobs.has(id)) return;
    if (state.endedJobs.has(id)) return;
    const progress = restoredProgress(known);
    if (progress !== undefined && isFinal(progress.phase)) {
      state.endedJobs.set(id, progress.endedAt);
      const isPublic =
        known.detached === undefined || progress.phase === JobPhase.FAILED;
      if (isPublic && known.state?.phase !== progress.phase) {
        const {phase, hasStarted, endedAt} = progress;
        state.statesToStore.set(id, {phase, hasStarted, endedAt});
      }
    }
    const job = new ActiveJob(
      id,
      submission,
      this.currentQueue(submission.queue),
      this.acceptanceTime(submission, known.seenAt),
      known.detached,
      task => known.detachedTasks?.has(task) ?? false,
    );
    const now = state.now();
    job.handOvers = known.handOver?.number ?? 0;
    job.publishedPhase = known.state?.phase ?? JobPhase.QUEUED;
    const placed = progress === undefined ? [] : job.restore(progress, now);
    if (!isFinal(job.phase) && needsFirstOccurrence(job)) {
      job.addOccurrence(0, now);
    }
    for (const [task, record] of placed) this.restoreRun(task, record);
    if (isFinal(job.phase)) {
      if (![...job.tasks()].some(task => task.run)) return;
      state.jobs.set(id, job);
      for (const task of job.tasks()) {
        if (task.run) state.stop(task.run, 'job is over');
      }
      return;
    }
    state.jobs.set(id, job);
    if (job.phase !== job.publishedPhase) state.jobsToStore.add(job);
    this.logAdded(job, progressSource(known));
    for (const occurrence of job.occurrences.values()) this.enqueue(occurrence);
    if (known.cancelled) this.cancel(id);
  }

  /**
   * Local time at which a job was accepted. This process may have seen it only
   * later, if it started after that; its clocks may also have been set since.
   */
  private acceptanceTime(
    {acceptedAt}: SubmissionRecord,
    seenAt: Millis,
  ): Millis {
    const {state} = this;
    const age = state.wallClock.now() - acceptedAt;
    return Math.min(seenAt, state.now() - age);
  }

  private logAdded(
    {id, queue, phase, submission}: ActiveJob,
    progress: string,
  ): void {
    const steps = submission.shape.steps.map(
      ({count, cpuMilli, estimateMs, image, fills, perpetual}) =>
        `${count}x${cpuMilli}m ${estimateMs}ms ${image}` +
        `${fills ? ' fills' : ''}${perpetual ? ' perpetual' : ''}`,
    );
    const {name, priority} = queue;
    this.state.log.decide('job-taken', {
      job: id,
      queue: name,
      priority,
      phase,
      progress,
      steps,
    });
  }

  /**
   * Returns the queue as configured now. If the queue is no longer configured,
   * returns it as it was when the job was accepted.
   */
  private currentQueue(accepted: Queue): Queue {
    const {queues} = this.state.configuration;
    return queues.find(({name}) => name === accepted.name) ?? accepted;
  }

  /**
   * Forgets a waiting job that is handed over to another shard. Returns whether
   * it did: a job with runs or with records to store stays.
   */
  release(job: ActiveJob): boolean {
    const {state} = this;
    if (state.jobs.get(job.id) !== job || isFinal(job.phase)) return false;
    if (!job.canLeave || state.jobsToStore.has(job)) return false;
    for (const task of job.tasks()) if (task.run) return false;
    for (const task of job.tasks()) state.waitingTasks.delete(task);
    state.jobs.delete(job.id);
    return true;
  }

  /**
   * Gives up a waiting task of a job that another shard is to run. Returns
   * whether it did.
   */
  releaseTask(task: ActiveTask): boolean {
    const {state} = this;
    const {job} = task.step.occurrence;
    if (state.jobs.get(job.id) !== job || isFinal(job.phase)) return false;
    if (!job.canLeave || job.heldUntil > 0 || task.run) return false;
    if (!state.waitingTasks.delete(task)) return false;
    task.isElsewhere = true;
    return true;
  }

  /** Takes a task up again whose hand-over the log never accepts. */
  takeBackTask(task: ActiveTask): void {
    const {occurrence} = task.step;
    const {job} = occurrence;
    job.canLeave = false;
    task.isElsewhere = false;
    // The job may have been handed over meanwhile.
    if (this.state.jobs.get(job.id) === job) this.enqueue(occurrence);
  }

  /** Takes a job up again whose hand-over the log never accepts. */
  takeBack(job: ActiveJob): void {
    job.canLeave = false;
    this.state.jobs.set(job.id, job);
    for (const occurrence of job.occurrences.values()) this.enqueue(occurrence);
  }

  /** Applies a changed configuration of queues to all jobs. */
  refreshQueues(): void {
    for (const job of this.state.jobs.values()) {
      job.queue = this.currentQueue(job.submission.queue);
    }
  }

  /**
   * Recreates the run that the log shows for a task. Whether it still exists is
   * unknown, so the worker's lease is assumed to last until the latest time to
   * which the previous scheduler may still extend it. For a worker that was
   * recorded as unreachable, the recorded end of its leases applies instead.
   */
  private restoreRun(
    task: ActiveTask,
    {worker: workerId, born, longLeaseUntil}: TaskRecord,
  ): void {
    const {state} = this;
    const now = state.now();
    const worker = state.getOrCreateWorker(workerId);
    const run: Run = {
      task,
      attempt: task.attempt,
      worker,
      born,
      longLeaseUntil,
      phase: RunPhase.UNVERIFIED,
      placedAt: now,
      attributedAt: 0,
      uncertain: true,
      startSentAt: now,
      unansweredAt: state.earlierGrantsUntil,
      confirmedAt: 0,
      stopAcceptedAt: 0,
      percent: 0,
      lastProgressAt: now,
      pace: 100,
      wasSlowed: true,
      gauge: 0,
    };
    task.run = run;
    worker.add(run);
    worker.onRecordedIncarnation(born);
    const {lease} = worker;
    const lost = this.lostWorkers.get(workerId);
    // Runs of earlier incarnations have ended.
    if (lost !== undefined && born <= lost.born) {
      worker.isRecordedAsLost = true;
      worker.onRecordedIncarnation(lost.born);
      lease.inheritEnd(lost.leaseEnd);
      return;
    }
    const grantsUntil = state.earlierGrantsUntil;
    lease.inherit(grantsUntil);
    if (longLeaseUntil === undefined) return;
    const latest = longLeaseUntil + MAX_WALL_CLOCK_ERROR_MS;
    const end = now + latest - state.wallClock.now();
    lease.inheritLongEnd(end, grantsUntil);
  }

  /** Adds the occurrences whose start time has come. */
  addDueOccurrences(): void {
    const {state} = this;
    const wallNow = state.wallClock.now();
    const memory = new OccurrenceMemory(state);
    for (const job of state.jobs.values()) {
      const {startMs, periodMs} = job.submission.shape;
      while (!isFinal(job.phase) && job.hasFutureOccurrences) {
        if (startMs + job.nextOccurrence * periodMs > wallNow) break;
        const hasRoom =
          hasRoomForOccurrence(job, state.recordBytes) && memory.tryTake(job);
        if (!hasRoom) {
          this.logDelayed(job);
          break;
        }
        this.enqueue(job.addOccurrence(job.nextOccurrence, state.now()));
        state.jobsToStore.add(job);
      }
    }
  }

  /** Logs an occurrence that waits for the end of earlier ones, once. */
  private logDelayed(job: ActiveJob): void {
    const {id, nextOccurrence, occurrences} = job;
    if (job.delayedOccurrence === nextOccurrence) return;
    job.delayedOccurrence = nextOccurrence;
    this.state.log.decide('occurrence-delayed', {
      job: id,
      occurrence: nextOccurrence,
      unfinished: occurrences.size,
    });
  }

  /** Queues the tasks of all steps that are ready to run for placement. */
  private enqueue(occurrence: ActiveOccurrence): void {
    if (isFinal(occurrence.job.phase)) return;
    const now = this.state.now();
    for (const step of occurrence.steps) {
      if (isStepDone(step) || !isStepReady(step)) continue;
      for (const task of step.tasks) {
        if (task.phase !== TaskPhase.WAITING || task.run) continue;
        if (task.isElsewhere) continue;
        if (!this.state.waitingTasks.has(task)) task.readySince = now;
        this.state.waitingTasks.add(task);
      }
    }
  }

  /**
   * Cancels a job and stops its runs. The job stays in the state until all of
   * its runs have ended.
   */
  cancel(id: string): void {
    const job = this.state.jobs.get(id);
    if (job === undefined || isFinal(job.phase)) return;
    this.finish(job, JobPhase.CANCELLED, 'cancelled by the caller');
  }

  /** Ends a job one of whose detached tasks was given up. */
  failFor(id: string, task: string): void {
    const job = this.state.jobs.get(id);
    if (job === undefined || isFinal(job.phase)) return;
    this.finish(job, JobPhase.FAILED, `task ${task} was given up`);
  }

  /** Ends a job with a final phase and stops its runs. */
  private finish(job: ActiveJob, phase: JobPhase, reason: string): void {
    const {state} = this;
    job.phase = phase;
    job.endedAt = state.wallClock.now();
    state.endedJobs.set(job.id, job.endedAt);
    state.jobsToStore.add(job);
    this.logOver(job, reason);
    for (const task of job.tasks()) {
      state.waitingTasks.delete(task);
      if (task.run) state.stop(task.run, reason);
    }
    this.removeIfSettled(job);
  }

  /** Logs what tells a job that was large from one that waited or failed. */
  private logOver(job: ActiveJob, reason: string): void {
    let tasks = 0;
    let attempts = 0;
    let failures = 0;
    for (const task of job.tasks()) {
      tasks++;
      attempts += task.attempt;
      failures += task.failures.length;
    }
    const {state} = this;
    state.log.decide('job-over', {
      job: job.id,
      queue: job.queue.name,
      phase: job.phase,
      reason,
      ageMs: Math.round(state.now() - job.acceptedAt),
      objectiveMs: Math.round(state.timePredictor.latencyObjective(job)),
      tasks,
      attempts,
      failures,
    });
  }

  /** Removes a job that is over and has no runs left. */
  private removeIfSettled(job: ActiveJob): void {
    if (job.isSettled) this.state.jobs.delete(job.id);
  }

  /** Processes the end of a run that a worker reported. */
  onRunEnd(worker: WorkerState, end: ReportedEnd): void {
    const run = worker.runs.get(end.task);
    if (run === undefined || run.attempt !== end.attempt) {
      const known = this.findTask(end.task);
      this.state.log.decide('stale-end', {
        task: end.task,
        attempt: end.attempt,
        worker: worker.id,
        end: end.end,
        taskPhase: known?.phase,
        taskAttempt: known?.attempt,
      });
      if (end.end === RunOutcome.FAILED) this.countStaleFailure(worker, end);
      return;
    }
    this.state.log.decide('run-ended', {
      task: end.task,
      attempt: end.attempt,
      worker: worker.id,
      end: end.end,
      ms: Math.round(this.state.now() - run.placedAt),
    });
    if (end.checkpoint !== '') run.task.checkpoint = end.checkpoint;
    const {sequence} = end;
    const {job} = run.task.step.occurrence;
    job.addUnstoredEnd(worker, {born: worker.born, sequence});
    this.removeRun(run);
    this.endHandlers[end.end](run);
    this.removeIfSettled(job);
  }

  /**
   * Counts a failure whose run is no longer tracked against the task's maximum
   * number of attempts. Each attempt counts once, as a worker reports an end
   * repeatedly until it is acknowledged.
   */
  private countStaleFailure(worker: WorkerState, end: ReportedEnd): void {
    const task = this.findTask(end.task);
    if (task === undefined) return;
    const {job} = task.step.occurrence;
    countFailure(task, end.attempt);
    const {sequence} = end;
    job.addUnstoredEnd(worker, {born: worker.born, sequence});
    this.state.jobsToStore.add(job);
    // A later attempt may have succeeded.
    if (task.phase !== TaskPhase.DONE) this.failIfExhausted(task);
    this.removeIfSettled(job);
  }

  /** Returns a task of an active job by its name. */
  private findTask(name: string): ActiveTask | undefined {
    const key = parseTaskName(name);
    if (key === undefined) return undefined;
    const occurrences = this.state.jobs.get(key.job)?.occurrences;
    return occurrences?.get(key.occurrence)?.steps[key.step]?.tasks[key.index];
  }

  private readonly endHandlers: Readonly<
    Record<RunOutcome, (run: Run) => void>
  > = {
    [RunOutcome.DONE]: run => this.onDone(run),
    [RunOutcome.FAILED]: run => this.onFailed(run),
    [RunOutcome.STOPPED]: run => this.requeue(run.task),
    [RunOutcome.LEASE_EXPIRED]: run => this.requeue(run.task),
    [RunOutcome.BROKEN]: run => this.requeue(run.task),
    [RunOutcome.ALONE]: run => this.requeue(run.task),
  };

  /**
   * Handles a run whose worker crashed soon after it started. A task under
   * which several workers have crashed is given up, so that it doesn't take
   * down one worker after the other.
   */
  onRunCrashed(run: Run, reason: string): void {
    const {task, attempt, worker} = run;
    this.state.log.decide('run-crashed', {
      task: task.name,
      attempt,
      worker: worker.id,
      reason,
      crashes: task.crashes.length + 1,
    });
    task.failedOn = worker.id;
    this.removeRun(run);
    this.requeue(task);
    this.countCrash(task, attempt);
    this.removeIfSettled(task.step.occurrence.job);
  }

  /** Counts a crash against a task, and gives its job up at the maximum. */
  countCrash(task: ActiveTask, attempt: number): void {
    if (task.crashes.includes(attempt)) return;
    task.crashes = [...task.crashes, attempt];
    const {step} = task;
    const {job} = step.occurrence;
    // The job may have been handed over to another shard since the crash.
    if (this.state.jobs.get(job.id) !== job || isFinal(job.phase)) return;
    this.state.jobsToStore.add(job);
    // The members of a gang share the numbers of their attempts.
    const members = step.shape.gang ? step.tasks : [task];
    const attempts = new Set(members.flatMap(({crashes}) => crashes));
    if (attempts.size < MAX_CRASHED_WORKERS) return;
    this.finish(
      job,
      JobPhase.FAILED,
      `${attempts.size} workers crashed under task ${task.name}`,
    );
  }

  /**
   * Requeues the task of a run that ended without a reported end.
   * @param silentSince local time since which nothing is known of the run.
   */
  onRunLost(
    run: Run,
    reason: string,
    silentSince: Millis = this.state.now(),
  ): void {
    const now = this.state.now();
    const {attributedAt, unansweredAt} = run;
    this.state.log.decide('run-lost', {
      task: run.task.name,
      attempt: run.attempt,
      worker: run.worker.id,
      reason,
      shownMs: attributedAt > 0 ? Math.round(now - attributedAt) : undefined,
      unansweredMs:
        unansweredAt === undefined ? undefined : Math.round(now - unansweredAt),
    });
    this.removeRun(run);
    this.requeue(run.task);
    // Callers have missed a perpetual task since then.
    const {task} = run;
    const isPerpetual = task.step.shape.perpetual;
    if (isPerpetual) task.readySince = Math.min(task.readySince, silentSince);
    this.removeIfSettled(task.step.occurrence.job);
  }

  /** Removes a run from its worker and its task. */
  private removeRun(run: Run): void {
    run.worker.remove(run);
    if (run.task.run === run) run.task.run = undefined;
    if (run.task.phase === TaskPhase.PLACED) run.task.phase = TaskPhase.WAITING;
    this.state.jobsToStore.add(run.task.step.occurrence.job);
  }

  /** Makes a task available for placement again unless its job is over. */
  private requeue(task: ActiveTask): void {
    const {job} = task.step.occurrence;
    if (task.phase === TaskPhase.DONE) return;
    task.phase = TaskPhase.WAITING;
    if (isFinal(job.phase)) return;
    task.readySince = this.state.now();
    this.state.waitingTasks.add(task);
  }

  private onDone(run: Run): void {
    const {task} = run;
    const {step} = task;
    this.quarantine.onDone(run);
    this.slownessTracker.onDone(run, this.state.now());
    this.state.timePredictor.onRunDone(run);
    if (step.shape.perpetual) {
      this.requeue(task);
      return;
    }
    this.markDone(task);
    if (step.shape.gang) {
      // A gang is done as soon as one of its members is.
      for (const other of step.tasks) this.markDone(other);
    }
    const {occurrence} = step;
    if (!isStepDone(step)) return;
    if (!occurrence.steps.every(isStepDone)) {
      this.enqueue(occurrence);
      return;
    }
    const {job} = occurrence;
    if (isFinal(job.phase)) return;
    if (job.submission.shape.repeats > 0) {
      job.occurrences.delete(occurrence.number);
    }
    const hasUnfinished = [...job.occurrences.values()].some(
      ({steps}) => !steps.every(isStepDone),
    );
    if (!hasUnfinished && !job.hasFutureOccurrences) {
      this.finish(job, JobPhase.COMPLETE, 'all tasks are done');
    }
  }

  private markDone(task: ActiveTask): void {
    if (task.phase === TaskPhase.DONE) return;
    task.phase = TaskPhase.DONE;
    task.checkpoint = '';
    task.step.doneCount++;
    this.state.waitingTasks.delete(task);
  }

  private onFailed(run: Run): void {
    const {task, worker} = run;
    countFailure(task, run.attempt);
    task.failedOn = worker.id;
    this.quarantine.onFailed(run);
    if (!this.failIfExhausted(task)) this.requeue(task);
  }

  /**
   * Ends the job of a task that failed as often as its queue allows. Returns
   * whether it did.
   */
  private failIfExhausted(task: ActiveTask): boolean {
    const {job} = task.step.occurrence;
    const {perpetual, gang} = task.step.shape;
    const failures = gang
      ? task.step.tasks.reduce((sum, {failures}) => sum + failures.length, 0)
      : task.failures.length;
    if (perpetual || failures < job.queue.maxAttempts) return false;
    if (!isFinal(job.phase)) {
      this.finish(job, JobPhase.FAILED, `task ${task.name} failed`);
    }
    return true;
  }
}

/** Whether a job without a schedule has no tasks yet. */
function needsFirstOccurrence({submission, occurrences}: ActiveJob): boolean {
  return submission.shape.repeats === 0 && !occurrences.has(0);
}

/**
 * Progress of a job as recorded. A final phase that was stored as the job's
 * state stands, whatever the record of its tasks says.
 */
function restoredProgress(known: KnownJob): ProgressRecord | undefined {
  const {state} = known;
  const progress = currentProgress(known);
  if (state === undefined || !isFinal(state.phase)) return progress;
  const none = {nextOccurrence: 0, occurrences: [], handOvers: 0};
  const tasks = {...none, ...progress};
  return {...tasks, ...state};
}

/**
 * The tasks of a job: as this shard stored them since the last hand-over, or
 * else as they were handed over.
 */
function currentProgress({
  handOver,
  progress,
}: KnownJob): ProgressRecord | undefined {
  if (handOver === undefined) return progress;
  return progress?.handOvers === handOver.number ? progress : handOver.progress;
}

/** Which record the progress of a job is taken from, for the log. */
function progressSource({handOver, progress}: KnownJob): string {
  if (handOver === undefined) return progress === undefined ? 'none' : 'stored';
  return progress?.handOvers === handOver.number ? 'stored' : 'handed-over';
}

/**
 * Adds an attempt to the failures of a task, once. Those of a perpetual task
 * have no limit and would fill the job's record.
 */
function countFailure(task: ActiveTask, attempt: number): void {
  if (task.step.shape.perpetual) return;
  if (task.failures.includes(attempt)) return;
  task.failures = [...task.failures, attempt];
}

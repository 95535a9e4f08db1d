import {Millis} from '../base/clock.js';
import {
  isFinal,
  JobPhase,
  JobStateRecord,
  OccurrenceRecord,
  ProgressRecord,
  SubmissionRecord,
  TaskPhase,
  TaskRecord,
  UNSTARTED_TASK,
} from './job_records.js';
import {Queue, StepShape, TaskKey, taskName} from './types.js';
import {UnstoredEnd, UnstoredEnds} from './held_jobs.js';
import {Run, WorkerState} from './worker_state.js';

/** A task of an active job. */
export interface ActiveTask {
  readonly name: string;
  readonly index: number;
  readonly step: ActiveStep;
  /**
   * Whether the task is not this job's to run: it was detached from the job, or
   * the job is a detached task, and this is not it.
   */
  isElsewhere: boolean;
  phase: TaskPhase;
  /** Number of the latest attempt; 0 before the first. */
  attempt: number;
  /** Numbers of the attempts that failed. */
  failures: readonly number[];
  /** Numbers of the attempts whose worker crashed soon after their start. */
  crashes: readonly number[];
  /** Latest checkpoint, from which the next run resumes; empty for none. */
  checkpoint: string;
  /** Latest run, until its end is known. */
  run?: Run;
  /**
   * Worker on which the task last failed, stalled or slowed others; placing the
   * task there again has a cost.
   */
  failedOn: string;
  /** Number of times that the task was moved because it slowed others. */
  interferenceMoves: number;
  /** Earliest local time of the next placement, set after a refused start. */
  notBefore: Millis;
  /** Local time since which the task has been ready to run. */
  readySince: Millis;
}

/** A step of one occurrence. */
export interface ActiveStep {
  readonly number: number;
  readonly shape: StepShape;
  readonly occurrence: ActiveOccurrence;
  readonly tasks: ActiveTask[];
  /** Number of tasks that are done. */
  doneCount: number;
  /** Number and total duration in ms of done runs that were never slowed. */
  measuredRuns: number;
  measuredTotalMs: Millis;
}

/** One occurrence of a job. A job without a schedule has only number 0. */
export interface ActiveOccurrence {
  readonly number: number;
  readonly job: ActiveJob;
  readonly steps: ActiveStep[];
  /** Local time from which the latency objective counts. */
  readonly releasedAt: Millis;
}

/** Creates a task that was never started. */
function newTask(step: ActiveStep, index: number, now: Millis): ActiveTask {
  const {occurrence, number} = step;
  const key = {
    job: occurrence.job.submittedId,
    occurrence: occurrence.number,
    step: number,
  };
  return {
    name: taskName(key, index),
    index,
    step,
    isElsewhere: false,
    phase: TaskPhase.WAITING,
    attempt: 0,
    failures: [],
    crashes: [],
    checkpoint: '',
    failedOn: '',
    interferenceMoves: 0,
    notBefore: 0,
    readySince: now,
  };
}

/** A job that is not over or still has runs, with the state of its tasks. */
export class ActiveJob {
  phase: JobPhase = JobPhase.QUEUED;
  /** Whether any task was ever placed. */
  hasStarted = false;
  /** Number of the first occurrence that was not added yet. */
  nextOccurrence = 0;
  /** Wall-clock time of the final phase, in ms since 1970; 0 before it. */
  endedAt = 0;
  /** Number of times that the job was handed over to another shard. */
  handOvers = 0;
  /** Phase in the last state record; no record is needed for QUEUED. */
  publishedPhase: JobPhase = JobPhase.QUEUED;
  /** Occurrences that are not over, by number. */
  readonly occurrences = new Map<number, ActiveOccurrence>();
  /** Occurrence that is due and waits for earlier ones; -1 for none. */
  delayedOccurrence = -1;
  /** Whether it may be handed over; not once the log refused its hand-over. */
  canLeave = true;
  /** Local time until which its tasks are not started; 0 unless it is held. */
  heldUntil: Millis = 0;
  /** First ends since the last record of its progress, by worker. */
  private unstoredEnds = new Map<WorkerState, UnstoredEnd>();

  constructor(
    readonly id: string,
    readonly submission: SubmissionRecord,
    public queue: Queue,
    /** Local time of acceptance. */
    readonly acceptedAt: Millis,
    /** Position of the task if this is a detached task; undefined for a job. */
    readonly detached?: TaskKey,
    /** Whether a task of the job, by its name, has left it. */
    private readonly hasLeft: (task: string) => boolean = () => false,
  ) {}

  /** Id under which the caller submitted the job, also of a detached task. */
  get submittedId(): string {
    return this.detached?.job ?? this.id;
  }

  /** Adds an occurrence with tasks that were never started. */
  addOccurrence(number: number, now: Millis): ActiveOccurrence {
    const isScheduled = this.submission.shape.repeats > 0;
    const occurrence: ActiveOccurrence = {
      number,
      job: this,
      steps: [],
      releasedAt: isScheduled ? now : this.acceptedAt,
    };
    this.submission.shape.steps.forEach((shape, stepNumber) => {
      const step: ActiveStep = {
        number: stepNumber,
        shape,
        occurrence,
        tasks: [],
        doneCount: 0,
        measuredRuns: 0,
        measuredTotalMs: 0,
      };
      for (let index = 0; index < shape.count; index++) {
        const task = newTask(step, index, now);
        task.isElsewhere =
          this.detached === undefined
            ? this.hasLeft(task.name)
            : task.name !== this.id;
        step.tasks.push(task);
      }
      occurrence.steps.push(step);
    });
    this.occurrences.set(number, occurrence);
    this.nextOccurrence = Math.max(this.nextOccurrence, number + 1);
    return occurrence;
  }

  /**
   * Restores recorded progress. Returns the tasks that were placed on a worker,
   * with their records.
   */
  restore(record: ProgressRecord, now: Millis): [ActiveTask, TaskRecord][] {
    const placed: [ActiveTask, TaskRecord][] = [];
    this.phase = record.phase;
    this.hasStarted = record.hasStarted;
    this.endedAt = record.endedAt;
    for (const {number, steps} of record.occurrences) {
      const occurrence = this.addOccurrence(number, now);
      steps.forEach((tasks, stepNumber) =>
        tasks.forEach((task, index) => {
          const active = occurrence.steps[stepNumber].tasks[index];
          restoreTask(active, task);
          // The record may be older than the hand-over of a task that left, and
          // show it with a run that has ended since.
          if (active.isElsewhere && task.phase === TaskPhase.PLACED) {
            active.phase = TaskPhase.WAITING;
          } else if (task.phase === TaskPhase.PLACED) {
            placed.push([active, task]);
          }
        }),
      );
    }
    this.nextOccurrence = record.nextOccurrence;
    return placed;
  }

  /** Whether the schedule has occurrences that were not added yet. */
  get hasFutureOccurrences(): boolean {
    if (this.detached !== undefined) return false;
    return this.nextOccurrence < this.submission.shape.repeats;
  }

  /** All tasks of the occurrences that are not over. */
  *tasks(): Generator<ActiveTask> {
    for (const occurrence of this.occurrences.values()) {
      for (const step of occurrence.steps) yield* step.tasks;
    }
  }

  /** Returns the state to write to the log; undefined if it is written. */
  takeStateChange(): JobStateRecord | undefined {
    const {phase, hasStarted, endedAt} = this;
    if (phase === this.publishedPhase) return undefined;
    this.publishedPhase = phase;
    // Callers are told the state of the job that a detached task belongs to.
    const isPrivate = this.detached !== undefined && phase !== JobPhase.FAILED;
    return isPrivate ? undefined : {phase, hasStarted, endedAt};
  }

  /** Notes an end that no record shows yet. */
  addUnstoredEnd(worker: WorkerState, end: UnstoredEnd): void {
    const known = this.unstoredEnds.get(worker);
    const isFirst = known === undefined || end.sequence < known.sequence;
    if (isFirst || known.born !== end.born) this.unstoredEnds.set(worker, end);
  }

  /** First end on a worker that no record shows. */
  unstoredEnd(worker: WorkerState): UnstoredEnd | undefined {
    return this.unstoredEnds.get(worker);
  }

  /** Returns the ends that the next record shows, and forgets them. */
  takeUnstoredEnds(): UnstoredEnds {
    const ends = this.unstoredEnds;
    this.unstoredEnds = new Map();
    return ends;
  }

  /** Whether the job is over and has no runs left. */
  get isSettled(): boolean {
    if (!isFinal(this.phase)) return false;
    for (const task of this.tasks()) if (task.run) return false;
    return true;
  }

  /**
   * Returns the progress to write to the log. The tasks of a job that is over
   * tell a successor which runs to stop; without runs they are left out.
   */
  toRecord(): ProgressRecord {
    const occurrences = this.isSettled ? [] : [...this.occurrences.values()];
    return {
      phase: this.phase,
      hasStarted: this.hasStarted,
      nextOccurrence: this.nextOccurrence,
      occurrences: occurrences.map(toOccurrenceRecord),
      endedAt: this.endedAt,
      handOvers: this.handOvers,
    };
  }
}

function restoreTask(task: ActiveTask, record: TaskRecord): void {
  task.attempt = record.attempt;
  task.failures = task.step.shape.perpetual ? [] : record.failures;
  task.crashes = record.crashes;
  task.checkpoint = record.checkpoint;
  task.phase = record.phase;
  if (record.phase === TaskPhase.DONE) task.step.doneCount++;
}

function toOccurrenceRecord(occurrence: ActiveOccurrence): OccurrenceRecord {
  return {
    number: occurrence.number,
    steps: occurrence.steps.map(({tasks}) => tasks.map(toTaskRecord)),
  };
}

function toTaskRecord(task: ActiveTask): TaskRecord {
  return {
    phase: task.phase,
    attempt: task.attempt,
    failures: task.failures,
    crashes: task.crashes,
    worker: task.run?.worker.id ?? '',
    born: task.run?.born ?? 0,
    ...longLease(task.run),
    checkpoint: task.checkpoint,
  };
}

function longLease(run: Run | undefined): Pick<TaskRecord, 'longLeaseUntil'> {
  const longLeaseUntil = run?.longLeaseUntil;
  return longLeaseUntil === undefined ? {} : {longLeaseUntil};
}

/**
 * Returns the first record of a task that is detached from its job. Of the
 * other tasks it tells only which are done, as steps depend on them.
 */
export function detachedRecord(task: ActiveTask): ProgressRecord {
  const {occurrence} = task.step;
  const steps = occurrence.steps.map(({tasks}) =>
    tasks.map(other => {
      if (other === task) return toTaskRecord(task);
      const {phase} = other;
      return phase === TaskPhase.DONE ? toTaskRecord(other) : UNSTARTED_TASK;
    }),
  );
  return {
    phase: JobPhase.QUEUED,
    hasStarted: false,
    nextOccurrence: occurrence.number + 1,
    occurrences: [{number: occurrence.number, steps}],
    endedAt: 0,
    handOvers: 1,
  };
}

/** Whether two steps are the same one of a job, which may be split. */
export function isSameStep(a: ActiveStep, b: ActiveStep): boolean {
  if (a === b) return true;
  if (a.number !== b.number) return false;
  const {occurrence: first} = a;
  const {occurrence: second} = b;
  return (
    first.number === second.number &&
    first.job.submittedId === second.job.submittedId
  );
}

/** Number of a step's tasks that its job has to run. */
export function ownTaskCount({tasks}: ActiveStep): number {
  return tasks.reduce((count, task) => count + (task.isElsewhere ? 0 : 1), 0);
}

/** Number of a step's tasks that are not done. */
export function unfinishedTasks({tasks, doneCount}: ActiveStep): number {
  return tasks.length - doneCount;
}

/** Whether all tasks of a step are done. */
export function isStepDone(step: ActiveStep): boolean {
  return step.doneCount >= step.tasks.length;
}

/** Whether all steps that a step depends on are done. */
export function isStepReady(step: ActiveStep): boolean {
  const {steps} = step.occurrence;
  return step.shape.after.every(number => isStepDone(steps[number]));
}

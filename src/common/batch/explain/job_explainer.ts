import {Millis} from '../../base/clock.js';
import {
  ActiveJob,
  ActiveStep,
  ActiveTask,
  isStepDone,
  isStepReady,
} from '../active_job.js';
import {WeighedWorker} from '../candidate_workers.js';
import {ExpectedRoom} from '../lookahead/lookahead.js';
import {Reservation} from '../lookahead/reservation.js';
import {Scheduler} from '../scheduler.js';
import {JobShape, Queue} from '../types.js';
import {isUsable} from '../worker_exclusion.js';
import {WorkerState} from '../worker_state.js';
import {
  JobExplanation,
  RoomExplanation,
  StepExplanation,
  StepPlacement,
  StepState,
  WorkerExplanation,
} from './explanation.js';
import {PlacementPreview} from './placement_preview.js';

/**
 * Steps of a job that are previewed, at most, and the time after which no
 * further one is: that of a slice of a scan, as heartbeats wait as well. A step
 * took 1 to 40 ms with 490 workers and 3,060 waiting tasks (trial on a busy
 * machine; the longest are gangs).
 */
const MAX_PREVIEWED_STEPS = 4;
const PREVIEW_TIME_MS: Millis = 15;

/** Tasks of a step that are tried, at most, unless it is a gang. */
const MAX_TRIED_TASKS = 100;

/** Workers and tasks of a step that are listed, at most: a screenful. */
const MAX_LISTED = 20;

/** Decimal digits of costs; the smallest that matters is about 0.01. */
const COST_DIGITS = 4;

/** Explains what a scheduler would do with jobs now; changes none. */
export class JobExplainer {
  constructor(private readonly scheduler: Scheduler) {}

  /** Explains a job as if it were accepted now. */
  describe(id: string, queue: Queue, shape: JobShape): JobExplanation {
    const {state} = this.scheduler;
    const submission = {queue, acceptedAt: state.wallClock.now(), shape};
    const job = new ActiveJob(id, submission, queue, state.now());
    job.addOccurrence(0, state.now());
    const waiting = new Set<ActiveTask>();
    for (const task of job.tasks()) {
      if (isStepReady(task.step)) waiting.add(task);
    }
    return this.explain(job, waiting, false);
  }

  /** Explains a job of the scheduler. */
  explainStored(job: ActiveJob): JobExplanation {
    return this.explain(job, this.scheduler.state.waitingTasks, true);
  }

  private explain(
    job: ActiveJob,
    waitingTasks: ReadonlySet<ActiveTask>,
    isStored: boolean,
  ): JobExplanation {
    const {state} = this.scheduler;
    const waiting = groupBySteps(waitingTasks, job);
    const pause = this.pauseOf(job);
    const previewEnd = state.now() + PREVIEW_TIME_MS;
    let previewed = 0;
    const steps: StepExplanation[] = [];
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.steps) {
        const tasks = waiting.get(step) ?? [];
        const due = tasks.filter(({notBefore}) => notBefore <= state.now());
        const isInTime = previewed === 0 || state.now() < previewEnd;
        const isPreviewed =
          due.length > 0 && isInTime && previewed < MAX_PREVIEWED_STEPS;
        if (isPreviewed) previewed++;
        steps.push({
          occurrence: occurrence.number,
          step: step.number,
          state: stepState(step, tasks, due),
          tasks: step.tasks.length,
          waiting: tasks.length,
          ...(isPreviewed && {placement: this.preview(step, due)}),
        });
      }
    }
    return {
      id: job.id,
      queue: job.queue.name,
      priority: job.queue.priority,
      shard: state.shard,
      epoch: state.epoch,
      isStored,
      ...(pause !== undefined && {pause}),
      steps,
      workers: state.workers.size,
      ...this.reportAges(),
    };
  }

  private pauseOf(job: ActiveJob): string | undefined {
    const {state} = this.scheduler;
    if (!state.placesTasks) return 'The fleet is being divided into shards.';
    if (job.heldUntil === 0) return undefined;
    return 'A record of the job is not stored yet; its tasks are held.';
  }

  private preview(step: ActiveStep, due: readonly ActiveTask[]): StepPlacement {
    const {state} = this.scheduler;
    const now = state.now();
    const tried = step.shape.gang ? due : due.slice(0, MAX_TRIED_TASKS);
    const preview = this.scheduler.preview(step, tried, MAX_LISTED);
    const excluded = Object.values(preview.excluded);
    const reservation = reservationOf(preview, now);
    return {
      rank: Math.round(preview.rank),
      stepsAhead: preview.stepsAhead,
      tasksAhead: preview.tasksAhead,
      isLate: state.timePredictor.isLate(step, now),
      slackMs: Math.round(state.timePredictor.slack(step, now)),
      isForced: preview.isForced,
      tried: tried.length,
      placed: preview.chosen.size,
      chosen: [...preview.chosen]
        .slice(0, MAX_LISTED)
        .map(([task, worker]) => ({task: task.name, worker: worker.id})),
      candidates:
        state.workers.size - excluded.reduce((sum, count) => sum + count, 0),
      weighed: preview.weighed.map(weighed => explainWorker(weighed, now)),
      excluded: preview.excluded,
      ...(reservation !== undefined && {reservation}),
    };
  }

  private reportAges(): Pick<JobExplanation, 'reportAges'> {
    const {state} = this.scheduler;
    const now = state.now();
    const ages = [...state.workers.values()]
      .filter(worker => isUsable(worker, now))
      .map(({lastResponseAt}) => Math.round(now - lastResponseAt))
      .sort((a, b) => a - b);
    if (ages.length === 0) return {};
    const medianMs = ages[Math.floor(ages.length / 2)];
    const oldestMs = ages[ages.length - 1];
    return {reportAges: {usable: ages.length, medianMs, oldestMs}};
  }
}

/** Waiting tasks of a job by step, in the order in which a scan tries them. */
function groupBySteps(
  waitingTasks: ReadonlySet<ActiveTask>,
  job: ActiveJob,
): ReadonlyMap<ActiveStep, ActiveTask[]> {
  const groups = new Map<ActiveStep, ActiveTask[]>();
  for (const task of waitingTasks) {
    if (task.step.occurrence.job !== job) continue;
    const tasks = groups.get(task.step);
    if (tasks === undefined) groups.set(task.step, [task]);
    else tasks.push(task);
  }
  return groups;
}

function stepState(
  step: ActiveStep,
  waiting: readonly ActiveTask[],
  due: readonly ActiveTask[],
): StepState {
  if (due.length > 0) return StepState.WAITING;
  if (waiting.length > 0) return StepState.DELAYED;
  if (isStepDone(step)) return StepState.DONE;
  return isStepReady(step) ? StepState.STARTED : StepState.BLOCKED;
}

function explainWorker(
  {worker, cost, parts, obstacle}: WeighedWorker,
  now: Millis,
): WorkerExplanation {
  return {
    worker: worker.id,
    dataCentre: worker.dataCentre,
    rack: worker.rack,
    free: worker.free,
    cost: roundCost(cost),
    parts: Object.fromEntries(
      Object.entries(parts).map(([part, value]) => [part, roundCost(value)]),
    ),
    ...(obstacle !== undefined && {obstacle}),
    reportAgeMs: Math.round(now - worker.lastResponseAt),
  };
}

/** The reservation of a step, or the one that it would get. */
function reservationOf(
  {reservation, expectedRoom}: PlacementPreview,
  now: Millis,
): RoomExplanation | undefined {
  if (reservation !== undefined) return madeRoom(reservation, now);
  return expectedRoom === undefined ? undefined : dueRoom(expectedRoom, now);
}

function madeRoom(
  {slots, expectedAt}: Reservation,
  now: Millis,
): RoomExplanation {
  const expectedInMs = Math.round(expectedAt - now);
  return {workers: workerIds(slots), expectedInMs};
}

function dueRoom(
  {slots, at, dueInMs}: ExpectedRoom,
  now: Millis,
): RoomExplanation {
  return {
    workers: workerIds(slots),
    expectedInMs: Math.round(at - now),
    dueInMs: Math.round(dueInMs),
  };
}

function workerIds(slots: ReadonlyMap<WorkerState, number>): string[] {
  return [...slots.keys()].map(({id}) => id);
}

function roundCost(cost: number): number | null {
  return Number.isFinite(cost) ? Number(cost.toFixed(COST_DIGITS)) : null;
}

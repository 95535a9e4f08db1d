import {Millis, SECOND} from '../base/clock.js';
import {
  ActiveJob,
  ActiveStep,
  ActiveTask,
  isStepDone,
  ownTaskCount,
} from './active_job.js';
import {Room, roomOf} from './room.js';
import {SchedulerState} from './scheduler_state.js';
import {ShardLoad} from './shard_layout.js';
import {stepRank} from './step_rank.js';
import {isUsable} from './worker_exclusion.js';

/** Time that a perpetual task, which doesn't end, counts as running. */
const PERPETUAL_RUN_TIME_MS: Millis = 10 * SECOND;

/** Processors assumed for a shard without usable workers, in millicores. */
const MIN_CPU_MILLI = 1000;

/** Waiting tasks of a job that end by themselves. */
export interface WaitingJob {
  readonly job: ActiveJob;
  /** Lowest rank of the steps; jobs with the lowest are started first. */
  rank: number;
  /** Expected work of the tasks, in ms of one core. */
  workMs: Millis;
  /** Local time since which the first of the tasks has been waiting. */
  waitingSince: Millis;
}

/** Load of a shard, with the processors that its usable workers have. */
export interface DetailedLoad extends ShardLoad {
  readonly demand: number;
  readonly reserved: number;
  readonly room: Room;
  readonly cpuMilli: number;
}

/** Estimates the work of the tasks that wait in a shard. */
export class WaitingWork {
  constructor(private readonly state: SchedulerState) {}

  /** Load of the shard without the jobs that `isLeaving` selects. */
  load(isLeaving: (job: ActiveJob) => boolean, now: Millis): DetailedLoad {
    let workMs = 0;
    let bestEffortMilli = 0;
    let reservedMilli = 0;
    for (const [step, tasks] of this.countBySteps()) {
      if (isLeaving(step.occurrence.job)) continue;
      workMs += tasks * this.taskWork(step);
      const {fills, cpuMilli} = step.shape;
      if (fills) bestEffortMilli += tasks * cpuMilli;
      else reservedMilli += tasks * cpuMilli;
    }
    const workers = [...this.state.workers.values()].filter(worker =>
      isUsable(worker, now),
    );
    let cpuMilli = 0;
    for (const worker of workers) {
      cpuMilli += worker.capacity.cpuMilli;
      reservedMilli += worker.reserved.cpuMilli;
      bestEffortMilli += worker.bestEffortCpuMilli;
    }
    const capacity = Math.max(MIN_CPU_MILLI, cpuMilli);
    const backlogMs = (workMs * 1000) / capacity;
    const demand = (reservedMilli + bestEffortMilli) / capacity;
    const reserved = reservedMilli / capacity;
    const usableWorkers = workers.length;
    const room = roomOf(workers);
    return {backlogMs, usableWorkers, demand, reserved, room, cpuMilli};
  }

  /** Expected work of a job's waiting tasks, in ms of one core. */
  ofJob(job: ActiveJob): Millis {
    let workMs = 0;
    for (const task of job.tasks()) {
      if (this.state.waitingTasks.has(task)) workMs += this.taskWork(task.step);
    }
    return workMs;
  }

  /** Expected work of a task, in ms of one core. */
  ofTask({step}: ActiveTask): Millis {
    return this.taskWork(step);
  }

  /** Jobs with waiting tasks that end, in the order of their start. */
  inOrder(now: Millis): WaitingJob[] {
    const jobs = new Map<ActiveJob, WaitingJob>();
    let lastStep: ActiveStep | undefined;
    for (const task of this.state.waitingTasks) {
      const {step} = task;
      if (step.shape.perpetual) continue;
      const waiting = this.entryOf(task, jobs);
      waiting.workMs += this.taskWork(step);
      waiting.waitingSince = Math.min(waiting.waitingSince, task.readySince);
      if (step === lastStep) continue;
      lastStep = step;
      const rank = stepRank(step, this.state.timePredictor, now);
      waiting.rank = Math.min(waiting.rank, rank);
    }
    return [...jobs.values()].sort((a, b) => a.rank - b.rank);
  }

  private entryOf(
    task: ActiveTask,
    jobs: Map<ActiveJob, WaitingJob>,
  ): WaitingJob {
    const {job} = task.step.occurrence;
    let waiting = jobs.get(job);
    if (waiting === undefined) {
      waiting = {job, rank: Infinity, workMs: 0, waitingSince: Infinity};
      jobs.set(job, waiting);
    }
    return waiting;
  }

  /** Numbers of waiting tasks by step. */
  private countBySteps(): Map<ActiveStep, number> {
    const counts = new Map<ActiveStep, number>();
    for (const {step} of this.state.waitingTasks) {
      counts.set(step, (counts.get(step) ?? 0) + 1);
    }
    return counts;
  }

  /** Expected work of a task, in ms of one core. */
  private taskWork(step: ActiveStep): Millis {
    const {perpetual, cpuMilli} = step.shape;
    const runTimeMs = perpetual
      ? PERPETUAL_RUN_TIME_MS
      : this.state.timePredictor.expectedRunTime(step);
    return (runTimeMs * cpuMilli) / 1000;
  }
}

/** Steps of a job that are not done and have tasks that are its own. */
export function unfinishedSteps(job: ActiveJob): ActiveStep[] {
  const steps: ActiveStep[] = [];
  for (const occurrence of job.occurrences.values()) {
    for (const step of occurrence.steps) {
      if (!isStepDone(step) && ownTaskCount(step) > 0) steps.push(step);
    }
  }
  return steps;
}

/** Whether a task of a job has a run whose end is not known. */
export function hasRun(job: ActiveJob): boolean {
  for (const task of job.tasks()) if (task.run) return true;
  return false;
}

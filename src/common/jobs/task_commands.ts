import {Millis} from '../base/clock.js';
import {ActiveTask, TaskPhase} from './active_job.js';
import {SchedulerState} from './scheduler_state.js';
import {SchedulerAction, TaskId} from './types.js';

/** Stops a task. The stop is repeated while a status shows the task running. */
export function* stopTask(
  state: SchedulerState,
  task: ActiveTask,
  now: Millis,
): Generator<SchedulerAction> {
  task.phase = TaskPhase.STOPPING;
  yield* stopTaskById(state, task.worker, task.id, now);
}

/** Stops a task that the scheduler does not track. */
export function* stopTaskById(
  state: SchedulerState,
  worker: string,
  task: TaskId,
  now: Millis,
): Generator<SchedulerAction> {
  if (state.mayAct(now)) yield {kind: 'stop-task', worker, task};
}

/** Lets a worker discard an outcome; repeated while a status lists the task. */
export function* forgetTask(
  state: SchedulerState,
  worker: string,
  task: TaskId,
  now: Millis,
): Generator<SchedulerAction> {
  if (state.mayAct(now)) yield {kind: 'forget-task', worker, task};
}

/** Requests a checkpoint of a task that is being evicted. */
export function* checkpointTask(
  state: SchedulerState,
  task: ActiveTask,
  now: Millis,
): Generator<SchedulerAction> {
  if (!state.mayAct(now)) return;
  yield {kind: 'checkpoint-task', worker: task.worker, task: task.id};
}

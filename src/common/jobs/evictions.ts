import {Millis, SECOND} from '../base/clock.js';
import {TaskStatus} from '../base/platform.js';
import {ActiveJob, ActiveTask, TaskPhase} from './active_job.js';
import {InterferenceTask} from './interference_controller.js';
import {SchedulerState} from './scheduler_state.js';
import {checkpointTask, stopTask} from './task_commands.js';
import {SchedulerAction, SchedulerMessage} from './types.js';
import {WorkerEntry} from './worker_entry.js';

type Interference = Extract<SchedulerMessage, {kind: 'interference'}>;

/** Eviction limit of a job whose class is not configured. */
const DEFAULT_MAX_EVICTIONS = 3;

/** How long an eviction waits for a checkpoint. */
const CHECKPOINT_TIMEOUT_MS: Millis = 10 * SECOND;

function isEvictable(state: SchedulerState, job: ActiveJob): boolean {
  const {jobClasses} = state.configuration;
  const {jobClass} = job.submission;
  const limit = Object.hasOwn(jobClasses, jobClass)
    ? jobClasses[jobClass].maxEvictions
    : DEFAULT_MAX_EVICTIONS;
  return job.evictions < limit;
}

/** Running tasks of a worker, as input of the interference controller. */
function interferenceTasks(
  state: SchedulerState,
  worker: WorkerEntry,
): InterferenceTask[] {
  const tasks: InterferenceTask[] = [];
  for (const task of worker.tasks.values()) {
    const job = state.jobs.get(task.job);
    if (job === undefined || task.phase !== TaskPhase.RUNNING) continue;
    tasks.push({
      task: task.id,
      share: task.share,
      evictable: isEvictable(state, job),
      workLostMs:
        Math.max(0, task.progress - task.checkpoint) * job.submission.runMs,
    });
  }
  return tasks;
}

/** Throttles or evicts tasks in reaction to an interference measurement. */
export function* onInterference(
  state: SchedulerState,
  message: Interference,
  now: Millis,
): Generator<SchedulerAction> {
  const worker = state.workers.get(message.worker);
  if (worker === undefined || !state.mayAct(now)) return;
  const decisions = state.interferenceController.onMeasurement(
    worker.id,
    message.slowdown,
    message.measuredAt,
    interferenceTasks(state, worker),
    now,
  );
  state.placementNeeded = true;
  for (const decision of decisions) {
    const task = worker.tasks.get(decision.task);
    if (task === undefined) continue;
    if (decision.kind === 'evict') yield* evict(state, task, now);
    else yield* throttle(task, decision.share);
  }
}

function* throttle(
  task: ActiveTask,
  share: number,
): Generator<SchedulerAction> {
  task.share = share;
  yield {kind: 'throttle-task', worker: task.worker, task: task.id, share};
}

/** Begins an eviction: requests a checkpoint; the stop follows. */
export function* evict(
  state: SchedulerState,
  task: ActiveTask,
  now: Millis,
): Generator<SchedulerAction> {
  if (!state.mayAct(now) || task.phase !== TaskPhase.RUNNING) return;
  task.phase = TaskPhase.CHECKPOINTING;
  task.evicting = true;
  task.requestedAt = now;
  yield* checkpointTask(state, task, now);
}

/**
 * Advances the eviction of a task that a worker status still shows running:
 * stops it once a checkpoint keeps the new work, else requests the checkpoint
 * again.
 */
export function* continueEviction(
  state: SchedulerState,
  job: ActiveJob,
  task: ActiveTask,
  report: {readonly sentAt: Millis},
  status: TaskStatus,
  now: Millis,
): Generator<SchedulerAction> {
  if (report.sentAt < task.requestedAt) return;
  const checkpointed =
    status.checkpoint > job.checkpoint &&
    (status.checkpoint > task.checkpoint ||
      status.checkpoint >= status.progress);
  const timedOut = now - task.requestedAt >= CHECKPOINT_TIMEOUT_MS;
  if (task.phase === TaskPhase.STOPPING || checkpointed) {
    yield* stopTask(state, task, now);
  } else if (!timedOut) {
    yield* checkpointTask(state, task, now);
  } else if (job.submission.idempotent) {
    yield* stopTask(state, task, now);
  } else {
    // Abandons the eviction: without a checkpoint, stopping non-idempotent work
    // would lose it or have it done twice.
    task.phase = TaskPhase.RUNNING;
    task.evicting = false;
  }
}

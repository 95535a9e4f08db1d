import {Millis} from '../base/clock.js';
import {ActiveTask, TaskPhase} from './active_job.js';
import {SchedulerState} from './scheduler_state.js';
import {expireTask} from './task_endings.js';
import {SchedulerAction, TaskId} from './types.js';
import {WorkerEntry} from './worker_entry.js';

/**
 * Poll intervals without an answer after which leases are no longer renewed. A
 * renewal may arrive although its answer is lost, so the leases of a worker
 * could never be treated as expired while renewals are sent to it.
 */
const MAX_UNANSWERED_POLLS = 3;

/** Number of poll offsets within the poll interval. */
const POLL_OFFSET_STEPS = 1000;

/**
 * Whether a task's lease is renewed. Leases of unconfirmed starts, of missing
 * tasks and of tasks that are being cancelled are left to expire.
 */
function isRenewable(task: ActiveTask): boolean {
  if (!task.wasReported || task.missing) return false;
  return task.phase !== TaskPhase.STOPPING || task.evicting;
}

/** Extends the leases of a worker's tasks; returns the ends on its clock. */
function renewLeases(
  state: SchedulerState,
  worker: WorkerEntry,
  now: Millis,
): Record<TaskId, Millis> {
  const leases: Record<TaskId, Millis> = {};
  const maxAgeMs = MAX_UNANSWERED_POLLS * state.settings.timing.pollMs;
  if (!worker.hasResponded(now, maxAgeMs)) return leases;
  const localEnd = now + state.settings.timing.taskLeaseMs;
  const leaseUntilMs = worker.clock.lowerBound(localEnd);
  for (const task of worker.tasks.values()) {
    if (!isRenewable(task) || leaseUntilMs <= task.leaseUntilMs) continue;
    leases[task.id] = leaseUntilMs;
    task.leaseUntilMs = leaseUntilMs;
    task.leaseExpiresAt = Math.max(task.leaseExpiresAt, now + state.maxLeaseMs);
  }
  return leases;
}

/** Hashes a worker id to a fraction of the poll interval, from 0 to below 1. */
function pollOffset(id: string): number {
  let hash = 0;
  for (let i = 0; i < id.length; i++) {
    hash = (hash * 31 + id.charCodeAt(i)) % POLL_OFFSET_STEPS;
  }
  return hash / POLL_OFFSET_STEPS;
}

/** Polls the workers that are due and renews the leases of their tasks. */
export function* pollDueWorkers(
  state: SchedulerState,
  now: Millis,
): Generator<SchedulerAction> {
  if (!state.mayAct(now)) return;
  const {pollMs} = state.settings.timing;
  for (const worker of state.workers.values()) {
    if (worker.instance === undefined && worker.tasks.size === 0) continue;
    if (now < worker.nextPollAt) continue;
    // The first poll of a term is sent at once, for reconciliation. The second
    // one follows after half to a whole interval, so that polls spread out.
    const isFirstPoll = worker.nextPollAt === -Infinity;
    const waitMs = isFirstPoll
      ? pollMs * (0.5 + pollOffset(worker.id) / 2)
      : pollMs;
    worker.nextPollAt = now + waitMs;
    const leases = renewLeases(state, worker, now);
    yield {kind: 'poll', worker: worker.id, leases};
  }
}

/** Ends tasks of unresponsive workers once their leases must have expired. */
export function endExpiredTasks(state: SchedulerState, now: Millis): void {
  const maxAgeMs = MAX_UNANSWERED_POLLS * state.settings.timing.pollMs;
  for (const worker of state.workers.values()) {
    if (worker.tasks.size === 0 || worker.hasResponded(now, maxAgeMs)) continue;
    for (const task of [...worker.tasks.values()]) {
      const job = state.jobs.get(task.job);
      const wasSent = task.startSentAt !== Infinity;
      if (job === undefined || !wasSent || now < task.leaseExpiresAt) continue;
      expireTask(state, job, task, task.checkpoint);
    }
  }
}

/** Notes a failed poll or connection; the worker then gets no new tasks. */
// eslint-disable-next-line require-yield
export function* onWorkerUnreachable(
  state: SchedulerState,
  {worker}: {readonly worker: string},
  now: Millis,
): Generator<SchedulerAction> {
  const entry = state.workers.get(worker);
  if (entry !== undefined) entry.unreachableAt = now;
}

import {Millis} from '../base/clock.js';
import {ActiveStep, ActiveTask} from './active_job.js';
import {RESERVE_WAIT_IN_SHORTAGE_MS} from './candidate_workers.js';
import {JobTimePredictor} from './job_time_predictor.js';

/**
 * Rank per priority level, and the penalty added to the rank of late jobs, both
 * in ms of remaining work on one core. Remaining work is capped at half of
 * LATE_PENALTY, so it never outweighs either.
 */
export const PRIORITY_WEIGHT = 1e9;
const LATE_PENALTY = 1e8;

/** Rank of perpetual tasks that waited too long: before all others. */
export const STARVED_RANK = -PRIORITY_WEIGHT;

/**
 * Rank of a step; the lowest is served first. Steps are ordered by priority,
 * then by the least remaining work, so that as many jobs as possible are in
 * time under overload. Late jobs come after those that can still be in time,
 * the most overdue one first. Perpetual steps come after all other jobs of
 * their priority, the one with the least slack first.
 */
export function stepRank(
  step: ActiveStep,
  timePredictor: JobTimePredictor,
  now: Millis,
): number {
  const {job} = step.occurrence;
  const {priority} = job.queue;
  if (step.shape.perpetual) {
    return (priority + 1) * PRIORITY_WEIGHT + timePredictor.slack(step, now);
  }
  if (!timePredictor.isLate(step, now)) {
    return priority * PRIORITY_WEIGHT + timePredictor.remainingWork(job, now);
  }
  return (
    priority * PRIORITY_WEIGHT + LATE_PENALTY + timePredictor.slack(step, now)
  );
}

/**
 * Whether a perpetual task has waited too long. Otherwise, smaller short tasks
 * would take all capacity before enough of it is free on one worker.
 */
export function isStarved(
  {shape}: ActiveStep,
  tasks: readonly ActiveTask[],
  now: Millis,
): boolean {
  if (!shape.perpetual) return false;
  return tasks.some(
    task => now - task.readySince > RESERVE_WAIT_IN_SHORTAGE_MS,
  );
}

import {Millis} from '../base/clock.js';
import {ActiveStep, isSameStep} from './active_job.js';
import {WorkerState} from './worker_state.js';

/** Age of the last renewal response up to which a worker gets new runs. */
const MAX_RESPONSE_AGE_MS: Millis = 2500;

/** Why a worker gets no task of a step; the first one that applies counts. */
export const ExclusionReason = {
  /** It is missing from the list of workers. */
  UNLISTED: 'unlisted',
  DRAINING: 'draining',
  /** The operator has asked to evacuate its data centre. */
  EVACUATED: 'evacuated',
  /** A record says that it is lost. */
  LOST: 'lost',
  /** Its last response is too old, or had no report. */
  SILENT: 'silent',
  QUARANTINED: 'quarantined',
  /** Runs that no task expects there use resources until they have stopped. */
  STRAY_RUNS: 'strayRuns',
  /** The listed incarnation is not the one that responds. */
  INCARNATION: 'incarnation',
  SERVICE: 'service',
  LABEL: 'label',
  /** It is on probation and has a run that tests it, or waits for another. */
  PROBATION: 'probation',
  PROCESSORS: 'processors',
  MEMORY: 'memory',
  GPUS: 'gpus',
  /** Its runs need more than it has since its capacity has shrunk. */
  SHRUNK: 'shrunk',
  /** It has as many tasks of the step as the step allows on a worker. */
  LIMIT: 'limit',
} as const;
export type ExclusionReason =
  (typeof ExclusionReason)[keyof typeof ExclusionReason];

/** Why no run may be placed on a worker; undefined if it is usable. */
export function unusableReason(
  worker: WorkerState,
  now: Millis,
): ExclusionReason | undefined {
  const {listing} = worker;
  if (listing === undefined) return ExclusionReason.UNLISTED;
  if (worker.isDraining) return ExclusionReason.DRAINING;
  if (worker.isEvacuated) return ExclusionReason.EVACUATED;
  if (worker.isRecordedAsLost) return ExclusionReason.LOST;
  if (
    !worker.isResponsive ||
    now - worker.lastResponseAt > MAX_RESPONSE_AGE_MS
  ) {
    return ExclusionReason.SILENT;
  }
  if (worker.quarantinedUntil > now) return ExclusionReason.QUARANTINED;
  if (worker.hasStrayRuns) return ExclusionReason.STRAY_RUNS;
  return worker.born === listing.born ? undefined : ExclusionReason.INCARNATION;
}

/** Whether new runs may be placed on a worker. */
export function isUsable(worker: WorkerState, now: Millis): boolean {
  return unusableReason(worker, now) === undefined;
}

/** Why a worker may not run a step whatever it has free, if so. */
export function unsuitableReason(
  {shape, occurrence}: ActiveStep,
  {listing}: WorkerState,
): ExclusionReason | undefined {
  if (listing === undefined) return ExclusionReason.UNLISTED;
  const {service, labels} = listing;
  if (service !== occurrence.job.queue.service) return ExclusionReason.SERVICE;
  const {requiredLabel} = shape;
  const isLabelled = requiredLabel === '' || labels.includes(requiredLabel);
  return isLabelled ? undefined : ExclusionReason.LABEL;
}

/**
 * Why a start that was decided must not be sent any more, if so. What is true
 * when a task is placed may have changed while its start is stored or repeated.
 */
export function startObstacle(
  step: ActiveStep,
  worker: WorkerState,
): ExclusionReason | undefined {
  if (worker.isDraining) return ExclusionReason.DRAINING;
  if (worker.isEvacuated) return ExclusionReason.EVACUATED;
  const reason = unsuitableReason(step, worker);
  if (reason !== undefined) return reason;
  return worker.hasCapacityForRuns ? undefined : ExclusionReason.SHRUNK;
}

/** Why a worker has no room for one more task of a step, if it hasn't. */
export function noRoomReason(
  step: ActiveStep,
  worker: WorkerState,
): ExclusionReason | undefined {
  const reason = unsuitableReason(step, worker);
  if (reason !== undefined) return reason;
  const {shape} = step;
  const {reserved, capacity} = worker;
  if (worker.hasProbationRun) return ExclusionReason.PROBATION;
  if (worker.perpetualTestsUntil > 0 && !shape.perpetual) {
    return ExclusionReason.PROBATION;
  }
  const cpu = shape.fills ? 0 : shape.cpuMilli;
  if (reserved.cpuMilli + cpu > capacity.cpuMilli) {
    return ExclusionReason.PROCESSORS;
  }
  if (reserved.memoryMb + shape.memoryMb > capacity.memoryMb) {
    return ExclusionReason.MEMORY;
  }
  const isShortOfGpus = reserved.gpus + shape.gpus > capacity.gpus;
  return isShortOfGpus ? ExclusionReason.GPUS : undefined;
}

/** Whether a worker has capacity for one more task of a step. */
export function hasRoom(step: ActiveStep, worker: WorkerState): boolean {
  return noRoomReason(step, worker) === undefined;
}

/** Whether the step's limit of tasks per worker allows one more. */
export function isUnderLimit(step: ActiveStep, worker: WorkerState): boolean {
  const {maxPerWorker} = step.shape;
  if (maxPerWorker === 0) return true;
  let count = 0;
  for (const run of worker.runs.values()) {
    if (isSameStep(run.task.step, step)) count++;
  }
  return count < maxPerWorker;
}

/** Why a worker gets no task of a step; undefined if it could get one. */
export function exclusionReason(
  step: ActiveStep,
  worker: WorkerState,
  now: Millis,
): ExclusionReason | undefined {
  const reason = unusableReason(worker, now) ?? noRoomReason(step, worker);
  if (reason !== undefined) return reason;
  return isUnderLimit(step, worker) ? undefined : ExclusionReason.LIMIT;
}

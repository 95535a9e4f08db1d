import {JobShape, StepShape} from '../types.js';

/**
 * Memory in bytes of what an instance keeps of a job that is not over, by part.
 * Every instance has the job and its steps; its scheduler also has its tasks.
 */
const JOB_BYTES = 1800;
const STEP_BYTES = 500;
const TASK_BYTES = 400;

/** Memory of an occurrence beside its tasks, in bytes. */
const OCCURRENCE_BYTES = 500;

/** Memory of a job that is over, and of each of its steps, in bytes. */
const ENDED_JOB_BYTES = 900;
const ENDED_STEP_BYTES = 300;

/** A text takes two bytes for each character unless it is Latin text. */
const CHARACTER_BYTES = 2;
const NUMBER_BYTES = 8;

/**
 * Estimates the memory that a job takes until it is over, in bytes.
 *
 * @param shards of the fleet, over whose schedulers the tasks are spread.
 */
export function jobBytes({spec, steps}: JobShape, shards = 1): number {
  let bytes = JOB_BYTES + textBytes(spec);
  for (const step of steps) {
    bytes += STEP_BYTES + listBytes(step);
    bytes += (step.count * TASK_BYTES) / shards;
  }
  return Math.ceil(bytes);
}

/** Estimates the memory of a job that is over, in bytes. */
export function endedJobBytes({steps}: JobShape): number {
  let bytes = ENDED_JOB_BYTES;
  for (const step of steps) bytes += ENDED_STEP_BYTES + listBytes(step);
  return bytes;
}

/** Estimates the memory of one more occurrence of a job, in bytes. */
export function occurrenceBytes({steps}: JobShape): number {
  let bytes = OCCURRENCE_BYTES;
  for (const {count} of steps) bytes += STEP_BYTES + count * TASK_BYTES;
  return bytes;
}

/** Memory of a step's lists and texts, in bytes. */
function listBytes({after, image, requiredLabel, dataRack}: StepShape): number {
  return (
    after.length * NUMBER_BYTES +
    textBytes(image) +
    textBytes(requiredLabel) +
    textBytes(dataRack)
  );
}

/** Records of earlier versions may lack a text. */
function textBytes(text: string | undefined): number {
  return (text?.length ?? 0) * CHARACTER_BYTES;
}

import {Millis} from '../../base/clock.js';
import {TaskObstacle} from '../candidate_workers.js';
import {PlacementCostPart} from '../placement_cost_part.js';
import {Resources} from '../types.js';
import {ObstacleCounts} from './placement_preview.js';

/** Whether an instance would store a job that is submitted to it. */
export interface Admission {
  readonly isAdmitted: boolean;
  /** HTTP status of the response to the submission. */
  readonly status: number;
  readonly reason: string;
}

/**
 * Ages of what an instance has read from the store, in ms; null for what it
 * does not follow or has not read.
 */
export interface ViewAges {
  /** Version of the configuration in force; null before the first. */
  readonly configurationVersion: number | null;
  readonly configurationMs: Millis | null;
  readonly intakeMs: Millis | null;
  readonly statesMs: Millis | null;
  /** List of workers; only the instances of schedulers follow it. */
  readonly workerListMs: Millis | null;
}

/** A worker with capacity for a task. */
export interface WorkerExplanation {
  readonly worker: string;
  readonly dataCentre: string;
  readonly rack: string;
  /** Resources that no run reserves. */
  readonly free: Resources;
  /** Lower is better; null if it is infinite. */
  readonly cost: number | null;
  readonly parts: Readonly<Partial<Record<PlacementCostPart, number | null>>>;
  /** Why the task would not be placed there whatever the cost, if so. */
  readonly obstacle?: TaskObstacle;
  /** Time since the worker's last report. */
  readonly reportAgeMs: Millis;
}

/** Room that is or would be kept free for a step. */
export interface RoomExplanation {
  readonly workers: readonly string[];
  /** Time until the room is expected; negative once that is over. */
  readonly expectedInMs: Millis;
  /** Time until the reservation would be made; absent if it is made. */
  readonly dueInMs?: Millis;
}

/** What a scan would do with a step now if it came first. */
export interface StepPlacement {
  readonly rank: number;
  readonly stepsAhead: number;
  readonly tasksAhead: number;
  /** Whether the job is unlikely to meet its objective. */
  readonly isLate: boolean;
  /** Time that it may wait without missing it. */
  readonly slackMs: Millis;
  readonly isForced: boolean;
  /** Tasks that were tried. */
  readonly tried: number;
  /** Number of them that would be placed, and where the first ones would be. */
  readonly placed: number;
  readonly chosen: readonly {readonly task: string; readonly worker: string}[];
  /** Number of workers with capacity, of which the best are listed. */
  readonly candidates: number;
  readonly weighed: readonly WorkerExplanation[];
  readonly excluded: ObstacleCounts;
  readonly reservation?: RoomExplanation;
}

/** State of a step of a job. */
export const StepState = {
  WAITING: 'waiting',
  /** Its tasks wait after a refused start. */
  DELAYED: 'delayed',
  /** Earlier steps are not done. */
  BLOCKED: 'blocked',
  /** No task waits: they run, or are with another shard. */
  STARTED: 'started',
  DONE: 'done',
} as const;
export type StepState = (typeof StepState)[keyof typeof StepState];

/** A step of an occurrence of a job. */
export interface StepExplanation {
  readonly occurrence: number;
  readonly step: number;
  readonly state: StepState;
  readonly tasks: number;
  readonly waiting: number;
  /** Only for the first steps with waiting tasks. */
  readonly placement?: StepPlacement;
}

/** What the scheduler of a shard would do with a job now. */
export interface JobExplanation {
  readonly id: string;
  readonly queue: string;
  readonly priority: number;
  readonly shard: string;
  readonly epoch: number;
  /** Whether the job is stored; otherwise it is only described. */
  readonly isStored: boolean;
  /** Why the scheduler starts no task of it at present, if so. */
  readonly pause?: string;
  readonly steps: readonly StepExplanation[];
  /** Workers that the scheduler knows. */
  readonly workers: number;
  /** Ages of the last reports of the usable ones. */
  readonly reportAges?: {
    readonly usable: number;
    readonly medianMs: Millis;
    readonly oldestMs: Millis;
  };
}

/** Answer to a request to explain a job. */
export interface Explanation {
  readonly admission: Admission;
  /** Instance that was asked. */
  readonly askedInstance: string;
  /** Absent if the job would not be admitted. */
  readonly job?: JobExplanation;
  /** Instance of the scheduler, and the ages of what it has read. */
  readonly scheduler?: {readonly instance: string; readonly ages: ViewAges};
}

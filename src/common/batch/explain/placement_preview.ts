import {ActiveTask} from '../active_job.js';
import {WeighedWorker} from '../candidate_workers.js';
import {ExpectedRoom} from '../lookahead/lookahead.js';
import {Reservation} from '../lookahead/reservation.js';
import {ClosedReason} from '../placement_cost.js';
import {ExclusionReason} from '../worker_exclusion.js';
import {WorkerState} from '../worker_state.js';

/** Why a worker is no candidate for a step. */
export type WorkerObstacle = ExclusionReason | ClosedReason;

/** Numbers of workers by why they are no candidates. */
export type ObstacleCounts = Readonly<Partial<Record<WorkerObstacle, number>>>;

/** What a scan would do with waiting tasks of a step. */
export interface PlacementPreview {
  /** The lowest is served first. */
  readonly rank: number;
  /** Waiting steps, and their tasks, that are served before. */
  readonly stepsAhead: number;
  readonly tasksAhead: number;
  /** Whether a best-effort task is started regardless of interference. */
  readonly isForced: boolean;
  /** Workers with capacity for the first task, in order of preference. */
  readonly weighed: readonly WeighedWorker[];
  readonly excluded: ObstacleCounts;
  /** Workers that tasks would be placed on now. */
  readonly chosen: ReadonlyMap<ActiveTask, WorkerState>;
  readonly reservation: Reservation | undefined;
  /** Room that would be reserved for tasks that find none. */
  readonly expectedRoom: ExpectedRoom | undefined;
}

/** Counts workers by why they are no candidates; the others are left out. */
export function countObstacles(
  workers: Iterable<WorkerState>,
  obstacleOf: (worker: WorkerState) => WorkerObstacle | undefined,
): ObstacleCounts {
  const counts: Partial<Record<WorkerObstacle, number>> = {};
  for (const worker of workers) {
    const obstacle = obstacleOf(worker);
    if (obstacle !== undefined) counts[obstacle] = (counts[obstacle] ?? 0) + 1;
  }
  return counts;
}

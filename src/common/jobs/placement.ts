import {Size, dominantShare, fits, subtractSizes} from '../base/size.js';

/** A worker that tasks may be placed on. */
export interface CandidateWorker {
  readonly worker: string;
  readonly rack: string;
  /** Capacity that is free now. */
  readonly available: Size;
  /** Capacity of the worker less the reservations of its services. */
  readonly allocatable: Size;
}

/** Names of the placement strategies. */
export const PlacementPolicy = {
  BEST_FIT: 'best-fit',
  FIRST_FIT: 'first-fit',
} as const;
export type PlacementPolicy =
  (typeof PlacementPolicy)[keyof typeof PlacementPolicy];

/**
 * Chooses a worker among the candidates.
 *
 * @param tasksOnRack number of tasks that are placed on a rack.
 * @returns undefined if the size fits on no candidate.
 */
export type PlacementStrategy = (
  size: Size,
  candidates: Iterable<CandidateWorker>,
  tasksOnRack: (rack: string) => number,
) => CandidateWorker | undefined;

/** Largest difference between two shares that counts as a tie. */
const SHARE_TOLERANCE = 1e-6;

/**
 * Largest fraction of the worker, over all dimensions, that stays free when the
 * size is placed.
 */
function remainingShare(size: Size, candidate: CandidateWorker): number {
  return dominantShare(
    subtractSizes(candidate.available, size),
    candidate.allocatable,
  );
}

/** Leaves the least free; of equal workers, takes the rack with fewer tasks. */
const bestFit: PlacementStrategy = (size, candidates, tasksOnRack) => {
  let best: CandidateWorker | undefined;
  let bestShare = Infinity;
  for (const candidate of candidates) {
    if (!fits(size, candidate.available)) continue;
    const share = remainingShare(size, candidate);
    const tie = Math.abs(share - bestShare) <= SHARE_TOLERANCE;
    const better =
      best === undefined ||
      (tie
        ? tasksOnRack(candidate.rack) < tasksOnRack(best.rack)
        : share < bestShare);
    if (better) {
      best = candidate;
      bestShare = share;
    }
  }
  return best;
};

/** Takes the first candidate that the size fits on. */
const firstFit: PlacementStrategy = (size, candidates) => {
  for (const candidate of candidates) {
    if (fits(size, candidate.available)) return candidate;
  }
  return undefined;
};

/** Placement strategies by name. */
export const PLACEMENT_STRATEGIES: Readonly<
  Record<PlacementPolicy, PlacementStrategy>
> = {
  [PlacementPolicy.BEST_FIT]: bestFit,
  [PlacementPolicy.FIRST_FIT]: firstFit,
};

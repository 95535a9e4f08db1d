import {JobView, Submission, Tombstone} from './types.js';

/**
 * View of a job of which only a tombstone is left. The submission is that of the
 * repeated request, as the tombstone holds only its digest.
 */
export function viewOfTombstone(
  tombstone: Tombstone,
  submission: Submission,
): JobView {
  return {
    id: tombstone.id,
    state: tombstone.state,
    submission,
    submittedMs: tombstone.submittedMs,
    attempts: 0,
    evictions: 0,
    checkpoint: 0,
    reason: 'The result is no longer kept.',
    endedMs: tombstone.endedMs,
  };
}

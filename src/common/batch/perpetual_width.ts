import {isFinal} from './job_records.js';
import {SchedulerState} from './scheduler_state.js';
import {WHOLE_FLEET} from './shard_layout.js';

/**
 * Most workers that a perpetual step needs by its limit of tasks on a worker. In
 * a divided fleet, tasks that find too few leave for other shards.
 */
export function perpetualWidth({shard, jobs}: SchedulerState): number {
  if (shard !== WHOLE_FLEET) return 0;
  let width = 0;
  for (const {phase, submission} of jobs.values()) {
    if (isFinal(phase)) continue;
    for (const {perpetual, count, maxPerWorker} of submission.shape.steps) {
      if (!perpetual || maxPerWorker === 0) continue;
      width = Math.max(width, Math.ceil(count / maxPerWorker));
    }
  }
  return width;
}

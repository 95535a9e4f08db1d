import {ActiveJob, ActiveTask, newTask} from './active_job.js';
import {UnplaceableSizes} from './unplaceable_sizes.js';
import {CandidateWorker, PLACEMENT_STRATEGIES} from './placement.js';
import {SchedulerState, Term} from './scheduler_state.js';

/** Sets the reason, shown to operators, why a job stays queued. */
function markWaiting(job: ActiveJob, cause: string): false {
  job.reason = `Waits for ${cause}.`;
  return false;
}

/** Places queued jobs on workers, in one pass over the queue. */
export class PlacementPass {
  /** Jobs that were placed in this pass, with their new tasks. */
  readonly placed: Array<{job: ActiveJob; task: ActiveTask}> = [];
  private readonly unplaceable = new UnplaceableSizes();

  constructor(
    private readonly state: SchedulerState,
    private readonly term: Term,
    private readonly candidates: readonly CandidateWorker[],
  ) {}

  /** Creates a task of the job and allocates its capacity, if it fits. */
  tryPlace(job: ActiveJob): boolean {
    const {state} = this;
    const {size, idempotent} = job.submission;
    if (!idempotent && !state.logAvailable) return markWaiting(job, 'the log');
    if (!state.fairness.fitsQuota(job.team, size)) {
      return markWaiting(job, 'the quota of its team');
    }
    const candidate = this.chooseWorker(job);
    if (candidate === undefined) return markWaiting(job, 'a worker with room');
    const id = `${job.id}.${this.term.epoch}-${++this.term.lastTaskNumber}`;
    const {worker, rack} = candidate;
    if (!state.capacity.tryAllocate(worker, id, size)) return false;
    job.reason = undefined;
    const workerStart = state.getOrCreateWorker(worker).instance?.start;
    const task = newTask(job, id, {worker, rack, workerStart});
    state.addTask(task, job);
    job.attempts++;
    this.placed.push({job, task});
    return true;
  }

  private chooseWorker(job: ActiveJob): CandidateWorker | undefined {
    const {size} = job.submission;
    if (this.unplaceable.covers(size)) return undefined;
    const eligible =
      job.failedOn.size === 0
        ? this.candidates
        : this.candidates.filter(({worker}) => !job.failedOn.has(worker));
    const strategy = PLACEMENT_STRATEGIES[this.state.settings.placement];
    const chosen = strategy(
      size,
      eligible,
      rack => this.state.taskCountByRack.get(rack) ?? 0,
    );
    // If workers were excluded, the size may still fit for another job.
    if (chosen === undefined && eligible === this.candidates) {
      this.unplaceable.add(size);
    }
    return chosen;
  }
}

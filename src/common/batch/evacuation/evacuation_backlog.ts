import {Millis, SECOND} from '../../base/clock.js';
import {ActiveStep, ActiveTask} from '../active_job.js';
import {SchedulerState} from '../scheduler_state.js';
import {
  ExclusionReason,
  hasRoom,
  isUnderLimit,
  unusableReason,
} from '../worker_exclusion.js';
import {WorkerState} from '../worker_state.js';

/** Minimum time between two lines. */
const REPORT_INTERVAL_MS: Millis = SECOND;

/** Time for which a task waits before it counts; a scan may be under way. */
const MIN_WAIT_MS: Millis = 0.2 * SECOND;

/** Waiting steps that are looked at for a line; it bounds the cost. */
const MAX_STEPS = 50;

/**
 * Logs that tasks wait because the only workers with room for them are in
 * evacuated data centres.
 */
export class EvacuationBacklog {
  private reportedAt: Millis = -Infinity;

  constructor(private readonly state: SchedulerState) {}

  /** Logs a line if tasks wait for that reason, unless the last is recent. */
  run(): void {
    const {state} = this;
    if (state.evacuated.size === 0) return;
    const now = state.now();
    if (now - this.reportedAt < REPORT_INTERVAL_MS) return;
    this.reportedAt = now;
    const evacuated = [...state.workers.values()].filter(
      worker => unusableReason(worker, now) === ExclusionReason.EVACUATED,
    );
    const held = [...this.waitingSteps(now)].filter(([step]) =>
      evacuated.some(worker => couldTake(worker, step)),
    );
    if (held.length === 0) return;
    const tasks = held.flatMap(([, waiting]) => waiting);
    const oldest = tasks.reduce((a, b) =>
      b.readySince < a.readySince ? b : a,
    );
    state.log.decide('evacuation-backlog', {
      dataCentres: [...new Set(evacuated.map(({dataCentre}) => dataCentre))],
      workers: evacuated.length,
      tasks: tasks.length,
      oldest: oldest.name,
      oldestMs: Math.round(now - oldest.readySince),
    });
  }

  /** The first steps with tasks that wait, with these tasks. */
  private waitingSteps(now: Millis): ReadonlyMap<ActiveStep, ActiveTask[]> {
    const steps = new Map<ActiveStep, ActiveTask[]>();
    for (const task of this.state.waitingTasks) {
      if (now - task.readySince < MIN_WAIT_MS) continue;
      const tasks = steps.get(task.step);
      if (tasks !== undefined) tasks.push(task);
      else if (steps.size < MAX_STEPS) steps.set(task.step, [task]);
    }
    return steps;
  }
}

function couldTake(worker: WorkerState, step: ActiveStep): boolean {
  return hasRoom(step, worker) && isUnderLimit(step, worker);
}

import {Millis} from '../../base/clock.js';
import {ActiveStep} from '../active_job.js';
import {JobTimePredictor} from '../job_time_predictor.js';
import {reservationOf} from '../room.js';
import {Resources} from '../types.js';
import {Run, RunPhase, WorkerState} from '../worker_state.js';

/** Resources that a run is expected to release, and the local time of it. */
export interface ExpectedEnd extends Resources {
  readonly at: Millis;
}

/** Time from a placement to the start of the run: a commit and a call. */
const START_DELAY_MS: Millis = 50;

/** Pace below which the end of a slowed run is not foreseen, as a percentage. */
const MIN_PACE = 10;

/** Expected and upper run time of a step's tasks on a healthy worker. */
interface RunTime {
  readonly expected: Millis;
  readonly upper: Millis;
}

/** Ends of a worker's runs, and for which runs they were computed. */
interface WorkerEnds {
  readonly runsVersion: number;
  readonly ends: readonly ExpectedEnd[];
}

/** Foresees the ends of runs at one local time. */
export class ExpectedEnds {
  private readonly runTimes = new Map<ActiveStep, RunTime>();
  private readonly known = new Map<WorkerState, WorkerEnds>();
  /** Number of runs whose end was computed. */
  computed = 0;

  /** @param stopMs longest time that a worker takes to stop a run. */
  constructor(
    private readonly predictor: JobTimePredictor,
    private readonly stopMs: Millis,
    private readonly now: Millis,
  ) {}

  /** Expected ends of a worker's runs, the first one first. */
  of(worker: WorkerState): readonly ExpectedEnd[] {
    const {runsVersion} = worker;
    const known = this.known.get(worker);
    if (known?.runsVersion === runsVersion) return known.ends;
    const ends = this.compute(worker);
    this.known.set(worker, {runsVersion, ends});
    return ends;
  }

  private compute(worker: WorkerState): ExpectedEnd[] {
    const ends: ExpectedEnd[] = [];
    for (const run of worker.runs.values()) {
      this.computed++;
      const at = this.endOf(run);
      if (at === Infinity) continue;
      ends.push({...reservationOf(run.task.step.shape), at});
    }
    return ends.sort((a, b) => a.at - b.at);
  }

  /** Time by which a task of a step most likely ends if it is placed now. */
  upperEndOf(step: ActiveStep, worker: WorkerState): Millis {
    const {upper} = this.runTimeOf(step);
    return this.now + START_DELAY_MS + upper * slownessOf(worker);
  }

  private endOf(run: Run): Millis {
    const {task, worker, phase, stopAcceptedAt, pace} = run;
    if (phase === RunPhase.STOPPING) {
      return Math.max(this.now, stopAcceptedAt + this.stopMs);
    }
    const {step} = task;
    if (step.shape.perpetual || pace < MIN_PACE) return Infinity;
    const began = run.confirmedAt || run.placedAt + START_DELAY_MS;
    const factor = (slownessOf(worker) * 100) / pace;
    const {expected, upper} = this.runTimeOf(step);
    const elapsed = this.now - began;
    if (elapsed < expected * factor) return began + expected * factor;
    if (elapsed < upper * factor) return began + upper * factor;
    // Of runs with a heavy tail, the longer one has taken, the longer the rest.
    return this.now + elapsed;
  }

  private runTimeOf(step: ActiveStep): RunTime {
    let runTime = this.runTimes.get(step);
    if (runTime === undefined) {
      const expected = this.predictor.expectedRunTime(step);
      const {name} = step.occurrence.job.queue;
      const upper = expected * this.predictor.spread.upperRatio(name);
      runTime = {expected, upper};
      this.runTimes.set(step, runTime);
    }
    return runTime;
  }
}

/** Factor of run times on a worker; a fast one may be so by chance. */
function slownessOf({slowness}: WorkerState): number {
  return Math.max(1, slowness);
}

import {Millis} from '../base/clock.js';
import {Interference} from './interference.js';
import {CommandKind, SchedulerState} from './scheduler_state.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';

/** Least time between two changes of one run's pace: a gauge's window. */
const CHANGE_INTERVAL: Millis = 500;

/** Multiples of the tail-latency target between which the pace is kept. */
const SLOW_DOWN_AT = 0.85;
const SPEED_UP_AT = 0.55;

/** Factor and percentage points by which a pace falls and rises. */
const SLOW_DOWN_FACTOR = 0.4;
const SPEED_UP_POINTS = 25;

/** Below this pace, in percent, a run is halted. */
const LEAST_PACE = 15;

/** Time over target after which all fillers beside the task are halted. */
const HALT_AFTER: Millis = 2200;

/** Time after which a halted run without checkpoints starts anew elsewhere. */
const LONGEST_HALT: Millis = 3000;

/** A filler with less than this share of the disturbance keeps its pace. */
const LEAST_CONTRIBUTION = 0.2;

/** A run must have been at work this long before its usage counts. */
const SETTLED_AFTER: Millis = 600;

/** What a report shows of a worker's serving and filling runs. */
interface Mixture {
  readonly serving: readonly Run[];
  readonly filling: readonly Run[];
  readonly usage: ReadonlyMap<string, number>;
}

/**
 * Slows those filling tasks that disturb a serving task over its target for
 * the tail latency, and lets them speed up when it is well below.
 */
export class Pacing {
  private readonly overSince = new WeakMap<Run, Millis>();
  private readonly changedAt = new WeakMap<Run, Millis>();

  constructor(
    private readonly state: SchedulerState,
    private readonly interference: Interference,
  ) {}

  /** Learns and decides after a report of the worker. */
  onReport(worker: WorkerState): void {
    const mixture = this.mixtureOf(worker);
    if (mixture.serving.length === 0) return;
    for (const {task, gauge} of mixture.serving) {
      const {image, targetMs} = task.step.shape;
      this.interference.observe(image, gauge / targetMs, mixture.usage);
    }
    if (mixture.filling.length === 0) return;
    const blamed = this.blamed(mixture);
    const isCalm = mixture.serving.every(run => tail(run) < SPEED_UP_AT);
    for (const run of mixture.filling) {
      const factor = blamed.get(run);
      if (factor !== undefined && run.pace === 0) this.evict(run);
      else if (factor !== undefined) this.slowDown(run, factor);
      else if (isCalm) this.change(run, run.pace + SPEED_UP_POINTS);
    }
  }

  private mixtureOf(worker: WorkerState): Mixture {
    const now = this.state.now();
    const serving: Run[] = [];
    const filling: Run[] = [];
    const usage = new Map<string, number>();
    const capacity = worker.listing?.capacity.cpuMilli ?? 1;
    for (const run of worker.runs.values()) {
      if (run.phase !== RunPhase.RUNNING) continue;
      const {shape} = run.task.step;
      const isSettled = now - run.confirmedAt >= SETTLED_AFTER;
      if (shape.targetMs > 0 && run.percent === 100) serving.push(run);
      if (!shape.fills) continue;
      filling.push(run);
      if (!isSettled) continue;
      const share = run.gauge / capacity;
      usage.set(shape.image, (usage.get(shape.image) ?? 0) + share);
    }
    return {serving, filling, usage};
  }

  /** Fillers that are to slow down, with the factor. */
  private blamed(mixture: Mixture): ReadonlyMap<Run, number> {
    const now = this.state.now();
    const blamed = new Map<Run, number>();
    for (const victim of mixture.serving) {
      if (tail(victim) < SLOW_DOWN_AT) {
        this.overSince.delete(victim);
        continue;
      }
      const since = this.overSince.get(victim) ?? now;
      this.overSince.set(victim, since);
      const isLasting = now - since > HALT_AFTER;
      for (const run of this.disturbers(victim, mixture, isLasting)) {
        blamed.set(run, isLasting ? 0 : SLOW_DOWN_FACTOR);
      }
    }
    return blamed;
  }

  private *disturbers(
    victim: Run,
    {filling}: Mixture,
    all: boolean,
  ): Generator<Run> {
    const {image} = victim.task.step.shape;
    const effect = (run: Run) =>
      this.interference.weight(image, run.task.step.shape.image) *
      run.task.step.shape.cpuMilli *
      run.pace;
    const total = filling.reduce((sum, run) => sum + effect(run), 0);
    for (const run of filling) {
      if (all || effect(run) >= LEAST_CONTRIBUTION * total) yield run;
    }
  }

  /** Moves a halted run to another worker if it keeps its progress. */
  private evict(run: Run): void {
    const {task} = run;
    const now = this.state.now();
    const haltedFor = now - (this.changedAt.get(run) ?? now);
    if (!task.step.shape.checkpoints && haltedFor < LONGEST_HALT) return;
    task.failedOn = run.worker.id;
    this.state.stop(run, 'it disturbs a serving task');
  }

  private slowDown(run: Run, factor: number): void {
    const percent = Math.floor(run.pace * factor);
    this.change(run, percent < LEAST_PACE ? 0 : percent);
  }

  private change(run: Run, wanted: number): void {
    const percent = Math.min(100, wanted);
    const now = this.state.now();
    if (percent === run.pace) return;
    if (now - (this.changedAt.get(run) ?? 0) < CHANGE_INTERVAL) return;
    this.state.log.decide('pace', {
      task: run.task.name,
      worker: run.worker.id,
      from: run.pace,
      to: percent,
    });
    this.changedAt.set(run, now);
    run.pace = percent;
    this.state.urgent.push({kind: CommandKind.PACE, run, percent});
  }
}

function tail(run: Run): number {
  return run.gauge / run.task.step.shape.targetMs;
}

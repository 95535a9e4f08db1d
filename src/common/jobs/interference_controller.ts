import {Millis, SECOND} from '../base/clock.js';
import {TaskId} from './types.js';

/** Names of the policies that react to interference. */
export const InterferencePolicy = {
  NONE: 'none',
  THROTTLE_THEN_EVICT: 'throttle-then-evict',
} as const;
export type InterferencePolicy =
  (typeof InterferencePolicy)[keyof typeof InterferencePolicy];

/** Slowdown at or above which tasks are throttled or evicted. */
const HIGH_SLOWDOWN = 1.3;

/** Slowdown at or below which throttled tasks get their full speed back. */
const LOW_SLOWDOWN = 1.1;

/** Fraction of full speed that a throttled task gets. */
const THROTTLED_SHARE = 0.5;

/** Shortest hold time between two steps on one worker. */
const MIN_HOLD_MS: Millis = 5 * SECOND;

/**
 * Hold time as a multiple of the measurement lag. A measurement that is taken
 * right after a step arrives one lag later and still includes time before the
 * step.
 */
const HOLD_LAG_FACTOR = 2;

/** Greatest age of a measurement that is acted on. */
const MAX_MEASUREMENT_AGE_MS: Millis = 60 * SECOND;

/** A batch task on a worker that interference was measured on. */
export interface InterferenceTask {
  readonly task: TaskId;
  /** Fraction of full speed; undefined when it is not known. */
  readonly share: number | undefined;
  /** Whether the task's job may be evicted. */
  readonly evictable: boolean;
  /** Work since the last checkpoint, as run time on an idle worker. */
  readonly workLostMs: Millis;
}

/** A step that changes one task. */
export type InterferenceDecision =
  | {readonly kind: 'throttle'; readonly task: TaskId; readonly share: number}
  /** Take a checkpoint and then stop. */
  | {readonly kind: 'evict'; readonly task: TaskId};

/** Newest measurement of a worker and the last step taken on it. */
interface WorkerSlowdown {
  slowdown: number;
  /** Local time of the measurement. */
  measuredAt: Millis;
  /** Time from the measurement to its arrival. */
  lagMs: Millis;
  /** Local time of the last step; -Infinity before the first. */
  lastStepAt: Millis;
}

/** Chooses the next step on a worker; empty if none is needed. */
type Policy = (
  state: WorkerSlowdown,
  tasks: readonly InterferenceTask[],
) => InterferenceDecision[];

/** Evictable task that loses the least work. */
function cheapestToEvict(
  tasks: readonly InterferenceTask[],
): InterferenceTask | undefined {
  let best: InterferenceTask | undefined;
  for (const task of tasks) {
    if (!task.evictable) continue;
    if (best === undefined || task.workLostMs < best.workLostMs) best = task;
  }
  return best;
}

const throttleThenEvict: Policy = (state, tasks) => {
  if (state.slowdown >= HIGH_SLOWDOWN) {
    const unthrottled = tasks.filter(task => task.share !== THROTTLED_SHARE);
    if (unthrottled.length > 0) {
      return unthrottled.map(({task}) => ({
        kind: 'throttle',
        task,
        share: THROTTLED_SHARE,
      }));
    }
    const victim = cheapestToEvict(tasks);
    return victim === undefined ? [] : [{kind: 'evict', task: victim.task}];
  }
  if (state.slowdown > LOW_SLOWDOWN) return [];
  // One task at a time, so that its effect is measured before the next step.
  const throttled = tasks.find(task => task.share !== 1);
  return throttled === undefined
    ? []
    : [{kind: 'throttle', task: throttled.task, share: 1}];
};

/** Policies by name. */
const POLICIES: Readonly<Record<InterferencePolicy, Policy>> = {
  [InterferencePolicy.NONE]: () => [],
  [InterferencePolicy.THROTTLE_THEN_EVICT]: throttleThenEvict,
};

/**
 * Limits the interference that batch tasks cause to services, with hysteresis:
 * tasks are throttled, then evicted, while the slowdown is high, and get their
 * speed back when it is low. Measurements lag, so each step is followed by a
 * hold time longer than the lag, and only measurements taken after the last
 * step count.
 */
export class InterferenceController {
  private readonly slowdowns = new Map<string, WorkerSlowdown>();

  constructor(private readonly policy: InterferencePolicy) {}

  /**
   * Handles a measurement and decides the next step on its worker.
   *
   * @param slowdown factor by which services are slower; 1.0 is no slowdown.
   * @param measuredAt local time of the measurement.
   * @param tasks batch tasks that run on the worker and are not being stopped.
   * @returns changes of tasks; empty if nothing is to be done.
   */
  onMeasurement(
    worker: string,
    slowdown: number,
    measuredAt: Millis,
    tasks: readonly InterferenceTask[],
    now: Millis,
  ): InterferenceDecision[] {
    const state = this.update(worker, slowdown, measuredAt, now);
    if (state === undefined || !this.isStepAllowed(state, now)) return [];
    const decisions = POLICIES[this.policy](state, tasks);
    if (decisions.length > 0) state.lastStepAt = now;
    return decisions;
  }

  /** Whether no new tasks are to be placed on a worker. */
  isAvoided(worker: string, now: Millis): boolean {
    if (this.policy === InterferencePolicy.NONE) return false;
    const state = this.slowdowns.get(worker);
    return (
      state !== undefined &&
      state.slowdown >= HIGH_SLOWDOWN &&
      now - state.measuredAt <= MAX_MEASUREMENT_AGE_MS
    );
  }

  /** Drops the state of a worker. */
  removeWorker(worker: string): void {
    this.slowdowns.delete(worker);
  }

  /** Stores a measurement; undefined unless it is newer than the stored one. */
  private update(
    worker: string,
    slowdown: number,
    measuredAt: Millis,
    now: Millis,
  ): WorkerSlowdown | undefined {
    const state = this.slowdowns.get(worker);
    const lagMs = Math.max(0, now - measuredAt);
    if (state === undefined) {
      const first = {slowdown, measuredAt, lagMs, lastStepAt: -Infinity};
      this.slowdowns.set(worker, first);
      return first;
    }
    if (measuredAt <= state.measuredAt) return undefined;
    state.slowdown = slowdown;
    state.measuredAt = measuredAt;
    state.lagMs = lagMs;
    return state;
  }

  /** Whether the hold time has passed and the measurement is usable. */
  private isStepAllowed(state: WorkerSlowdown, now: Millis): boolean {
    const holdMs = Math.max(MIN_HOLD_MS, HOLD_LAG_FACTOR * state.lagMs);
    return (
      now - state.lastStepAt >= holdMs &&
      state.measuredAt > state.lastStepAt &&
      now - state.measuredAt <= MAX_MEASUREMENT_AGE_MS
    );
  }
}

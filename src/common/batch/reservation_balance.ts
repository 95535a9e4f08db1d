import {Millis, SECOND} from '../base/clock.js';
import {ActiveJob} from './active_job.js';
import {isFinal} from './job_records.js';
import {hasOwner, JobView, KnownJob} from './job_view.js';
import {StepShape} from './types.js';

/**
 * Difference of the reserved shares that a move has to leave at least, so that
 * jobs don't move for nothing.
 */
const MIN_GAIN = 0.01;

/** Time after which all schedulers know the owner of a job from its records. */
const OWNER_DELAY_MS: Millis = 2 * SECOND;

/** Processors that the perpetual tasks of a job reserve, in millicores. */
function perpetualCpuMilli(steps: readonly StepShape[]): number {
  let cpuMilli = 0;
  for (const step of steps) {
    if (step.perpetual && !step.fills) cpuMilli += step.count * step.cpuMilli;
  }
  return cpuMilli;
}

/** Whether a job has tasks that reserve processors until it is cancelled. */
export function reservesForGood({submission}: ActiveJob): boolean {
  return perpetualCpuMilli(submission.shape.steps) > 0;
}

/**
 * Spreads jobs with perpetual tasks over the shards. These keep their workers
 * until they are cancelled, so a shard that has got too many can't be relieved,
 * and its tasks stay without a run while other shards have room. Many jobs may
 * come before the hand-overs of the others, or their loads, are read. All
 * schedulers read the submissions in the same order, though, so each computes
 * the owners of all new jobs alike, and hands over those that it has.
 */
export class ReservationBalance {
  constructor(
    private readonly shard: string,
    private readonly view: JobView,
  ) {}

  /**
   * Chooses another shard for a new job of this shard; undefined if it stays.
   * @param shards other shards that can run the job.
   * @param cpuMilliOf returns the processors of a shard, in millicores.
   */
  choose(
    job: ActiveJob,
    shards: readonly string[],
    cpuMilliOf: (shard: string) => number,
  ): string | undefined {
    const {view} = this;
    const all = [this.shard, ...shards].sort();
    const reserved = new Map<string, number>();
    const add = (shard: string, cpuMilli: number): void => {
      reserved.set(shard, (reserved.get(shard) ?? 0) + cpuMilli);
    };
    const share = (shard: string, more: number): number =>
      ((reserved.get(shard) ?? 0) + more) / Math.max(1, cpuMilliOf(shard));
    const newSince = (view.jobs.get(job.id)?.seenAt ?? 0) - OWNER_DELAY_MS;
    for (const known of view.jobs.values()) {
      const steps = activeSteps(known);
      const cpuMilli = perpetualCpuMilli(steps);
      if (cpuMilli === 0) continue;
      const isNew = known.seenAt >= newSince && isInFirstMove(known);
      let owner = isNew
        ? view.layout.shardOfJob(known.id)
        : view.ownerOf(known);
      if (isNew) {
        let lowest = share(owner, cpuMilli) - MIN_GAIN;
        for (const shard of all) {
          const expected = share(shard, cpuMilli);
          if (expected >= lowest) continue;
          lowest = expected;
          owner = shard;
        }
      }
      if (known.id === job.id) return owner === this.shard ? undefined : owner;
      add(owner, cpuMilli);
      for (const task of known.detachedTasks?.values() ?? []) {
        if (!hasOwner(task)) continue;
        const taskMilli = steps[task.detached.step]?.cpuMilli ?? 0;
        add(owner, -taskMilli);
        add(view.ownerOf(task), taskMilli);
      }
    }
    return undefined;
  }
}

/** Steps of a job that is not over; none of another. */
function activeSteps({
  submission,
  state,
  cancelled,
}: KnownJob): readonly StepShape[] {
  if (submission === undefined || cancelled) return [];
  if (state !== undefined && isFinal(state.phase)) return [];
  return submission.shape.steps;
}

/** Whether a job was handed over at most once, as a new one. */
function isInFirstMove({handOver}: KnownJob): boolean {
  return (handOver?.number ?? 0) <= 1;
}

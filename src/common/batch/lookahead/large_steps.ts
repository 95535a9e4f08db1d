import {Millis, SECOND} from '../../base/clock.js';
import {ActiveStep} from '../active_job.js';
import {unsuitableReason} from '../worker_exclusion.js';
import {WorkerState} from '../worker_state.js';
import {Resources} from '../types.js';
import {UnreservedSize} from './unreserved_size.js';

/** Share of the usual unreserved size of a worker above which a task is large. */
const LARGE_SHARE = 0.5;

/** Share of the workers below which those that suit a step count as few. */
const FEW_WORKERS_SHARE = 0.1;

/**
 * Time for which sizes are kept. They change with perpetual runs, which stay
 * for seconds at least.
 */
const SIZES_TTL_MS: Millis = 0.5 * SECOND;

/** The workers that suit a step. */
interface SuitableWorkers {
  readonly computedAt: Millis;
  /** Whether they are few of all. */
  readonly areFew: boolean;
  /** Medians of their unreserved resources, each worker weighted by its own. */
  readonly median: Resources;
}

/** Tells which steps have tasks that find room on few workers only. */
export class LargeSteps {
  /** By service and label. */
  private readonly suitable = new Map<string, SuitableWorkers>();

  constructor(private readonly unreservedSize: UnreservedSize) {}

  /**
   * Whether the tasks of a step that waits at the local time `now` are large:
   * those of a gang, those that need over half of the usual unreserved
   * size, and those that only few workers suit.
   */
  isLarge(
    step: ActiveStep,
    workers: readonly WorkerState[],
    now: Millis,
  ): boolean {
    const {shape} = step;
    if (shape.fills || shape.perpetual || shape.cpuMilli <= 0) return false;
    if (shape.gang) return true;
    const {areFew, median} = this.suitableFor(step, workers, now);
    return (
      areFew ||
      shape.cpuMilli > LARGE_SHARE * median.cpuMilli ||
      shape.memoryMb > LARGE_SHARE * median.memoryMb ||
      shape.gpus > LARGE_SHARE * median.gpus
    );
  }

  private suitableFor(
    step: ActiveStep,
    workers: readonly WorkerState[],
    now: Millis,
  ): SuitableWorkers {
    const {shape, occurrence} = step;
    const key = `${occurrence.job.queue.service}\n${shape.requiredLabel}`;
    const known = this.suitable.get(key);
    if (known !== undefined && now - known.computedAt < SIZES_TTL_MS) {
      return known;
    }
    const sizes = workers
      .filter(worker => unsuitableReason(step, worker) === undefined)
      .map(worker => this.unreservedSize.of(worker));
    const suitable = {
      computedAt: now,
      areFew: sizes.length < FEW_WORKERS_SHARE * workers.length,
      median: {
        cpuMilli: medianBySize(sizes.map(({cpuMilli}) => cpuMilli)),
        memoryMb: medianBySize(sizes.map(({memoryMb}) => memoryMb)),
        gpus: medianBySize(sizes.map(({gpus}) => gpus)),
      },
    };
    this.suitable.set(key, suitable);
    return suitable;
  }
}

/**
 * Largest size of which workers that have at least it hold half of the sum; 0 for
 * none. Workers that perpetual tasks fill don't count.
 */
function medianBySize(sizes: number[]): number {
  sizes.sort((a, b) => b - a);
  let left = sizes.reduce((sum, size) => sum + size, 0) / 2;
  for (const size of sizes) {
    left -= size;
    if (left <= 0) return size;
  }
  return 0;
}

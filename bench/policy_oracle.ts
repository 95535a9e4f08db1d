import {Millis} from '../src/common/base/clock.js';
import {Simulation} from '../src/common/jobs/simulation.test_support.js';
import {Submission} from '../src/common/jobs/types.js';
import {BatchDriver} from './policy_batch.js';
import {SimulatedWorker, TrueNeeds} from './policy_worker.js';
import {Workload} from './policy_workloads.js';

const TICK_MS: Millis = 50;

/**
 * Places jobs by their true sizes and their true interference, without delay.
 * No scheduler can know these; the figures are a bound.
 */
export class OracleDriver implements BatchDriver {
  readonly evictions = 0;
  private queue: Submission[] = [];
  private readonly started = new Map<
    string,
    {readonly submission: Submission; readonly task: string}
  >();
  private attempt = 0;

  constructor(
    simulation: Simulation,
    private readonly workers: readonly SimulatedWorker[],
    private readonly workload: Workload,
    private readonly mostInterference: number,
  ) {
    simulation.every(TICK_MS, () => this.place());
  }

  submit(submission: Submission): void {
    this.queue.push(submission);
  }

  observe(): void {
    // It sees the workers themselves.
  }

  measure(): void {
    // It knows the interference.
  }

  taskEnded(worker: SimulatedWorker, job: string): void {
    const started = this.started.get(job);
    if (started === undefined) return;
    this.started.delete(job);
    worker.forget(started.task);
    if (!worker.isUp) this.queue.push(started.submission);
  }

  private place(): void {
    this.queue = this.queue.filter(submission => {
      const worker = this.choose(submission);
      if (worker === undefined) return true;
      const task = `${submission.key}.${++this.attempt}`;
      this.started.set(submission.key, {submission, task});
      worker.startTask(task, {
        job: submission.key,
        kind: submission.jobClass,
        size: submission.size,
        runMs: submission.runMs,
        payload: submission.payload,
        leaseUntilMs: Infinity,
        checkpoint: 0,
      });
      return false;
    });
  }

  /** The worker on which the least slowdown remains that fits. */
  private choose({jobClass, payload}: Submission): SimulatedWorker | undefined {
    const {processors} = payload as TrueNeeds;
    const {worker: size, reservation, kinds} = this.workload;
    const {slowsServices} = kinds.find(({name}) => name === jobClass)!;
    const added = (slowsServices * processors) / size.processors;
    const usable = size.processors - reservation.processors;
    let best: SimulatedWorker | undefined;
    let least = Infinity;
    for (const worker of this.workers) {
      if (!worker.isUp) continue;
      if (worker.usedProcessors + processors > usable) continue;
      const total = worker.interference + added;
      // A job that alone exceeds the bound runs on a worker of its own.
      const alone = worker.usedProcessors === 0;
      if ((total > this.mostInterference && !alone) || total >= least) continue;
      best = worker;
      least = total;
    }
    return best;
  }
}

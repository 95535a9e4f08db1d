import {MINUTE, Millis} from '../base/clock.js';
import {JobId} from './types.js';

/** Different jobs that must fail in a row on a worker to quarantine it. */
const FAILED_JOBS_THRESHOLD = 3;
const INITIAL_PERIOD_MS: Millis = MINUTE;
const MAX_PERIOD_MS: Millis = 30 * MINUTE;

/** Failures on one worker since the last success. */
interface WorkerFailures {
  readonly failed: Set<JobId>;
  /** Local time at which the last quarantine ends. */
  until: Millis;
  /** Duration of the next quarantine. */
  periodMs: Millis;
}

/**
 * Isolates workers that fail every task, with an exponential backoff. After a
 * period of quarantine the worker gets tasks again; a further failure before a
 * success begins a quarantine of twice the period.
 */
export class Quarantine {
  private readonly failures = new Map<string, WorkerFailures>();

  /** Whether a worker must not get tasks at `now`. */
  isQuarantined(worker: string, now: Millis): boolean {
    return now < (this.failures.get(worker)?.until ?? 0);
  }

  /** Handles the failure of a task of `job` on a worker. */
  onFailure(worker: string, job: JobId, now: Millis): void {
    const entry = this.failures.get(worker) ?? {
      failed: new Set<JobId>(),
      until: 0,
      periodMs: INITIAL_PERIOD_MS,
    };
    this.failures.set(worker, entry);
    entry.failed.add(job);
    if (entry.failed.size < FAILED_JOBS_THRESHOLD || now < entry.until) {
      return;
    }
    entry.until = now + entry.periodMs;
    entry.periodMs = Math.min(2 * entry.periodMs, MAX_PERIOD_MS);
    // Drops one job, so that one further failure after the period is enough for
    // the next quarantine.
    const [oldest] = entry.failed;
    entry.failed.delete(oldest);
  }

  /** Handles a task that finished on a worker. */
  onSuccess(worker: string): void {
    this.failures.delete(worker);
  }

  /** Drops the failures of a worker. */
  removeWorker(worker: string): void {
    this.failures.delete(worker);
  }
}

import {Millis} from '../base/clock.js';
import {InterferenceWeights} from './interference.js';
import {
  InstanceRecord,
  INTERFERENCE_KEY,
  JobPhase,
  JobStateRecord,
  ProgressRecord,
  RecordKind,
  SCHEDULER_KEY,
  SchedulerRecord,
  SubmissionRecord,
  unpackInstance,
  unpackInterference,
  unpackLostWorker,
  unpackProgress,
  unpackScheduler,
  unpackState,
  unpackSubmission,
} from './job_records.js';
import {KeyedRecord} from './store.js';

/** A job as replicated from the log. */
export interface KnownJob {
  readonly id: string;
  submission?: SubmissionRecord;
  state?: JobStateRecord;
  /** Tasks of the job; known only during a takeover. */
  progress?: ProgressRecord;
  /** Whether the caller has cancelled the job before it ended. */
  cancelled: boolean;
  /** Local time at which the job was first seen. */
  readonly seenAt: Millis;
}

/** A worker that a previous scheduler could not reach. */
export interface LostWorker {
  /** Incarnation of the worker, in ms since 1970. */
  readonly born: number;
  /** Local time by which all of its leases have expired. */
  readonly leaseEnd: Millis;
}

/** Called with the key of each record that can't be decoded. */
export type RecordFaultHandler = (key: string, error: unknown) => void;

/**
 * In-memory replica of the job topics. Every instance keeps one to serve job
 * status requests. A new scheduler adds the records of the progress topic, to
 * restore its state, and then forgets them.
 */
export class JobView {
  readonly jobs = new Map<string, KnownJob>();
  /** Record of the latest scheduler; undefined before the first claim. */
  scheduler: SchedulerRecord | undefined;
  /** Interference weights that the latest scheduler has stored. */
  interference: InterferenceWeights = {};
  /** Workers that are recorded as unreachable, by id. */
  readonly lostWorkers = new Map<string, LostWorker>();
  /** Instances of the system by name. */
  readonly instances = new Map<string, InstanceRecord>();

  constructor(private readonly onRecordFault: RecordFaultHandler) {}

  /** Applies a record of the intake or progress topic. */
  apply(record: KeyedRecord, now: Millis): void {
    try {
      this.applyDecoded(record, now);
    } catch (error) {
      this.onRecordFault(record.key, error);
    }
  }

  /**
   * Phase of a job as the scheduler stored it; undefined for an unknown job. A
   * cancellation that was read doesn't decide it: the scheduler may have stored
   * that the job is complete, in a record that this instance has not read yet.
   */
  phase(id: string): JobPhase | undefined {
    const job = this.jobs.get(id);
    if (job?.submission === undefined) return undefined;
    return job.state?.phase ?? JobPhase.QUEUED;
  }

  /** Number of jobs of a queue without a started task, less cancelled ones. */
  pending(queue: string): number {
    let count = 0;
    for (const job of this.jobs.values()) {
      if (job.submission?.queue.name !== queue || job.cancelled) continue;
      if (!(job.state?.hasStarted ?? false)) count++;
    }
    return count;
  }

  private applyDecoded({key, value}: KeyedRecord, now: Millis): void {
    if (key === SCHEDULER_KEY) {
      if (value.length > 0) this.applyScheduler(unpackScheduler(value));
      return;
    }
    if (key === INTERFERENCE_KEY) {
      this.interference = unpackInterference(value);
      return;
    }
    const id = key.slice(1);
    if (key[0] === RecordKind.LOST_WORKER) {
      this.applyLostWorker(id, value, now);
      return;
    }
    if (key[0] === RecordKind.INSTANCE) {
      if (value.length === 0) this.instances.delete(id);
      else this.instances.set(id, unpackInstance(value));
      return;
    }
    if (value.length === 0) {
      this.jobs.delete(id);
      return;
    }
    const job = this.getOrCreateJob(id, now);
    if (key[0] === RecordKind.SUBMISSION) {
      job.submission ??= unpackSubmission(value);
    } else if (key[0] === RecordKind.CANCELLATION) {
      job.cancelled = !isCompleteOrFailed(job.state);
    } else if (key[0] === RecordKind.STATE) {
      job.state = unpackState(value);
      if (isCompleteOrFailed(job.state)) job.cancelled = false;
    } else if (key[0] === RecordKind.PROGRESS) {
      job.progress = unpackProgress(value);
    }
  }

  /** Forgets the records of the progress topic. */
  dropProgress(): void {
    for (const job of this.jobs.values()) job.progress = undefined;
    this.interference = {};
  }

  /** Ignores records of earlier schedulers that are read again. */
  private applyScheduler(record: SchedulerRecord): void {
    if (record.epoch < (this.scheduler?.epoch ?? 0)) return;
    this.scheduler = record;
  }

  private applyLostWorker(id: string, value: Uint8Array, now: Millis): void {
    if (value.length === 0) {
      this.lostWorkers.delete(id);
      return;
    }
    const {born, leaseLeftMs} = unpackLostWorker(value);
    // The record was written before now, so the leases end by this time.
    this.lostWorkers.set(id, {born, leaseEnd: now + leaseLeftMs});
  }

  private getOrCreateJob(id: string, now: Millis): KnownJob {
    let job = this.jobs.get(id);
    if (job === undefined) {
      job = {id, cancelled: false, seenAt: now};
      this.jobs.set(id, job);
    }
    return job;
  }
}

/** Whether a job completed or failed, so that a cancellation has no effect. */
function isCompleteOrFailed(state: JobStateRecord | undefined): boolean {
  return state?.phase === JobPhase.COMPLETE || state?.phase === JobPhase.FAILED;
}

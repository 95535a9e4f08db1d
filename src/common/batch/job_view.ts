import {Millis} from '../base/clock.js';
import {JobMemory} from './admission/job_memory.js';
import {endedJobBytes, jobBytes} from './admission/job_size_estimate.js';
import {TermReading} from './earlier_authority.js';
import {DetachedTask} from './detached_task.js';
import {InterferenceWeights} from './interference.js';
import {
  HandOverRecord,
  InstanceRecord,
  INTERFERENCE_KEY,
  isFinal,
  JobPhase,
  JobStateRecord,
  LAYOUT_KEY,
  ProgressRecord,
  RecordKind,
  SchedulerRecord,
  SubmissionRecord,
  unpackHandOver,
  unpackInstance,
  unpackInterference,
  unpackLayout,
  unpackLostWorker,
  unpackProgress,
  unpackScheduler,
  unpackState,
  unpackSubmission,
} from './job_records.js';
import {ShardLayout, WHOLE_FLEET} from './shard_layout.js';
import {KeyedRecord} from './store.js';
import {PendingCounts} from './pending_counts.js';
import {QueueTable} from './queue_table.js';
import {parseTaskName, TaskKey} from './types.js';

/** A job, or a detached task, as replicated from the log. */
export interface KnownJob {
  readonly id: string;
  /** Position of a detached task; undefined for a job. */
  readonly detached?: TaskKey;
  /** Tasks that were detached from the job, by name. */
  detachedTasks?: Map<string, DetachedTask>;
  submission?: SubmissionRecord;
  state?: JobStateRecord;
  /** Tasks of the job; known only during a takeover. */
  progress?: ProgressRecord;
  /** Latest hand-over to another shard; undefined before the first. */
  handOver?: HandOverRecord;
  /** Whether the caller has cancelled the job before it ended. */
  cancelled: boolean;
  /** Queue whose pending jobs it is counted among; undefined if it is not. */
  pendingQueue?: string;
  /** Local time at which the job was first seen. */
  readonly seenAt: Millis;
}

/** A worker that a previous scheduler could not reach. */
export interface LostWorker {
  /** Incarnation of the worker, in ms since 1970. */
  readonly born: number;
  /** Local time by which all of its leases have expired. */
  readonly leaseEnd: Millis;
  /** Shard of the scheduler that could not reach it. */
  readonly shard: string;
}

/** The latest scheduler of a shard. */
interface KnownScheduler extends TermReading {
  /** The term before; undefined if it is unknown. */
  readonly predecessor: TermReading | undefined;
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
  /** The shards of the fleet. */
  layout = ShardLayout.UNDIVIDED;
  /** Shards of jobs before their first hand-over in this layout, by job id. */
  private readonly firstOwners = new Map<string, string>();
  /** Latest schedulers by shard. */
  private readonly schedulers = new Map<string, KnownScheduler>();
  /** Interference weights that the latest scheduler has stored. */
  interference: InterferenceWeights = {};
  /** Workers that are recorded as unreachable, by id. */
  readonly lostWorkers = new Map<string, LostWorker>();
  /** Instances of the system by name. */
  readonly instances = new Map<string, InstanceRecord>();
  private readonly queues = new QueueTable();
  private readonly pendingCounts = new PendingCounts();

  /**
   * @param memory counts the memory of the jobs.
   * @param memoryLimit returns the bytes beyond which jobs are kept without
   *     their specifications.
   */
  constructor(
    private readonly onRecordFault: RecordFaultHandler,
    private readonly memory = new JobMemory(),
    private readonly memoryLimit: () => number = () => Infinity,
  ) {}

  /**
   * Applies a record.
   * @param isNewest whether earlier records of the key may have been skipped.
   */
  apply(record: KeyedRecord, now: Millis, isNewest = false): void {
    try {
      this.applyDecoded(record, now, isNewest);
    } catch (error) {
      this.onRecordFault(record.key, error);
    }
  }

  /**
   * Called before the newest records of the states topic are applied. They lack
   * records that were removed meanwhile; a lost worker that has returned may
   * have a new lease.
   */
  beginStates(): void {
    this.lostWorkers.clear();
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

  /** Latest record of a shard's scheduler; undefined before the first claim. */
  schedulerOf(shard: string): SchedulerRecord | undefined {
    return this.schedulers.get(shard)?.record;
  }

  /**
   * Last record of the scheduler before the latest one of a shard; undefined if
   * there was none or if it was not read.
   */
  predecessorOf(shard: string): SchedulerRecord | undefined {
    return this.earlierTermOf(shard)?.record;
  }

  /** The term before the latest one of a shard, like `predecessorOf`. */
  earlierTermOf(shard: string): TermReading | undefined {
    return this.schedulers.get(shard)?.predecessor;
  }

  /**
   * Epoch of the next claim of a shard. Workers may have seen fencing tokens of
   * the scheduler that had the whole fleet, so the first epoch is above its.
   * All candidates use the same epoch, of which the store accepts one claim.
   */
  nextEpoch(shard: string): number {
    const latest = this.schedulerOf(shard) ?? this.schedulerOf(WHOLE_FLEET);
    return (latest?.epoch ?? 0) + 1;
  }

  /** Shard that owns a job or a detached task. */
  ownerOf({id, handOver}: KnownJob): string {
    return handOver?.shard ?? this.firstOwnerOf(id);
  }

  private firstOwnerOf(id: string): string {
    let shard = this.firstOwners.get(id);
    if (shard === undefined) {
      shard = this.layout.shardOfJob(id);
      this.firstOwners.set(id, shard);
    }
    return shard;
  }

  /** Number of jobs of a queue without a started task, less cancelled ones. */
  pending(queue: string): number {
    return this.pendingCounts.of(queue);
  }

  private applyDecoded(
    {key, value}: KeyedRecord,
    now: Millis,
    isNewest: boolean,
  ): void {
    if (key[0] === RecordKind.SCHEDULER) {
      if (value.length === 0) return;
      const scheduler = unpackScheduler(value);
      this.applyScheduler(key.slice(1), scheduler, now, isNewest);
      return;
    }
    if (key === LAYOUT_KEY) {
      this.layout = unpackLayout(value);
      this.firstOwners.clear();
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
      this.remove(key[0], id);
      return;
    }
    const job = this.getOrCreate(id, now);
    if (key[0] === RecordKind.SUBMISSION) {
      if (job.submission === undefined) this.applySubmission(job, value);
    } else if (key[0] === RecordKind.CANCELLATION) {
      job.cancelled = !isCompleteOrFailed(job.state);
    } else if (key[0] === RecordKind.STATE) {
      this.applyState(job, unpackState(value));
    } else if (key[0] === RecordKind.HAND_OVER) {
      applyHandOver(job, unpackHandOver(value));
    } else if (key[0] === RecordKind.PROGRESS) {
      job.progress = unpackProgress(value);
    }
    this.pendingCounts.update(job);
  }

  private applySubmission(job: KnownJob, value: Uint8Array): void {
    const record = unpackSubmission(value);
    const queue = this.queues.intern(record.queue);
    const shards = this.layout.shards.length;
    const hasRoom =
      this.memory.has(job.id) ||
      this.memory.total + jobBytes(record.shape, shards) <= this.memoryLimit();
    const submission = hasRoom ? record : withoutSpec(record);
    job.submission = {...submission, queue};
    this.memory.hold(job.id, {
      queue: queue.name,
      source: record.source ?? '',
      bytes: jobBytes(submission.shape, shards),
    });
    this.releaseEnded(job);
  }

  /** A job that is over is never started again. */
  private releaseEnded(job: KnownJob): void {
    const {submission, state, detached} = job;
    if (submission === undefined || detached !== undefined) return;
    if (state === undefined || !isFinal(state.phase)) return;
    job.submission = withoutSpec(submission);
    this.memory.resize(job.id, endedJobBytes(submission.shape));
  }

  /** Returns a job or a detached task. */
  find(id: string): KnownJob | undefined {
    const task = parseTaskName(id);
    if (task === undefined) return this.jobs.get(id);
    return this.jobs.get(task.job)?.detachedTasks?.get(id);
  }

  /** All jobs and detached tasks. */
  *all(): Generator<KnownJob> {
    for (const job of this.jobs.values()) {
      yield job;
      yield* job.detachedTasks?.values() ?? [];
    }
  }

  /** Forgets the records of the progress topic. */
  dropProgress(): void {
    for (const job of this.all()) job.progress = undefined;
    this.interference = {};
  }

  /** Ignores records of earlier schedulers that are read again. */
  private applyScheduler(
    shard: string,
    record: SchedulerRecord,
    now: Millis,
    isNewest: boolean,
  ): void {
    const known = this.schedulers.get(shard);
    if (record.epoch < (known?.record.epoch ?? 0)) return;
    const isSame = record.epoch === known?.record.epoch;
    // A resignation stands, also if an earlier record is read again.
    if (isSame && known!.record.resigned) return;
    const last = isNewest ? undefined : known;
    const predecessor = isSame ? known!.predecessor : withoutPredecessor(last);
    this.schedulers.set(shard, {record, readAt: now, predecessor});
  }

  /**
   * Applies the state of a job, unless it was applied before: a scheduler
   * applies its records before it reads them.
   */
  private applyState(job: KnownJob, state: JobStateRecord): void {
    const known = job.state?.phase ?? JobPhase.QUEUED;
    if (isFinal(known) || state.phase < known) return;
    job.state = state;
    if (job.detached === undefined && isCompleteOrFailed(state)) {
      job.cancelled = false;
    }
    this.releaseEnded(job);
  }

  /** Removes what a record without a value deletes. */
  private remove(kind: string, id: string): void {
    const job = this.find(id);
    if (job === undefined) return;
    // The progress is removed from the topic of the shard that the job left.
    if (kind === RecordKind.PROGRESS) job.progress = undefined;
    else if (job.detached !== undefined) {
      this.jobs.get(job.detached.job)?.detachedTasks?.delete(id);
    } else {
      this.jobs.delete(id);
      this.firstOwners.delete(id);
      this.pendingCounts.remove(job);
      this.memory.release(id);
    }
  }

  private applyLostWorker(id: string, value: Uint8Array, now: Millis): void {
    if (value.length === 0) {
      this.lostWorkers.delete(id);
      return;
    }
    const {born, leaseLeftMs, shard = WHOLE_FLEET} = unpackLostWorker(value);
    // The record was written before now, so the leases end by this time.
    const leaseEnd = now + leaseLeftMs;
    this.lostWorkers.set(id, {born, leaseEnd, shard});
  }

  private getOrCreate(id: string, now: Millis): KnownJob {
    const task = parseTaskName(id);
    if (task === undefined) return this.getOrCreateJob(id, now);
    const job = this.getOrCreateJob(task.job, now);
    job.detachedTasks ??= new Map();
    let detached = job.detachedTasks.get(id);
    if (detached === undefined) {
      detached = new DetachedTask(id, task, job, now);
      job.detachedTasks.set(id, detached);
    }
    return detached;
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

/**
 * Whether a job has an owner. A detached task has one from its first hand-over
 * on; without it, only records of its progress or end are left.
 */
export function hasOwner({detached, handOver}: KnownJob): boolean {
  return detached === undefined || handOver !== undefined;
}

/** Ignores hand-overs that are read again after later ones. */
function applyHandOver(job: KnownJob, handOver: HandOverRecord): void {
  if (handOver.number > (job.handOver?.number ?? 0)) job.handOver = handOver;
}

function withoutSpec(submission: SubmissionRecord): SubmissionRecord {
  const shape = {...submission.shape, spec: ''};
  return {...submission, shape, lacksSpec: true};
}

/** Whether a job completed or failed, so that a cancellation has no effect. */
function isCompleteOrFailed(state: JobStateRecord | undefined): boolean {
  return state?.phase === JobPhase.COMPLETE || state?.phase === JobPhase.FAILED;
}

/** What is kept of a term that is not the latest any more. */
function withoutPredecessor(
  term: KnownScheduler | undefined,
): TermReading | undefined {
  if (term === undefined) return undefined;
  const {record, readAt} = term;
  return {record, readAt};
}

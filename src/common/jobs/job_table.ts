import {HOUR, Millis} from '../base/clock.js';
import {BatchRecord} from '../stream/types.js';
import {CheckpointAssembler} from './checkpoint_assembler.js';
import {digestOf} from './job_id.js';
import {
  Claim,
  JobId,
  JobRecord,
  JobState,
  JobView,
  Tombstone,
} from './types.js';

/** How long the job table keeps ended jobs and claims, in milliseconds. */
export interface Retention {
  /** How long the view of an ended job is kept, unless it is interrupted. */
  readonly jobKeptMs: Millis;
  /**
   * How long the key of an ended job is known, and how long the view of an
   * interrupted job is kept; both from the end of the job.
   */
  readonly keyKeptMs: Millis;
  /** How long a claim keeps its key from being claimed again. */
  readonly claimKeptMs: Millis;
}

export const DEFAULT_RETENTION: Retention = {
  jobKeptMs: HOUR,
  keyKeptMs: 24 * HOUR,
  claimKeptMs: 24 * HOUR,
};

const FINAL_STATES: ReadonlySet<JobState> = new Set([
  JobState.FINISHED,
  JobState.FAILED,
  JobState.CANCELLED,
  JobState.INTERRUPTED,
]);

/** Whether a job in this state never runs again. */
export function isFinal(state: JobState): boolean {
  return FINAL_STATES.has(state);
}

type RecordOf<K extends JobRecord['kind']> = Extract<JobRecord, {kind: K}>;

/**
 * The jobs and claims of a data centre, as a replay of the batches in force of
 * its stream gives them. Every instance replays the same batches and has the same
 * table at the same offset. Records about unknown jobs are ignored, because a
 * reader may start in the middle of the stream.
 */
export class JobTable {
  private jobs = new Map<JobId, JobView>();
  /** Unix times of the ends of jobs, in order; without interrupted jobs. */
  private ended = new Map<JobId, Millis>();
  /** The same for interrupted jobs, which are kept longer, for an operator. */
  private interrupted = new Map<JobId, Millis>();
  private tombstones = new Map<JobId, Tombstone>();
  /** Open and ended claims by key, in the order of their times. */
  private claims = new Map<string, Claim>();
  private checkpointAssembler = new CheckpointAssembler();
  private recordCount = 0;

  constructor(private readonly retention: Retention = DEFAULT_RETENTION) {}

  /** Records applied since the last complete checkpoint. */
  get recordsSinceCheckpoint(): number {
    return this.recordCount;
  }

  job(id: JobId): JobView | undefined {
    return this.jobs.get(id);
  }

  /** The tombstone of a job whose view has been dropped. */
  tombstone(id: JobId): Tombstone | undefined {
    return this.tombstones.get(id);
  }

  claim(key: string): Claim | undefined {
    return this.claims.get(key);
  }

  allJobs(): IterableIterator<JobView> {
    return this.jobs.values();
  }

  allClaims(): IterableIterator<Claim> {
    return this.claims.values();
  }

  allTombstones(): IterableIterator<Tombstone> {
    return this.tombstones.values();
  }

  /** Applies a batch in force. */
  applyBatch(batch: BatchRecord): void {
    for (const record of batch.entries) this.apply(record, batch.epoch);
  }

  /** Applies one record. */
  apply(record: JobRecord, epoch = 0): void {
    this.recordCount++;
    if (record.kind === 'checkpoint') {
      this.applyCheckpoint(record, epoch);
      return;
    }
    this.checkpointAssembler.reset();
    const handler = this.handlers[record.kind] as (record: JobRecord) => void;
    handler(record);
  }

  /** An independent copy; the job views are immutable and shared. */
  clone(): JobTable {
    const copy = new JobTable(this.retention);
    copy.jobs = new Map(this.jobs);
    copy.ended = new Map(this.ended);
    copy.interrupted = new Map(this.interrupted);
    copy.tombstones = new Map(this.tombstones);
    copy.claims = new Map(this.claims);
    return copy;
  }

  /** Drops what is past its retention at the Unix time `unixMs`. */
  prune(unixMs: Millis): void {
    const {jobKeptMs, keyKeptMs} = this.retention;
    this.dropEndedJobs(this.ended, unixMs - jobKeptMs);
    this.dropEndedJobs(this.interrupted, unixMs - keyKeptMs);
    for (const [id, {endedMs}] of this.tombstones) {
      if (unixMs - endedMs < keyKeptMs) break;
      this.tombstones.delete(id);
    }
    for (const [key, {timeMs}] of this.claims) {
      if (unixMs - timeMs < this.retention.claimKeptMs) break;
      this.claims.delete(key);
    }
  }

  private readonly handlers: {
    readonly [K in Exclude<JobRecord['kind'], 'checkpoint'>]: (
      record: RecordOf<K>,
    ) => void;
  } = {
    submitted: record => this.applySubmitted(record),
    starting: ({job, task, worker, workerStart}) =>
      this.updateJob(job, view => ({
        ...view,
        state: JobState.STARTING,
        attempts: view.attempts + 1,
        task,
        worker,
        workerStart,
      })),
    'not-started': ({job, task}) =>
      this.updateJob(job, view => (view.task === task ? requeued(view) : view)),
    ended: record => this.applyEnded(record),
    requeued: record => this.applyRequeued(record),
    cancelled: ({job, task, timeMs}) =>
      this.updateJob(job, view =>
        isFinal(view.state)
          ? view
          : {
              ...view,
              state: JobState.CANCELLED,
              task: task ?? view.task,
              endedMs: timeMs,
            },
      ),
    claimed: record => this.applyClaimed(record),
    'claim-ended': ({key, status}) => {
      const claim = this.claims.get(key);
      if (claim !== undefined) {
        this.claims.set(key, {...claim, state: 'ended', status});
      }
    },
    'claim-released': ({key}) => {
      this.claims.delete(key);
    },
  };

  private applySubmitted(record: RecordOf<'submitted'>): void {
    const {job, submission, timeMs} = record;
    // The first submission of a key makes the job; a repeat changes nothing.
    if (this.jobs.has(job) || this.tombstones.has(job)) return;
    this.jobs.set(job, {
      id: job,
      state: JobState.QUEUED,
      submission,
      submittedMs: timeMs,
      attempts: 0,
      evictions: 0,
      checkpoint: 0,
    });
  }

  private applyEnded(record: RecordOf<'ended'>): void {
    const {job, task, outcome, result, reason, timeMs} = record;
    this.updateJob(job, view => {
      // A lost worker may come back and report how an interrupted job ended.
      const outcomeLearned =
        view.state === JobState.INTERRUPTED && view.task === task;
      if (isFinal(view.state) && !outcomeLearned) return view;
      return {...view, state: outcome, task, result, reason, endedMs: timeMs};
    });
  }

  private applyRequeued(record: RecordOf<'requeued'>): void {
    this.updateJob(record.job, view => {
      if (isFinal(view.state)) return view;
      const failedOn = new Set(view.failedOn);
      if (record.failedOn !== undefined) failedOn.add(record.failedOn);
      // An open start is closed only by the end of its own task.
      const otherStartOpen =
        view.task !== undefined && view.task !== record.task;
      return {
        ...(otherStartOpen ? view : requeued(view)),
        checkpoint: Math.max(view.checkpoint, record.checkpoint),
        evictions: view.evictions + (record.evicted ? 1 : 0),
        failedOn: [...failedOn],
      };
    });
  }

  private applyClaimed(record: RecordOf<'claimed'>): void {
    const {key, instance, timeMs} = record;
    const held = this.claims.get(key);
    if (held !== undefined) {
      // The times in the records decide, so that every reader agrees.
      if (timeMs - held.timeMs < this.retention.claimKeptMs) return;
      this.claims.delete(key);
    }
    this.claims.set(key, {key, instance, timeMs, state: 'open'});
  }

  private applyCheckpoint(record: RecordOf<'checkpoint'>, epoch: number): void {
    const content = this.checkpointAssembler.add(record, epoch);
    if (content === undefined) return;
    this.jobs = new Map(content.jobs.map(view => [view.id, view]));
    this.claims = new Map(content.claims.map(claim => [claim.key, claim]));
    this.tombstones = new Map(
      content.tombstones.map(tombstone => [tombstone.id, tombstone]),
    );
    const ended = content.jobs.filter(view => view.endedMs !== undefined);
    ended.sort((a, b) => (a.endedMs ?? 0) - (b.endedMs ?? 0));
    this.ended.clear();
    this.interrupted.clear();
    for (const view of ended) this.trackEnd(view);
    this.recordCount = 0;
  }

  /** Replaces the view of a known job by `change` of it. */
  private updateJob(id: JobId, change: (view: JobView) => JobView): void {
    const view = this.jobs.get(id);
    if (view === undefined) return;
    const next = change(view);
    this.jobs.set(id, next);
    if (next !== view) this.trackEnd(next);
  }

  /** Enters the end of a job into the map of its kind, as the last one. */
  private trackEnd({id, state, endedMs}: JobView): void {
    if (endedMs === undefined) return;
    this.ended.delete(id);
    this.interrupted.delete(id);
    const ends = state === JobState.INTERRUPTED ? this.interrupted : this.ended;
    ends.set(id, endedMs);
  }

  /** Replaces jobs that ended at `beforeMs` or earlier by tombstones. */
  private dropEndedJobs(ends: Map<JobId, Millis>, beforeMs: Millis): void {
    for (const [id, endedMs] of ends) {
      if (endedMs > beforeMs) break;
      ends.delete(id);
      this.replaceByTombstone(id);
    }
  }

  private replaceByTombstone(id: JobId): void {
    const view = this.jobs.get(id);
    this.jobs.delete(id);
    if (view === undefined) return;
    this.tombstones.set(id, {
      id,
      state: view.state,
      digest: digestOf(view.submission),
      submittedMs: view.submittedMs,
      endedMs: view.endedMs ?? 0,
    });
  }
}

/** The view of a job that waits for another start. */
function requeued(view: JobView): JobView {
  return {
    ...view,
    state: JobState.QUEUED,
    task: undefined,
    worker: undefined,
    workerStart: undefined,
  };
}

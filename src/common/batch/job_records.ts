import {Packr} from 'msgpackr';
import {InterferenceEvidence, InterferenceWeights} from './interference.js';
import {ShardLayout, ShardLoad, WHOLE_FLEET} from './shard_layout.js';
import {JobShape, Queue, StepShape} from './types.js';

/** Phase of a job as reported to callers. */
export const JobPhase = {
  /** No task was placed yet. */
  QUEUED: 0,
  /** At least one task was placed. */
  RUNNING: 1,
  /** All tasks of all occurrences are done. */
  COMPLETE: 2,
  /** A task, or a whole gang, used up its attempts. */
  FAILED: 3,
  /** Cancelled by the caller. */
  CANCELLED: 4,
} as const;
export type JobPhase = (typeof JobPhase)[keyof typeof JobPhase];

const PHASES: ReadonlySet<unknown> = new Set(Object.values(JobPhase));

/** Whether a phase is final. */
export function isFinal(phase: JobPhase): boolean {
  return phase >= JobPhase.COMPLETE;
}

/**
 * Phase of a task as written to the log: not placed, placed on a worker, or
 * done.
 */
export const TaskPhase = {WAITING: 0, PLACED: 1, DONE: 2} as const;
export type TaskPhase = (typeof TaskPhase)[keyof typeof TaskPhase];

/** A task as written to the log. */
export interface TaskRecord {
  readonly phase: TaskPhase;
  /** Number of the latest attempt; 0 before the first. */
  readonly attempt: number;
  /**
   * Attempts that failed. Kept as a list of attempt numbers, as a worker may
   * report the same end more than once.
   */
  readonly failures: readonly number[];
  /** Attempts whose worker crashed soon after their start. */
  readonly crashes: readonly number[];
  /** Worker of the current run; empty for none. */
  readonly worker: string;
  /** Incarnation of that worker, in ms since 1970; 0 for none. */
  readonly born: number;
  /**
   * Time of day until which that incarnation may have a lease of a call that was
   * meant for an earlier one, in ms since 1970; absent for no such lease.
   */
  readonly longLeaseUntil?: number;
  /** Checkpoint from which the next run resumes; empty for none. */
  readonly checkpoint: string;
}

/** An occurrence as written to the log: the tasks of each step. */
export interface OccurrenceRecord {
  readonly number: number;
  readonly steps: readonly (readonly TaskRecord[])[];
}

/** The progress of a job as written to the log. */
export interface ProgressRecord {
  readonly phase: JobPhase;
  /** Whether any task was ever placed. */
  readonly hasStarted: boolean;
  /** Number of the first occurrence that was not added yet. */
  readonly nextOccurrence: number;
  readonly occurrences: readonly OccurrenceRecord[];
  /** Wall-clock time of the final phase, in ms since 1970; 0 before it. */
  readonly endedAt: number;
  /** Number of hand-overs of the job before the record was written. */
  readonly handOvers: number;
}

/** The state of a job that all instances know. */
export interface JobStateRecord {
  readonly phase: JobPhase;
  /** Whether any task was ever placed. */
  readonly hasStarted: boolean;
  /** Wall-clock time of the final phase, in ms since 1970; 0 before it. */
  readonly endedAt: number;
}

/** An accepted job as written to the log. */
export interface SubmissionRecord {
  /** The queue as configured when the job was accepted. */
  readonly queue: Queue;
  /** Wall-clock time of acceptance, in ms since 1970. */
  readonly acceptedAt: number;
  readonly shape: JobShape;
  /** Address of the client; absent in records of earlier versions. */
  readonly source?: string;
  /**
   * Whether this copy lacks the specification, to save memory. Never set in the
   * log.
   */
  readonly lacksSpec?: boolean;
}

/** The hand-over of a job, or of a detached task, to another shard. */
export interface HandOverRecord {
  /** Shard that owns the job from this record on. */
  readonly shard: string;
  /** Number of the hand-over; the first one of a job is 1. */
  readonly number: number;
  /** Tasks of the job at the hand-over; none of them has a run. */
  readonly progress: ProgressRecord;
}

/** A scheduler's leadership claim, heartbeat or resignation. */
export interface SchedulerRecord {
  readonly epoch: number;
  readonly instance: string;
  /** Distinguishes restarts of an instance. */
  readonly incarnation: string;
  /** `host:port` of the instance; no other process of its machine has it. */
  readonly address?: string;
  /**
   * Time for which the scheduler may grant leases after a heartbeat, in ms.
   * Absent in records of earlier versions, whose other appends counted as well.
   */
  readonly authorityMs?: number;
  /** Whether the instance has resigned from the scheduler role. */
  readonly resigned: boolean;
  /**
   * Time from the writing of the record for which schedulers before this one
   * may still grant leases, in ms. Absent before the term has begun, and in
   * records of earlier versions.
   */
  readonly earlierAuthorityMs?: number;
  /**
   * Number of takeovers in a row, up to this one, from a scheduler that had
   * begun only shortly before and did not resign.
   */
  readonly quickTakeovers?: number;
  /** Load of the shard when the record was written. */
  readonly load?: ShardLoad;
}

/** An unreachable worker, as recorded for the next scheduler. */
export interface LostWorkerRecord {
  /** Incarnation of the worker, in ms since 1970. */
  readonly born: number;
  /** Time from the writing of the record until all of its leases expire. */
  readonly leaseLeftMs: number;
  /** Shard of the scheduler that wrote the record. */
  readonly shard?: string;
}

/** What an instance publishes about itself when it starts. */
export interface InstanceRecord {
  /** Processors available to the instance, in cores. */
  readonly processors: number;
  readonly dataCentre?: string;
  /** `host:port` at which it calls workers for the scheduler, if it does. */
  readonly relayAddress?: string;
  /** Distinguishes restarts; absent in records of earlier versions. */
  readonly incarnation?: string;
  /**
   * Incarnations of earlier processes of this instance, on the same machine,
   * which have ended; the latest first.
   */
  readonly endedIncarnations?: readonly string[];
  /**
   * Memory in bytes that it has for jobs; absent in records of earlier versions.
   */
  readonly jobMemoryBytes?: number;
}

/** Kinds of record; the first letter of a record's key. */
export const RecordKind = {
  /** An accepted job. */
  SUBMISSION: 'j',
  /** A job's cancellation by its caller. */
  CANCELLATION: 'c',
  /** State of a job. */
  STATE: 't',
  /** Progress of a job. */
  PROGRESS: 's',
  /** Claim, heartbeat or resignation of the scheduler. */
  SCHEDULER: 'l',
  /** A worker that the scheduler cannot reach. */
  LOST_WORKER: 'w',
  /** Learned weights of the interference between images. */
  INTERFERENCE: 'm',
  /** An instance of the system. */
  INSTANCE: 'i',
  /** List of the shards. */
  LAYOUT: 'd',
  /** Hand-over of a job to another shard. */
  HAND_OVER: 'o',
} as const;

export type RecordKind = (typeof RecordKind)[keyof typeof RecordKind];

/** Key of the record of a shard's scheduler. */
export function schedulerKey(shard: string): string {
  return RecordKind.SCHEDULER + shard;
}

/** Key of the scheduler's record in a fleet that is not divided. */
export const SCHEDULER_KEY = schedulerKey(WHOLE_FLEET);

/** Key of the record that lists the shards. */
export const LAYOUT_KEY = RecordKind.LAYOUT;

/** Key of the learned interference weights. */
export const INTERFERENCE_KEY = RecordKind.INTERFERENCE;

const packr = new Packr({useRecords: false});

/** The fields of a task by position; 0 for one that was never placed. */
type PackedTask =
  | 0
  | [
      number,
      number,
      readonly number[],
      string,
      number,
      string,
      // Absent in records of earlier versions.
      (readonly number[])?,
      number?,
    ];

function packTask(task: TaskRecord): PackedTask {
  if (task.phase === TaskPhase.WAITING && task.attempt === 0) return 0;
  const {phase, attempt, failures, crashes, worker, born, checkpoint} = task;
  if (phase === TaskPhase.DONE) return [phase, attempt, failures, '', 0, ''];
  const {longLeaseUntil} = task;
  const run = [worker, born, checkpoint] as const;
  if (longLeaseUntil === undefined) {
    return [phase, attempt, failures, ...run, crashes];
  }
  return [phase, attempt, failures, ...run, crashes, longLeaseUntil];
}

/** A task that was never placed. */
export const UNSTARTED_TASK: TaskRecord = {
  phase: TaskPhase.WAITING,
  attempt: 0,
  failures: [],
  crashes: [],
  worker: '',
  born: 0,
  checkpoint: '',
};

function unpackTask(packed: PackedTask): TaskRecord {
  if (packed === 0) return UNSTARTED_TASK;
  const [phase, attempt, failures, worker, born, checkpoint, crashes, until] =
    packed;
  return {
    phase: phase as TaskPhase,
    attempt,
    failures,
    crashes: crashes ?? [],
    worker,
    born,
    ...(until !== undefined && {longLeaseUntil: until}),
    checkpoint,
  };
}

/** The fields of a job's progress by position. */
type PackedProgress = [
  JobPhase,
  boolean,
  number,
  [number, PackedTask[][]][],
  number,
  // Absent in records of earlier versions.
  number?,
];

function progressFields(record: ProgressRecord): PackedProgress {
  return [
    record.phase,
    record.hasStarted,
    record.nextOccurrence,
    record.occurrences.map(({number, steps}) => [
      number,
      steps.map(tasks => tasks.map(packTask)),
    ]),
    record.endedAt,
    record.handOvers,
  ];
}

/** Encodes a job's progress by position, without field names. */
export function packProgress(record: ProgressRecord): Uint8Array {
  return packr.pack(progressFields(record));
}

/** Returns the progress of a job without the checkpoints of its tasks. */
export function withoutCheckpoints(record: ProgressRecord): ProgressRecord {
  const occurrences = record.occurrences.map(({number, steps}) => ({
    number,
    steps: steps.map(tasks => tasks.map(task => ({...task, checkpoint: ''}))),
  }));
  return {...record, occurrences};
}

/** Decodes a job's progress. */
export function unpackProgress(bytes: Uint8Array): ProgressRecord {
  return progressOf(packr.unpack(bytes) as PackedProgress);
}

function progressOf(fields: PackedProgress): ProgressRecord {
  const [phase, hasStarted, nextOccurrence, occurrences, endedAt] = fields;
  const handOvers = fields[5] ?? 0;
  if (!PHASES.has(phase) || !Number.isFinite(endedAt)) {
    throw new TypeError('Progress record has no valid phase or time.');
  }
  return {
    phase,
    hasStarted,
    nextOccurrence,
    occurrences: occurrences.map(([number, steps]) => ({
      number,
      steps: steps.map(tasks => tasks.map(unpackTask)),
    })),
    endedAt,
    handOvers,
  };
}

/** Encodes the hand-over of a job by position. */
export function packHandOver(record: HandOverRecord): Uint8Array {
  const {shard, number, progress} = record;
  return packr.pack([shard, number, progressFields(progress)]);
}

/**
 * Decodes the hand-over of a job.
 * @throws TypeError if it names no shard or has no number.
 */
export function unpackHandOver(bytes: Uint8Array): HandOverRecord {
  const [shard, number, progress] = packr.unpack(bytes) as [
    string,
    number,
    PackedProgress,
  ];
  if (typeof shard !== 'string' || !Number.isInteger(number)) {
    throw new TypeError('Hand-over has no shard or no number.');
  }
  return {shard, number, progress: progressOf(progress)};
}

/** Encodes the list of the shards by position. */
export function packLayout({shards, workers}: ShardLayout): Uint8Array {
  return packr.pack([shards, workers]);
}

/**
 * Decodes the list of the shards.
 * @throws TypeError if there are none, or if one has no name or no workers.
 */
export function unpackLayout(bytes: Uint8Array): ShardLayout {
  const [shards, workers] = packr.unpack(bytes) as [string[], number[]];
  const isValid =
    Array.isArray(shards) &&
    Array.isArray(workers) &&
    shards.length > 0 &&
    shards.every(
      (name, index) => typeof name === 'string' && workers[index] > 0,
    );
  if (!isValid) throw new TypeError('Layout has no valid shards.');
  return new ShardLayout(shards, workers);
}

/** Encodes a job's state by position, without field names. */
export function packState(record: JobStateRecord): Uint8Array {
  return packr.pack([record.phase, record.hasStarted, record.endedAt]);
}

/** Decodes a job's state. */
export function unpackState(bytes: Uint8Array): JobStateRecord {
  const [phase, hasStarted, endedAt] = packr.unpack(bytes) as [
    JobPhase,
    boolean,
    number,
  ];
  if (!PHASES.has(phase) || !Number.isFinite(endedAt)) {
    throw new TypeError('State record has no valid phase or time.');
  }
  return {phase, hasStarted, endedAt};
}

/** Encodes any other record, with its field names. */
export function packRecord(
  record:
    | SubmissionRecord
    | SchedulerRecord
    | InterferenceWeights
    | LostWorkerRecord
    | InstanceRecord,
): Uint8Array {
  return packr.pack(record);
}

/**
 * Decodes an accepted job.
 * @throws TypeError if the record lacks a queue or steps.
 */
export function unpackSubmission(bytes: Uint8Array): SubmissionRecord {
  const record = packr.unpack(bytes) as SubmissionRecord | undefined;
  const steps: unknown = record?.shape?.steps;
  const isValid =
    typeof record?.queue?.name === 'string' &&
    Array.isArray(steps) &&
    steps.every(
      (step: Partial<StepShape> | null) =>
        Number.isInteger(step?.count) && Array.isArray(step?.after),
    );
  if (!isValid) throw new TypeError('Submission has no queue or no steps.');
  return record;
}

/**
 * Decodes the record of a lost worker.
 * @throws TypeError if a time is missing.
 */
export function unpackLostWorker(bytes: Uint8Array): LostWorkerRecord {
  const record = packr.unpack(bytes) as LostWorkerRecord | undefined;
  if (!Number.isFinite(record?.born) || !Number.isFinite(record?.leaseLeftMs)) {
    throw new TypeError('Record of a lost worker has no times.');
  }
  return record!;
}

/**
 * Decodes the record of an instance.
 * @throws TypeError if it has no processors.
 */
export function unpackInstance(bytes: Uint8Array): InstanceRecord {
  const record = packr.unpack(bytes) as InstanceRecord | undefined;
  if (!Number.isFinite(record?.processors)) {
    throw new TypeError('Record of an instance has no processors.');
  }
  return record!;
}

/** Encodes what a scheduler has learned of the interference. */
export function packEvidence(evidence: InterferenceEvidence): Uint8Array {
  return packr.pack(evidence);
}

/**
 * Decodes what a scheduler has learned of the interference.
 * @throws TypeError if it isn't made of weights and positive strengths.
 */
export function unpackEvidence(bytes: Uint8Array): InterferenceEvidence {
  const evidence = packr.unpack(bytes) as InterferenceEvidence | null;
  const rows = Object.values(evidence ?? {}).flatMap(weights =>
    Object.values(weights),
  );
  const isValid =
    evidence !== null &&
    typeof evidence === 'object' &&
    rows.every(
      row =>
        Array.isArray(row) && Number.isFinite(row[0]) && Number(row[1]) > 0,
    );
  if (!isValid) throw new TypeError('Record has no interference evidence.');
  return evidence;
}

/** Decodes the learned interference weights. */
export function unpackInterference(bytes: Uint8Array): InterferenceWeights {
  return packr.unpack(bytes) as InterferenceWeights;
}

/**
 * Decodes the record of a scheduler.
 * @throws TypeError if the record has no epoch.
 */
export function unpackScheduler(bytes: Uint8Array): SchedulerRecord {
  const record = packr.unpack(bytes) as SchedulerRecord | undefined;
  if (typeof record?.epoch !== 'number') {
    throw new TypeError('Scheduler record has no epoch.');
  }
  return record;
}

import {Millis} from '../base/clock.js';

/** Processors in thousandths of a core, memory in MB and accelerators. */
export interface Resources {
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly gpus: number;
}

/** A step of a job, as declared by the caller. */
export interface StepShape extends Resources {
  /** Number of tasks. */
  readonly count: number;
  /** Estimated duration of a task; often wrong by half or more. */
  readonly estimateMs: Millis;
  /** Numbers of the earlier steps that this step depends on. */
  readonly after: readonly number[];
  /** The tasks write checkpoints and can resume from them. */
  readonly checkpoints: boolean;
  /** All tasks start and end together. */
  readonly gang: boolean;
  /** The tasks run faster when all of them are in one rack. */
  readonly sameRack: boolean;
  /** Label that a worker must have; empty for none. */
  readonly requiredLabel: string;
  /** Rack that holds the data; empty for none. */
  readonly dataRack: string;
  /** Maximum tasks of the step per worker and occurrence; 0 for no limit. */
  readonly maxPerWorker: number;
  /** Several copies of a task may run at the same time. */
  readonly speculative: boolean;
  /** The tasks run until the job is cancelled. */
  readonly perpetual: boolean;
  /** Image of the tasks; tasks of one image behave alike. */
  readonly image: string;
  /** Maximum tail latency of a serving task; 0 for none. */
  readonly targetMs: Millis;
  /** Best-effort tasks: they use idle processors and reserve none. */
  readonly fills: boolean;
  /** Tasks of a perpetual step that the scheduler may interrupt at a time. */
  readonly mayMiss: number;
}

/** A job, as declared by the caller. */
export interface JobShape {
  /** Specification that is passed to the workers as it is. */
  readonly spec: string;
  readonly steps: readonly StepShape[];
  /** Number of scheduled occurrences; 0 for a job that runs once, at once. */
  readonly repeats: number;
  /** Wall-clock time of the first occurrence, in ms since 1970. */
  readonly startMs: Millis;
  /** Time between two occurrences. */
  readonly periodMs: Millis;
}

/** A queue of jobs, as configured by the operator. */
export interface Queue {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Failed attempts of a task, or of a whole gang, that fail the job. */
  readonly maxAttempts: number;
  /** Factor of a job's critical path in its latency objective. */
  readonly stretch: number;
  /** Time added to the latency objective. */
  readonly latencyMs: Millis;
  /** Steps may run only on workers that the advice service names. */
  readonly advised: boolean;
}

/** A pool of workers, as configured by the operator. */
export interface WorkerPool {
  readonly name: string;
  /** The workers reject starts that would exceed their capacity. */
  readonly hasAdmissionCheck: boolean;
}

/** One version of the operator's configuration. */
export interface BatchConfiguration {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly pools: readonly WorkerPool[];
  readonly maxBodyBytes: number;
}

/**
 * Phase of a worker, from its entry in the instance list: it accepts starts, or
 * it will leave and gets no new runs.
 */
export const WorkerPhase = {READY: 'ready', DRAINING: 'draining'} as const;
export type WorkerPhase = (typeof WorkerPhase)[keyof typeof WorkerPhase];

/** A worker's entry in the instance list. */
export interface WorkerListing {
  readonly id: string;
  /** Start of this incarnation, in ms since 1970. */
  readonly born: number;
  readonly service: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly phase: WorkerPhase;
  /** Minimum time until a draining worker leaves; undefined if unknown. */
  readonly remainingMs?: Millis;
  /** Remaining warm-up time, during which the worker is slow. */
  readonly warmupMs: Millis;
  readonly capacity: Resources;
  /** Kind and rack, in this order. */
  readonly labels: readonly string[];
}

/** How a run of a task ended; only FAILED counts against its attempts. */
export const RunOutcome = {
  /** The task finished its work. */
  DONE: 'done',
  /** The task failed. */
  FAILED: 'failed',
  /** The worker stopped the run at the scheduler's request. */
  STOPPED: 'stopped',
  /** The lease expired and the worker stopped the run. */
  LEASE_EXPIRED: 'lapsed',
  /** The run ended because another member of its task's gang did. */
  BROKEN: 'broken',
  /** The run was without the other members of its task's gang. */
  ALONE: 'alone',
} as const;
export type RunOutcome = (typeof RunOutcome)[keyof typeof RunOutcome];

/** A run that a worker reports as running. */
export interface ReportedRun {
  readonly task: string;
  readonly attempt: number;
  readonly checkpoint: string;
  /** Progress in percent; for a perpetual task, 100 while it is working. */
  readonly percent: number;
  /**
   * Tail latency in ms for a serving task; otherwise the processors in use, in
   * thousandths of a core.
   */
  readonly gauge: number;
}

/** The end of a run, reported in every response until acknowledged. */
export interface ReportedEnd {
  /** Sequence number of the end within the worker's incarnation. */
  readonly sequence: number;
  readonly task: string;
  readonly attempt: number;
  readonly end: RunOutcome;
  readonly checkpoint: string;
}

/** A worker's response to a lease renewal. */
export interface WorkerReport {
  readonly born: number;
  /** The worker's monotonic clock. */
  readonly clockMs: Millis;
  readonly running: readonly ReportedRun[];
  readonly ends: readonly ReportedEnd[];
  /**
   * Whether the list of ends may be cut. A run that is in neither list may have
   * ended then; its end is listed once earlier ones are acknowledged.
   */
  readonly hasMoreEnds: boolean;
}

/** A request to start one run. */
export interface StartRequest {
  readonly task: string;
  readonly attempt: number;
  readonly spec: string;
  /** Checkpoint to resume from; empty for none. */
  readonly checkpoint: string;
  /** Ticket of the start; empty for none. */
  readonly ticket: string;
}

/** Identifies a step of one occurrence of a job. */
export interface StepKey {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
}

/** Formats the name of a task. */
export function taskName(key: StepKey, index: number): string {
  return `${key.job}.${key.occurrence}.${key.step}.${index}`;
}

/** Identifies a task: its parsed name. */
export interface TaskKey extends StepKey {
  readonly index: number;
}

/** Parses the name of a task; undefined if taskName() did not format it. */
export function parseTaskName(name: string): TaskKey | undefined {
  const parts = name.split('.');
  if (parts.length !== 4) return undefined;
  const [occurrence, step, index] = parts.slice(1).map(Number);
  if (![occurrence, step, index].every(Number.isInteger)) return undefined;
  return {job: parts[0], occurrence, step, index};
}

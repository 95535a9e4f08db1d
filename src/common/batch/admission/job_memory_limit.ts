import {OWN_MEMORY_MB} from '../../connections/connection_limits.js';
import {InstanceRecord} from '../job_records.js';

/** Memory that a process may use, in MB. */
export interface ProcessMemory {
  /** All of its memory, from the settings file. */
  readonly memoryMb: number;
  /** The heap of its runtime. */
  readonly heapMb: number;
}

/**
 * Share for jobs of the memory that the process leaves. The clients' connections
 * have half of it; the rest is for garbage that is not collected yet.
 */
const JOB_MEMORY_SHARE = 0.3;

/** Share of the heap for jobs. */
const JOB_HEAP_SHARE = 0.3;

/** Least memory for jobs, where the settings allow hardly any. */
const MIN_JOB_MEMORY_MB = 8;

const BYTES_PER_MB = 1024 * 1024;

/** Derives the memory for jobs from that of the process, in bytes. */
export function jobMemoryBytes({memoryMb, heapMb}: ProcessMemory): number {
  const megabytes = Math.min(
    (memoryMb - OWN_MEMORY_MB) * JOB_MEMORY_SHARE,
    heapMb * JOB_HEAP_SHARE,
  );
  return Math.max(MIN_JOB_MEMORY_MB, megabytes) * BYTES_PER_MB;
}

/**
 * Memory for jobs that each instance has, in bytes. Instances that announce none
 * don't limit it.
 */
export function leastJobMemory(instances: Iterable<InstanceRecord>): number {
  let least = Infinity;
  for (const {jobMemoryBytes: bytes} of instances) {
    if (bytes !== undefined) least = Math.min(least, bytes);
  }
  return least;
}

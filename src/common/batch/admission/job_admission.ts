import {Millis, SECOND} from '../../base/clock.js';
import {JobHolding, JobMemory} from './job_memory.js';

/** Whether a job is accepted, or which limit it would exceed. */
export const JobVerdict = {
  ACCEPTED: 'accepted',
  /** The jobs of all clients leave no memory for it. */
  NO_MEMORY: 'no-memory',
  /** Its queue, client or connection has its share of the memory. */
  OVER_SHARE: 'over-share',
} as const;
export type JobVerdict = (typeof JobVerdict)[keyof typeof JobVerdict];

/**
 * Most memory that the jobs of one queue, or of one client's address, may take,
 * as a multiple of the memory that is free. With a factor f a single one takes
 * f / (f + 1) of the limit at most, so the others always find some memory free.
 */
interface ShareFactors {
  readonly queue: number;
  readonly source: number;
}

const FACTORS: ShareFactors = {queue: 4, source: 1};

/**
 * Factors for a connection that has few jobs: an ordinary client with the
 * address of a flooding one, or in its queue, is still served.
 */
const LIGHT_FACTORS: ShareFactors = {queue: 32, source: 16};

/** Part of the free memory up to which the jobs of a connection are few. */
const LIGHT_CONNECTION_SHARE = 1 / 64;

/** Time over which the rate of released memory is averaged. */
const RELEASE_RATE_TIME_MS: Millis = 5 * SECOND;

/** What a limit on the memory of jobs depends on. */
export interface JobAdmissionHost {
  now(): Millis;
  /** Most memory of all jobs that each instance can hold, in bytes. */
  limitBytes(): number;
  /** Number of instances that accept jobs. */
  instances(): number;
}

/**
 * Accepts jobs while their memory stays within what every instance can hold.
 *
 * All instances know all jobs, but learn of those that others accept only when
 * they read the intake. Between two reads, each of n instances therefore accepts
 * at most the n-th part of what was free at the last one, or a single job.
 */
export class JobAdmission {
  readonly memory = new JobMemory(bytes => this.onRelease(bytes));
  /** Jobs that were not accepted, by verdict. */
  readonly refused = new Map<JobVerdict, number>();
  /** Memory of the jobs that were accepted since the last read of the intake. */
  private unreadBytes = 0;
  /** Memory that was free at that time. */
  private freeAtRead = Infinity;
  /** Released memory, weighted down with its age. */
  private recentlyReleased = 0;
  private releasedAt: Millis = 0;

  constructor(private readonly host: JobAdmissionHost) {}

  get limitBytes(): number {
    return this.host.limitBytes();
  }

  private get freeBytes(): number {
    return Math.max(0, this.limitBytes - this.memory.total);
  }

  /** Called when this instance has read the intake to its end. */
  onIntakeRead(): void {
    this.unreadBytes = 0;
    this.freeAtRead = this.freeBytes;
  }

  /** Decides on a job, and counts its memory if it is accepted. */
  accept(id: string, holding: JobHolding): JobVerdict {
    const verdict = this.verdictOn(holding);
    if (verdict === JobVerdict.ACCEPTED) {
      this.memory.hold(id, holding);
      this.unreadBytes += holding.bytes;
    } else {
      this.refused.set(verdict, (this.refused.get(verdict) ?? 0) + 1);
    }
    return verdict;
  }

  /**
   * Counts an accepted job no more, as it is not known to be stored.
   *
   * @param isNotStored whether it never will be; otherwise other instances may
   *     read it.
   */
  abandon(id: string, isNotStored: boolean): void {
    const bytes = this.memory.bytesOf(id);
    this.memory.release(id);
    if (!isNotStored) return;
    this.unreadBytes = Math.max(0, this.unreadBytes - bytes);
  }

  /** Decides on a job without counting it. */
  verdictOn({queue, source, bytes, caller}: JobHolding): JobVerdict {
    const {memory} = this;
    const free = this.freeBytes - bytes;
    if (free < 0) return JobVerdict.NO_MEMORY;
    const quota = this.freeAtRead / Math.max(1, this.host.instances());
    if (this.unreadBytes > 0 && this.unreadBytes + bytes > quota) {
      return JobVerdict.NO_MEMORY;
    }
    const ofConnection = (caller?.heldBytes ?? 0) + bytes;
    const isLight = ofConnection <= free * LIGHT_CONNECTION_SHARE;
    const factors = isLight ? LIGHT_FACTORS : FACTORS;
    const ofQueue = memory.ofQueue(queue) + bytes;
    const ofSource = source === '' ? 0 : memory.ofSource(source) + bytes;
    const isWithinShares =
      ofQueue <= factors.queue * free && ofSource <= factors.source * free;
    return isWithinShares ? JobVerdict.ACCEPTED : JobVerdict.OVER_SHARE;
  }

  /**
   * Time after which memory of jobs is free again, as fast as it was released
   * lately; Infinity if none was.
   */
  releaseTimeMs(bytes: number): Millis {
    const rate = this.releasedNow() / RELEASE_RATE_TIME_MS;
    const missing = bytes + this.memory.total - this.limitBytes;
    if (missing <= 0) return 0;
    return rate > 0 ? missing / rate : Infinity;
  }

  private onRelease(bytes: number): void {
    this.recentlyReleased = this.releasedNow() + bytes;
    this.releasedAt = this.host.now();
  }

  private releasedNow(): number {
    const ageMs = this.host.now() - this.releasedAt;
    return this.recentlyReleased * Math.exp(-ageMs / RELEASE_RATE_TIME_MS);
  }
}

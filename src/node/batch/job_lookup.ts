import {setTimeout as sleep} from 'node:timers/promises';
import {Either, Left, Right} from 'purify-ts';
import {Clock, Millis} from '../../common/base/clock.js';
import {isFinal, JobPhase, RecordKind} from '../../common/batch/job_records.js';
import {JobView} from '../../common/batch/job_view.js';
import {LogTail} from './log_tail.js';

/** Longest wait for the log before the last known state is returned. */
const REFRESH_TIMEOUT_MS: Millis = 500;

/**
 * Longest wait for other instances. With the wait before it, half of the 3 s that
 * callers wait.
 */
const ASK_TIMEOUT_MS: Millis = 1000;

/** The log can't be read, so it is unknown whether a job exists. */
export class LogUnavailableError extends Error {
  constructor() {
    super('The log can not be read at present. Ask again in a second.');
  }
}

/** State of a job in this instance's replica of the log. */
export interface JobStatus {
  readonly phase: JobPhase;
  /** Upper bound of the state's age; 0 if it was current during the request. */
  readonly ageMs: Millis;
}

/** The term of an instance that holds the scheduler role. */
export interface StateWriter {
  /** Whether no other instance can have claimed the scheduler role by now. */
  readonly isAuthoritative: boolean;
  /**
   * Resolves once no append of this key is in flight; to false unless the last
   * one is known to be stored.
   */
  settled(key: string): Promise<boolean>;
}

/** The replica of the log and the readers that keep it up to date. */
export interface JobLookupDependencies {
  readonly view: JobView;
  readonly intakeTail: LogTail;
  readonly statesTail: LogTail;
  readonly clock: Clock;
  /** Returns undefined unless this instance has the job's scheduler. */
  readonly writer: (job: string) => StateWriter | undefined;
  /**
   * Asks another instance; resolves to undefined if none could read the log.
   * Absent if this instance does not forward.
   */
  readonly askNeighbour?: (
    id: string,
    deadline: Millis,
  ) => Promise<NeighbourStatus | undefined>;
}

/** Status of a job at another instance; undefined if there is no such job. */
export interface NeighbourStatus {
  readonly status: JobStatus | undefined;
}

/**
 * Looks up the state of jobs. The replicas of the instances lag behind the
 * scheduler by different times, so a state that can still change is refreshed
 * first. Otherwise a caller could see a job as complete at one instance and
 * then as running at another.
 */
export class JobLookup {
  constructor(private readonly dependencies: JobLookupDependencies) {}

  /**
   * Returns undefined if there is no such job, and an error if it isn't known
   * and the log can't be read. If the log can't be read, another instance is
   * asked; a state that isn't current there either is returned with its age.
   */
  async status(
    id: string,
  ): Promise<Either<LogUnavailableError, JobStatus | undefined>> {
    const {askNeighbour, clock} = this.dependencies;
    const own = await this.statusHere(id);
    const ageMs = own.map(status => status?.ageMs ?? 0).orDefault(Infinity);
    // A log that is slow is as slow for the others.
    if (askNeighbour === undefined || ageMs === 0 || !this.hasFailed) {
      return own;
    }
    const response = await askNeighbour(id, clock.now() + ASK_TIMEOUT_MS);
    if (response === undefined) return own;
    const {status} = response;
    if (status === undefined) return own.isLeft() ? Right(undefined) : own;
    return status.ageMs < ageMs ? Right(status) : own;
  }

  /** Whether the last read of a topic has failed. */
  private get hasFailed(): boolean {
    const {intakeTail, statesTail} = this.dependencies;
    return [intakeTail, statesTail].some(tail => tail.consecutiveFailures > 0);
  }

  /** The status as this instance knows it; asks nobody else. */
  async statusHere(
    id: string,
  ): Promise<Either<LogUnavailableError, JobStatus | undefined>> {
    const {view, intakeTail} = this.dependencies;
    if (view.phase(id) === undefined && !(await intakeTail.refresh())) {
      return Left(new LogUnavailableError());
    }
    const known = view.phase(id);
    if (known === undefined) return Right(undefined);
    if (isFinal(known)) return Right({phase: known, ageMs: 0});
    const isCurrent = await this.refreshState(id);
    const phase = view.phase(id) ?? known;
    const ageMs = isCurrent || isFinal(phase) ? 0 : this.age();
    return Right({phase, ageMs});
  }

  /**
   * Returns whether the state of a job is current now. Other instances may have
   * read a record before its writer got the response to the append, so the
   * writer waits for that response.
   */
  private async refreshState(id: string): Promise<boolean> {
    const {statesTail} = this.dependencies;
    const writer = this.dependencies.writer(id);
    const refreshed = writer?.isAuthoritative
      ? writer.settled(RecordKind.STATE + id)
      : statesTail.refresh();
    const timeout = sleep(REFRESH_TIMEOUT_MS, false, {ref: false});
    return Promise.race([refreshed, timeout]);
  }

  private age(): Millis {
    const {clock, statesTail} = this.dependencies;
    return clock.now() - statesTail.syncedAt;
  }
}

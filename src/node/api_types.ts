import {LatencySummary} from './metrics.js';
import {Either} from 'purify-ts';
import {Millis} from '../common/base/clock.js';
import {InstanceRole} from '../common/base/platform.js';
import {Ran, Refusal} from '../common/base/refusal.js';
import {JobId, JobState, JobView, Submission} from '../common/jobs/types.js';
import {Epoch, MemberId, Offset} from '../common/stream/types.js';
import {AuditEntry, Configuration, Ticket} from '../common/tickets/types.js';

/** Operations of the daemon that the job routes call. */
export interface JobBackend {
  /** Configuration in force, with the defaults of the job classes. */
  configuration(): Configuration;
  /** Names of all data centres. */
  dataCentres(): readonly string[];
  /**
   * Submits a job. A repeated submission with the same key returns the job
   * that the first one created.
   *
   * @param dataCentre data centre that manages the job; selected by the key
   *   when undefined.
   */
  submitJob(
    submission: Submission,
    dataCentre: string | undefined,
  ): Promise<Either<Refusal, JobView>>;
  job(id: JobId): Promise<Either<Refusal, JobView>>;
  /** Like `job`, but waits up to `waitMs` milliseconds for a final state. */
  jobResult(id: JobId, waitMs: Millis): Promise<Either<Refusal, JobView>>;
  /** Cancels a job; the returned job shows whether it had ended before. */
  cancelJob(id: JobId): Promise<Either<Refusal, JobView>>;
}

/** Selects the jobs of a list. */
export interface JobFilter {
  readonly state?: JobState;
  readonly team?: string;
  /** Maximum number of jobs to return. */
  readonly limit: number;
}

/** Response body of a cancellation. */
export interface CancelResponse {
  readonly job: JobView;
  /** Whether the job was run, at least in part. */
  readonly ran: Ran;
}

/** An accepted ticket and its offset in the stream `tickets`. */
export interface AcceptedTicket {
  readonly number: number;
  readonly offset: Offset;
}

/** Configuration in force at one instance, and how current it is. */
export interface TicketReport {
  readonly configuration: Configuration;
  /** Milliseconds since a read last reached the end of the stream `tickets`. */
  readonly ticketAgeMs: Millis;
  /** Whether `ticketAgeMs` exceeds the limit in the settings. */
  readonly stale: boolean;
}

/** An entry instance, as seen by the reporting instance. */
export interface EntryInstanceReport {
  readonly id: string;
  readonly start: number;
  readonly dataCentre: string;
  readonly state: 'live' | 'leaving' | 'gone';
  /** Number of the ticket in force there; null if it doesn't respond. */
  readonly ticketNumber: number | null;
}

/** Targets and requests of a service, as seen by the reporting instance. */
export interface ServiceReport {
  readonly service: string;
  readonly targets: number;
  readonly ejected: number;
  readonly leaving: number;
  readonly inFlight: number;
  readonly queued: number;
}

/** Status of one entry instance. */
export interface StatusReport {
  readonly instance: string;
  readonly dataCentre: string;
  /** Leader of the data centre; null if none is known. */
  readonly leader: MemberId | null;
  /** Instances that can succeed the leader, and the leader itself. */
  readonly members: readonly MemberId[];
  readonly epoch: Epoch | null;
  readonly ticketNumber: number;
  /** Milliseconds since a read last reached the end of the stream `tickets`. */
  readonly ticketAgeMs: Millis;
  readonly stale: boolean;
  readonly logAvailable: boolean;
  /** All listed entry instances, this one included. */
  readonly instances: readonly EntryInstanceReport[];
  /** Number of jobs of the data centre by state, as known to this instance. */
  readonly jobs: Readonly<Partial<Record<JobState, number>>>;
  readonly services: readonly ServiceReport[];
  /** Latencies of answered requests by service, measured at this instance. */
  readonly requestLatencies?: Readonly<Record<string, LatencySummary>>;
  /** Time from submission to first start by job class, at this leader. */
  readonly queueTimes?: Readonly<Record<string, LatencySummary>>;
}

/** An instance of the platform, as seen by the reporting instance. */
export interface InstanceReport {
  readonly id: string;
  readonly role: InstanceRole;
  readonly start: number;
  readonly dataCentre: string;
  readonly rack: string;
  readonly host: string;
  readonly port: number;
  readonly state: 'live' | 'leaving' | 'gone';
  /** Source that reports it as leaving or gone, such as `list` or `ticket`. */
  readonly reason?: string;
  /** Number of the ticket in force there; absent on workers. */
  readonly ticketNumber?: number | null;
}

/** Operations of the daemon that the operator routes call. */
export interface OperatorBackend extends JobBackend {
  /** Appends a ticket to the log; resolves when it has been read back. */
  submitTicket(ticket: Ticket): Promise<Either<Refusal, AcceptedTicket>>;
  ticketState(): TicketReport;
  status(): Promise<StatusReport>;
  /** Jobs of this data centre, oldest first. */
  jobs(filter: JobFilter): Promise<Either<Refusal, readonly JobView[]>>;
  instances(): readonly InstanceReport[];
  /** Accepted and refused tickets, oldest first. */
  audit(): readonly AuditEntry[];
}

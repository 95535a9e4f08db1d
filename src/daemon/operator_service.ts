import {Either} from 'purify-ts';
import {Millis} from '../common/base/clock.js';
import {Instance, InstanceRole} from '../common/base/platform.js';
import {Refusal} from '../common/base/refusal.js';
import {JobState, JobView, Submission} from '../common/jobs/types.js';
import {AuditEntry, Configuration, Ticket} from '../common/tickets/types.js';
import {
  AcceptedTicket,
  EntryInstanceReport,
  InstanceReport,
  JobFilter,
  OperatorBackend,
  ServiceReport,
  StatusReport,
  TicketReport,
} from '../node/api_types.js';
import {InstanceListClient} from '../node/instance_list_client.js';
import {Metrics} from '../node/metrics.js';
import {DataCentreService} from './data_centre_service.js';
import {JobService} from './job_service.js';
import {PeerStateService} from './peer_state_service.js';
import {RoutingService} from './routing_service.js';
import {TicketService} from './ticket_service.js';
import {Settings} from './types.js';

declare module '../common/kernel/kernel.js' {
  interface Services {
    operator: OperatorService;
  }
}

/** Services that the operator interface reports on or calls. */
export interface OperatorDependencies {
  readonly settings: Settings;
  readonly tickets: TicketService;
  readonly dataCentre: DataCentreService;
  readonly jobs: JobService;
  readonly peerStates: PeerStateService;
  readonly routing: RoutingService;
  readonly list: InstanceListClient;
  readonly metrics: Metrics;
}

/** Implements the operator interface on top of the other services. */
export class OperatorService implements OperatorBackend {
  constructor(private readonly dependencies: OperatorDependencies) {}

  configuration(): Configuration {
    return this.dependencies.tickets.state.configuration;
  }

  dataCentres(): readonly string[] {
    return Object.keys(this.dependencies.settings.dataCentres);
  }

  submitJob(
    submission: Submission,
    dataCentre: string | undefined,
  ): Promise<Either<Refusal, JobView>> {
    return this.dependencies.jobs.submit(submission, dataCentre);
  }

  job(id: string): Promise<Either<Refusal, JobView>> {
    return this.dependencies.jobs.job(id);
  }

  jobResult(id: string, waitMs: Millis): Promise<Either<Refusal, JobView>> {
    return this.dependencies.jobs.result(id, waitMs);
  }

  cancelJob(id: string): Promise<Either<Refusal, JobView>> {
    return this.dependencies.jobs.cancel(id);
  }

  submitTicket(ticket: Ticket): Promise<Either<Refusal, AcceptedTicket>> {
    return this.dependencies.tickets.submit(ticket);
  }

  ticketState(): TicketReport {
    return this.dependencies.tickets.report();
  }

  audit(): readonly AuditEntry[] {
    return this.dependencies.tickets.state.audit;
  }

  async jobs(filter: JobFilter): Promise<Either<Refusal, readonly JobView[]>> {
    const listed = await this.dependencies.jobs.list();
    return listed.map(jobs =>
      jobs
        .filter(job => filter.state === undefined || job.state === filter.state)
        .filter(
          job =>
            filter.team === undefined || job.submission.team === filter.team,
        )
        .sort((a, b) => a.submittedMs - b.submittedMs)
        .slice(0, filter.limit),
    );
  }

  async status(): Promise<StatusReport> {
    const {settings, tickets, dataCentre} = this.dependencies;
    const {view} = dataCentre;
    const {configuration, ticketAgeMs, stale} = tickets.report();
    return {
      instance: settings.instance,
      dataCentre: settings.dataCentre,
      leader: view?.leader ?? null,
      members: view?.members ?? [],
      epoch: view?.epoch ?? null,
      ticketNumber: configuration.number,
      ticketAgeMs,
      stale,
      logAvailable: tickets.logAvailable && dataCentre.logAvailable,
      instances: this.reportEntryInstances(),
      jobs: this.countJobsByState(),
      services: this.reportServices(),
      requestLatencies: this.dependencies.metrics.summaries('request_latency'),
      queueTimes: this.dependencies.metrics.summaries('job_queue_time'),
    };
  }

  instances(): readonly InstanceReport[] {
    return this.dependencies.list.instances.map(instance =>
      this.reportInstance(instance),
    );
  }

  private reportInstance(instance: Instance): InstanceReport {
    const {id, role, start, dataCentre, rack, host, port} = instance;
    const ticketState = this.findTicketState(instance);
    const isEntry = role === InstanceRole.ENTRY;
    return {
      id,
      role,
      start,
      dataCentre,
      rack,
      host,
      port,
      state: ticketState ?? instance.state,
      reason: ticketState === undefined ? 'list' : 'ticket',
      ...(isEntry ? {ticketNumber: this.findTicketNumber(id)} : {}),
    };
  }

  /** State that the tickets give an instance; undefined when it is `live`. */
  private findTicketState({
    id,
    role,
  }: Instance): 'leaving' | 'gone' | undefined {
    const {workers, instances} = this.configuration();
    const section = role === InstanceRole.WORKER ? workers : instances;
    const state = section[id]?.state;
    return state === undefined || state === 'live' ? undefined : state;
  }

  /** Number of the ticket in force at an entry instance; null when unknown. */
  private findTicketNumber(id: string): number | null {
    const {settings, peerStates} = this.dependencies;
    if (id === settings.instance) return this.configuration().number;
    const found = peerStates.peers.find(({peer}) => peer.instance === id);
    return found?.state?.ticketNumber ?? null;
  }

  private reportEntryInstances(): EntryInstanceReport[] {
    return this.instances()
      .filter(instance => instance.role === InstanceRole.ENTRY)
      .map(({id, start, dataCentre, state, ticketNumber}) => ({
        id,
        start,
        dataCentre,
        state,
        ticketNumber: ticketNumber ?? null,
      }));
  }

  private countJobsByState(): Partial<Record<JobState, number>> {
    const counts: Partial<Record<JobState, number>> = {};
    for (const {state} of this.dependencies.dataCentre.allJobs()) {
      counts[state] = (counts[state] ?? 0) + 1;
    }
    return counts;
  }

  private reportServices(): ServiceReport[] {
    return this.dependencies.routing.reportServices();
  }
}

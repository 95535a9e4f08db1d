import {Either, Left, Right} from 'purify-ts';
import {Refusal, refuse, RefusalKind} from '../common/base/refusal.js';
import {JobState, JobView, Submission} from '../common/jobs/types.js';
import {TicketState} from '../common/tickets/ticket_state.js';
import {Ticket} from '../common/tickets/types.js';
import {
  AcceptedTicket,
  EntryInstanceReport,
  InstanceReport,
  JobFilter,
  OperatorBackend,
  StatusReport,
  TicketReport,
} from './api_types.js';

/** Backend for tests, with a real ticket state and jobs in a map. */
export class FakeOperatorBackend implements OperatorBackend {
  readonly tickets = new TicketState();
  readonly jobTable = new Map<string, JobView>();
  /** When set, refuses every submission, ticket and cancellation. */
  refusal: Refusal | undefined;
  /**
   * Ticket numbers of the other entry instances by id; null for an instance that
   * doesn't respond.
   */
  readonly others = new Map<string, number | null>();
  /** Whether `status` first sets `others` to the current ticket number. */
  othersCatchUp = true;
  listedInstances: InstanceReport[] = [];
  stale = false;
  /** `waitMs` of the calls of `jobResult`, in order. */
  readonly requestedWaitsMs: number[] = [];
  private sequence = 0;

  configuration() {
    return this.tickets.configuration;
  }

  dataCentres(): readonly string[] {
    return ['akl', 'wlg'];
  }

  async submitTicket(ticket: Ticket): Promise<Either<Refusal, AcceptedTicket>> {
    if (this.refusal !== undefined) return Left(this.refusal);
    const offset = this.tickets.through + 1;
    const sequence = ++this.sequence;
    const data = {kind: 'ticket', writer: 'fake#1', sequence, ticket};
    const outcome = this.tickets.apply({offset, timeMs: 1000 + offset, data});
    if (outcome.kind === 'accepted') {
      return Right({number: ticket.number, offset});
    }
    const winner = outcome.kind === 'refused' ? outcome.winner : 0;
    return Left(
      refuse(
        RefusalKind.TICKET_CONFLICT,
        `Ticket ${ticket.number} was refused; ticket ${winner} won.`,
        'Write the change against the current number and apply it again.',
      ),
    );
  }

  ticketState(): TicketReport {
    const {configuration} = this.tickets;
    return {configuration, ticketAgeMs: 120, stale: this.stale};
  }

  async status(): Promise<StatusReport> {
    const current = this.tickets.configuration.number;
    if (this.othersCatchUp) {
      for (const id of this.others.keys()) this.others.set(id, current);
    }
    const entry = (id: string, ticketNumber: number | null) =>
      ({
        id,
        start: 1,
        dataCentre: 'akl',
        state: 'live',
        ticketNumber,
      }) satisfies EntryInstanceReport;
    return {
      instance: 'entry-1',
      dataCentre: 'akl',
      leader: 'entry-1#1',
      members: ['entry-1#1', 'entry-2#1'],
      epoch: 4,
      ticketNumber: current,
      ticketAgeMs: 120,
      stale: this.stale,
      logAvailable: true,
      instances: [
        entry('entry-1', current),
        ...[...this.others].map(([id, number]) => entry(id, number)),
      ],
      jobs: {queued: this.jobTable.size},
      services: [
        {
          service: 'order-desk',
          targets: 45,
          ejected: 1,
          leaving: 2,
          inFlight: 7,
          queued: 0,
        },
      ],
    };
  }

  async jobs(filter: JobFilter): Promise<Either<Refusal, readonly JobView[]>> {
    const matching = [...this.jobTable.values()].filter(
      job =>
        (filter.state === undefined || job.state === filter.state) &&
        (filter.team === undefined || job.submission.team === filter.team),
    );
    return Right(matching.slice(0, filter.limit));
  }

  instances(): readonly InstanceReport[] {
    return this.listedInstances;
  }

  audit() {
    return this.tickets.audit;
  }

  async submitJob(
    submission: Submission,
    dataCentre: string | undefined,
  ): Promise<Either<Refusal, JobView>> {
    if (this.refusal !== undefined) return Left(this.refusal);
    const id = `${dataCentre ?? 'akl'}/${submission.key}`;
    const job: JobView = this.jobTable.get(id) ?? {
      id,
      state: JobState.QUEUED,
      submission,
      submittedMs: 1000,
      attempts: 0,
      evictions: 0,
      checkpoint: 0,
    };
    this.jobTable.set(id, job);
    return Right(job);
  }

  async job(id: string): Promise<Either<Refusal, JobView>> {
    const job = this.jobTable.get(id);
    if (job !== undefined) return Right(job);
    return Left(
      refuse(RefusalKind.NOT_FOUND, `There is no job ${id}.`, 'Check the id.'),
    );
  }

  jobResult(id: string, waitMs: number): Promise<Either<Refusal, JobView>> {
    this.requestedWaitsMs.push(waitMs);
    return this.job(id);
  }

  async cancelJob(id: string): Promise<Either<Refusal, JobView>> {
    if (this.refusal !== undefined) return Left(this.refusal);
    const job = await this.job(id);
    return job.map(before => {
      const after = {...before, state: JobState.CANCELLED};
      this.jobTable.set(id, after);
      return after;
    });
  }
}

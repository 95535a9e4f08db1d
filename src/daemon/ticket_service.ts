import {ConsolaInstance} from 'consola';
import {Either, Left, Right} from 'purify-ts';
import {Clock, HOUR, Millis, SECOND} from '../common/base/clock.js';
import {Disposable, DisposableStore} from '../common/base/disposable.js';
import {
  Refusal,
  refuse,
  RefusalKind,
  refuseUnknown,
} from '../common/base/refusal.js';
import {RecordWriter} from '../common/stream/record_writer.js';
import {MemberId, StoredRecord} from '../common/stream/types.js';
import {TicketState} from '../common/tickets/ticket_state.js';
import {Ticket, TicketRecord} from '../common/tickets/types.js';
import {AcceptedTicket, TicketReport} from '../node/api_types.js';
import {LogClient} from '../node/log_client.js';
import {PeerMesh} from '../node/peer_mesh.js';
import {StreamChannel} from '../node/stream_channel.js';

declare module '../common/kernel/kernel.js' {
  interface Services {
    tickets: TicketService;
  }
}

const STREAM_NAME = 'tickets';

/** Number of tickets between checkpoints; section 3.2 of the design page. */
const TICKETS_PER_CHECKPOINT = 50;
const CHECKPOINT_PERIOD_MS: Millis = HOUR;

/**
 * How long a peer has to be ahead before a snapshot is requested from it. While
 * the log is available the tickets arrive from there within this time, so that
 * no snapshot needs to be sent.
 */
const SNAPSHOT_REQUEST_DELAY_MS: Millis = SECOND;

/** Settings that the ticket service uses, in milliseconds. */
export interface TicketTimeouts {
  /** For a record to be appended and read back. */
  readonly logAppendMs: Millis;
  /** Time without a confirmed end of the stream that makes tickets stale. */
  readonly ticketStaleMs: Millis;
}

interface PendingSubmission {
  readonly resolve: (result: Either<Refusal, AcceptedTicket>) => void;
  readonly timer: NodeJS.Timeout;
}

function logUnavailable(): Refusal {
  return refuse(
    RefusalKind.LOG_UNAVAILABLE,
    'The ticket was not accepted: the log service does not answer.',
    'Apply the same ticket again when the log is available.',
    5 * SECOND,
  );
}

function unknownOutcome(ticket: Ticket): Refusal {
  return refuseUnknown(
    RefusalKind.UNKNOWN_OUTCOME,
    `Ticket ${ticket.number} was sent to the log and not read back.`,
    `Ask with "jasminegaugectl ticket show ${ticket.number}" before you ` +
      'apply it again.',
  );
}

/**
 * Reads the ticket stream, appends tickets and checkpoints, and exchanges
 * snapshots with peers, so that tickets also spread while the log is down.
 */
export class TicketService implements Disposable {
  readonly state = new TicketState();
  private readonly store = new DisposableStore();
  private readonly writer: RecordWriter<TicketRecord, never>;
  private readonly channel: StreamChannel<TicketRecord, never>;
  private readonly pendingSubmissions = new Map<Ticket, PendingSubmission>();
  private lastCheckpointAt: Millis;
  /** Local time since which each peer has reported a newer ticket. */
  private readonly peerAheadSince = new Map<MemberId, Millis>();

  constructor(
    log: LogClient,
    private readonly mesh: PeerMesh,
    private readonly clock: Clock,
    private readonly self: MemberId,
    private readonly timeouts: TicketTimeouts,
    private readonly logger: ConsolaInstance,
  ) {
    this.lastCheckpointAt = clock.now();
    this.writer = new RecordWriter<TicketRecord, never>(self, () => {
      throw new Error('Tickets are appended one by one, not in batches.');
    });
    this.channel = this.store.add(
      new StreamChannel(log, STREAM_NAME, this.writer, clock, logger),
    );
    this.store.add(
      this.channel.onRecords(records => this.applyRecords(records)),
    );
    this.store.add(
      this.channel.onConfirmed(record => this.handleConfirmedRecord(record)),
    );
    this.store.add(
      mesh.onMessage(({peer, message}) => {
        if (message.kind === 'state') {
          this.requestSnapshotIfBehind(peer.member, message.ticketNumber);
        } else if (message.kind === 'snapshot-request') {
          mesh.send(peer.member, {
            kind: 'snapshot',
            snapshot: this.state.snapshot(),
          });
        } else if (message.kind === 'snapshot') {
          this.state.applySnapshot(message.snapshot);
        }
      }),
    );
    this.store.add(
      mesh.onPeerDown(({member}) => this.peerAheadSince.delete(member)),
    );
    this.store.add(
      this.state.onChange(({number}) =>
        logger.info('A ticket is in force.', {number}),
      ),
    );
  }

  start(): void {
    this.channel.start();
  }

  /** True once a configuration is known, from the log or from a peer. */
  get ready(): boolean {
    return (
      this.channel.lastCaughtUpAt > -Infinity ||
      this.state.configuration.number > 0
    );
  }

  get logAvailable(): boolean {
    return this.channel.available;
  }

  /** Time since a read last reached the end of the ticket stream. */
  get ticketAgeMs(): Millis {
    return Math.round(this.clock.now() - this.channel.lastCaughtUpAt);
  }

  report(): TicketReport {
    const ticketAgeMs = this.ticketAgeMs;
    return {
      configuration: this.state.configuration,
      ticketAgeMs,
      stale: ticketAgeMs > this.timeouts.ticketStaleMs,
    };
  }

  /**
   * Appends a ticket. Resolves once it has been read back and so accepted or
   * refused; if that takes longer than `logAppendMs`, the outcome is unknown.
   */
  submit(ticket: Ticket): Promise<Either<Refusal, AcceptedTicket>> {
    if (!this.channel.available) return Promise.resolve(Left(logUnavailable()));
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        this.pendingSubmissions.delete(ticket);
        resolve(Left(unknownOutcome(ticket)));
      }, this.timeouts.logAppendMs);
      this.pendingSubmissions.set(ticket, {resolve, timer});
      const body = {kind: 'ticket', ticket} as const;
      this.channel.run(this.writer.enqueueRecord(body, this.clock.now()));
    });
  }

  tick(): void {
    this.channel.tick();
    const age = this.clock.now() - this.lastCheckpointAt;
    if (age > CHECKPOINT_PERIOD_MS) this.appendCheckpoint();
  }

  dispose(): void {
    for (const [ticket, {resolve, timer}] of this.pendingSubmissions) {
      clearTimeout(timer);
      resolve(Left(unknownOutcome(ticket)));
    }
    this.pendingSubmissions.clear();
    this.store.dispose();
    this.state.dispose();
  }

  /** Applies a page in one step; each step copies the whole state. */
  private applyRecords(
    records: ReadonlyArray<StoredRecord<TicketRecord>>,
  ): void {
    for (const outcome of this.state.applyAll(records)) {
      if (outcome.kind === 'malformed') {
        this.logger.warn('A malformed record was ignored.', {
          reason: outcome.message,
        });
      }
    }
    const hasCheckpoint = records.some(
      ({data}) => (data as TicketRecord | null)?.kind === 'checkpoint',
    );
    if (hasCheckpoint) this.lastCheckpointAt = this.clock.now();
  }

  private handleConfirmedRecord(record: TicketRecord): void {
    if (record.kind !== 'ticket') return;
    if (this.state.ticketsSinceCheckpoint >= TICKETS_PER_CHECKPOINT) {
      // Every instance reads the ticket that makes a checkpoint due. Only its
      // writer appends one, so that there is one checkpoint and not many.
      this.appendCheckpoint();
    }
    const pending = this.pendingSubmissions.get(record.ticket);
    if (pending === undefined) return;
    this.pendingSubmissions.delete(record.ticket);
    clearTimeout(pending.timer);
    pending.resolve(this.submissionResult(record.ticket, record.sequence));
  }

  private submissionResult(
    ticket: Ticket,
    sequence: number,
  ): Either<Refusal, AcceptedTicket> {
    const entry = this.state.findAuditEntry(this.self, sequence);
    if (entry === undefined) return Left(unknownOutcome(ticket));
    if (entry.outcome === 'accepted') {
      return Right({number: ticket.number, offset: entry.offset});
    }
    return Left(
      refuse(
        RefusalKind.TICKET_CONFLICT,
        `Ticket ${ticket.number} on base ${ticket.base} was refused: ` +
          `ticket ${entry.winner} is in force (${entry.reason}).`,
        'Read the current state, write the ticket against it, and set base ' +
          `to ${this.state.configuration.number}.`,
      ),
    );
  }

  private appendCheckpoint(): void {
    this.lastCheckpointAt = this.clock.now();
    // Readers treat a checkpoint as complete, so it can't be written from a
    // state with missing records.
    if (this.state.hasGap) return;
    const body = {kind: 'checkpoint', ...this.state.snapshot()} as const;
    this.channel.run(this.writer.enqueueRecord(body, this.clock.now()));
  }

  /** Requests a snapshot from a peer that has been ahead for long enough. */
  private requestSnapshotIfBehind(peer: MemberId, ticketNumber: number): void {
    if (ticketNumber <= this.state.configuration.number) {
      this.peerAheadSince.delete(peer);
      return;
    }
    const now = this.clock.now();
    const since = this.peerAheadSince.get(peer) ?? now;
    this.peerAheadSince.set(peer, since);
    if (now - since < SNAPSHOT_REQUEST_DELAY_MS) return;
    this.peerAheadSince.set(peer, now);
    this.mesh.send(peer, {kind: 'snapshot-request'});
  }
}

import {Millis} from '../../../common/base/clock.js';
import {KeyedRecord} from '../../../common/batch/store.js';
import {NeighbourStatus} from '../job_lookup.js';
import {IntakeResult} from '../pending_write.js';
import {
  ALIVE_PATH,
  APPEND_TIME_HEADER,
  DEADLINE_HEADER,
  decodeStatus,
  decodeWrite,
  ForwardedWrite,
  JOBS_PATH,
  RECORDS_PATH,
  SENDER_HEADER,
  SLOW_PATH,
  SUSPECTED_PATH,
} from './neighbour_messages.js';
import {NeighbourTransport, TransportOutcome} from './neighbour_transport.js';

/**
 * Part of the time that is kept for the response on its way back. Links between
 * data centres take up to about 50 ms.
 */
const RESPONSE_TIME_MS: Millis = 50;

/**
 * Statuses by which a neighbour says that it has done nothing: a malformed
 * request, another version, a limit of its listener.
 */
const NOT_SERVED_STATUSES: ReadonlySet<number> = new Set([
  400, 404, 405, 408, 413, 429, 431, 503,
]);

/** Status of a look-up at a neighbour that can't read the log either. */
const UNREADABLE_STATUS = 503;

/** Outcome of an attempt at a neighbour. */
export interface NeighbourResult extends ForwardedWrite {
  /** Whether the neighbour itself answered, so that `result` is of its store. */
  readonly isAnswered: boolean;
}

/** Outcome of a look-up at a neighbour. */
export interface NeighbourLookUp {
  /** Undefined if the neighbour did not answer or can't read the log. */
  readonly response: NeighbourStatus | undefined;
  /** Whether the neighbour itself answered. */
  readonly isAnswered: boolean;
}

/** Passes writes and look-ups to neighbours. */
export class NeighbourClient {
  /**
   * @param name name of this instance.
   * @param appendMs returns the time of this instance's latest append.
   */
  constructor(
    private readonly name: string,
    private readonly transport: NeighbourTransport,
    private readonly appendMs: () => Millis,
  ) {}

  /** Lets a neighbour store a record; resolves after `timeoutMs` at the latest. */
  async store(
    address: string,
    {key, value}: KeyedRecord,
    timeoutMs: Millis,
  ): Promise<NeighbourResult> {
    const response = await this.transport.call(address, {
      method: 'POST',
      path: RECORDS_PATH + key,
      headers: this.headers(timeoutMs),
      body: value,
      timeoutMs,
    });
    const {outcome, status, body} = response;
    if (outcome === TransportOutcome.NOT_SENT) {
      return notAnswered(IntakeResult.REJECTED);
    }
    if (outcome === TransportOutcome.NO_ANSWER) {
      return notAnswered(IntakeResult.UNKNOWN);
    }
    if (status === 200) return {...decodeWrite(body), isAnswered: true};
    return notAnswered(
      NOT_SERVED_STATUSES.has(status)
        ? IntakeResult.REJECTED
        : IntakeResult.UNKNOWN,
    );
  }

  /** Asks a neighbour for the status of a job. */
  async lookUp(
    address: string,
    id: string,
    timeoutMs: Millis,
  ): Promise<NeighbourLookUp> {
    const {status, body} = await this.transport.call(address, {
      method: 'GET',
      path: JOBS_PATH + id,
      headers: this.headers(timeoutMs),
      timeoutMs,
    });
    const response = status === 200 ? decodeStatus(body) : undefined;
    const isAnswered = response !== undefined || status === UNREADABLE_STATUS;
    return {response, isAnswered};
  }

  /** Tells an instance that the store is slow for several. */
  async notifySlow(
    address: string,
    isConfirmed: boolean,
    timeoutMs: Millis,
  ): Promise<void> {
    await this.transport.call(address, {
      method: 'POST',
      path: isConfirmed ? SLOW_PATH : SUSPECTED_PATH,
      headers: this.headers(timeoutMs),
      timeoutMs,
    });
  }

  /** Whether an instance answers. */
  async isAlive(address: string, timeoutMs: Millis): Promise<boolean> {
    const {status} = await this.transport.call(address, {
      method: 'GET',
      path: ALIVE_PATH,
      headers: this.headers(timeoutMs),
      timeoutMs,
    });
    return status === 200;
  }

  private headers(timeoutMs: Millis): Record<string, string> {
    const deadlineMs = Math.max(1, Math.floor(timeoutMs - RESPONSE_TIME_MS));
    return {
      [DEADLINE_HEADER]: String(deadlineMs),
      [SENDER_HEADER]: encodeURIComponent(this.name),
      [APPEND_TIME_HEADER]: String(Math.round(this.appendMs())),
    };
  }
}

function notAnswered(result: IntakeResult): NeighbourResult {
  return {result, appendMs: 0, isAnswered: false};
}

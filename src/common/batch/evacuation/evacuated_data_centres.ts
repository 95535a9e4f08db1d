import {Millis} from '../../base/clock.js';

/** What a record of the operator says about the evacuation of a data centre. */
export interface EvacuationOrder {
  readonly dataCentre: string;
  /** Whether it is requested; otherwise the data centre is back in service. */
  readonly isRequested: boolean;
}

/** An order with the offset of its record in the operator topic. */
export interface StoredEvacuationOrder extends EvacuationOrder {
  readonly offset: number;
}

/** A change of the set of evacuated data centres. */
export interface EvacuationChange extends StoredEvacuationOrder {
  /** Time since this instance read the request. */
  readonly ageMs: Millis;
}

/** A request that is in force. */
interface EvacuationRequest {
  readonly offset: number;
  /** Local time at which this instance read it first. */
  readonly readAt: Millis;
}

/**
 * Time that a start request may take from the check of the set to the worker,
 * at most: the timeout of a call to a worker is 500 ms, and a relay adds a hop.
 */
const START_DELIVERY_MS: Millis = 1000;

/**
 * The data centres that the operator has asked to evacuate, as far as this
 * instance has read the operator topic. It also knows how old that knowledge
 * is: an instance that was frozen or that can't read the topic may have missed
 * a request.
 */
export class EvacuatedDataCentres {
  private readonly requests = new Map<string, EvacuationRequest>();
  /** Time of the permission clock as of which the set is known. */
  private knownAsOf: Millis = -Infinity;

  get size(): number {
    return this.requests.size;
  }

  has(dataCentre: string): boolean {
    return this.requests.has(dataCentre);
  }

  names(): readonly string[] {
    return [...this.requests.keys()];
  }

  /**
   * Applies orders in the order of their records; returns what has changed.
   * @param isReset whether the orders are the newest ones of all data centres:
   *     those that are missing are back in service.
   * @param now local time.
   */
  apply(
    orders: readonly StoredEvacuationOrder[],
    isReset: boolean,
    now: Millis,
  ): readonly EvacuationChange[] {
    const before = new Map(this.requests);
    if (isReset) this.requests.clear();
    const withdrawnAt = new Map<string, number>();
    for (const {dataCentre, isRequested, offset} of orders) {
      if (isRequested) {
        const readAt = before.get(dataCentre)?.readAt ?? now;
        this.requests.set(dataCentre, {offset, readAt});
      } else {
        this.requests.delete(dataCentre);
        withdrawnAt.set(dataCentre, offset);
      }
    }
    const changes: EvacuationChange[] = [];
    for (const [dataCentre, {offset}] of this.requests) {
      if (before.has(dataCentre)) continue;
      changes.push({dataCentre, isRequested: true, offset, ageMs: 0});
    }
    for (const [dataCentre, request] of before) {
      if (this.requests.has(dataCentre)) continue;
      const offset = withdrawnAt.get(dataCentre) ?? request.offset;
      const ageMs = now - request.readAt;
      changes.push({dataCentre, isRequested: false, offset, ageMs});
    }
    return changes;
  }

  /** Requests in force, with their age at the local time `now`. */
  inForce(now: Millis): readonly EvacuationChange[] {
    return [...this.requests].map(([dataCentre, {offset, readAt}]) => ({
      dataCentre,
      isRequested: true,
      offset,
      ageMs: now - readAt,
    }));
  }

  /**
   * Notes that the operator topic was read to its end.
   * @param sentAt time of the permission clock before the read was sent: the
   *     response may have waited while this process was frozen.
   */
  confirm(sentAt: Millis): void {
    this.knownAsOf = Math.max(this.knownAsOf, sentAt);
  }

  /** Age of the knowledge at a time of the permission clock. */
  age(now: Millis): Millis {
    return now - this.knownAsOf;
  }

  /**
   * Whether a start request that is sent now reaches its worker within the
   * bound after any request to evacuate that this instance has not read.
   * @param now time of the permission clock.
   * @param boundMs time after a request from which on no task may begin;
   *     undefined if the platform sets none.
   */
  allowsStarts(now: Millis, boundMs: Millis | undefined): boolean {
    if (boundMs === undefined) return true;
    return this.age(now) < boundMs - START_DELIVERY_MS;
  }
}

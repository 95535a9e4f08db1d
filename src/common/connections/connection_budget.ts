import {Millis} from '../base/clock.js';
import {ConnectionLimits} from './connection_limits.js';

/** What a connection holds bytes for. */
export const Holding = {
  /** Bodies of its requests, until they have been answered. */
  BODY: 'body',
  /** Received bytes that have not been parsed. */
  INPUT: 'input',
  /** Responses that the client has not taken. */
  OUTPUT: 'output',
} as const;
export type Holding = (typeof Holding)[keyof typeof Holding];

export const HOLDINGS: readonly Holding[] = Object.values(Holding);

/** Why a connection is closed, or a request refused. */
export const ClosureCause = {
  CONNECTIONS: 'connections',
  BODY_BYTES: 'body-bytes',
  INPUT_BYTES: 'input-bytes',
  OUTPUT_BYTES: 'output-bytes',
  SLOW_HEADERS: 'slow-headers',
  IDLE: 'idle',
  STALLED_BODY: 'stalled-body',
  SLOW_BODY: 'slow-body',
  UNREAD_RESPONSES: 'unread-responses',
} as const;
export type ClosureCause = (typeof ClosureCause)[keyof typeof ClosureCause];

const CAUSE_BY_HOLDING: Readonly<Record<Holding, ClosureCause>> = {
  [Holding.BODY]: ClosureCause.BODY_BYTES,
  [Holding.INPUT]: ClosureCause.INPUT_BYTES,
  [Holding.OUTPUT]: ClosureCause.OUTPUT_BYTES,
};

/** A connection that has to be closed; the budget no longer counts it. */
export interface Closure {
  readonly connection: number;
  readonly cause: ClosureCause;
}

/** Use of a budget, in connections, requests and bytes. */
export interface BudgetUsage {
  readonly connections: number;
  readonly requests: number;
  readonly bytes: Readonly<Record<Holding, number>>;
}

/** What a connection is waiting for from its client. */
export const ConnectionPhase = {
  /** The first byte of a request. */
  IDLE: 'idle',
  /** The end of headers. */
  HEADERS: 'headers',
  /** The end of a body. */
  BODY: 'body',
  /** Nothing: its request is complete. */
  WORK: 'work',
} as const;
export type ConnectionPhase =
  (typeof ConnectionPhase)[keyof typeof ConnectionPhase];

interface OpenConnection {
  phase: ConnectionPhase;
  phaseSince: Millis;
  /** Time of the last byte of a body, or of the last message. */
  lastByteAt: Millis;
  hasCompleted: boolean;
  readonly held: Record<Holding, number>;
  /** Since when it has held bytes of each kind without a break. */
  readonly heldSince: Record<Holding, Millis>;
}

/**
 * Factor of the waiting time of a connection that has not completed a request
 * yet, when one has to be closed.
 */
const NEWCOMER_FACTOR = 4;

/**
 * Factor of a connection whose request is complete: closing it tells its caller
 * nothing about the job, so it is closed after all others.
 */
const WORK_FACTOR = 1e-6;

/**
 * Budget of one listener. When a limit is exceeded, the connection that has
 * taken the most of it for the longest time is closed; one that has just begun
 * is not. No call leaves a limit of connections or bytes exceeded.
 */
export class ConnectionBudget {
  private readonly open = new Map<number, OpenConnection>();
  /** Requests in work, and the bytes of their bodies. */
  private requests = 0;
  private workBytes = 0;
  private readonly bytes: Record<Holding, number> = {
    [Holding.BODY]: 0,
    [Holding.INPUT]: 0,
    [Holding.OUTPUT]: 0,
  };

  constructor(private readonly limits: ConnectionLimits) {}

  get usage(): BudgetUsage {
    const {requests} = this;
    return {connections: this.open.size, requests, bytes: {...this.bytes}};
  }

  has(connection: number): boolean {
    return this.open.has(connection);
  }

  /** Adds a connection; returns those to close in its favour. */
  begin(connection: number, now: Millis): Closure[] {
    this.open.set(connection, {
      phase: ConnectionPhase.IDLE,
      phaseSince: now,
      lastByteAt: now,
      hasCompleted: false,
      held: {body: 0, input: 0, output: 0},
      heldSince: {body: now, input: now, output: now},
    });
    const closures: Closure[] = [];
    while (this.open.size > this.limits.connections) {
      closures.push(
        this.closeWorst(ClosureCause.CONNECTIONS, candidate =>
          waitingScore(candidate, now),
        ),
      );
    }
    return closures;
  }

  /** Removes a connection that has ended. */
  end(connection: number): void {
    const state = this.open.get(connection);
    if (state === undefined) return;
    this.open.delete(connection);
    for (const holding of HOLDINGS) this.bytes[holding] -= state.held[holding];
  }

  /** The connection waits for something else from now on. */
  enter(connection: number, phase: ConnectionPhase, now: Millis): void {
    const state = this.open.get(connection);
    if (state === undefined || state.phase === phase) return;
    if (state.phase === ConnectionPhase.WORK) state.hasCompleted = true;
    state.phase = phase;
    state.phaseSince = now;
    state.lastByteAt = now;
  }

  /** Bytes of a body, or a message of another protocol, have arrived. */
  progress(connection: number, now: Millis): void {
    const state = this.open.get(connection);
    if (state !== undefined) state.lastByteAt = now;
  }

  /**
   * Sets the bytes that a connection holds; returns the connections to close so
   * that all of them fit, which may include this one.
   */
  hold(
    connection: number,
    holding: Holding,
    bytes: number,
    now: Millis,
  ): Closure[] {
    const state = this.open.get(connection);
    if (state === undefined) return [];
    const before = state.held[holding];
    if (before === 0) state.heldSince[holding] = now;
    state.held[holding] = bytes;
    this.bytes[holding] += bytes - before;
    const closures: Closure[] = [];
    const limit = this.limits[LIMIT_BY_HOLDING[holding]];
    while (this.bytes[holding] > limit) {
      closures.push(
        this.closeWorst(CAUSE_BY_HOLDING[holding], candidate =>
          holdingScore(candidate, holding, now),
        ),
      );
    }
    return closures;
  }

  /**
   * Counts a request whose body is complete; false if too many are in work, so
   * that it has to be refused. It counts until `endWork`, also when its
   * connection has ended.
   */
  tryBeginWork(bodyBytes: number): boolean {
    if (this.requests >= this.limits.requests) return false;
    if (this.workBytes + bodyBytes > this.limits.bodyBytes) return false;
    this.requests++;
    this.workBytes += bodyBytes;
    return true;
  }

  endWork(bodyBytes: number): void {
    this.requests--;
    this.workBytes -= bodyBytes;
  }

  /** Removes the connections that a timeout ends, and returns them. */
  expire(now: Millis): Closure[] {
    const closures: Closure[] = [];
    for (const [connection, state] of this.open) {
      const cause = this.overdue(state, now);
      if (cause !== undefined) closures.push({connection, cause});
    }
    for (const {connection} of closures) this.end(connection);
    return closures;
  }

  private overdue(
    state: OpenConnection,
    now: Millis,
  ): ClosureCause | undefined {
    const {limits} = this;
    const unreadMs = now - state.heldSince.output;
    if (state.held.output > 0 && unreadMs > limits.transferMs) {
      return ClosureCause.UNREAD_RESPONSES;
    }
    const phaseMs = now - state.phaseSince;
    switch (state.phase) {
      case ConnectionPhase.IDLE:
        return phaseMs > limits.idleMs ? ClosureCause.IDLE : undefined;
      case ConnectionPhase.HEADERS:
        return phaseMs > limits.headerMs
          ? ClosureCause.SLOW_HEADERS
          : undefined;
      case ConnectionPhase.BODY:
        if (now - state.lastByteAt > limits.stallMs) {
          return ClosureCause.STALLED_BODY;
        }
        return phaseMs > limits.transferMs ? ClosureCause.SLOW_BODY : undefined;
      case ConnectionPhase.WORK:
        return undefined;
    }
  }

  /** Removes the connection with the highest score. */
  private closeWorst(
    cause: ClosureCause,
    score: (state: OpenConnection) => number,
  ): Closure {
    let worst = -1;
    let highest = -1;
    for (const [connection, state] of this.open) {
      const value = score(state);
      if (value <= highest) continue;
      highest = value;
      worst = connection;
    }
    this.end(worst);
    return {connection: worst, cause};
  }
}

const LIMIT_BY_HOLDING = {
  [Holding.BODY]: 'bodyBytes',
  [Holding.INPUT]: 'inputBytes',
  [Holding.OUTPUT]: 'outputBytes',
} as const;

function workFactor({phase}: OpenConnection): number {
  return phase === ConnectionPhase.WORK ? WORK_FACTOR : 1;
}

/** Time for which a connection has been open to no avail. */
function waitingScore(state: OpenConnection, now: Millis): number {
  if (state.phase === ConnectionPhase.WORK) {
    return (now - state.lastByteAt) * WORK_FACTOR;
  }
  const factor = state.hasCompleted ? 1 : NEWCOMER_FACTOR;
  return (now - state.phaseSince) * factor;
}

/** Bytes times the time for which they have been held; 0 without bytes. */
function holdingScore(
  state: OpenConnection,
  holding: Holding,
  now: Millis,
): number {
  const bytes = state.held[holding];
  if (bytes === 0) return -1;
  // Of connections that have just begun, the largest holder is closed.
  const heldMs = now - state.heldSince[holding] + 1;
  return bytes * heldMs * (holding === Holding.BODY ? workFactor(state) : 1);
}

import {Millis} from '../common/base/clock.js';
import {SchedulerTiming} from '../common/jobs/types.js';
import {LeadershipTiming} from '../common/leadership/types.js';
import {Fault} from '../common/tickets/types.js';

/** An IP address and a TCP port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Settings of one data centre, as seen from this one. */
export interface DataCentreSettings {
  /** One-way delay from this data centre. */
  readonly delayMs: Millis;
}

/** URLs of the platform's services: `http`, with an IP address as the host. */
export interface PlatformSettings {
  readonly log: string;
  readonly instances: string;
}

/** Limits of the memory and connections that callers and peers can take. */
export interface LimitSettings {
  /** Largest request body, in bytes. */
  readonly maxBodyBytes: number;
  /**
   * Bytes of the bodies that one server holds in memory, until their requests
   * have been answered.
   */
  readonly maxHeldBodyBytes: number;
  /** Jobs that may wait in the queue of a data centre. */
  readonly maxQueuedJobs: number;
  /** Connections that callers may hold open at one instance. */
  readonly maxCallerConnections: number;
  /** Messages that may wait on one peer link. */
  readonly maxPeerQueueMessages: number;
  /** Bytes that may wait on one peer link. */
  readonly maxPeerQueueBytes: number;
}

/** Timeouts of a daemon, in milliseconds. */
export interface TimeoutSettings {
  /** For requests in flight at a graceful shutdown. */
  readonly drainMs: Millis;
  /** For a caller to send its whole request. */
  readonly requestMs: Millis;
  /** For the answer to a claim of a non-idempotent request. */
  readonly claimMs: Millis;
  /** For a record to be appended and read back. */
  readonly logAppendMs: Millis;
  /** For the log to hold a read open until there is a record. */
  readonly logWaitMs: Millis;
  /** For a response of the instance list. */
  readonly instanceListMs: Millis;
  /** For a response of a worker to a call about tasks. */
  readonly workerMs: Millis;
  /** Silence after which a peer link is closed. */
  readonly peerSilenceMs: Millis;
  /** Time without a confirmed end of the stream that makes tickets stale. */
  readonly ticketStaleMs: Millis;
}

/** Levels of log messages, most severe first. */
export const LogLevel = {
  ERROR: 'error',
  WARN: 'warn',
  INFO: 'info',
  DEBUG: 'debug',
} as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** Settings of a daemon. */
export interface Settings {
  /** Id of this instance in the platform's list. */
  readonly instance: string;
  readonly dataCentre: string;
  /** All data centres by name, this one included. */
  readonly dataCentres: Readonly<Record<string, DataCentreSettings>>;
  /** Where callers connect. */
  readonly caller: Address;
  /** Where operators connect. */
  readonly operator: Address;
  /** Where other entry instances connect. */
  readonly peer: Address;
  readonly platform: PlatformSettings;
  /** Peer addresses to use until the instance list has been read. */
  readonly peers: readonly Address[];
  readonly limits: LimitSettings;
  readonly timeouts: TimeoutSettings;
  readonly leadership: LeadershipTiming;
  readonly scheduler: SchedulerTiming;
  readonly log: {readonly level: LogLevel};
}

/** Why settings could not be loaded. */
export interface SettingsError {
  readonly kind: 'unreadable' | 'invalid';
  /** All faults, one per line, and the page that describes the settings. */
  readonly message: string;
  readonly faults: readonly Fault[];
}

import {Millis} from '../base/clock.js';
import {Size} from '../base/size.js';
import {Offset} from '../stream/types.js';

/** Priority of a job. */
export const Urgency = {
  URGENT: 'urgent',
  NORMAL: 'normal',
  LOW: 'low',
} as const;
export type Urgency = (typeof Urgency)[keyof typeof Urgency];

/** Policies by which an entry instance picks a target for a request. */
export const RoutingPolicy = {
  TWO_CHOICES: 'two-choices',
  ROUND_ROBIN: 'round-robin',
  LEAST_LOAD: 'least-load',
} as const;
export type RoutingPolicy = (typeof RoutingPolicy)[keyof typeof RoutingPolicy];

/** Settings of a latency-critical service. */
export interface ServiceConfiguration {
  /** Capacity set aside on each worker that runs the service. */
  readonly reservation: Size;
  readonly routing: RoutingPolicy;
  /** Maximum number of requests queued in one entry instance. */
  readonly queueLimit: number;
  /** Deadline of a request that states none, in milliseconds. */
  readonly deadlineMs: Millis;
  /** Maximum retries and hedged requests, as a fraction of requests. */
  readonly retryBudget: number;
}

/** Default values for the jobs of one class. */
export interface JobClassConfiguration {
  readonly size: Size;
  /** Declared run time on an idle worker, in milliseconds. */
  readonly runMs: Millis;
  readonly urgency: Urgency;
  /** Whether a job may run twice without harm. */
  readonly idempotent: boolean;
  /** Maximum number of times that one job may be evicted. */
  readonly maxEvictions: number;
}

/** Quota and weight of a team. */
export interface TeamConfiguration {
  /** Maximum capacity allocated to running jobs of the team per data centre. */
  readonly quota: Size;
  /** Relative share of capacity when teams compete; the default is 1. */
  readonly weight: number;
}

/** State that an operator sets for a worker. */
export interface WorkerConfiguration {
  readonly state: 'live' | 'leaving';
}

/** State that an operator sets for an entry instance. */
export interface InstanceConfiguration {
  readonly state: 'live' | 'leaving' | 'gone';
}

/** The objects that tickets create, change and remove, by name. */
export interface ConfigurationObjects {
  readonly services: Readonly<Record<string, ServiceConfiguration>>;
  readonly jobClasses: Readonly<Record<string, JobClassConfiguration>>;
  readonly teams: Readonly<Record<string, TeamConfiguration>>;
  readonly workers: Readonly<Record<string, WorkerConfiguration>>;
  readonly instances: Readonly<Record<string, InstanceConfiguration>>;
}

/** The complete configuration after the ticket with the given number. */
export interface Configuration extends ConfigurationObjects {
  /** Number of the last accepted ticket; 0 before the first. */
  readonly number: number;
}

export const EMPTY_CONFIGURATION: Configuration = {
  number: 0,
  services: {},
  jobClasses: {},
  teams: {},
  workers: {},
  instances: {},
};

/** New objects by section and name; null removes an object. */
export type TicketChanges = {
  readonly [S in keyof ConfigurationObjects]?: Readonly<
    Record<string, ConfigurationObjects[S][string] | null>
  >;
};

/** A numbered change to the configuration. */
export interface Ticket {
  readonly number: number;
  /** Number of the configuration that this ticket was written against. */
  readonly base: number;
  readonly author: string;
  readonly comment?: string;
  readonly changes: TicketChanges;
}

/** A record of the `tickets` stream. */
export type TicketRecord =
  | {
      readonly kind: 'ticket';
      readonly writer: string;
      readonly sequence: number;
      readonly ticket: Ticket;
    }
  | ({
      readonly kind: 'checkpoint';
      readonly writer: string;
      readonly sequence: number;
    } & TicketSnapshot);

/** The configuration and audit trail after a given offset of the stream. */
export interface TicketSnapshot {
  readonly configuration: Configuration;
  /** The most recent audit entries, oldest first. */
  readonly audit: readonly AuditEntry[];
  /**
   * Offset of the last record included in the snapshot; -1 for none. The
   * offset of a checkpoint record cannot be used instead, because other records
   * may be appended between taking the snapshot and writing the checkpoint.
   */
  readonly through: Offset;
}

/** Reasons to refuse a well-formed ticket. */
export const TicketRefusalReason = {
  /** `base` is below the current number: another ticket was accepted first. */
  BASE_PASSED: 'base-passed',
  /** `base` is above the current number. */
  BASE_UNKNOWN: 'base-unknown',
  /** `number` is not above `base`. */
  NUMBER_NOT_ABOVE_BASE: 'number-not-above-base',
} as const;
export type TicketRefusalReason =
  (typeof TicketRefusalReason)[keyof typeof TicketRefusalReason];

/** An entry of the audit trail: one ticket and its verdict. */
export interface AuditEntry {
  readonly offset: Offset;
  /** Unix time of the record, in milliseconds. */
  readonly timeMs: Millis;
  /**
   * Identifies the record, together with `sequence`. Further records with the
   * same pair are ignored.
   */
  readonly writer: string;
  readonly sequence: number;
  readonly author: string;
  readonly number: number;
  readonly base: number;
  readonly outcome: 'accepted' | 'refused';
  /** The changed objects, as `section/name`. */
  readonly touched: readonly string[];
  /** Reason of the refusal; absent for an accepted ticket. */
  readonly reason?: TicketRefusalReason;
  /**
   * Number of the accepted ticket that a refused ticket conflicts with; the
   * current number if none has the same base.
   */
  readonly winner?: number;
  readonly comment?: string;
}

/** Reasons why a record or snapshot has no effect. */
export const IgnoredReason = {
  /** A record of the same writer and sequence already has a verdict. */
  REPEAT: 'repeat',
  /** The record at this offset was already read or is part of a snapshot. */
  COVERED: 'covered',
  /** The number is not above the current one. */
  NOT_NEWER: 'not-newer',
  /** Records between the checkpoint and the pending records are missing. */
  RECORDS_MISSING: 'records-missing',
} as const;
export type IgnoredReason = (typeof IgnoredReason)[keyof typeof IgnoredReason];

/** The result for one ticket; the same for every reader of the stream. */
export type TicketVerdict =
  | {readonly kind: 'accepted'; readonly entry: AuditEntry}
  | {
      readonly kind: 'refused';
      readonly entry: AuditEntry;
      readonly reason: TicketRefusalReason;
      /** As in `AuditEntry.winner`. */
      readonly winner: number;
    };

/** Result of applying a record of the `tickets` stream or a snapshot. */
export type TicketOutcome =
  | TicketVerdict
  | {
      readonly kind: 'checkpoint-taken';
      readonly number: number;
      /** Verdicts on the tickets that were pending until now. */
      readonly verdicts: readonly TicketVerdict[];
    }
  | {readonly kind: 'ignored'; readonly reason: IgnoredReason}
  /**
   * Earlier records are missing; the ticket stays pending until a checkpoint or
   * snapshot fills the gap.
   */
  | {readonly kind: 'waiting'}
  | {readonly kind: 'malformed'; readonly message: string};

/** Result of applying a ticket that a peer forwarded. */
export type ForwardedTicketOutcome =
  | {readonly kind: 'accepted'; readonly number: number}
  | {readonly kind: 'ignored'; readonly reason: IgnoredReason}
  /** An earlier ticket is missing; the caller must ask for a snapshot. */
  | {readonly kind: 'gap'}
  | {readonly kind: 'malformed'; readonly message: string};

/** A validation error in a file or request body. */
export interface Fault {
  readonly file: string;
  /** Counted from 1; absent when the value was not read from YAML text. */
  readonly line?: number;
  /** Counted from 1. */
  readonly column?: number;
  /** Path of the field, joined by dots; empty for the whole document. */
  readonly field: string;
  readonly message: string;
  /** Description of the accepted values. */
  readonly accepted?: string;
}

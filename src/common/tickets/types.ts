import {Millis} from '../base/clock.js';
import {Size} from '../base/size.js';
import {Offset} from '../stream/types.js';

/** How urgent a job is. */
export const Urgency = {
  URGENT: 'urgent',
  NORMAL: 'normal',
  LOW: 'low',
} as const;
export type Urgency = (typeof Urgency)[keyof typeof Urgency];

/** Names of the ways to choose a target. */
export const RoutingPolicy = {
  TWO_CHOICES: 'two-choices',
  ROUND_ROBIN: 'round-robin',
  LEAST_LOAD: 'least-load',
} as const;
export type RoutingPolicy = (typeof RoutingPolicy)[keyof typeof RoutingPolicy];

/** A latency-critical service. */
export interface ServiceConfiguration {
  /** Set aside for the service on each worker that serves it. */
  readonly reservation: Size;
  readonly routing: RoutingPolicy;
  /** Requests that may wait in an entry instance. */
  readonly queueLimit: number;
  /** Deadline of a request that names none. */
  readonly deadlineMs: Millis;
  /** Retries and hedges as a fraction of requests. */
  readonly retryBudget: number;
}

/** Defaults of the jobs of one class. */
export interface JobClassConfiguration {
  readonly size: Size;
  readonly runMs: Millis;
  readonly urgency: Urgency;
  readonly idempotent: boolean;
  readonly maxEvictions: number;
}

/** A team's share. */
export interface TeamConfiguration {
  /** Most that the team's running jobs may be promised in a data centre. */
  readonly quota: Size;
  /** Relative share when teams compete; 1 is usual. */
  readonly weight: number;
}

/** What an operator says about a worker. */
export interface WorkerConfiguration {
  readonly state: 'live' | 'leaving';
}

/** What an operator says about an entry instance. */
export interface InstanceConfiguration {
  readonly state: 'live' | 'leaving' | 'gone';
}

/** The objects that tickets change, by name. */
export interface ConfigurationObjects {
  readonly services: Readonly<Record<string, ServiceConfiguration>>;
  readonly jobClasses: Readonly<Record<string, JobClassConfiguration>>;
  readonly teams: Readonly<Record<string, TeamConfiguration>>;
  readonly workers: Readonly<Record<string, WorkerConfiguration>>;
  readonly instances: Readonly<Record<string, InstanceConfiguration>>;
}

/** The whole state that one ticket number stands for. */
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

/** New values by section and name; null removes an object. */
export type TicketChanges = {
  readonly [S in keyof ConfigurationObjects]?: Readonly<
    Record<string, ConfigurationObjects[S][string] | null>
  >;
};

/** A numbered change of the configuration. */
export interface Ticket {
  readonly number: number;
  /** Number of the state that this ticket was written against. */
  readonly base: number;
  readonly author: string;
  readonly comment?: string;
  readonly changes: TicketChanges;
}

/** A record of the stream `tickets`. */
export type TicketRecord =
  | {
      readonly kind: 'ticket';
      readonly writer: string;
      readonly sequence: number;
      readonly ticket: Ticket;
    }
  | {
      readonly kind: 'checkpoint';
      readonly writer: string;
      readonly sequence: number;
      readonly configuration: Configuration;
      /** The last audit entries, oldest first. */
      readonly audit: readonly AuditEntry[];
    };

/** One line of the audit trail. */
export interface AuditEntry {
  readonly offset: Offset;
  readonly timeMs: Millis;
  readonly author: string;
  readonly number: number;
  readonly base: number;
  readonly outcome: 'accepted' | 'refused';
  /** Names of the touched objects, `section/name`. */
  readonly touched: readonly string[];
  /** Why it was refused, with the number that won. */
  readonly reason?: string;
  readonly comment?: string;
}

import {Millis} from './clock.js';
import {Size} from './size.js';

/** What an instance of the platform is for. */
export const InstanceRole = {ENTRY: 'entry', WORKER: 'worker'} as const;
export type InstanceRole = (typeof InstanceRole)[keyof typeof InstanceRole];

/** State of an instance as the platform's list reports it. */
export const InstanceState = {LIVE: 'live', LEAVING: 'leaving'} as const;
export type InstanceState = (typeof InstanceState)[keyof typeof InstanceState];

/** One entry of the platform's instance list. */
export interface Instance {
  readonly id: string;
  readonly role: InstanceRole;
  /** Start number; a replaced instance with the same id has a higher one. */
  readonly start: number;
  readonly dataCentre: string;
  readonly rack: string;
  /** IP number. */
  readonly host: string;
  readonly port: number;
  /** Port for links between entry instances; 0 on workers. */
  readonly peerPort: number;
  readonly state: InstanceState;
  readonly capacity: Size;
  /** Names of the services that a worker serves. */
  readonly services: readonly string[];
  /** Requests that a worker serves at the same time. */
  readonly slots: number;
  /** Connections that a worker accepts. */
  readonly connections: number;
}

/** State of a task as its worker reports it. */
export const TaskState = {
  RUNNING: 'running',
  FINISHED: 'finished',
  FAILED: 'failed',
  STOPPED: 'stopped',
  EXPIRED: 'expired',
} as const;
export type TaskState = (typeof TaskState)[keyof typeof TaskState];

/** One task in a worker's status. */
export interface TaskStatus {
  readonly task: string;
  readonly job: string;
  readonly kind: string;
  readonly state: TaskState;
  /** End of the lease on the worker's clock. */
  readonly leaseUntilMs: Millis;
  readonly size: Size;
  /** Measured use; lags behind. */
  readonly usage: Size;
  /** Work done, 0 to 1. */
  readonly progress: number;
  /** Work kept by the last checkpoint, 0 to 1; 0 without one. */
  readonly checkpoint: number;
  readonly result?: string;
}

/** A worker's report about itself and its tasks. */
export interface WorkerStatus {
  readonly id: string;
  /** The worker's clock when it wrote the report. */
  readonly nowMs: Millis;
  readonly leaving: boolean;
  readonly tasks: readonly TaskStatus[];
}

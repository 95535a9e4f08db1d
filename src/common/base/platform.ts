import {Millis} from './clock.js';
import {Size} from './size.js';

/** Role of an instance in the platform's instance list. */
export const InstanceRole = {ENTRY: 'entry', WORKER: 'worker'} as const;
export type InstanceRole = (typeof InstanceRole)[keyof typeof InstanceRole];

/** State of an instance in the platform's instance list. */
export const InstanceState = {LIVE: 'live', LEAVING: 'leaving'} as const;
export type InstanceState = (typeof InstanceState)[keyof typeof InstanceState];

/** One entry of the platform's instance list. */
export interface Instance {
  readonly id: string;
  readonly role: InstanceRole;
  /** Start number; a replacement with the same id has a higher one. */
  readonly start: number;
  readonly dataCentre: string;
  readonly rack: string;
  /** IP address. */
  readonly host: string;
  readonly port: number;
  /** Port for connections between entry instances; 0 on workers. */
  readonly peerPort: number;
  readonly state: InstanceState;
  readonly capacity: Size;
  /** Names of the services that a worker serves. */
  readonly services: readonly string[];
  /** Most requests that a worker serves concurrently. */
  readonly slots: number;
  /** Most connections that a worker accepts. */
  readonly connections: number;
}

/** State of a task in its worker's status. */
export const TaskState = {
  RUNNING: 'running',
  FINISHED: 'finished',
  FAILED: 'failed',
  STOPPED: 'stopped',
  EXPIRED: 'expired',
} as const;
export type TaskState = (typeof TaskState)[keyof typeof TaskState];

/** Status of a task, as its worker reports it. */
export interface TaskStatus {
  readonly task: string;
  readonly job: string;
  readonly kind: string;
  readonly state: TaskState;
  /** End of the task's lease, in milliseconds of the worker's clock. */
  readonly leaseUntilMs: Millis;
  readonly size: Size;
  /** Measured resource usage; lags behind the actual usage. */
  readonly usage: Size;
  /** Fraction of the work that is done, 0 to 1. */
  readonly progress: number;
  /** Work saved by the last checkpoint, 0 to 1; 0 without a checkpoint. */
  readonly checkpoint: number;
  readonly result?: string;
}

/** Status of a worker and its tasks, as the worker reports it. */
export interface WorkerStatus {
  readonly id: string;
  /** Time of the report, in milliseconds of the worker's clock. */
  readonly nowMs: Millis;
  readonly leaving: boolean;
  readonly tasks: readonly TaskStatus[];
}

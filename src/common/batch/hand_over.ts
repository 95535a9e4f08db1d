import {ActiveJob, ActiveTask} from './active_job.js';

/** Why a job is handed over to another shard. */
export const HandOverReason = {
  /** No listed worker of this shard could ever run one of the steps. */
  NO_WORKER_FITS: 'no worker fits',
  /** The data of the job's steps is in a rack of the other shard. */
  DATA: 'data',
  /** No worker of this shard is usable. */
  UNREACHABLE: 'unreachable',
  /** The operator has asked to evacuate this shard's data centre. */
  EVACUATED: 'evacuated',
  /** A task has waited in vain for room, which the other shard has. */
  NO_ROOM: 'no room',
  /** New jobs ask for more processors here than in the other shard. */
  DEMAND: 'demand',
  /** The backlog of this shard is clearly longer than the other one's. */
  BACKLOG: 'backlog',
} as const;
export type HandOverReason =
  (typeof HandOverReason)[keyof typeof HandOverReason];

/** A job, or a task of it, to hand over to another shard. */
export interface HandOver {
  readonly job: ActiveJob;
  /** The only task that leaves; undefined for the whole job. */
  readonly task?: ActiveTask;
  readonly to: string;
  readonly reason: HandOverReason;
}

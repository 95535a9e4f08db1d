import {Either} from 'purify-ts';
import {Instance, TaskState, TaskStatus} from '../base/platform.js';
import {Refusal} from '../base/refusal.js';
import {EMPTY_SIZE, Size} from '../base/size.js';
import {EMPTY_CONFIGURATION, Urgency} from '../tickets/types.js';
import {Scheduler} from './scheduler.js';
import {SchedulerSettings} from './scheduler_state.js';
import {
  JobRecord,
  SchedulerAction,
  SchedulerAnswer,
  SchedulerMessage,
  Submission,
} from './types.js';

const WORKER_SIZE: Size = {processors: 8, memoryMb: 8000, accelerators: 0};

/** A live worker with eight processors. */
export function instance(id: string, rack = 'r1', start = 1): Instance {
  return {
    id,
    role: 'worker',
    start,
    dataCentre: 'dc',
    rack,
    host: '127.0.0.1',
    port: 1,
    peerPort: 0,
    state: 'live',
    capacity: WORKER_SIZE,
    services: [],
    slots: 8,
    connections: 64,
  };
}

/** A submission for two processors; idempotent unless `fields` differ. */
export function submission(
  key: string,
  fields: Partial<Submission> = {},
): Submission {
  return {
    key,
    jobClass: 'cut',
    team: 'team',
    urgency: Urgency.NORMAL,
    size: {processors: 2, memoryMb: 1000, accelerators: 0},
    runMs: 1000,
    idempotent: true,
    ...fields,
  };
}

/** Actions of one kind. */
export type ActionOf<K extends SchedulerAction['kind']> = Extract<
  SchedulerAction,
  {kind: K}
>;

/** Sends messages to one scheduler. Time advances only when a test asks. */
export class SchedulerDriver {
  /** Local time and clock of the workers, in milliseconds. */
  now = 1000;
  /** End of the leadership lease. */
  leaseEnd = Infinity;
  epoch = 1;
  actions: SchedulerAction[] = [];
  /** Records that were appended and are not yet read back. */
  appended: JobRecord[] = [];
  readonly scheduler: Scheduler;
  readonly workers: Instance[];

  constructor(
    workers: Instance[] = [instance('w1'), instance('w2', 'r2')],
    settings: Partial<SchedulerSettings> = {},
  ) {
    this.workers = workers;
    this.scheduler = new Scheduler(
      {
        mayAct: now => now < this.leaseEnd,
        leaseUntil: now => Math.min(this.leaseEnd, now + 3000),
      },
      {dataCentre: 'dc', ...settings},
    );
    const quota = {processors: 100, memoryMb: 100_000, accelerators: 10};
    this.send({
      kind: 'configuration',
      configuration: {
        ...EMPTY_CONFIGURATION,
        teams: {team: {quota, weight: 1}, other: {quota, weight: 1}},
      },
    });
    this.send({kind: 'log', available: true});
  }

  send(message: SchedulerMessage): SchedulerAction[] {
    const actions = [...this.scheduler.handle(message, this.now)];
    this.actions.push(...actions);
    for (const action of actions) {
      if (action.kind === 'append') this.appended.push(...action.entries);
    }
    return actions;
  }

  /** Starts a term in which all workers are reconciled and run no tasks. */
  lead(): void {
    this.send({kind: 'lead', epoch: this.epoch});
    this.send({kind: 'instances', instances: this.workers});
    this.tick();
    for (const {id} of this.workers) this.status(id, []);
  }

  tick(advance = 50): SchedulerAction[] {
    this.now += advance;
    return this.send({kind: 'tick'});
  }

  status(
    worker: string,
    tasks: readonly TaskStatus[],
    fields: {sentAt?: number; nowMs?: number; leaving?: boolean} = {},
  ): SchedulerAction[] {
    const {sentAt = this.now, nowMs = this.now, leaving = false} = fields;
    return this.send({
      kind: 'worker-status',
      worker,
      status: {id: worker, nowMs, leaving, tasks},
      sentAt,
      receivedAt: this.now,
    });
  }

  /** Delivers the appended records to the scheduler as one batch. */
  readBack(epoch = this.epoch): SchedulerAction[] {
    const entries = this.appended;
    this.appended = [];
    return this.send({
      kind: 'batch-read',
      offset: 0,
      own: true,
      batch: {kind: 'batch', writer: 'a#1', sequence: 1, epoch, entries},
    });
  }

  /** Submits a job and reads its record back; returns its id. */
  accept(job: Submission): string {
    this.send({kind: 'submit', request: `r-${job.key}`, submission: job});
    this.readBack();
    const answer = this.answerTo(`r-${job.key}`).extract() as SchedulerAnswer;
    return answer.kind === 'job' ? answer.job.id : '';
  }

  actionsOf<K extends SchedulerAction['kind']>(kind: K): Array<ActionOf<K>> {
    return this.actions.filter(
      (action): action is ActionOf<K> => action.kind === kind,
    );
  }

  lastStart(): ActionOf<'start'> {
    return this.actionsOf('start').at(-1)!;
  }

  answerTo(request: string): Either<Refusal, SchedulerAnswer> {
    return this.actionsOf('answer').find(action => action.request === request)!
      .answer;
  }

  refusalOf(request: string): Refusal {
    return this.answerTo(request).swap().extract() as Refusal;
  }
}

/** Entry of a started task in a worker's status. */
export function taskStatus(
  start: ActionOf<'start'>,
  state: TaskState,
  fields: Partial<TaskStatus> = {},
): TaskStatus {
  return {
    task: start.task,
    job: start.start.job,
    kind: start.start.kind,
    state,
    leaseUntilMs: start.start.leaseUntilMs,
    size: start.start.size,
    usage: EMPTY_SIZE,
    progress: 0.5,
    checkpoint: 0,
    ...fields,
  };
}

/** A driver with one running job. */
export function driverWithRunningJob(fields: Partial<Submission> = {}) {
  const driver = new SchedulerDriver();
  driver.lead();
  const id = driver.accept(submission('a', fields));
  driver.tick();
  driver.readBack();
  const start = driver.lastStart();
  driver.now += 10;
  driver.status(start.worker, [taskStatus(start, TaskState.RUNNING)]);
  return {driver, id, start};
}

import {Either} from 'purify-ts';
import {Instance, TaskState, TaskStatus} from '../base/platform.js';
import {Ran, Refusal, RefusalKind} from '../base/refusal.js';
import {EMPTY_SIZE, Size} from '../base/size.js';
import {EMPTY_CONFIGURATION, Urgency} from '../tickets/types.js';
import {Scheduler} from './scheduler.js';
import {SchedulerSettings} from './scheduler_state.js';
import {
  JobRecord,
  JobState,
  SchedulerAction,
  SchedulerAnswer,
  SchedulerMessage,
  Submission,
} from './types.js';

const WORKER_SIZE: Size = {processors: 8, memoryMb: 8000, accelerators: 0};

function instance(id: string, rack = 'r1', start = 1): Instance {
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

function submission(key: string, fields: Partial<Submission> = {}): Submission {
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

type ActionOf<K extends SchedulerAction['kind']> = Extract<
  SchedulerAction,
  {kind: K}
>;

/** Drives one scheduler by hand; time moves only when a test moves it. */
class Driver {
  now = 1000;
  leaseEnd = Infinity;
  epoch = 1;
  actions: SchedulerAction[] = [];
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

  /** Leads with all workers surveyed. */
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

  /** Reads the appended records back. */
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
    const view = this.answerTo(`r-${job.key}`).extract() as SchedulerAnswer;
    return view.kind === 'job' ? view.job.id : '';
  }

  all<K extends SchedulerAction['kind']>(kind: K): Array<ActionOf<K>> {
    return this.actions.filter(
      (action): action is ActionOf<K> => action.kind === kind,
    );
  }

  lastStart(): ActionOf<'start'> {
    return this.all('start').at(-1)!;
  }

  answerTo(request: string): Either<Refusal, SchedulerAnswer> {
    return this.all('answer').find(action => action.request === request)!
      .answer;
  }

  refusalOf(request: string): Refusal {
    return this.answerTo(request).swap().extract() as Refusal;
  }
}

function listed(
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

describe('Scheduler', () => {
  it('accepts, starts, renews, finishes and forgets a job', () => {
    const driver = new Driver();
    driver.lead();
    const id = driver.accept(submission('a'));
    expect(driver.scheduler.job(id)?.state).toBe(JobState.QUEUED);
    driver.tick();
    const start = driver.lastStart();
    expect(start.start.job).toBe(id);
    driver.now += 10;
    driver.status(start.worker, [listed(start, TaskState.RUNNING)]);
    expect(driver.scheduler.job(id)?.state).toBe(JobState.RUNNING);
    const polls = driver
      .tick()
      .filter(action => action.kind === 'poll')
      .filter(poll => poll.worker === start.worker);
    expect(polls[0].leases[start.task]).toBeGreaterThan(driver.now + 9000);
    driver.now += 500;
    const finished = listed(start, TaskState.FINISHED, {result: 'done'});
    driver.status(start.worker, [finished]);
    expect(driver.all('forget-task')).toEqual([]);
    driver.readBack();
    expect(driver.all('forget-task')).toHaveLength(1);
    expect(driver.all('job-ended')[0].job.result).toBe('done');
    expect(driver.scheduler.job(id)?.state).toBe(JobState.FINISHED);
    expect(driver.scheduler.promisedTasks).toBe(0);
  });

  it('starts non-idempotent work only after its record was read back', () => {
    const driver = new Driver();
    driver.lead();
    driver.accept(submission('a', {idempotent: false}));
    driver.tick();
    expect(driver.all('start')).toEqual([]);
    driver.readBack();
    expect(driver.all('start')).toHaveLength(1);
  });

  it('starts only idempotent work while the log is down', () => {
    const driver = new Driver();
    driver.lead();
    driver.accept(submission('a', {idempotent: false}));
    const id = driver.accept(submission('b'));
    driver.send({kind: 'log', available: false});
    driver.tick();
    expect(driver.all('start').map(({start}) => start.job)).toEqual([id]);
    const start = driver.lastStart();
    driver.now += 10;
    driver.status(start.worker, [listed(start, TaskState.FINISHED)]);
    expect(driver.appended).toEqual([]);
    driver.send({kind: 'log', available: true});
    expect(driver.appended.map(({kind}) => kind)).toEqual(['ended']);
  });

  it('never gives a start a lease beyond the leadership lease', () => {
    const driver = new Driver();
    driver.lead();
    driver.leaseEnd = driver.now + 2000;
    driver.accept(submission('a'));
    driver.tick();
    expect(driver.lastStart().start.leaseUntilMs).toBeLessThanOrEqual(
      driver.leaseEnd,
    );
    expect(driver.lastStart().start.leaseUntilMs).toBeGreaterThan(
      driver.leaseEnd - 100,
    );
  });

  it('does nothing to workers without the lease', () => {
    const driver = new Driver();
    driver.lead();
    driver.accept(submission('a'));
    driver.leaseEnd = driver.now;
    driver.actions = [];
    driver.tick(2000);
    expect(driver.actions).toEqual([]);
    driver.send({kind: 'submit', request: 'r', submission: submission('b')});
    expect(driver.refusalOf('r').error).toBe(RefusalKind.NO_LEADER);
    expect(driver.refusalOf('r').ran).toBe(Ran.NO);
  });

  it('settles a lost start answer by the lease on the clock of the worker', () => {
    const driver = new Driver();
    driver.lead();
    driver.accept(submission('a'));
    driver.tick();
    const start = driver.lastStart();
    driver.now += 1000;
    driver.status(start.worker, []);
    driver.tick();
    // The start may still arrive, so the job must not be started again.
    expect(driver.all('start')).toHaveLength(1);
    driver.now = start.start.leaseUntilMs + 10;
    driver.status(start.worker, []);
    driver.tick();
    expect(driver.all('start')).toHaveLength(2);
    expect(driver.lastStart().task).not.toBe(start.task);
  });

  it('learns nothing about a start from a poll that was sent before', () => {
    const driver = new Driver();
    driver.lead();
    driver.accept(submission('a'));
    const sentAt = driver.now;
    driver.tick();
    const start = driver.lastStart();
    const nowMs = start.start.leaseUntilMs + 10;
    driver.now += 20;
    driver.status(start.worker, [], {sentAt, nowMs});
    driver.tick();
    expect(driver.all('start')).toHaveLength(1);
  });

  it('waits with inherited idempotent jobs until all workers answered', () => {
    const driver = new Driver();
    driver.lead();
    const id = driver.accept(submission('a'));
    driver.tick();
    const start = driver.lastStart();
    driver.send({kind: 'follow'});
    driver.epoch = 2;
    driver.actions = [];
    driver.send({kind: 'lead', epoch: 2});
    driver.send({kind: 'instances', instances: driver.workers});
    driver.tick();
    const other = start.worker === 'w1' ? 'w2' : 'w1';
    driver.status(other, []);
    driver.tick();
    expect(driver.all('start')).toEqual([]);
    driver.status(start.worker, [listed(start, TaskState.RUNNING)]);
    driver.tick();
    expect(driver.all('start')).toEqual([]);
    expect(driver.scheduler.job(id)?.state).toBe(JobState.RUNNING);
  });

  it('starts inherited jobs when every earlier lease has ended', () => {
    const driver = new Driver();
    driver.lead();
    driver.accept(submission('a'));
    driver.send({kind: 'follow'});
    driver.actions = [];
    driver.epoch = 2;
    driver.send({kind: 'lead', epoch: 2});
    driver.send({kind: 'instances', instances: driver.workers});
    driver.now += 9900;
    driver.status('w1', []);
    driver.tick();
    expect(driver.all('start')).toEqual([]);
    driver.now += 1000;
    driver.status('w1', []);
    driver.tick();
    expect(driver.all('start')).toHaveLength(1);
  });

  it('queues an inherited start again when the survey does not show it', () => {
    const driver = new Driver();
    driver.lead();
    const id = driver.accept(submission('a', {idempotent: false}));
    driver.tick();
    driver.readBack();
    const start = driver.lastStart();
    driver.send({kind: 'follow'});
    driver.actions = [];
    driver.epoch = 2;
    driver.send({kind: 'lead', epoch: 2});
    driver.now += 50;
    expect(driver.scheduler.job(id)?.state).toBe(JobState.STARTING);
    driver.status(start.worker, []);
    driver.tick();
    driver.readBack();
    expect(driver.lastStart().start.job).toBe(id);
    expect(driver.lastStart().task).not.toBe(start.task);
  });

  it('interrupts non-idempotent work of a lost worker, repeats other work', () => {
    for (const idempotent of [true, false]) {
      const driver = new Driver();
      driver.lead();
      const id = driver.accept(submission('a', {idempotent}));
      driver.tick();
      driver.readBack();
      const start = driver.lastStart();
      const other = start.worker === 'w1' ? 'w2' : 'w1';
      driver.now += 10;
      const running = listed(start, TaskState.RUNNING, {checkpoint: 0.4});
      driver.status(start.worker, [running]);
      driver.tick();
      let leaseEnd = 0;
      for (let i = 0; i < 15; i++) {
        driver.now += 1000;
        driver.send({kind: 'worker-unreachable', worker: start.worker});
        driver.status(other, []);
        driver.tick();
        driver.readBack();
        for (const {leases} of driver.all('poll')) {
          leaseEnd = Math.max(leaseEnd, leases[start.task] ?? 0);
        }
        // A renewal may have arrived although its answer was lost.
        if (driver.now < leaseEnd) {
          expect(driver.scheduler.job(id)?.worker).toBe(start.worker);
        }
      }
      const state = driver.scheduler.job(id)?.state;
      if (idempotent) {
        expect(driver.lastStart().worker).toBe(other);
        expect(driver.lastStart().start.checkpoint).toBe(0.4);
      } else {
        expect(state).toBe(JobState.INTERRUPTED);
        expect(driver.all('start')).toHaveLength(1);
      }
    }
  });

  it('cancels a queued job with a record', () => {
    const driver = new Driver([]);
    driver.lead();
    const id = driver.accept(submission('a'));
    driver.send({kind: 'cancel', request: 'c', job: id});
    expect(driver.all('answer').map(({request}) => request)).not.toContain('c');
    driver.readBack();
    const answer = driver.answerTo('c').extract() as SchedulerAnswer;
    expect(answer).toMatchObject({job: {state: JobState.CANCELLED}});
  });

  it('says whether the end or the stop of a cancelled job came first', () => {
    for (const end of [TaskState.STOPPED, TaskState.FINISHED]) {
      const driver = new Driver();
      driver.lead();
      const id = driver.accept(submission('a'));
      driver.tick();
      const start = driver.lastStart();
      driver.status(start.worker, [listed(start, TaskState.RUNNING)]);
      driver.send({kind: 'cancel', request: 'c', job: id});
      expect(driver.all('stop-task')).toHaveLength(1);
      driver.now += 10;
      driver.status(start.worker, [listed(start, end)]);
      driver.readBack();
      const answer = driver.answerTo('c').extract() as SchedulerAnswer;
      const state =
        end === TaskState.STOPPED ? JobState.CANCELLED : JobState.FINISHED;
      expect(answer).toMatchObject({job: {state}});
    }
  });

  it('refuses pending submissions as unknown when the lead ends', () => {
    const driver = new Driver();
    driver.lead();
    driver.send({kind: 'submit', request: 'r', submission: submission('a')});
    driver.send({kind: 'follow'});
    expect(driver.refusalOf('r').ran).toBe(Ran.UNKNOWN);
  });

  it('refuses what it cannot accept and says what would be accepted', () => {
    const driver = new Driver([instance('w1')], {queueLimit: 1});
    driver.lead();
    const refused = (fields: Partial<Submission>, key: string) => {
      const body = submission(key, fields);
      driver.send({kind: 'submit', request: key, submission: body});
      return driver.refusalOf(key);
    };
    const size = {processors: 9, memoryMb: 1, accelerators: 0};
    const large = refused({size}, 'large');
    expect(large.error).toBe(RefusalKind.TOO_LARGE_FOR_ANY_WORKER);
    expect(large.remedy).toContain('8 processors');
    expect(refused({team: 'x'}, 'team').error).toBe(RefusalKind.QUOTA);
    driver.accept(submission('a'));
    expect(refused({runMs: 5}, 'a').error).toBe(RefusalKind.CONFLICT);
    expect(refused({}, 'b').error).toBe(RefusalKind.OVERLOADED);
    driver.send({kind: 'log', available: false});
    expect(refused({}, 'c').error).toBe(RefusalKind.LOG_UNAVAILABLE);
  });

  it('grants a claim once', () => {
    const driver = new Driver();
    driver.lead();
    const claim = (request: string) =>
      driver.send({kind: 'claim', request, key: 'k', instance: 'a'});
    claim('c1');
    claim('c2');
    driver.readBack();
    claim('c3');
    const granted = ['c1', 'c2', 'c3'].map(request => {
      const answer = driver.answerTo(request).extract() as SchedulerAnswer;
      return answer.kind === 'claim' && answer.claim.granted;
    });
    expect(granted).toEqual([true, false, false]);
  });
});

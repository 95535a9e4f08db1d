import {setTimeout as sleep} from 'node:timers/promises';
import {Millis} from '../../common/base/clock.js';
import {ManualClock} from '../../common/base/manual_clock.js';
import {CostReport} from '../../common/batch/cost_report.js';
import {
  JobPhase,
  RecordKind,
  SCHEDULER_KEY,
  TaskPhase,
  unpackScheduler,
} from '../../common/batch/job_records.js';
import {Scheduler} from '../../common/batch/scheduler.js';
import {SchedulerState} from '../../common/batch/scheduler_state.js';
import {QUEUE, STEP} from '../../common/batch/simulated_fleet.test_support.js';
import {LOG_LIMITS} from '../../common/batch/log_limits.test_support.js';
import {
  AppendResponse,
  AppendResult,
  KeyedLog,
  KeyedRecord,
  ReadResponse,
  Topic,
} from '../../common/batch/store.js';
import {
  RunOutcome,
  WorkerListing,
  WorkerPhase,
} from '../../common/batch/types.js';
import {
  WorkerResponse,
  WorkerCallResult,
  LeaseRenewal,
  RenewalResponse,
  WorkerAddress,
  WorkerCalls,
} from '../../common/batch/worker_calls.js';
import {Run} from '../../common/batch/worker_state.js';
import {SystemClock} from '../system_clock.js';
import {FencedWriter} from './fenced_writer.js';
import {NodeProcessUsage} from './process_usage.js';
import {RoleWriter} from './role_writer.js';
import {Term, TermEndReason} from './term.js';

const LISTING: WorkerListing = {
  id: 'w1',
  born: 1,
  service: QUEUE.service,
  address: 'w1:1',
  dataCentre: 'a',
  phase: WorkerPhase.READY,
  warmupMs: 0,
  capacity: {cpuMilli: 1000, memoryMb: 1000, gpus: 0},
  labels: ['kind', 'rack-1'],
};

const TIMINGS = {
  leaseMs: 6000,
  longestLeaseMs: 10_000,
  authorityMs: 5000,
  stopMs: 400,
  keepEndedMs: 120_000,
  earlyMs: 250,
  remoteFactor: 2,
};

/** A log whose appends have an unknown outcome until a test sets another. */
class UnresponsiveLog implements KeyedLog {
  readonly limits = LOG_LIMITS;
  result: AppendResult = AppendResult.UNKNOWN;
  readonly appended: KeyedRecord[] = [];
  readonly unresponsive = new Set<Topic>();

  append(
    topic: Topic,
    records: readonly KeyedRecord[],
  ): Promise<AppendResponse> {
    if (this.unresponsive.has(topic)) {
      return Promise.resolve({result: AppendResult.UNKNOWN});
    }
    this.appended.push(...records);
    return Promise.resolve({result: this.result});
  }

  read(): Promise<ReadResponse> {
    return new Promise(() => {});
  }

  newest(): Promise<ReadResponse> {
    return new Promise(() => {});
  }
}

/** Time that the fake worker takes to respond. */
const RESPONSE_TIME_MS = 2;

/** A worker that reports the end of one run in every response. */
class FakeWorkerClient implements WorkerCalls {
  readonly renewals: LeaseRenewal[] = [];
  /** Number of the renewal that ends with an unexpected error; 0 for none. */
  faultyRenewal = 0;
  onRenewal: () => void = () => {};

  async renew(
    _worker: WorkerAddress,
    renewal: LeaseRenewal,
  ): Promise<RenewalResponse> {
    this.renewals.push(renewal);
    this.onRenewal();
    await sleep(RESPONSE_TIME_MS);
    if (this.renewals.length === this.faultyRenewal) throw new Error('fault');
    const end = {sequence: 1, task: 'a.0.0.0', attempt: 1, checkpoint: ''};
    const ends = [{...end, end: RunOutcome.DONE}];
    const report = {born: 1, clockMs: 0, running: [], ends, hasMoreEnds: false};
    return {result: WorkerCallResult.ACCEPTED, report};
  }

  start(): Promise<WorkerResponse> {
    return Promise.resolve({result: WorkerCallResult.ACCEPTED});
  }

  stop(): Promise<WorkerResponse> {
    return Promise.resolve({result: WorkerCallResult.ACCEPTED});
  }

  pace(): Promise<WorkerResponse> {
    return Promise.resolve({result: WorkerCallResult.ACCEPTED});
  }
}

/** Returns a scheduler with one worker that may grant leases. */
function newScheduler(
  clock: SystemClock,
  previousAuthorityMs: Millis = 0,
): Scheduler {
  const configuration = {
    version: 1,
    queues: [QUEUE],
    pools: [{name: QUEUE.service, hasAdmissionCheck: false}],
    maxBodyBytes: 1000,
  };
  const state = new SchedulerState(
    1,
    previousAuthorityMs,
    TIMINGS,
    clock,
    new ManualClock(0),
    {decide: () => {}},
    configuration,
  );
  const scheduler = new Scheduler(state);
  scheduler.onWorkerListings(new Map([[LISTING.id, LISTING]]));
  scheduler.leases.confirmAuthority(clock.now());
  // A run of this job is the one whose end the worker reports.
  const shape = {spec: '', steps: [STEP], repeats: 0, startMs: 0, periodMs: 0};
  const submission = {queue: QUEUE, acceptedAt: 0, shape};
  scheduler.onJob({id: 'a', submission, cancelled: false, seenAt: 0});
  return scheduler;
}

describe('Term', () => {
  const clock = new SystemClock();
  let log: UnresponsiveLog;
  let workerClient: FakeWorkerClient;
  let scheduler: Scheduler;
  let term: Term;
  let createTerm: (previousAuthorityMs: Millis) => Term;

  beforeEach(() => {
    log = new UnresponsiveLog();
    workerClient = new FakeWorkerClient();
    const record = {
      epoch: 1,
      instance: 'e1',
      incarnation: 'x',
      resigned: false,
    };
    const listener = {
      onStored: () => {},
      onFenced: () => term.onFenced(),
      onRefused: () => {},
    };
    const role = new RoleWriter(log, clock, record, 0, listener);
    const createWriter = (topic: Topic) =>
      new FencedWriter(log, topic, record.epoch, 0, clock, listener);
    const progress = createWriter(Topic.PROGRESS);
    const intake = createWriter(Topic.INTAKE);
    createTerm = previousAuthorityMs => {
      scheduler = newScheduler(clock, previousAuthorityMs);
      const {state} = scheduler;
      const costReport = new CostReport(state, new NodeProcessUsage());
      const host = {workerClient, clock, role, progress, intake, costReport};
      return new Term(scheduler, host);
    };
    term = createTerm(0);
  });

  // A term runs until its resignation is stored, so it is ended here even if a
  // test has failed.
  afterEach(() => {
    log.result = AppendResult.STORED;
    log.unresponsive.clear();
    term.resign();
  });

  /** Resolves once the worker has received `count` renewals. */
  function waitForRenewals(count: number): Promise<void> {
    return new Promise(resolve => {
      workerClient.onRenewal = () => {
        if (workerClient.renewals.length >= count) resolve();
      };
    });
  }

  it('renews leases in a store outage while run ends are unacknowledged', async () => {
    // Guards against expired leases of all busy workers in a store outage of
    // 6 s: the renewal after a run's end waited for that end to be durable.
    void term.run();
    await waitForRenewals(4);
    expect(
      workerClient.renewals.slice(1).every(({leaseUntil}) => leaseUntil),
    ).toBe(true);
  });

  it('does not renew in a loop while an acknowledgement is withheld', async () => {
    // Guards against five times the calls to workers: one that has ends to list
    // answers each renewal at once.
    log.result = AppendResult.STORED;
    const worker = scheduler.state.workers.get(LISTING.id)!;
    worker.openStarts.onUnanswered({} as Run, clock.now());
    void term.run();
    await sleep(1000);
    expect(worker.durableEnd).toBe(1);
    expect(workerClient.renewals.length).toBeGreaterThan(2);
    expect(workerClient.renewals.length).toBeLessThan(10);
  });

  it('renews leases until it can store its resignation', async () => {
    // Guards against expired leases when a scheduler is stopped in a store
    // outage: it stopped renewing at once, though no instance could replace it.
    const ended = term.run();
    await waitForRenewals(2);
    term.resign();
    await waitForRenewals(workerClient.renewals.length + 3);
    const last = workerClient.renewals[workerClient.renewals.length - 1];
    expect(last.leaseUntil).toBeDefined();
    log.result = AppendResult.STORED;
    expect(await ended).toBe(TermEndReason.RESIGNED);
  });

  it('goes on after an unexpected error in the call to a worker', async () => {
    // Guards against a process that one unexpected error takes down, and
    // against a worker that is never called again after it.
    workerClient.faultyRenewal = 1;
    void term.run();
    await waitForRenewals(3);
    expect(workerClient.renewals[1].leaseUntil).toBeUndefined();
  });

  it('hands its role on after an unexpected error in a batch', async () => {
    // Guards against a scheduler that goes on with a state that may be wrong,
    // and against one that keeps the role and does nothing.
    log.result = AppendResult.STORED;
    scheduler.takeBatch = () => {
      throw new Error('fault');
    };
    expect(await term.run()).toBe(TermEndReason.FAULT);
    const {key, value} = log.appended[log.appended.length - 1];
    expect(key).toBe(SCHEDULER_KEY);
    expect(unpackScheduler(value).resigned).toBe(true);
  });

  it('records for how long schedulers before it may grant leases', async () => {
    // Guards against a second run of a task: a scheduler that was cut off still
    // renewed the lease of its worker, as its successor resigned at once.
    log.result = AppendResult.STORED;
    term = createTerm(TIMINGS.authorityMs);
    term.resign();
    expect(await term.run()).toBe(TermEndReason.RESIGNED);
    const {value} = log.appended[log.appended.length - 1];
    const {resigned, earlierAuthorityMs = 0} = unpackScheduler(value);
    expect(resigned).toBe(true);
    expect(earlierAuthorityMs).toBeGreaterThan(TIMINGS.authorityMs - 2000);
    expect(earlierAuthorityMs).toBeLessThanOrEqual(TIMINGS.authorityMs);
  });

  it('starts the next batch while states of the last one are not stored', async () => {
    // Guards against batches that take two appends in turn: with a slow store
    // half as many tasks were started (scale-2 and trouble-2 of acofino-sul).
    log.result = AppendResult.STORED;
    log.unresponsive.add(Topic.STATES);
    const states = [{key: 'ta', value: Uint8Array.of(1)}];
    let batches = 0;
    const takeBatch = scheduler.takeBatch.bind(scheduler);
    scheduler.takeBatch = () => {
      batches++;
      return {...takeBatch(), states};
    };
    void term.run();
    await sleep(1000);
    expect(batches).toBeGreaterThan(2);
    log.unresponsive.clear();
  });

  it('does not settle a record while the response to its append is lost', async () => {
    // Guards against reporting the state of the key as current: other instances
    // may read the new record before this one gets the response to a retry.
    void term.run();
    const pending = Symbol('pending');
    const settled = term.settled(SCHEDULER_KEY);
    const first = await Promise.race([settled, Promise.resolve(pending)]);
    expect(first).toBe(pending);
    log.result = AppendResult.STORED;
    expect(await settled).toBe(true);
    expect(await term.settled(SCHEDULER_KEY)).toBe(true);
  });

  it('never settles a record as stored that a successor may have fenced', async () => {
    // Guards against reporting a state as current that was never stored.
    const ended = term.run();
    const settled = term.settled(SCHEDULER_KEY);
    log.result = AppendResult.FENCED;
    expect(await settled).toBe(false);
    expect(await ended).toBe(TermEndReason.FENCED);
  });

  it('does not show a state as stored while its batch is being stored', async () => {
    // Guards against the state of a job that is stored after the job was handed
    // over and has ended in its next shard: the newest state is the old one.
    const shape = {
      spec: '',
      steps: [STEP],
      repeats: 0,
      startMs: 0,
      periodMs: 0,
    };
    const submission = {queue: QUEUE, acceptedAt: 0, shape};
    const task = {
      phase: TaskPhase.WAITING,
      attempt: 1,
      failures: [],
      crashes: [],
      worker: '',
      born: 0,
      checkpoint: '',
    };
    // The predecessor has stored the progress and not the state.
    const progress = {
      phase: JobPhase.RUNNING,
      hasStarted: true,
      nextOccurrence: 1,
      occurrences: [{number: 0, steps: [[task]]}],
      endedAt: 0,
      handOvers: 0,
    };
    scheduler.onJob({
      id: 'b',
      submission,
      progress,
      cancelled: false,
      seenAt: 0,
    });
    log.result = AppendResult.STORED;
    log.unresponsive.add(Topic.PROGRESS);
    const takeBatch = scheduler.takeBatch.bind(scheduler);
    const states = await new Promise<readonly KeyedRecord[]>(resolve => {
      scheduler.takeBatch = () => {
        const batch = takeBatch();
        resolve(batch.states);
        return batch;
      };
      void term.run();
    });
    expect(states.map(({key}) => key)).toContain(`${RecordKind.STATE}b`);
    expect(term.isStateStored('b')).toBe(false);
  });
});

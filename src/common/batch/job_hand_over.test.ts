import {
  HandOverRecord,
  JobPhase,
  LAYOUT_KEY,
  packHandOver,
  packLayout,
  packRecord,
  RecordKind,
} from './job_records.js';
import {KnownJob} from './job_view.js';
import {ShardLayout} from './shard_layout.js';
import {QUEUE, SimulatedFleet, STEP} from './simulated_fleet.test_support.js';
import {SimulatedWorker} from './simulated_worker.test_support.js';
import {RunOutcome, StepShape, WorkerPhase} from './types.js';

const LAYOUT = new ShardLayout(['a', 'b']);

/** An id that belongs to shard a before the first hand-over. */
const ID = Array.from({length: 20}, (_, index) => `job${index}`).find(
  id => LAYOUT.shardOfJob(id) === 'a',
)!;

describe('hand-over of a job between shards', () => {
  let a: SimulatedFleet;
  let b: SimulatedFleet;
  let workerOfA: SimulatedWorker;
  let workerOfB: SimulatedWorker;

  beforeEach(() => {
    a = new SimulatedFleet([QUEUE], 'a');
    b = new SimulatedFleet([QUEUE], 'b');
    workerOfA = a.addWorker('wa');
    workerOfB = b.addWorker('wb');
    apply(LAYOUT_KEY, packLayout(LAYOUT));
    run(200);
  });

  /** Applies a record to the replicas of both shards. */
  function apply(key: string, value: Uint8Array): void {
    for (const fleet of [a, b]) fleet.view.apply({key, value}, 0);
  }

  function run(duration: number): void {
    for (const fleet of [a, b]) fleet.run(duration);
  }

  function submit(...steps: readonly Partial<StepShape>[]): void {
    const shape = {
      spec: '',
      steps: steps.map(step => ({...STEP, ...step})),
      repeats: 0,
      startMs: 0,
      periodMs: 0,
    };
    const submission = {queue: QUEUE, acceptedAt: 0, shape};
    apply(RecordKind.SUBMISSION + ID, packRecord(submission));
    notify(a);
  }

  /** Passes the job on to a scheduler, as its reader of the intake does. */
  function notify(fleet: SimulatedFleet): void {
    const job = fleet.view.jobs.get(ID)!;
    const {shard} = fleet.scheduler.state;
    if (fleet.view.ownerOf(job) === shard) fleet.scheduler.onJob(job);
  }

  function release(from: SimulatedFleet, to: string): HandOverRecord {
    const job = from.scheduler.state.jobs.get(ID)!;
    return from.scheduler.handOver(job, to)!;
  }

  function store(record: HandOverRecord): void {
    apply(RecordKind.HAND_OVER + ID, packHandOver(record));
  }

  /** Hands the job over; the record is stored at once. */
  function handOver(from: SimulatedFleet, to: SimulatedFleet): void {
    const record = release(from, to.scheduler.state.shard);
    store(record);
    from.scheduler.onHandedOver(ID, record.number);
    notify(to);
  }

  function starts(): number {
    return workerOfA.starts.length + workerOfB.starts.length;
  }

  function known(fleet: SimulatedFleet): KnownJob {
    return fleet.view.jobs.get(ID)!;
  }

  it('runs the job in the other shard, once', () => {
    // Guards against a job that is lost or run twice on its way.
    workerOfA.isUnreachable = true;
    submit({});
    handOver(a, b);
    workerOfA.isUnreachable = false;
    run(3000);
    expect(workerOfA.starts).toEqual([]);
    expect(workerOfB.starts).toEqual([`${ID}.0.0.0`]);
    expect(known(b).state?.phase).toBe(JobPhase.COMPLETE);
  });

  it('does not hand over a job with a run', () => {
    // Guards against a run that goes on while the next owner starts another.
    submit({});
    run(300);
    const job = a.scheduler.state.jobs.get(ID)!;
    expect(a.scheduler.handOver(job, 'b')).toBeUndefined();
    run(3000);
    expect(starts()).toBe(1);
  });

  it('keeps a job whose drained worker is cut off from a successor', () => {
    // Guards against a second run in another shard: a successor elsewhere that
    // can't reach the worker took its runs for lost and gave the job away
    // (tuapapa-sched-large, a release with a cut of a data centre).
    a.taskMs = 2000;
    submit({estimateMs: 2000});
    run(300);
    workerOfA.phase = WorkerPhase.DRAINING;
    run(100);
    workerOfA.isUnreachable = true;
    a.takeOver();
    run(100);
    workerOfA.isListed = false;
    run(3000);
    const job = a.scheduler.state.jobs.get(ID)!;
    expect(a.scheduler.handOver(job, 'b')).toBeUndefined();
    workerOfA.isUnreachable = false;
    workerOfA.isListed = true;
    run(2000);
    expect(starts()).toBe(1);
    expect(known(a).state?.phase).toBe(JobPhase.COMPLETE);
  });

  it('starts nothing once a hand-over was decided', () => {
    // Guards against a start between the decision and the answer to the append
    // of its record, or after an answer that was lost.
    workerOfA.isUnreachable = true;
    submit({});
    release(a, 'b');
    workerOfA.isUnreachable = false;
    notify(a);
    run(3000);
    expect(starts()).toBe(0);
  });

  it('keeps the owner if its scheduler ends before the record is stored', () => {
    // Guards against a job that neither shard has.
    workerOfA.isUnreachable = true;
    submit({});
    release(a, 'b');
    workerOfA.isUnreachable = false;
    a.takeOver();
    run(3000);
    expect(starts()).toBe(1);
    expect(known(a).state?.phase).toBe(JobPhase.COMPLETE);
  });

  it('leaves the job alone if its scheduler ends after the record is stored', () => {
    // Guards against a start by a successor that finds the progress of the job
    // in its topic.
    submit({count: 2});
    run(300);
    for (const task of [...workerOfA.runs.keys()].slice(0, 1)) {
      workerOfA.end(task, RunOutcome.STOPPED);
    }
    workerOfA.isUnreachable = true;
    run(15_000);
    expect(known(a).progress).toBeDefined();
    store(release(a, 'b'));
    workerOfA.isUnreachable = false;
    const before = workerOfA.starts.length;
    a.takeOver();
    notify(b);
    run(3000);
    expect(workerOfA.starts).toHaveLength(before);
    expect(known(b).state?.phase).toBe(JobPhase.COMPLETE);
  });

  it('goes on with the tasks that were done before', () => {
    // Guards against work that is done again after a hand-over.
    submit({}, {after: [0], cpuMilli: 1000});
    run(300);
    workerOfA.phase = WorkerPhase.DRAINING;
    run(1000);
    handOver(a, b);
    run(4000);
    const done = [...workerOfA.starts, ...workerOfB.starts];
    expect(done.filter(task => task === `${ID}.0.0.0`)).toHaveLength(1);
    expect(known(b).state?.phase).toBe(JobPhase.COMPLETE);
  });

  it('counts attempts and failures from before the job left', () => {
    // Guards against more failed runs than the queue allows, or a number of a
    // run that is used twice, after a job has left between two steps (BUDGET).
    submit({}, {after: [0]});
    run(1300);
    const second = `${ID}.0.1.0`;
    for (let failure = 1; failure < QUEUE.maxAttempts; failure++) {
      run(300);
      workerOfA.end(second, RunOutcome.FAILED);
      if (failure === QUEUE.maxAttempts - 1) {
        workerOfA.phase = WorkerPhase.DRAINING;
      }
      run(100);
    }
    const before = workerOfA.starts.filter(task => task === second).length;
    handOver(a, b);
    run(200);
    b.takeOver();
    const {attempt} = workerOfB.runs.get(second)!;
    workerOfB.end(second, RunOutcome.FAILED);
    run(8000);
    expect([before, attempt]).toEqual([
      QUEUE.maxAttempts - 1,
      QUEUE.maxAttempts,
    ]);
    expect(workerOfB.starts).toEqual([second]);
    expect(known(b).state?.phase).toBe(JobPhase.FAILED);
  });

  it('uses no progress from before the job left when it comes back', () => {
    // Guards against a task that is done in the other shard and run again after
    // a takeover in the first one, whose old record of the job was not removed.
    submit({}, {after: [0]});
    const stale = {...known(a)};
    workerOfA.phase = WorkerPhase.DRAINING;
    run(100);
    handOver(a, b);
    run(900);
    workerOfB.phase = WorkerPhase.DRAINING;
    run(600);
    const before = workerOfB.starts.length;
    handOver(b, a);
    known(a).progress = stale.progress ?? {
      phase: JobPhase.QUEUED,
      hasStarted: false,
      nextOccurrence: 0,
      occurrences: [],
      endedAt: 0,
      handOvers: 0,
    };
    workerOfA.phase = WorkerPhase.READY;
    a.takeOver();
    run(4000);
    expect(before).toBe(1);
    expect(workerOfA.starts).toEqual([`${ID}.0.1.0`]);
  });

  it('takes a job back before the answer to its hand-over arrives', () => {
    // Guards against a job that no scheduler has any more: a late answer makes
    // its owner forget a job that came back (finding 10 of the model).
    workerOfA.isUnreachable = true;
    workerOfB.phase = WorkerPhase.DRAINING;
    submit({});
    const record = release(a, 'b');
    store(record);
    notify(b);
    handOver(b, a);
    workerOfA.isUnreachable = false;
    run(500);
    a.scheduler.onHandedOver(ID, record.number);
    run(3000);
    expect(workerOfA.starts).toEqual([`${ID}.0.0.0`]);
    expect(known(a).state?.phase).toBe(JobPhase.COMPLETE);
  });

  it('lets the next owner cancel a job whose cancellation came on the way', () => {
    // Guards against a cancelled job that runs after its hand-over.
    workerOfA.isUnreachable = true;
    submit({});
    const record = release(a, 'b');
    apply(RecordKind.CANCELLATION + ID, Uint8Array.of(1));
    notify(a);
    store(record);
    a.scheduler.onHandedOver(ID, record.number);
    notify(b);
    run(3000);
    expect(starts()).toBe(0);
    expect(known(b).state?.phase).toBe(JobPhase.CANCELLED);
  });

  it('leaves lost workers of other shards to them', () => {
    // Guards against the removal of the record that tells the successor in
    // another shard how long the leases of a lost worker last.
    submit({});
    run(300);
    workerOfA.isUnreachable = true;
    run(2500);
    const lost = a.view.lostWorkers.get('wa');
    expect(lost?.shard).toBe('a');
    b.view.lostWorkers.set('wa', lost!);
    b.takeOver();
    run(1000);
    expect(b.view.lostWorkers.has('wa')).toBe(true);
    expect(b.scheduler.state.workers.has('wa')).toBe(false);
  });
});

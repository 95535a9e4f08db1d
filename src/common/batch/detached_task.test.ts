import {Millis, SECOND} from '../base/clock.js';
import {
  HandOverRecord,
  JobPhase,
  LAYOUT_KEY,
  packHandOver,
  packLayout,
  packRecord,
  packState,
  RecordKind,
} from './job_records.js';
import {ShardLayout} from './shard_layout.js';
import {QUEUE, SimulatedFleet, STEP} from './simulated_fleet.test_support.js';
import {SimulatedWorker} from './simulated_worker.test_support.js';
import {RunOutcome, StepShape} from './types.js';

const LAYOUT = new ShardLayout(['a', 'b']);

/** An id that belongs to shard a before the first hand-over. */
const ID = Array.from({length: 20}, (_, index) => `job${index}`).find(
  id => LAYOUT.shardOfJob(id) === 'a',
)!;

const SERVING: Partial<StepShape> = {perpetual: true, count: 2};
const FIRST = `${ID}.0.0.0`;
const SECOND_TASK = `${ID}.0.0.1`;

describe('a perpetual task that left its job', () => {
  let a: SimulatedFleet;
  let b: SimulatedFleet;
  let workerOfA: SimulatedWorker;
  let workerOfB: SimulatedWorker;

  beforeEach(() => {
    a = new SimulatedFleet([QUEUE], 'a');
    b = new SimulatedFleet([QUEUE], 'b');
    for (const fleet of [a, b]) {
      fleet.onStatesStored = states => {
        for (const {key, value} of states) apply(key, value);
      };
    }
    workerOfA = a.addWorker('wa');
    workerOfB = b.addWorker('wb');
    apply(LAYOUT_KEY, packLayout(LAYOUT));
    run(200);
  });

  /** Lets both shards read a record and act on it. */
  function apply(key: string, value: Uint8Array): void {
    for (const {view, clock} of [a, b]) view.apply({key, value}, clock.now());
    const id = key.slice(1);
    for (const {view, scheduler} of [a, b]) {
      const job = view.find(id.split('.')[0]);
      for (const known of [job, ...(job?.detachedTasks?.values() ?? [])]) {
        if (known === undefined) continue;
        if (view.ownerOf(known) !== scheduler.state.shard) continue;
        scheduler.onJob(known);
      }
    }
  }

  function run(duration: Millis): void {
    for (const fleet of [a, b]) fleet.run(duration);
  }

  function submit(step: Partial<StepShape>, ...more: Partial<StepShape>[]) {
    const shape = {
      spec: '',
      steps: [step, ...more].map(change => ({...STEP, ...change})),
      repeats: 0,
      startMs: 0,
      periodMs: 0,
    };
    const acceptedAt = a.wallClock.now();
    const submission = {queue: QUEUE, acceptedAt, shape};
    apply(RecordKind.SUBMISSION + ID, packRecord(submission));
  }

  function cancel(): void {
    apply(RecordKind.CANCELLATION + ID, Uint8Array.of(1));
  }

  /** Lets the run of the second task fail, while there is no room for another. */
  function failSecondTask(): void {
    workerOfA.cpuMilli = STEP.cpuMilli;
    run(50);
    workerOfA.end(SECOND_TASK, RunOutcome.FAILED);
    run(100);
  }

  /** Lets the second task leave its job; returns the record of that. */
  function release(from = a, id = ID, to = 'b'): HandOverRecord | undefined {
    const job = from.scheduler.state.jobs.get(id);
    const task = [...(job?.tasks() ?? [])].find(
      ({name}) => name === SECOND_TASK,
    );
    return task && from.scheduler.detach(task, to);
  }

  function store(record: HandOverRecord): void {
    apply(RecordKind.HAND_OVER + SECOND_TASK, packHandOver(record));
  }

  /** Starts a job of two tasks, of which the second one leaves. */
  function detachSecond(step: Partial<StepShape> = SERVING): HandOverRecord {
    submit(step);
    run(300);
    failSecondTask();
    const record = release()!;
    store(record);
    a.scheduler.onHandedOver(SECOND_TASK, record.number);
    return record;
  }

  function running(): string[] {
    return [...workerOfA.runs.keys(), ...workerOfB.runs.keys()].sort();
  }

  it('runs in the other shard, once, beside the rest of the job', () => {
    // Guards against a task that waits for room while other tasks of its job
    // run, and against a second run of any of them.
    detachSecond();
    run(3 * SECOND);
    expect([...workerOfA.runs.keys()]).toEqual([FIRST]);
    expect([...workerOfB.runs.keys()]).toEqual([SECOND_TASK]);
    workerOfA.cpuMilli = 2 * STEP.cpuMilli;
    run(3 * SECOND);
    expect(workerOfA.starts).toEqual([FIRST, SECOND_TASK]);
    expect(workerOfB.starts).toEqual([SECOND_TASK]);
  });

  it('counts its attempts on', () => {
    // Guards against two starts of a task with the same attempt.
    expect(detachSecond().progress.occurrences[0].steps[0][1].attempt).toBe(1);
    run(SECOND);
    expect(workerOfB.runs.get(SECOND_TASK)?.attempt).toBe(2);
  });

  it('does not leave with a run, nor a job that is over', () => {
    // Guards against a run that goes on while the next owner starts another.
    submit(SERVING);
    run(300);
    expect(release()).toBeUndefined();
    failSecondTask();
    cancel();
    expect(release()).toBeUndefined();
  });

  it('is not restored with its job by a successor', () => {
    // Guards against a second run: the last stored progress of the job may show
    // the task with a run that has ended since.
    submit(SERVING);
    run(300);
    a.isStoreAvailable = false;
    failSecondTask();
    store(release()!);
    a.isStoreAvailable = true;
    a.takeOver();
    workerOfA.cpuMilli = 2 * STEP.cpuMilli;
    run(12 * SECOND);
    expect(running()).toEqual([FIRST, SECOND_TASK]);
    expect(workerOfA.starts).toEqual([FIRST, SECOND_TASK]);
    expect(workerOfB.starts).toEqual([SECOND_TASK]);
  });

  it('stays if its scheduler ends before the record is stored', () => {
    // Guards against a task that neither shard has.
    submit(SERVING);
    run(300);
    failSecondTask();
    release();
    a.takeOver();
    workerOfA.cpuMilli = 2 * STEP.cpuMilli;
    run(12 * SECOND);
    expect([...workerOfA.runs.keys()].sort()).toEqual([FIRST, SECOND_TASK]);
    expect(workerOfB.starts).toEqual([]);
  });

  it('stays if the log refuses the record', () => {
    // Guards against a task that runs nowhere because its record is too large.
    submit(SERVING);
    run(300);
    failSecondTask();
    const job = a.scheduler.state.jobs.get(ID)!;
    const task = [...job.tasks()][1];
    expect(a.scheduler.detach(task, 'b')).toBeDefined();
    a.scheduler.onDetachRefused(task);
    workerOfA.cpuMilli = 2 * STEP.cpuMilli;
    run(3 * SECOND);
    expect([...workerOfA.runs.keys()].sort()).toEqual([FIRST, SECOND_TASK]);
    expect(a.scheduler.detach(task, 'b')).toBeUndefined();
  });

  it('is not taken up again by a refusal after the job was cancelled', () => {
    // Guards against a start after a cancellation.
    submit(SERVING);
    run(300);
    failSecondTask();
    const [, task] = [...a.scheduler.state.jobs.get(ID)!.tasks()];
    a.scheduler.detach(task, 'b');
    cancel();
    a.scheduler.onDetachRefused(task);
    workerOfA.cpuMilli = 2 * STEP.cpuMilli;
    run(3 * SECOND);
    expect(running()).toEqual([]);
    expect(a.scheduler.state.waitingTasks.size).toBe(0);
  });

  it('keeps its run across a takeover of its shard', () => {
    // Guards against a task that is lost or run twice by a successor.
    detachSecond();
    run(3 * SECOND);
    b.takeOver();
    run(12 * SECOND);
    expect(workerOfB.starts).toEqual([SECOND_TASK]);
    expect([...workerOfB.runs.keys()]).toEqual([SECOND_TASK]);
  });

  it('moves on to the first shard, apart from its job', () => {
    // Guards against a task that comes back and is lost, as its job has given
    // it up, or that both own.
    detachSecond();
    workerOfB.isUnreachable = true;
    const task = b.scheduler.state.jobs.get(SECOND_TASK)!;
    const record = b.scheduler.handOver(task, 'a')!;
    expect(record.number).toBe(2);
    store(record);
    b.scheduler.onHandedOver(SECOND_TASK, 2);
    workerOfA.cpuMilli = 2 * STEP.cpuMilli;
    run(3 * SECOND);
    a.takeOver();
    run(12 * SECOND);
    expect([...workerOfA.runs.keys()].sort()).toEqual([FIRST, SECOND_TASK]);
    expect(workerOfA.starts).toEqual([FIRST, SECOND_TASK, SECOND_TASK]);
  });

  it('ends when its job is cancelled', () => {
    // Guards against a run that goes on after the cancellation of its job.
    detachSecond();
    run(3 * SECOND);
    cancel();
    run(SECOND);
    expect(running()).toEqual([]);
    b.takeOver();
    run(3 * SECOND);
    expect(workerOfB.starts).toEqual([SECOND_TASK]);
  });

  it('is not started if its job was cancelled on the way', () => {
    // Guards against a start after a cancellation that came before the record.
    submit(SERVING);
    run(300);
    failSecondTask();
    const record = release()!;
    cancel();
    store(record);
    run(3 * SECOND);
    expect(workerOfB.starts).toEqual([]);
    expect(running()).toEqual([]);
  });

  it('ends when its job has failed', () => {
    // Guards against a run that goes on for ever: the cancellation of a job that
    // is over is answered without a record.
    detachSecond();
    run(3 * SECOND);
    const state = {phase: JobPhase.FAILED, hasStarted: true, endedAt: 1};
    apply(RecordKind.STATE + ID, packState(state));
    run(SECOND);
    expect(workerOfB.runs.size).toBe(0);
  });

  it('ends its job when it is given up', () => {
    // Guards against a job that is shown as running while one of its tasks will
    // never run again.
    detachSecond();
    const task = b.scheduler.state.jobs.get(SECOND_TASK)!;
    for (const name of ['wb2', 'wb3', 'wb4']) b.addWorker(name);
    b.crashingTasks.add(SECOND_TASK);
    run(60 * SECOND);
    expect(task.phase).toBe(JobPhase.FAILED);
    run(SECOND);
    expect(a.view.phase(ID)).toBe(JobPhase.FAILED);
    expect(running()).toEqual([]);
  });

  it('counts for the limit of tasks on a worker', () => {
    // Guards against two tasks of a step on a worker that may have one.
    const second = b.addWorker('wb2');
    detachSecond({...SERVING, count: 3, maxPerWorker: 1});
    run(SECOND);
    const job = a.scheduler.state.jobs.get(ID)!;
    const third = [...job.tasks()][2];
    if (third.run) workerOfA.end(third.name, RunOutcome.FAILED);
    run(100);
    const record = a.scheduler.detach(third, 'b')!;
    apply(RecordKind.HAND_OVER + third.name, packHandOver(record));
    run(3 * SECOND);
    expect([workerOfB.runs.size, second.runs.size]).toEqual([1, 1]);
  });

  it('is not a job for callers', () => {
    // Guards against a job in look-ups and counts that nobody submitted.
    detachSecond();
    run(SECOND);
    for (const {view} of [a, b]) {
      expect([...view.jobs.keys()]).toEqual([ID]);
      expect(view.phase(SECOND_TASK)).toBeUndefined();
      expect(view.phase(ID)).toBe(JobPhase.RUNNING);
      expect(view.pending(QUEUE.name)).toBe(0);
    }
  });

  it('is forgotten some time after its job', () => {
    // Guards against records that stay in the log for ever.
    detachSecond();
    run(SECOND);
    cancel();
    run(125 * SECOND);
    b.takeOver();
    expect(b.scheduler.state.jobs.size).toBe(0);
    expect(b.view.find(SECOND_TASK)).toBeUndefined();
    expect(b.view.find(ID)).toBeDefined();
  });
});

import {JobMemory} from './admission/job_memory.js';
import {
  JobPhase,
  JobStateRecord,
  LAYOUT_KEY,
  packHandOver,
  packLayout,
  packProgress,
  packRecord,
  packState,
  ProgressRecord,
  RecordKind,
  SCHEDULER_KEY,
  schedulerKey,
  TaskPhase,
  unpackProgress,
} from './job_records.js';
import {JobView} from './job_view.js';
import {ShardLayout, WHOLE_FLEET} from './shard_layout.js';
import {QUEUE, STEP} from './simulated_fleet.test_support.js';

const ID = '00000000000000aa';

const PROGRESS: ProgressRecord = {
  phase: JobPhase.RUNNING,
  hasStarted: true,
  nextOccurrence: 1,
  occurrences: [
    {
      number: 0,
      steps: [
        [
          {
            phase: TaskPhase.PLACED,
            attempt: 2,
            failures: [1],
            crashes: [1],
            worker: 'w1',
            born: 7,
            checkpoint: 'c',
          },
          {
            phase: TaskPhase.WAITING,
            attempt: 0,
            failures: [],
            crashes: [],
            worker: '',
            born: 0,
            checkpoint: '',
          },
        ],
      ],
    },
  ],
  endedAt: 0,
  handOvers: 0,
};

const RUNNING: JobStateRecord = {
  phase: JobPhase.RUNNING,
  hasStarted: true,
  endedAt: 0,
};

const SHAPE = {
  spec: '',
  steps: [STEP],
  repeats: 0,
  startMs: 0,
  periodMs: 0,
};

const SUBMISSION = packRecord({
  queue: QUEUE,
  acceptedAt: 5,
  shape: {spec: 's', steps: [STEP], repeats: 0, startMs: 0, periodMs: 0},
});

describe('progress records', () => {
  it('are unchanged by encoding and decoding', () => {
    // Guards against fields that a new scheduler would lose or mix up.
    expect(unpackProgress(packProgress(PROGRESS))).toEqual(PROGRESS);
  });
});

describe('JobView', () => {
  let view: JobView;
  let faults: string[];

  beforeEach(() => {
    faults = [];
    view = new JobView(key => faults.push(key));
  });

  function apply(key: string, value: Uint8Array): void {
    view.apply({key, value}, 0);
  }

  it('reports a job as queued and pending until it has progress', () => {
    // Guards against a pending count that includes started jobs.
    apply(RecordKind.SUBMISSION + ID, SUBMISSION);
    expect(view.phase(ID)).toBe(JobPhase.QUEUED);
    expect(view.pending(QUEUE.name)).toBe(1);
    apply(RecordKind.STATE + ID, packState(RUNNING));
    expect(view.phase(ID)).toBe(JobPhase.RUNNING);
    expect(view.pending(QUEUE.name)).toBe(0);
  });

  it('counts each pending job once, whatever is read again', () => {
    // Guards against a count that drifts, as it is not made anew for each look.
    for (let i = 0; i < 3; i++) apply(RecordKind.SUBMISSION + ID, SUBMISSION);
    expect(view.pending(QUEUE.name)).toBe(1);
    apply(RecordKind.SUBMISSION + ID, new Uint8Array());
    apply(RecordKind.SUBMISSION + ID, new Uint8Array());
    expect(view.pending(QUEUE.name)).toBe(0);
  });

  it('keeps jobs beyond its memory without their specifications', () => {
    // Guards against the end of a process that reads a log with more than it
    // can hold.
    const memory = new JobMemory();
    const limited = new JobView(
      () => {},
      memory,
      () => 10_000,
    );
    const spec = 'x'.repeat(2000);
    const value = packRecord({
      queue: QUEUE,
      acceptedAt: 5,
      shape: {...SHAPE, spec},
    });
    for (const id of ['a', 'b', 'c']) {
      limited.apply({key: RecordKind.SUBMISSION + id, value}, 0);
    }
    const kept = ['a', 'b', 'c'].map(id => limited.jobs.get(id)!.submission!);
    expect(kept[0]).toMatchObject({shape: {spec}});
    expect(kept[2]).toMatchObject({shape: {spec: ''}, lacksSpec: true});
    expect(kept[2].shape.steps).toEqual([STEP]);
    // One that this instance has accepted has its memory already.
    const bytes = 7000;
    memory.hold('d', {queue: QUEUE.name, source: '', bytes});
    limited.apply({key: `${RecordKind.SUBMISSION}d`, value}, 0);
    expect(limited.jobs.get('d')!.submission).toMatchObject({shape: {spec}});
  });

  it('reports no phase for a job without a submission', () => {
    // Guards against a phase of a job whose submission isn't read yet: the
    // topics are read independently, so its state may arrive first.
    apply(RecordKind.STATE + ID, packState(RUNNING));
    expect(view.phase(ID)).toBeUndefined();
  });

  it('reports a job as cancelled once the scheduler has stored it', () => {
    // Guards against a job that is shown as cancelled at one instance and is
    // complete at another: the instance had read the cancellation and not yet
    // the progress, which is in another topic (soak, seed 511).
    apply(RecordKind.SUBMISSION + ID, SUBMISSION);
    apply(RecordKind.STATE + ID, packState(RUNNING));
    apply(RecordKind.CANCELLATION + ID, Uint8Array.of(1));
    expect(view.phase(ID)).toBe(JobPhase.RUNNING);
    const cancelled = {...RUNNING, phase: JobPhase.CANCELLED, endedAt: 7};
    apply(RecordKind.STATE + ID, packState(cancelled));
    expect(view.phase(ID)).toBe(JobPhase.CANCELLED);
  });

  it('does not count a job as pending after its cancellation', () => {
    // Guards against a pending count that includes jobs that will never start.
    apply(RecordKind.SUBMISSION + ID, SUBMISSION);
    apply(RecordKind.CANCELLATION + ID, Uint8Array.of(1));
    expect(view.pending(QUEUE.name)).toBe(0);
  });

  it('keeps a complete job as complete when it is cancelled', () => {
    // Guards against a final phase that changes after it was reported.
    apply(RecordKind.SUBMISSION + ID, SUBMISSION);
    const complete = {...RUNNING, phase: JobPhase.COMPLETE, endedAt: 7};
    apply(RecordKind.STATE + ID, packState(complete));
    apply(RecordKind.CANCELLATION + ID, Uint8Array.of(1));
    expect(view.phase(ID)).toBe(JobPhase.COMPLETE);
  });

  it('ignores the record of an earlier scheduler that is read again', () => {
    // Guards against a claim with an epoch that was used before: the pages of
    // the newest records may be newer than the records read after them.
    const record = {instance: 'e1', incarnation: 'x', resigned: false};
    apply(SCHEDULER_KEY, packRecord({...record, epoch: 4}));
    apply(SCHEDULER_KEY, packRecord({...record, epoch: 3}));
    expect(view.schedulerOf(WHOLE_FLEET)?.epoch).toBe(4);
  });

  it('keeps the phase of a job when an earlier state is read again', () => {
    // Guards against a job that is shown as complete and then as running: a
    // scheduler applies its records before it reads the topic up to them.
    apply(RecordKind.SUBMISSION + ID, SUBMISSION);
    const complete = {...RUNNING, phase: JobPhase.COMPLETE, endedAt: 7};
    apply(RecordKind.STATE + ID, packState(complete));
    apply(RecordKind.STATE + ID, packState(RUNNING));
    const cancelled = {...complete, phase: JobPhase.CANCELLED};
    apply(RecordKind.STATE + ID, packState(cancelled));
    expect(view.phase(ID)).toBe(JobPhase.COMPLETE);
  });

  it('knows the last record of the scheduler before the latest one', () => {
    // Guards against a successor that takes an earlier scheduler of the shard
    // as resigned and starts tasks while its leases last.
    const record = {instance: 'e1', incarnation: 'x', resigned: false};
    const key = schedulerKey('a');
    apply(key, packRecord({...record, epoch: 1}));
    expect(view.predecessorOf('a')).toBeUndefined();
    apply(key, packRecord({...record, epoch: 1, resigned: true}));
    apply(schedulerKey('b'), packRecord({...record, epoch: 2}));
    apply(key, packRecord({...record, epoch: 3}));
    expect(view.predecessorOf('a')).toMatchObject({epoch: 1, resigned: true});
  });

  it('gives all candidates of a shard the same epoch', () => {
    // Guards against a claim that deposes one of the same moment, as its epoch
    // is above that of another shard's claim (small twin of trouble-1, 46.6 s),
    // and against tokens that workers refuse after the fleet was divided.
    const record = {instance: 'e1', incarnation: 'x', resigned: false};
    apply(SCHEDULER_KEY, packRecord({...record, epoch: 2}));
    expect(view.nextEpoch('a')).toBe(3);
    apply(schedulerKey('b'), packRecord({...record, epoch: 7}));
    expect(view.nextEpoch('a')).toBe(3);
    apply(schedulerKey('a'), packRecord({...record, epoch: 3}));
    expect(view.nextEpoch('a')).toBe(4);
  });

  it('does not know the predecessor if records were skipped', () => {
    // Guards against the same: between the resignation that was read and the
    // latest claim there may have been another scheduler.
    const record = {instance: 'e1', incarnation: 'x', resigned: true};
    const key = schedulerKey('a');
    apply(key, packRecord({...record, epoch: 1}));
    const value = packRecord({...record, epoch: 4, resigned: false});
    view.apply({key, value}, 0, true);
    expect(view.predecessorOf('a')).toBeUndefined();
  });

  it('forgets lost workers that the newest records do not name', () => {
    // Guards against a successor that takes the lease of a returned worker for
    // over: the store forgot its history, and with it the removal of the record.
    const key = (id: string): string => RecordKind.LOST_WORKER + id;
    const lost = packRecord({born: 1, leaseLeftMs: 3000, shard: 'a'});
    apply(key('w1'), lost);
    apply(key('w2'), lost);
    view.beginStates();
    view.apply({key: key('w2'), value: lost}, 500, true);
    expect([...view.lostWorkers.keys()]).toEqual(['w2']);
    expect(view.lostWorkers.get('w2')!.leaseEnd).toBe(3500);
  });

  it('does not revive a scheduler that has resigned', () => {
    // Guards against a role that stays vacant because a heartbeat from before
    // the resignation was read again.
    const record = {epoch: 1, instance: 'e1', incarnation: 'x'};
    apply(SCHEDULER_KEY, packRecord({...record, resigned: true}));
    apply(SCHEDULER_KEY, packRecord({...record, resigned: false}));
    expect(view.schedulerOf(WHOLE_FLEET)?.resigned).toBe(true);
  });

  it('assigns a job to the same shard whichever submission is read', () => {
    // Guards against two owners of a job that two instances accepted at the same
    // time: some replicas have read the first record, some only the last one
    // (finding 12 of the model).
    apply(LAYOUT_KEY, packLayout(new ShardLayout(['a', 'b'])));
    apply(RecordKind.SUBMISSION + ID, SUBMISSION);
    const owner = view.ownerOf(view.jobs.get(ID)!);
    const other = new JobView(() => {});
    const later = packRecord({queue: QUEUE, acceptedAt: 9, shape: SHAPE});
    const value = packLayout(new ShardLayout(['a', 'b']));
    other.apply({key: LAYOUT_KEY, value}, 0);
    other.apply({key: RecordKind.SUBMISSION + ID, value: later}, 0);
    expect(other.ownerOf(other.jobs.get(ID)!)).toBe(owner);
  });

  it('computes the first owner of a job once in each layout', () => {
    // Guards against a hash for each record of a job and against an owner that
    // stays the one of an earlier layout.
    const shardOfJob = jest.spyOn(ShardLayout.prototype, 'shardOfJob');
    apply(RecordKind.SUBMISSION + ID, SUBMISSION);
    const owner = () => view.ownerOf(view.jobs.get(ID)!);
    expect([owner(), owner()]).toEqual([WHOLE_FLEET, WHOLE_FLEET]);
    expect(shardOfJob).toHaveBeenCalledTimes(1);
    apply(LAYOUT_KEY, packLayout(new ShardLayout(['a'])));
    expect([owner(), owner()]).toEqual(['a', 'a']);
    expect(shardOfJob).toHaveBeenCalledTimes(2);
    shardOfJob.mockRestore();
  });

  it('follows the latest hand-over of a job, whatever is read again', () => {
    // Guards against two owners of a job that came back to its first shard.
    apply(LAYOUT_KEY, packLayout(new ShardLayout(['a', 'b', 'c'])));
    apply(RecordKind.SUBMISSION + ID, SUBMISSION);
    const handOver = (shard: string, number: number) =>
      apply(
        RecordKind.HAND_OVER + ID,
        packHandOver({shard, number, progress: PROGRESS}),
      );
    const owner = () => view.ownerOf(view.jobs.get(ID)!);
    handOver('b', 1);
    handOver('a', 2);
    handOver('b', 1);
    expect(owner()).toBe('a');
    handOver('c', 3);
    expect(owner()).toBe('c');
    expect(view.jobs.get(ID)!.handOver!.progress).toEqual(PROGRESS);
  });

  it('forgets the tasks of jobs after a takeover, not their states', () => {
    // Guards against tasks of an earlier term that a later takeover restores,
    // and against the memory that they take at every instance.
    apply(RecordKind.SUBMISSION + ID, SUBMISSION);
    apply(RecordKind.STATE + ID, packState(RUNNING));
    apply(RecordKind.PROGRESS + ID, packProgress(PROGRESS));
    view.dropProgress();
    expect(view.jobs.get(ID)?.progress).toBeUndefined();
    expect(view.phase(ID)).toBe(JobPhase.RUNNING);
  });

  it('removes a job whose records were deleted', () => {
    // Guards against reporting a job after its records have expired.
    apply(RecordKind.SUBMISSION + ID, SUBMISSION);
    apply(RecordKind.SUBMISSION + ID, new Uint8Array());
    expect(view.phase(ID)).toBeUndefined();
  });

  it('reports a record that cannot be decoded and does not throw', () => {
    // Guards against one corrupt record that stops the reading of a topic.
    apply(SCHEDULER_KEY, Uint8Array.of(0xc1));
    expect(faults).toEqual([SCHEDULER_KEY]);
  });
});

import {JobAdmission} from '../../../common/batch/admission/job_admission.js';
import {jobBytes} from '../../../common/batch/admission/job_size_estimate.js';
import {
  JobPhase,
  packRecord,
  packState,
  RecordKind,
} from '../../../common/batch/job_records.js';
import {JobView} from '../../../common/batch/job_view.js';
import {
  QUEUE,
  STEP,
} from '../../../common/batch/simulated_fleet.test_support.js';
import {KeyedRecord} from '../../../common/batch/store.js';
import {JobShape} from '../../../common/batch/types.js';
import {IntakeResult} from '../pending_write.js';
import {IntakePath} from './intake_path.js';
import {JobIntake} from './job_intake.js';

const SHAPE: JobShape = {
  spec: 'cut',
  steps: [STEP],
  repeats: 0,
  startMs: 0,
  periodMs: 0,
};

const LIMIT_BYTES = 100 * jobBytes(SHAPE);

describe('JobIntake', () => {
  const clock = {now: () => 0};
  let view: JobView;
  let admission: JobAdmission;
  let intake: JobIntake;
  /** Records that reached the store. */
  let stored: KeyedRecord[];
  let outcome: IntakeResult;

  beforeEach(() => {
    stored = [];
    outcome = IntakeResult.STORED;
    admission = new JobAdmission({
      now: () => 0,
      limitBytes: () => LIMIT_BYTES,
      instances: () => 1,
    });
    view = new JobView(() => {}, admission.memory);
    const store = (record: KeyedRecord) => {
      stored.push(record);
      if (outcome === IntakeResult.STORED) view.apply(record, 0);
      return Promise.resolve(outcome);
    };
    const path = {
      store,
      storeForwarded: async (record: KeyedRecord) => ({
        result: await store(record),
        appendMs: 1,
      }),
    } as unknown as IntakePath;
    const recordBytes = 262_144;
    intake = new JobIntake({
      view,
      path,
      admission,
      wallClock: clock,
      decisions: {decide: () => {}},
      recordBytes,
    });
  });

  function submit(id: string, source: string): Promise<IntakeResult> {
    const caller = {source, heldBytes: 0};
    return intake.submit(QUEUE, id, SHAPE, 1000, caller);
  }

  /** Submits jobs until one is not stored; returns the last result. */
  async function flood(): Promise<IntakeResult> {
    for (let i = 0; ; i++) {
      const result = await submit(`f${i}`, `10.0.0.${i}`);
      if (result !== IntakeResult.STORED) return result;
    }
  }

  it('stores nothing of a job that it refuses', async () => {
    // A refusal tells the caller that the job has not run and never will.
    expect([IntakeResult.NO_MEMORY, IntakeResult.OVER_SHARE]).toContain(
      await flood(),
    );
    const count = stored.length;
    await submit('x', '10.0.0.1');
    expect(stored).toHaveLength(count);
    expect(view.phase('x')).toBeUndefined();
  });

  it('still answers for a job that was accepted before', async () => {
    // A caller whose first answer was lost must not be told that the job does
    // not run.
    await submit('first', '10.1.1.1');
    await flood();
    expect(await submit('first', '10.1.1.1')).toBe(IntakeResult.STORED);
  });

  it('refuses the job of an instance that does not know how much is held', async () => {
    // An instance that is cut off from the store goes by what it last read.
    await flood();
    const submission = {queue: QUEUE, acceptedAt: 0, shape: SHAPE};
    const value = packRecord({...submission, source: '10.0.0.1'});
    const record = {key: `${RecordKind.SUBMISSION}x`, value};
    const count = stored.length;
    const sender = {instance: 'a', appendMs: 0};
    const {result} = await intake.storeForwarded(record, 1000, sender);
    expect(result).toBe(IntakeResult.REJECTED);
    expect(stored).toHaveLength(count);
  });

  it('frees the memory of a job that is not stored', async () => {
    // Rejections of a store that is down took the memory of later jobs.
    for (const result of [IntakeResult.REJECTED, IntakeResult.UNKNOWN]) {
      outcome = result;
      await submit('x', '10.0.0.1');
      expect(admission.memory.total).toBe(0);
    }
    // A job of unknown outcome may be read later.
    view.apply(stored[1], 0);
    expect(admission.memory.total).toBe(jobBytes(SHAPE));
  });

  it('accepts jobs again as others end and are forgotten', async () => {
    await flood();
    const full = admission.memory.total;
    const ended = {phase: JobPhase.COMPLETE, hasStarted: true, endedAt: 1};
    for (let i = 0; i < 50; i++) {
      const key = `${RecordKind.STATE}f${i}`;
      view.apply({key, value: packState(ended)}, 0);
    }
    expect(admission.memory.total).toBeLessThan(full);
    expect(await submit('x', '10.2.2.2')).toBe(IntakeResult.STORED);
    for (let i = 0; i < 200; i++) {
      const key = `${RecordKind.SUBMISSION}f${i}`;
      view.apply({key, value: new Uint8Array()}, 0);
    }
    expect(admission.memory.total).toBe(jobBytes(SHAPE));
  });
});

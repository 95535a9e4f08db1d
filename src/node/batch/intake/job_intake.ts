import {Clock, Millis} from '../../../common/base/clock.js';
import {
  JobAdmission,
  JobVerdict,
} from '../../../common/batch/admission/job_admission.js';
import {AppendReport} from '../../../common/batch/admission/append_pace.js';
import {
  JobCaller,
  JobHolding,
} from '../../../common/batch/admission/job_memory.js';
import {jobBytes} from '../../../common/batch/admission/job_size_estimate.js';
import {
  packRecord,
  RecordKind,
  SubmissionRecord,
  unpackSubmission,
} from '../../../common/batch/job_records.js';
import {maxTasks, taskCount} from '../../../common/batch/job_size.js';
import {JobView} from '../../../common/batch/job_view.js';
import {DecisionLog} from '../../../common/batch/scheduler_state.js';
import {KeyedRecord} from '../../../common/batch/store.js';
import {JobShape, Queue} from '../../../common/batch/types.js';
import {IntakeResult, isNotStored} from '../pending_write.js';
import {IntakePath} from './intake_path.js';
import {ForwardedWrite} from './neighbour_messages.js';

const RESULT_BY_VERDICT = {
  [JobVerdict.NO_MEMORY]: IntakeResult.NO_MEMORY,
  [JobVerdict.OVER_SHARE]: IntakeResult.OVER_SHARE,
} as const;

/** What the intake of jobs depends on. */
export interface JobIntakeDependencies {
  readonly view: JobView;
  readonly path: IntakePath;
  readonly admission: JobAdmission;
  readonly wallClock: Clock;
  readonly decisions: DecisionLog;
  /** Largest record that the log accepts, in bytes. */
  readonly recordBytes: number;
}

/** Accepts jobs that there is memory for, and has them stored. */
export class JobIntake {
  constructor(private readonly dependencies: JobIntakeDependencies) {}

  /**
   * Stores a job unless it is known already. One whose progress could never be
   * stored is refused.
   *
   * @param deadline local time by which the result is returned.
   * @param caller the connection that submits the job, if it is known.
   */
  async submit(
    queue: Queue,
    id: string,
    shape: JobShape,
    deadline: Millis,
    caller?: JobCaller,
  ): Promise<IntakeResult> {
    const {view, wallClock, path} = this.dependencies;
    if (view.phase(id) !== undefined) return IntakeResult.STORED;
    if (this.isTooLarge(shape)) return IntakeResult.REFUSED;
    const acceptedAt = wallClock.now();
    const submission = {queue, acceptedAt, shape, source: caller?.source};
    const verdict = this.accept(id, submission, caller);
    if (verdict !== JobVerdict.ACCEPTED) return RESULT_BY_VERDICT[verdict];
    const key = RecordKind.SUBMISSION + id;
    const record = {key, value: packRecord(submission)};
    const {result} = await this.storeCounted(id, async () => ({
      result: await path.store(record, deadline),
      appendMs: 0,
    }));
    return result;
  }

  /** Stores a record for another instance. */
  async storeForwarded(
    record: KeyedRecord,
    deadline: Millis,
    sender: AppendReport,
  ): Promise<ForwardedWrite> {
    const {view, path} = this.dependencies;
    if (record.key[0] !== RecordKind.SUBMISSION) {
      return path.storeForwarded(record, deadline, sender);
    }
    const id = record.key.slice(1);
    if (view.phase(id) !== undefined) {
      return {result: IntakeResult.STORED, appendMs: 0};
    }
    // The sender may have read the intake long ago.
    const verdict = this.accept(id, unpackSubmission(record.value));
    if (verdict !== JobVerdict.ACCEPTED) {
      return {result: IntakeResult.REJECTED, appendMs: 0};
    }
    return this.storeCounted(id, () =>
      path.storeForwarded(record, deadline, sender),
    );
  }

  /** Whether no record of the log could hold the progress of a job. */
  isTooLarge(shape: JobShape): boolean {
    return taskCount(shape) > maxTasks(this.dependencies.recordBytes);
  }

  private accept(
    id: string,
    {queue, source = '', shape}: SubmissionRecord,
    caller?: JobCaller,
  ): JobVerdict {
    const {view, admission} = this.dependencies;
    const bytes = jobBytes(shape, view.layout.shards.length);
    const holding: JobHolding = {queue: queue.name, source, bytes, caller};
    const verdict = admission.accept(id, holding);
    if (verdict !== JobVerdict.ACCEPTED) this.logRefusal(id, holding, verdict);
    return verdict;
  }

  private logRefusal(
    job: string,
    {queue, source, bytes, caller}: JobHolding,
    verdict: JobVerdict,
  ): void {
    const {admission, decisions} = this.dependencies;
    const {memory, limitBytes} = admission;
    decisions.decide('job-refused', {
      job,
      verdict,
      bytes,
      queue,
      source,
      limitBytes: Math.round(limitBytes),
      heldBytes: memory.total,
      ofQueue: memory.ofQueue(queue),
      ofSource: memory.ofSource(source),
      ofConnection: caller?.heldBytes,
    });
  }

  /** Stores a job that counts already; it does no more unless it is stored. */
  private async storeCounted(
    id: string,
    store: () => Promise<ForwardedWrite>,
  ): Promise<ForwardedWrite> {
    const {view, admission} = this.dependencies;
    let isRejected = false;
    try {
      const write = await store();
      isRejected = isNotStored(write.result);
      return write;
    } finally {
      if (view.phase(id) === undefined) admission.abandon(id, isRejected);
    }
  }
}

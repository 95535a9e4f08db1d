import {RecordKind, unpackSubmission} from '../../common/batch/job_records.js';
import {KeyedRecord, Topic} from '../../common/batch/store.js';

/** Loaded specifications that are kept, as the tasks of a job share one. */
const MAX_KEPT = 16;

/** Reads single records of the log. */
export interface RecordReader {
  /** Newest record of a key; undefined if there is none or it can't be read. */
  newestOf(topic: Topic, key: string): Promise<KeyedRecord | undefined>;
}

/** Loads the specifications of jobs whose copies in memory lack them. */
export class SpecLoader {
  /** The latest ones by job, the last used one last. */
  private readonly kept = new Map<string, Promise<string | undefined>>();

  constructor(private readonly reader: RecordReader) {}

  /** Returns undefined if the job is not in the log or can't be read now. */
  async load(job: string): Promise<string | undefined> {
    const loading = this.kept.get(job) ?? this.read(job);
    this.kept.delete(job);
    this.kept.set(job, loading);
    for (const oldest of this.kept.keys()) {
      if (this.kept.size <= MAX_KEPT) break;
      this.kept.delete(oldest);
    }
    const spec = await loading;
    if (spec === undefined) this.kept.delete(job);
    return spec;
  }

  private async read(job: string): Promise<string | undefined> {
    const key = RecordKind.SUBMISSION + job;
    const record = await this.reader.newestOf(Topic.INTAKE, key);
    if (record === undefined) return undefined;
    return unpackSubmission(record.value).shape.spec;
  }
}

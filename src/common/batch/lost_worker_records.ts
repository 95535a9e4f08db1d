import {Millis} from '../base/clock.js';
import {packRecord, RecordKind} from './job_records.js';
import {SchedulerState} from './scheduler_state.js';
import {KeyedRecord} from './store.js';
import {WorkerState} from './worker_state.js';

/** Time without a response after which a worker is recorded as lost. */
const RECORD_LOST_AFTER_MS: Millis = 1500;

/**
 * The records by which a scheduler tells the next one which workers it can't
 * reach and when their leases are over. A worker gets no lease while there is
 * one.
 */
export class LostWorkerRecords {
  constructor(private readonly state: SchedulerState) {}

  /** Yields records that tell the next scheduler which workers are lost. */
  *next(): Generator<KeyedRecord> {
    const now = this.state.now();
    for (const worker of this.state.workers.values()) {
      const record = this.nextOf(worker, now);
      if (record === undefined) continue;
      worker.unstoredLossRecord = record;
      yield record;
    }
  }

  private nextOf(worker: WorkerState, now: Millis): KeyedRecord | undefined {
    const key = RecordKind.LOST_WORKER + worker.id;
    if (!worker.isRecordedAsLost) {
      if (!isNewlyLost(worker, now)) return undefined;
      worker.isRecordedAsLost = true;
      const {shard} = this.state;
      const leaseLeftMs = worker.leaseLeft(now);
      const born = Math.max(worker.latestBorn, worker.knownBorn);
      const record = {born, leaseLeftMs, shard};
      return {key, value: packRecord(record)};
    }
    const isRemovalDue = worker.isResponsive || worker.isUnused;
    const isBeingRemoved = worker.unstoredLossRecord?.value.length === 0;
    if (!isRemovalDue || isBeingRemoved) return undefined;
    return {key, value: new Uint8Array()};
  }

  /** Handles a stored record; a removal allows new leases to the worker. */
  onStored(record: KeyedRecord): void {
    const {key, value} = record;
    if (key[0] !== RecordKind.LOST_WORKER) return;
    const worker = this.state.workers.get(key.slice(1));
    // An earlier record may be stored after a later one was written.
    if (worker?.unstoredLossRecord !== record) return;
    worker.unstoredLossRecord = undefined;
    if (value.length === 0) worker.isRecordedAsLost = false;
  }
}

function isNewlyLost(worker: WorkerState, now: Millis): boolean {
  if (worker.isResponsive || worker.isRecordedAsLost) return false;
  if (worker.runs.size === 0 || worker.knownBorn === 0) return false;
  return now - worker.silentSince > RECORD_LOST_AFTER_MS;
}

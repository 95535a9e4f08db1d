import {setTimeout as sleep} from 'node:timers/promises';
import {Millis, SECOND} from '../../common/base/clock.js';
import {
  InterferenceEvidence,
  InterferenceModel,
} from '../../common/batch/interference.js';
import {packEvidence, unpackEvidence} from '../../common/batch/job_records.js';
import {KeyedLog, ReadResult, Topic} from '../../common/batch/store.js';

/** Time between two exchanges. */
const EXCHANGE_INTERVAL_MS: Millis = 1 * SECOND;

/** Largest record of one shard, in bytes; all schedulers read those of all. */
const MAX_EVIDENCE_BYTES = 65_536;

/** Timeout of an append; one that fails is made up for by the next. */
const APPEND_TIMEOUT_MS: Millis = 800;

/** Called with the key of a record that can't be decoded. */
export type EvidenceFaultHandler = (key: string, error: unknown) => void;

/**
 * Exchanges what the schedulers of the shards learn of the interference between
 * images. Images behave alike in all shards, and each pair of images is rare in
 * one of them. Nothing depends on the order or on the loss of a record.
 */
export class EvidenceExchange {
  private isClosed = false;

  constructor(
    private readonly log: KeyedLog,
    private readonly shard: string,
    private readonly model: InterferenceModel,
    private readonly onFault: EvidenceFaultHandler,
  ) {}

  /** Exchanges until it is closed. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      try {
        await this.exchange();
      } catch (error) {
        this.onFault(this.shard, error);
      }
      await sleep(EXCHANGE_INTERVAL_MS);
    }
  }

  close(): void {
    this.isClosed = true;
  }

  /** Stores what this scheduler has learned, and reads what others have. */
  async exchange(): Promise<void> {
    const {recordBytes} = this.log.limits;
    const maxBytes = Math.min(MAX_EVIDENCE_BYTES, recordBytes / 2);
    const value = packEvidence(this.model.exportEvidence(maxBytes));
    await this.log.append(
      Topic.INTERFERENCE,
      [{key: this.shard, value}],
      {},
      APPEND_TIMEOUT_MS,
    );
    const {result, records} = await this.log.newest(Topic.INTERFERENCE);
    if (result !== ReadResult.READ || this.isClosed) return;
    const peers: InterferenceEvidence[] = [];
    for (const {key, value: bytes} of records) {
      if (key === this.shard) continue;
      try {
        peers.push(unpackEvidence(bytes));
      } catch (error) {
        this.onFault(key, error);
      }
    }
    this.model.setPeerEvidence(peers);
  }
}

import {KeyedRecord} from '../../common/batch/store.js';
import {WorkerListing} from '../../common/batch/types.js';

/** Decodes a worker's entry; undefined if it names no usable worker. */
export type WorkerEntryDecoder = (
  record: KeyedRecord,
) => WorkerListing | undefined;

/** Called with the key of an entry whose decoding has thrown an error. */
export type EntryFaultHandler = (key: string, error: unknown) => void;

/**
 * The workers that the store lists. Other writers may leave entries of any
 * kind among them; each concerns only its own key.
 */
export class WorkerList {
  private readonly listings = new Map<string, WorkerListing>();

  constructor(
    private readonly decode: WorkerEntryDecoder,
    private readonly onFault: EntryFaultHandler,
  ) {}

  /** Listed workers by id. */
  get byId(): ReadonlyMap<string, WorkerListing> {
    return this.listings;
  }

  /**
   * Applies entries that were read.
   * @param isReset whether they are all that there are.
   */
  apply(records: readonly KeyedRecord[], isReset: boolean): void {
    if (isReset) this.listings.clear();
    for (const record of records) {
      const listing =
        record.value.length > 0 ? this.decodeSafely(record) : undefined;
      if (listing !== undefined) this.listings.set(record.key, listing);
      else this.listings.delete(record.key);
    }
  }

  private decodeSafely(record: KeyedRecord): WorkerListing | undefined {
    try {
      return this.decode(record);
    } catch (error) {
      this.onFault(record.key, error);
      return undefined;
    }
  }
}

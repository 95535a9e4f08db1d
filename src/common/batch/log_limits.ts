import {KeyedRecord} from './store.js';

/** Largest sizes that the log accepts. */
export interface LogLimits {
  /** Key and value of one record, in bytes. */
  readonly recordBytes: number;
  /** Key of one record, in bytes. */
  readonly keyBytes: number;
  /** All records of one append with their overhead, in bytes. */
  readonly appendBytes: number;
  /** What each record adds to the size of an append, in bytes. */
  readonly overheadBytes: number;
}

/** Size of a record's key and value in bytes. */
export function recordSize({key, value}: KeyedRecord): number {
  return Buffer.byteLength(key) + value.length;
}

/** Whether the log can accept a record. */
export function isWithinLimits(
  record: KeyedRecord,
  {recordBytes, keyBytes}: LogLimits,
): boolean {
  const keySize = Buffer.byteLength(record.key);
  return keySize <= keyBytes && keySize + record.value.length <= recordBytes;
}

/** Splits records into appends of bounded size; one record is never split. */
export function* splitIntoAppends(
  records: readonly KeyedRecord[],
  {appendBytes, overheadBytes}: LogLimits,
): Generator<readonly KeyedRecord[]> {
  let part: KeyedRecord[] = [];
  let bytes = 0;
  for (const record of records) {
    const size = recordSize(record) + overheadBytes;
    if (bytes + size > appendBytes && part.length > 0) {
      yield part;
      part = [];
      bytes = 0;
    }
    part.push(record);
    bytes += size;
  }
  if (part.length > 0) yield part;
}

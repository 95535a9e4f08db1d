import {
  ReportedEnd,
  ReportedRun,
  RunOutcome,
  WorkerReport,
} from '../../common/batch/types.js';
import {
  asArray,
  asNumber,
  asString,
  decodeCode,
  entryAt,
} from './frame_fields.js';
import {OUTCOME_CODES, SAME_ROWS} from './report_packer.js';

const OUTCOMES_BY_CODE = new Map(
  Object.values(RunOutcome).map(outcome => [OUTCOME_CODES[outcome], outcome]),
);

/**
 * Rebuilds the reports that a `ReportPacker` encoded for a link. Each one is
 * whole: an end is part of it until the worker no longer reports it.
 */
export class ReportUnpacker {
  /** Last report of each worker, by its number on the link. */
  private readonly lastReports = new Map<number, WorkerReport>();

  /**
   * Rebuilds a report; reports are passed in the order in which they were sent.
   * @throws TypeError if the fields are malformed.
   */
  unpack(worker: number, fields: unknown): WorkerReport {
    const values = asArray(fields, 'a report');
    const [bornField, clock, runs, ended, hasMoreEnds] = values;
    const born = asNumber(bornField, 'incarnation');
    const known = this.lastReports.get(worker);
    const last = known?.born === born ? known : undefined;
    const report: WorkerReport = {
      born,
      clockMs: asNumber(clock, 'clock'),
      running: unpackRows(runs, last?.running ?? [], unpackRun, 'running runs'),
      ends: unpackRows(ended, last?.ends ?? [], unpackEnd, 'ends'),
      // A relay of an earlier version doesn't tell.
      hasMoreEnds: hasMoreEnds !== false,
    };
    this.lastReports.set(worker, report);
    return report;
  }
}

function unpackRows<T>(
  entries: unknown,
  lastRows: readonly T[],
  unpackRow: (entry: unknown, lastRows: readonly T[]) => T,
  name: string,
): readonly T[] {
  if (entries === SAME_ROWS) return lastRows;
  return asArray(entries, name).map(entry =>
    typeof entry === 'number'
      ? entryAt(lastRows, entry, 'an earlier row')
      : unpackRow(entry, lastRows),
  );
}

function unpackRun(
  entry: unknown,
  lastRuns: readonly ReportedRun[],
): ReportedRun {
  const fields = asArray(entry, 'a run');
  if (typeof fields[0] === 'number') {
    const last = entryAt(lastRuns, fields[0], 'an earlier row');
    // Much faster than a spread of the last row.
    return {
      task: last.task,
      attempt: last.attempt,
      checkpoint: last.checkpoint,
      percent: asNumber(fields[1], 'percent'),
      gauge: asNumber(fields[2], 'gauge'),
    };
  }
  const [task, attempt, checkpoint, percent, gauge] = fields;
  return {
    task: asString(task, 'task'),
    attempt: asNumber(attempt, 'attempt'),
    checkpoint: asString(checkpoint, 'checkpoint'),
    percent: asNumber(percent, 'percent'),
    gauge: asNumber(gauge, 'gauge'),
  };
}

function unpackEnd(entry: unknown): ReportedEnd {
  const [sequence, task, attempt, code, checkpoint] = asArray(entry, 'an end');
  return {
    sequence: asNumber(sequence, 'number of an end'),
    task: asString(task, 'task'),
    attempt: asNumber(attempt, 'attempt'),
    end: decodeCode(OUTCOMES_BY_CODE, code, 'outcome'),
    checkpoint: asString(checkpoint, 'checkpoint'),
  };
}

import {
  ReportedEnd,
  ReportedRun,
  RunOutcome,
  WorkerReport,
} from '../../common/batch/types.js';

/** Codes of the outcomes in a frame. */
export const OUTCOME_CODES: Readonly<Record<RunOutcome, number>> = {
  [RunOutcome.DONE]: 0,
  [RunOutcome.FAILED]: 1,
  [RunOutcome.STOPPED]: 2,
  [RunOutcome.LEASE_EXPIRED]: 3,
  [RunOutcome.BROKEN]: 4,
  [RunOutcome.ALONE]: 5,
};

/** In place of a list of rows that is equal to the last one. */
export const SAME_ROWS = 0;

/** How the rows of one list of a report are compared and encoded. */
interface RowFormat<T> {
  /** Whether two rows are about the same run. */
  readonly isSameRun: (row: T, last: T) => boolean;
  readonly isEqual: (row: T, last: T) => boolean;
  /** Encodes a row that differs from the last one about the same run. */
  readonly packChange: (row: T, last: T, index: number) => unknown;
  readonly pack: (row: T) => unknown;
}

const RUN_FORMAT: RowFormat<ReportedRun> = {
  isSameRun: (run, last) => run.task === last.task,
  isEqual: (run, last) =>
    run.percent === last.percent &&
    run.gauge === last.gauge &&
    run.attempt === last.attempt &&
    run.checkpoint === last.checkpoint,
  packChange: (run, last, index) => {
    const {task, attempt, checkpoint, percent, gauge} = run;
    const isOnlyProgress =
      attempt === last.attempt && checkpoint === last.checkpoint;
    if (isOnlyProgress) return [index, percent, gauge];
    return [task, attempt, checkpoint, percent, gauge];
  },
  pack: ({task, attempt, checkpoint, percent, gauge}) => [
    task,
    attempt,
    checkpoint,
    percent,
    gauge,
  ],
};

const END_FORMAT: RowFormat<ReportedEnd> = {
  isSameRun: (end, last) => end.sequence === last.sequence,
  isEqual: (end, last) =>
    end.task === last.task &&
    end.attempt === last.attempt &&
    end.end === last.end &&
    end.checkpoint === last.checkpoint,
  packChange: end => END_FORMAT.pack(end),
  pack: ({sequence, task, attempt, end, checkpoint}) => [
    sequence,
    task,
    attempt,
    OUTCOME_CODES[end],
    checkpoint,
  ],
};

/**
 * Encodes the reports of the workers on a link as changes: a row of the last
 * report that was sent for a worker goes as its index there, one of which only
 * the progress differs as index and progress, and any other one in full. Rows
 * of the last report that are not referred to are gone. The first report of an
 * incarnation is sent in full.
 *
 * A change is known no later than with whole reports, as it is in the same
 * frame. An end that the worker repeats until it is acknowledged is sent once.
 */
export class ReportPacker {
  /** Last report that was sent for each worker, by its number on the link. */
  private readonly lastReports = new Map<number, WorkerReport>();

  /** Encodes a report, which has to be sent before the next one is encoded. */
  pack(worker: number, report: WorkerReport): readonly unknown[] {
    const {born, clockMs, running, ends, hasMoreEnds} = report;
    const known = this.lastReports.get(worker);
    const last = known?.born === born ? known : undefined;
    this.lastReports.set(worker, report);
    return [
      born,
      clockMs,
      packRows(running, last?.running ?? [], RUN_FORMAT),
      packRows(ends, last?.ends ?? [], END_FORMAT),
      hasMoreEnds,
    ];
  }
}

function packRows<T>(
  rows: readonly T[],
  lastRows: readonly T[],
  format: RowFormat<T>,
): unknown {
  const entries: unknown[] = [];
  let isSame = rows.length === lastRows.length;
  // Most rows follow the one that they followed in the last report.
  let next = 0;
  for (const row of rows) {
    const index = findRow(row, lastRows, next, format);
    if (index < 0) {
      entries.push(format.pack(row));
      isSame = false;
      continue;
    }
    const last = lastRows[index];
    const isEqual = format.isEqual(row, last);
    isSame &&= isEqual && index === next;
    entries.push(isEqual ? index : format.packChange(row, last, index));
    next = index + 1;
  }
  return isSame ? SAME_ROWS : entries;
}

/** Index of the last row about the same run; -1 if there is none. */
function findRow<T>(
  row: T,
  lastRows: readonly T[],
  from: number,
  {isSameRun}: RowFormat<T>,
): number {
  const count = lastRows.length;
  for (let i = 0; i < count; i++) {
    const index = (from + i) % count;
    if (isSameRun(row, lastRows[index])) return index;
  }
  return -1;
}

import {AuditEntry} from '../common/tickets/types.js';
import {formatTable, formatTime} from './text_table.js';

/** Formats audit entries as a table, with the reason of each refusal. */
export function formatAuditTable(entries: readonly AuditEntry[]): string {
  return formatTable(
    [
      'OFFSET',
      'TIME',
      'NUMBER',
      'BASE',
      'AUTHOR',
      'OUTCOME',
      'REASON',
      'CHANGED',
      'COMMENT',
    ],
    entries.map(entry => [
      entry.offset,
      formatTime(entry.timeMs),
      entry.number,
      entry.base,
      entry.author,
      entry.outcome,
      entry.reason === undefined
        ? undefined
        : `${entry.reason}, ticket ${entry.winner} won`,
      entry.touched.join(' '),
      entry.comment,
    ]),
  );
}

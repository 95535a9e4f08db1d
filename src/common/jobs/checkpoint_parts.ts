import {JobTable} from './job_table.js';
import {PartFiller} from './part_filler.js';
import {JobRecord} from './types.js';

/** Splits the state of a table into checkpoint records. */
export function checkpointParts(table: JobTable): JobRecord[] {
  const filler = new PartFiller();
  for (const job of table.allJobs()) {
    filler.next(JSON.stringify(job).length).jobs.push(job);
  }
  for (const claim of table.allClaims()) {
    filler.next(JSON.stringify(claim).length).claims.push(claim);
  }
  for (const tombstone of table.allTombstones()) {
    filler.next(JSON.stringify(tombstone).length).tombstones.push(tombstone);
  }
  const {parts} = filler;
  return parts.map((part, index) => ({
    kind: 'checkpoint',
    part: index,
    parts: parts.length,
    ...part,
  }));
}

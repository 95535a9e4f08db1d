import {JobTable} from './job_table.js';
import {CheckpointPartBuilder} from './checkpoint_part_builder.js';
import {JobRecord} from './types.js';

/** Splits a checkpoint of a job table into parts, one record each. */
export function splitIntoCheckpointParts(table: JobTable): JobRecord[] {
  const builder = new CheckpointPartBuilder();
  for (const job of table.allJobs()) {
    builder.partFor(JSON.stringify(job).length).jobs.push(job);
  }
  for (const claim of table.allClaims()) {
    builder.partFor(JSON.stringify(claim).length).claims.push(claim);
  }
  for (const tombstone of table.allTombstones()) {
    builder
      .partFor(JSON.stringify(tombstone).length)
      .tombstones.push(tombstone);
  }
  const {parts} = builder;
  return parts.map((part, index) => ({
    kind: 'checkpoint',
    part: index,
    parts: parts.length,
    ...part,
  }));
}

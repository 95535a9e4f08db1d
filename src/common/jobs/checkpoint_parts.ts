import {JobTable} from './job_table.js';
import {Claim, JobRecord, JobView, Tombstone} from './types.js';

/** Entries in one part of a checkpoint. */
const MAX_PART_ENTRIES = 500;

/** Approximate characters in one part; the log takes bodies of a few MB. */
const MAX_PART_CHARACTERS = 512 * 1024;

interface OpenPart {
  jobs: JobView[];
  claims: Claim[];
  tombstones: Tombstone[];
}

function emptyPart(): OpenPart {
  return {jobs: [], claims: [], tombstones: []};
}

/** Fills parts up to the limits of entries and characters. */
class PartFiller {
  readonly parts: OpenPart[] = [emptyPart()];
  private entries = 0;
  private characters = 0;

  /** Returns the part that an entry of this length belongs to. */
  next(length: number): OpenPart {
    const full =
      this.entries >= MAX_PART_ENTRIES ||
      (this.entries > 0 && this.characters + length > MAX_PART_CHARACTERS);
    if (full) {
      this.parts.push(emptyPart());
      this.entries = 0;
      this.characters = 0;
    }
    this.entries++;
    this.characters += length;
    return this.parts[this.parts.length - 1];
  }
}

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

import {Claim, JobView, Tombstone} from './types.js';

/** Most entries in one part of a checkpoint. */
const MAX_PART_ENTRIES = 500;

/**
 * Approximate limit of JSON characters in one part; a longer entry gets a part
 * of its own. The log accepts bodies of a few MB.
 */
const MAX_PART_CHARACTERS = 512 * 1024;

/** Content of one part of a checkpoint. */
export interface CheckpointPart {
  jobs: JobView[];
  claims: Claim[];
  tombstones: Tombstone[];
}

function emptyPart(): CheckpointPart {
  return {jobs: [], claims: [], tombstones: []};
}

/** Assigns entries to parts within the limits of entries and characters. */
export class CheckpointPartBuilder {
  readonly parts: CheckpointPart[] = [emptyPart()];
  private entries = 0;
  private characters = 0;

  /**
   * Returns the part that the next entry is to be added to.
   *
   * @param length JSON characters of the entry.
   */
  partFor(length: number): CheckpointPart {
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

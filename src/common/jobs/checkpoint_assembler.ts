import {Epoch} from '../stream/types.js';
import {Claim, JobRecord, JobView, Tombstone} from './types.js';

type Part = Extract<JobRecord, {kind: 'checkpoint'}>;

/** Content of a complete checkpoint of the job table. */
export interface CheckpointContent {
  readonly jobs: readonly JobView[];
  readonly claims: readonly Claim[];
  readonly tombstones: readonly Tombstone[];
}

/**
 * Assembles a checkpoint of the job table from its parts. A checkpoint is valid
 * only if all parts were read in order, are from one epoch, and no other record
 * came between them; the caller calls `reset` for every other record.
 */
export class CheckpointAssembler {
  private parts: Part[] = [];
  private epoch: Epoch | undefined;

  /** Discards the parts of an incomplete checkpoint. */
  reset(): void {
    if (this.parts.length > 0) this.parts = [];
  }

  /** Adds a part; returns the content if it was the last one. */
  add(part: Part, epoch: Epoch): CheckpointContent | undefined {
    if (part.part === 0) {
      this.parts = [];
      this.epoch = epoch;
    }
    const isNext =
      part.part === this.parts.length &&
      epoch === this.epoch &&
      part.parts === (this.parts[0] ?? part).parts;
    if (!isNext) {
      this.reset();
      return undefined;
    }
    this.parts.push(part);
    if (this.parts.length < part.parts) return undefined;
    const collected = this.parts;
    this.parts = [];
    return {
      jobs: collected.flatMap(each => each.jobs),
      claims: collected.flatMap(each => each.claims),
      tombstones: collected.flatMap(each => each.tombstones),
    };
  }
}

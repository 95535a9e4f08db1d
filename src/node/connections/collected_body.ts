import {BLOCK_BYTES, BodyBlocks} from './body_blocks.js';

/** An incomplete body. A chunk costs its bytes, however small it is. */
export class CollectedBody {
  private readonly blocks: Buffer[] = [];
  /** Received bytes. */
  length = 0;

  constructor(private readonly pool: BodyBlocks) {}

  /** Memory of the body in bytes. */
  get heldBytes(): number {
    return this.blocks.length * BLOCK_BYTES;
  }

  append(chunk: Buffer): void {
    let copied = 0;
    while (copied < chunk.length) {
      const offset = this.length % BLOCK_BYTES;
      if (offset === 0) this.blocks.push(this.pool.take());
      const block = this.blocks[this.blocks.length - 1];
      const count = chunk.copy(block, offset, copied);
      copied += count;
      this.length += count;
    }
  }

  /** Returns the whole body and releases its blocks. */
  finish(): Buffer {
    const body = Buffer.concat(this.blocks, this.length);
    this.release();
    return body;
  }

  release(): void {
    this.pool.release(this.blocks);
    this.blocks.length = 0;
    this.length = 0;
  }
}

/** Size of a block in bytes; most jobs fit into one. */
export const BLOCK_BYTES = 4096;

/**
 * Memory for incomplete bodies. Blocks are used again: V8 frees the memory of
 * buffers only when it collects garbage, which may be long after their use.
 */
export class BodyBlocks {
  private readonly free: Buffer[] = [];

  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  release(blocks: readonly Buffer[]): void {
    this.free.push(...blocks);
  }
}

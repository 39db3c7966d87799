/**
 * Collects a body in one block that grows, so that a body of many small chunks
 * takes hardly more memory than its bytes. Lives as long as the read of a body.
 */
import { Buffer } from 'node:buffer'

const MIN_BLOCK_BYTES = 1024
/** Growth of a full block; each byte is copied a few times at most. */
const GROWTH = 2
/** A block is copied to one of the size of its body if it is larger by this factor. */
const MAX_UNUSED = 1.25

/** A body, as far as it was received. */
export class BodyBuffer {
  private block = Buffer.alloc(0)
  private size = 0

  /** `expectedBytes` is the length of the body, if it is known and may be taken at once. */
  constructor(private readonly expectedBytes = 0) {}

  /** Number of bytes received. */
  get length(): number {
    return this.size
  }

  append(chunk: Buffer): void {
    const needed = this.size + chunk.length
    if (needed > this.block.length)
      this.grow(needed)
    chunk.copy(this.block, this.size)
    this.size = needed
  }

  /** Returns the body, and begins anew. */
  toBuffer(): Buffer {
    const { block, size } = this
    this.block = Buffer.alloc(0)
    this.size = 0
    return size * MAX_UNUSED < block.length ? Buffer.from(block.subarray(0, size)) : block.subarray(0, size)
  }

  private grow(needed: number): void {
    const block = Buffer.allocUnsafeSlow(Math.max(needed, this.block.length * GROWTH, this.expectedBytes, MIN_BLOCK_BYTES))
    this.block.copy(block, 0, 0, this.size)
    this.block = block
  }
}

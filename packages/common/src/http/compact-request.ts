/**
 * A request that takes little memory: it joins the small chunks of its body before
 * its reader gets them, and forgets its head when it is answered. Node passes on
 * each chunk in a `Buffer` of its own, which takes some hundred bytes of memory even
 * for a single byte; those that wait for a reader would take many times the memory
 * of the body. Lives as long as its request.
 */
import { Buffer } from 'node:buffer'
import { IncomingMessage } from 'node:http'
import process from 'node:process'

/** Larger chunks are passed on as they are. */
const SMALL_CHUNK_BYTES = 1024
/** Small chunks are joined up to this size. */
const JOINED_BYTES = 4096

/** For the option `IncomingMessage` of `createServer`. */
export class CompactRequest extends IncomingMessage {
  /** Bytes of the body that were received. */
  bodyBytes = 0
  private knownLength: number | undefined
  private small: Buffer[] = []
  private smallBytes = 0

  /** Bytes of the body that are still to come, if its length is known; otherwise 0. */
  get remainingBytes(): number {
    return this.complete || Number.isNaN(this.lengthBytes) ? 0 : Math.max(0, this.lengthBytes - this.bodyBytes)
  }

  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (chunk !== null)
      this.bodyBytes += chunk.length
    if (chunk !== null && chunk.length < SMALL_CHUNK_BYTES)
      return this.collect(chunk)
    this.passOn()
    return super.push(chunk, encoding)
  }

  /** Forgets the head and the trailers, once the request is answered: an idle connection keeps its last request. */
  releaseHead(): void {
    this.rawHeaders = []
    this.rawTrailers = []
    this.headers = {}
    this.trailers = {}
  }

  /** NaN if the body has no length. */
  private get lengthBytes(): number {
    this.knownLength ??= this.headers['transfer-encoding'] === undefined ? Number(this.headers['content-length']) : Number.NaN
    return this.knownLength
  }

  private collect(chunk: Buffer): boolean {
    // What arrives at once is passed on together, and nothing waits for more.
    if (this.small.length === 0)
      process.nextTick(() => this.passOn())
    this.small.push(chunk)
    this.smallBytes += chunk.length
    if (this.smallBytes >= JOINED_BYTES)
      this.passOn()
    return this.readableLength < this.readableHighWaterMark
  }

  private passOn(): void {
    if (this.small.length === 0)
      return
    const joined = this.small.length === 1 ? this.small[0] : Buffer.concat(this.small, this.smallBytes)
    this.small = []
    this.smallBytes = 0
    super.push(joined)
  }
}

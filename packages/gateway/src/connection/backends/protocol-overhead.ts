/**
 * Decides whether a connection is closed because its backend server sends bytes
 * that belong to no response body.
 *
 * Inputs: bytes read from the connection since a call was written to it, and bytes
 * of the response body among them.
 * Rule: all other bytes (heads, interim responses, reason phrases, chunk sizes and
 * extensions, trailers, blank lines) together are limited; a body in small chunks
 * adds to the limit.
 * Why: undici limits the fields of one head only. Whatever else is sent without end
 * takes processor time until the call's deadline.
 * Log event: `call-failed` (kind `broken`).
 *
 * State: two numbers, for the call that the connection carries.
 */

/** Includes what has been read from the connection and not yet been parsed. */
export const MAX_OVERHEAD_BYTES = 262_144
/** Bytes of framing that each byte of a body may need; a chunk of one byte has five. */
const MAX_FRAMING_FACTOR = 8

/** Counts the bytes of one connection. */
export class ProtocolOverhead {
  private readBefore = 0
  private bodyBytes = 0

  /** A call is written to the connection, from which `bytesRead` bytes have been read. */
  beginCall(bytesRead: number): void {
    this.readBefore = bytesRead
    this.bodyBytes = 0
  }

  /** Counts bytes of the response body. */
  addBody(bytes: number): void {
    this.bodyBytes += bytes
  }

  /** Whether the connection is closed after `bytesRead` bytes. */
  isExceeded(bytesRead: number): boolean {
    const overhead = bytesRead - this.readBefore - this.bodyBytes
    return overhead > MAX_OVERHEAD_BYTES + MAX_FRAMING_FACTOR * this.bodyBytes
  }
}

/**
 * Splits a byte stream of server-sent events into complete events. Buffers the
 * bytes of the incomplete event; if the stream breaks, the caller drops the
 * incomplete event with it. Each byte is searched once and copied a constant
 * number of times, however small the parts are in which an event arrives.
 */

/** One event with its bytes as received. */
export interface StreamEvent {
  bytes: Buffer
  id: string | undefined
}

/** Events hold some tokens each; a larger one is no event. */
export const MAX_EVENT_BYTES = 262_144

const LINE_FEED = 0x0A
const CARRIAGE_RETURN = 0x0D
/** A blank line that terminates an event may begin so many bytes before the part that completes it. */
const MAX_TERMINATOR_OVERLAP_BYTES = 2
/** By which a full buffer grows. */
const GROWTH_FACTOR = 2
const ID_FIELD = /^id:\s?(.*)$/m

/** Buffers bytes until an event is complete. */
export class EventSplitter {
  /** Holds the incomplete event in its first `partialBytes` bytes, and room for more of it. */
  private buffer: Buffer = Buffer.alloc(0)
  private partialBytes = 0

  /** Whether an incomplete event is buffered. */
  get hasPartial(): boolean {
    return this.partialBytes > 0
  }

  /** Bytes of the incomplete event. */
  get partial(): Buffer {
    return this.buffer.subarray(0, this.partialBytes)
  }

  /** Adds bytes and returns the events that they complete; throws if the incomplete event is too large. */
  push(bytes: Buffer): StreamEvent[] {
    const searched = Math.max(0, this.partialBytes - MAX_TERMINATOR_OVERLAP_BYTES)
    const received = this.append(bytes)
    const events: StreamEvent[] = []
    let start = 0
    for (let end = findEnd(received, searched); end >= 0; end = findEnd(received, start)) {
      events.push(readEvent(received.subarray(start, end)))
      start = end
    }
    // The bytes of complete events are in use by their readers: the rest gets a buffer that is not written to again.
    if (start > 0)
      this.buffer = received.subarray(start)
    this.partialBytes = received.length - start
    if (this.partialBytes > MAX_EVENT_BYTES)
      throw new Error(`an event of the stream exceeds the limit of ${MAX_EVENT_BYTES} bytes`)
    return events
  }

  /** Returns the incomplete event with the bytes after it. */
  private append(bytes: Buffer): Buffer {
    if (this.partialBytes === 0)
      return this.buffer = bytes
    const size = this.partialBytes + bytes.length
    if (size > this.buffer.length)
      this.grow(size)
    bytes.copy(this.buffer, this.partialBytes)
    return this.buffer.subarray(0, size)
  }

  private grow(size: number): void {
    const grown = Buffer.allocUnsafe(Math.max(size, GROWTH_FACTOR * this.buffer.length))
    this.partial.copy(grown)
    this.buffer = grown
  }
}

/** Index after the blank line that terminates the event, or -1. Accepts LF and CRLF line endings. */
function findEnd(buffer: Buffer, start: number): number {
  for (let index = buffer.indexOf(LINE_FEED, start); index >= 0; index = buffer.indexOf(LINE_FEED, index + 1)) {
    const next = buffer[index + 1] === CARRIAGE_RETURN ? index + 2 : index + 1
    if (buffer[next] === LINE_FEED)
      return next + 1
  }
  return -1
}

function readEvent(bytes: Buffer): StreamEvent {
  return { bytes, id: ID_FIELD.exec(bytes.toString('latin1'))?.[1]?.trim() }
}

/**
 * Splits a byte stream of server-sent events into complete events. Buffers the
 * bytes of the incomplete event; if the stream breaks, the caller drops the
 * incomplete event with it.
 */

/** One event with its bytes as received. */
export interface StreamEvent {
  bytes: Buffer
  id: string | undefined
}

const LINE_FEED = 0x0A
const CARRIAGE_RETURN = 0x0D
const ID_FIELD = /^id:\s?(.*)$/m

/** Buffers bytes until an event is complete. */
export class EventSplitter {
  private buffered: Buffer = Buffer.alloc(0)

  /** Whether an incomplete event is buffered. */
  get hasPartial(): boolean {
    return this.buffered.length > 0
  }

  /** Bytes of the incomplete event. */
  get partial(): Buffer {
    return this.buffered
  }

  /** Adds bytes and returns the events that they complete. */
  push(bytes: Buffer): StreamEvent[] {
    const buffer = this.buffered.length === 0 ? bytes : Buffer.concat([this.buffered, bytes])
    const events: StreamEvent[] = []
    let start = 0
    for (let end = findEnd(buffer, start); end >= 0; end = findEnd(buffer, start)) {
      events.push(readEvent(buffer.subarray(start, end)))
      start = end
    }
    this.buffered = buffer.subarray(start)
    return events
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

/**
 * Splits a byte stream of server-sent events into whole events. It owns the
 * bytes of the event that isn't complete yet, until the stream ends; half an
 * event of a broken stream is dropped with it.
 */

/** One event with its bytes as they came. */
export interface StreamEvent {
  bytes: Buffer
  id: string | undefined
}

/** Byte that ends a line. */
const LINE_FEED = 0x0A
/** Byte that may stand before it. */
const CARRIAGE_RETURN = 0x0D
const ID_FIELD = /^id:\s?(.*)$/m

/** Collects bytes until an event is whole. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0)

  /** Whether part of an event is waiting for its end. */
  get hasPartial(): boolean {
    return this.rest.length > 0
  }

  /** Bytes of the event that is not whole. */
  get partial(): Buffer {
    return this.rest
  }

  /** The events that the bytes complete. */
  push(bytes: Buffer): StreamEvent[] {
    const buffer = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes])
    const events: StreamEvent[] = []
    let start = 0
    for (let end = findEnd(buffer, start); end >= 0; end = findEnd(buffer, start)) {
      events.push(readEvent(buffer.subarray(start, end)))
      start = end
    }
    this.rest = buffer.subarray(start)
    return events
  }
}

/** Place after the blank line that ends the event, or -1. */
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

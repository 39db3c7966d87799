/**
 * Reads the lines of a response body within a limit of bytes. A line that has not
 * ended is held as the bytes received, so that a server that sends no line feed
 * fills no more memory than the limit. Stateless.
 */
import type { ClosableBody } from './limited-body.js'
import { Buffer } from 'node:buffer'
import { limitBytes } from './limited-body.js'

const LINE_FEED = 0x0A

/** Passes on the lines of a body, without their line feeds; throws and closes its connection if the body breaks off or exceeds `maxBytes`. */
export async function* readLimitedLines(body: ClosableBody, maxBytes: number): AsyncGenerator<string> {
  let parts: Buffer[] = []
  for await (const part of limitBytes(body, maxBytes)) {
    let start = 0
    for (let end = part.indexOf(LINE_FEED); end >= 0; end = part.indexOf(LINE_FEED, start)) {
      yield Buffer.concat([...parts, part.subarray(start, end)]).toString()
      parts = []
      start = end + 1
    }
    if (start < part.length)
      parts.push(part.subarray(start))
  }
  if (parts.length > 0)
    yield Buffer.concat(parts).toString()
}

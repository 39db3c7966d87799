/**
 * Bytes without end that a faulty backend server sends in the place of a response
 * to a request, in a head or in a body.
 */
import type { Socket } from 'node:net'
import { Buffer } from 'node:buffer'
import { wait } from '@eidermast/common'

/** Within it, an event has to arrive once it has begun: half of the two seconds that clients wait for one. */
export const MAX_EVENT_MS = 1000
/** Within it, a head has to arrive once it has begun, and the body of a refusal after its head. */
const MAX_PART_MS = 1000
/** Time in which fast bytes pass every limit of size. */
const MAX_FAST_MS = 1000

/** Bytes without end: what comes first, what is repeated, and the pause between repetitions; 0: as fast as they are read. */
export interface EndlessBytes {
  first: string
  repeated: string
  pauseMs: number
}

const HEAD = 'HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: signed\r\n'
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`
const UNFRAMED = `${HEAD}Connection: close\r\n\r\n`
const REFUSAL = 'HTTP/1.1 503 Full\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
const BLOCK = 'x'.repeat(16_384)
const CHUNK = `4000\r\n${BLOCK}\r\n`
const SLOW_MS = 50

/** Forms of them: name, path of a route that is called, bytes, and within how many milliseconds the connection has to be closed. */
export const ENDLESS: readonly (readonly [name: string, path: string, bytes: EndlessBytes, maxMs: number])[] = [
  ['a head, fast', '/bad/x', { first: HEAD, repeated: `X-Long: ${'x'.repeat(900)}\r\n`, pauseMs: 0 }, MAX_FAST_MS],
  ['a head, a line at a time', '/bad/x', { first: HEAD, repeated: 'X-Line: x\r\n', pauseMs: SLOW_MS }, MAX_PART_MS],
  ['a reason phrase', '/bad/x', { first: 'HTTP/1.1 200 ', repeated: BLOCK, pauseMs: 0 }, MAX_FAST_MS],
  ['interim responses', '/bad/x', { first: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500), pauseMs: 0 }, MAX_FAST_MS],
  ['blank lines before the head', '/bad/x', { first: '', repeated: '\r\n'.repeat(8000), pauseMs: 0 }, MAX_FAST_MS],
  ['a body in chunks', '/bad/x', { first: CHUNKED, repeated: CHUNK, pauseMs: 0 }, MAX_FAST_MS],
  ['a chunk extension', '/bad/x', { first: `${CHUNKED}4;`, repeated: BLOCK, pauseMs: 0 }, MAX_FAST_MS],
  ['trailers', '/bad/x', { first: `${CHUNKED}0\r\n`, repeated: `X-Long: ${'x'.repeat(900)}\r\n`, pauseMs: 0 }, MAX_FAST_MS],
  ['a body without a length', '/bad/x', { first: UNFRAMED, repeated: BLOCK, pauseMs: 0 }, MAX_FAST_MS],
  ['the body of a refusal, fast', '/bad/x', { first: REFUSAL, repeated: CHUNK, pauseMs: 0 }, MAX_FAST_MS],
  ['the body of a refusal, slowly', '/bad/x', { first: REFUSAL, repeated: '1\r\nx\r\n', pauseMs: SLOW_MS }, MAX_PART_MS],
  ['an event of a stream, fast', '/bad-stream/x', { first: `${CHUNKED}6\r\ndata: \r\n`, repeated: CHUNK, pauseMs: 0 }, MAX_FAST_MS],
  ['an event of a stream, in small chunks', '/bad-stream/x', { first: CHUNKED, repeated: '1\r\nx\r\n'.repeat(1000), pauseMs: 0 }, MAX_FAST_MS],
  ['an event of a stream, slowly', '/bad-stream/x', { first: `${CHUNKED}6\r\ndata: \r\n`, repeated: '1\r\nx\r\n', pauseMs: SLOW_MS }, MAX_EVENT_MS],
  ['an event of a stream without a length, slowly', '/bad-stream/x', { first: `${UNFRAMED}data: `, repeated: 'x', pauseMs: SLOW_MS }, MAX_EVENT_MS],
]

/** Writes bytes until the connection closes, and returns how many its caller took. */
export async function writeWithoutEnd(socket: Socket, { first, repeated, pauseMs }: EndlessBytes, requestId = 'id-1'): Promise<number> {
  socket.on('error', () => {})
  const closed = new Promise<void>(resolve => socket.once('close', () => resolve()))
  socket.write(first.replace('ID', requestId))
  const bytes = Buffer.from(repeated)
  while (!socket.destroyed) {
    const isTaken = socket.write(bytes)
    if (pauseMs > 0)
      await wait(pauseMs)
    else if (!isTaken)
      await Promise.race([new Promise<void>(resolve => socket.once('drain', () => resolve())), closed])
  }
  return socket.bytesWritten - socket.writableLength
}

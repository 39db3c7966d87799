/**
 * What clients that do not behave send, for any port that speaks HTTP. Each
 * request is within the limits of the configuration.
 */
import type { HostileBytes } from './crowd.js'
import { Buffer } from 'node:buffer'

/** Largest head, in bytes; the limit of the configurations under test. */
export const MAX_HEAD_BYTES = 16_384
/** Bytes of bodies in large and in very small chunks, as they are sent. */
const LARGE_CHUNKS_BYTES = 1_000_000
const SMALL_CHUNKS_BYTES = 260_000
const LARGE_CHUNK_BYTES = 65_536
/** One chunk of one byte. */
const SMALL_CHUNK = '1\r\nx\r\n'
/** Left for the lines of the request itself. */
const OWN_LINES_BYTES = 600
const PIPELINED_BYTES = 65_536
/** How many times a client sends requests of PIPELINED_BYTES ahead. */
const PIPELINED_TIMES = 16
/** Size of the bodies of requests that are sent ahead, and how many a client sends. */
const PIPELINED_BODY_BYTES = 30_000
const PIPELINED_BODIES = 100

/** A request of a port, without the lines that a form adds. */
export interface RequestLines {
  method: string
  path: string
  /** Lines of the head, without the first one. */
  headers: readonly string[]
}

/** One way not to behave. */
export interface HostileForm {
  name: string
  createBytes: (request: RequestLines) => HostileBytes
}

function formatHead({ method, path, headers }: RequestLines, further: readonly string[] = []): string {
  return [`${method} ${path} HTTP/1.1`, ...headers, ...further, ''].join('\r\n')
}

/** Different lines of five to eight bytes, up to the limit of the head. */
function createShortLines(): string[] {
  const lines: string[] = []
  for (let bytes = OWN_LINES_BYTES, index = 0; bytes < MAX_HEAD_BYTES; index++) {
    const line = `${index.toString(36)}:${index % 10}`
    lines.push(line)
    bytes += line.length + 4
  }
  return lines
}

/** Lines without a value, and lines of one name, up to the limit of the head. */
function createOddLines(): string[] {
  return Array.from({ length: Math.floor((MAX_HEAD_BYTES - OWN_LINES_BYTES) / 12) }, (_, index) => index % 2 === 0 ? `Cookie:a` : `${index.toString(36)}:`)
}

function createChunkedBody(request: RequestLines, chunk: string, bytes: number): HostileBytes {
  const chunks = Math.floor(bytes / chunk.length)
  // The last chunk, which ends the body, is not sent.
  return { start: Buffer.from(`${formatHead({ ...request, method: 'POST' }, ['Transfer-Encoding: chunked'])}\r\n${chunk.repeat(chunks)}`) }
}

/** Heads of the largest size, in lines. */
const HEADS: readonly HostileForm[] = [
  { name: 'requests with very many short header lines', createBytes: request => ({ start: Buffer.from(`${formatHead(request, createShortLines())}\r\n`) }) },
  { name: 'requests with odd header lines', createBytes: request => ({ start: Buffer.from(`${formatHead(request, createOddLines())}\r\n`) }) },
  { name: 'heads of very many short lines that do not end', createBytes: request => ({ start: Buffer.from(formatHead(request, createShortLines())) }) },
]

const BODIES: readonly HostileForm[] = [
  { name: 'bodies of large chunks that stop just short of their end', createBytes: request => createChunkedBody(request, `${LARGE_CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(LARGE_CHUNK_BYTES)}\r\n`, LARGE_CHUNKS_BYTES) },
  { name: 'bodies of very small chunks that stop just short of their end', createBytes: request => createChunkedBody(request, SMALL_CHUNK, SMALL_CHUNKS_BYTES) },
]

const AHEAD: readonly HostileForm[] = [
  {
    name: 'many requests with bodies ahead, whose answers are not read',
    createBytes: (request) => {
      const repeated = Buffer.from(`${formatHead({ ...request, method: 'POST' }, [`Content-Length: ${PIPELINED_BODY_BYTES}`])}\r\n${'x'.repeat(PIPELINED_BODY_BYTES)}`)
      return { start: repeated, repeated, times: PIPELINED_BODIES }
    },
  },
  {
    name: 'many requests ahead, whose answers are not read',
    createBytes: (request) => {
      const head = Buffer.from(`${formatHead(request)}\r\n`)
      const heads = Buffer.concat(Array.from({ length: Math.ceil(PIPELINED_BYTES / head.length) }, () => head))
      return { start: heads, repeated: heads, times: PIPELINED_TIMES }
    },
  },
]

/** What fills memory with requests that wait for each other. */
export const AHEAD_FORMS = AHEAD
/** What fills memory at paths that no request is served at. */
export const UNROUTED_FORMS: readonly HostileForm[] = [...BODIES, ...AHEAD]
/** What fills memory. */
export const MEMORY_FORMS: readonly HostileForm[] = [...HEADS, ...BODIES, ...AHEAD]

/** What keeps descriptors open. */
export const DESCRIPTOR_FORMS: readonly HostileForm[] = [
  { name: 'nothing', createBytes: () => ({ start: Buffer.alloc(0) }) },
  { name: 'what is no HTTP', createBytes: () => ({ start: Buffer.from('no request\r\n\r\n') }) },
  { name: 'one request on a connection that stays', createBytes: request => ({ start: Buffer.from(`${formatHead(request)}\r\n`) }) },
]

/**
 * Clients and backend servers that read slowly or not at all, beside others: what
 * a gateway holds for them stays below its limit, and the others are served.
 */
import type { Socket } from 'node:net'
import type { StartedGateway } from './support/in-process-gateway.js'
import { Buffer } from 'node:buffer'
import { connect, createServer } from 'node:net'
import { Readable } from 'node:stream'
import { text } from 'node:stream/consumers'
import { wait } from '@eidermast/common'
import { DRAIN_SERVE_ALONE_MS, HeldKind, MAX_BUFFERED_RESPONSE_BYTES, MAX_STALL_MS } from '@eidermast/gateway'
import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { startGateway } from './support/in-process-gateway.js'
import { answerCompletely, StandInBackend } from './support/stand-in-backend.js'
import { StandInStore } from './support/stand-in-store.js'

const LIMIT_MEGABYTES = 24
const LIMIT_BYTES = LIMIT_MEGABYTES * 1_000_000
/** Events of 1,000 bytes each. */
const LARGE_ANSWER = Buffer.alloc(7_000_000, `data: ${'a'.repeat(992)}\n\n`)
const LARGE_BODY = Buffer.alloc(3_000_000, 'b')
/** Target of the route: quick requests are served within it. */
const TARGET_MS = 1000
/** Time in which a situation arises that a test needs, on a busy machine. */
const SET_UP_MS = 10_000
/** Deadline of a call to a backend server that does not read. */
const SHORT_TIMEOUT_MS = 1500
const ROUTE = { Host: 'host.example', TimeoutMs: 60_000, TargetLatencyMs: TARGET_MS, MaxAttempts: 1 }
const CONFIGURATION = {
  Version: 3,
  Routes: [
    { ...ROUTE, Name: 'plain', PathPrefix: '/plain/', Type: 'non_idempotent', Service: 'plain' },
    { ...ROUTE, Name: 'stream', PathPrefix: '/stream/', Type: 'streaming', Service: 'plain' },
    { ...ROUTE, Name: 'deaf', PathPrefix: '/deaf/', Type: 'non_idempotent', Service: 'deaf', TimeoutMs: SHORT_TIMEOUT_MS },
  ],
  Services: [{ Name: 'plain', MaxConnections: 400 }, { Name: 'deaf', MaxConnections: 400 }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 4_000_000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 20_000 },
}

let store: StandInStore
let gateway: StartedGateway
let plain: StandInBackend
/** Highest number of bytes that the gateway held. */
let highestBytes: number
let sampling: NodeJS.Timeout

beforeEach(async () => {
  store = new StandInStore()
  gateway = await startGateway('gateway-a', await store.start(), { load: [`held-megabytes = ${LIMIT_MEGABYTES}`] })
  plain = new StandInBackend('plain-a', 'plain')
  await plain.start()
  plain.respond = async (seen, response) => {
    if (!seen.path.endsWith('/large'))
      return answerCompletely()(seen, response)
    response.writeHead(200, { 'Attempt-Id': String(seen.headers['attempt-id']), 'Server-Signature': 'signed' })
    response.end(LARGE_ANSWER)
  }
  store.put('keyed.op', 'config', CONFIGURATION)
  store.put('keyed.servers', plain.id, plain.entry())
  await vi.waitFor(async () => expect((await request(gateway.readiness)).statusCode).toBe(200), { timeout: SET_UP_MS })
  highestBytes = 0
  sampling = setInterval(() => void (highestBytes = Math.max(highestBytes, held())), 5)
})

afterEach(async () => {
  clearInterval(sampling)
  await gateway.gateway.close()
  await Promise.all([store.stop(), plain.stop()])
})

function held(): number {
  return gateway.gateway.held.totalBytes
}

/** Number of claims that had to wait. */
async function countWaits(): Promise<number> {
  const metric = await gateway.gateway.metrics.registry.getSingleMetric('eidermast_gateway_held_waits_total')!.get()
  return metric.values.reduce((sum, { value }) => sum + value, 0)
}

/** Kinds of the failures of calls that the gateway saw. */
function callFailures(): unknown[] {
  return gateway.events.filter(({ event }) => event === 'call-failed').map(({ kind }) => kind)
}

/** Sends a request over a connection of its own, whose answer is not read yet. */
function open(path: string): Socket {
  const socket = connect(Number(new URL(gateway.address).port), '127.0.0.1')
  socket.on('error', () => {})
  socket.pause()
  socket.write(`GET ${path} HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: ${path}\r\nDeadline-Ms: 50000\r\n\r\n`)
  return socket
}

/** Reads part of an answer at each interval; resolves with the number of bytes once its body is complete or the connection closed. */
async function readSlowly(socket: Socket, bytesAtOnce: number, intervalMs: number): Promise<number> {
  let received = 0
  // The connection may close as soon as the whole answer was read.
  socket.on('close', () => {
    if (received < LARGE_ANSWER.length)
      received = Number.NaN
  })
  while (received < LARGE_ANSWER.length) {
    const bytes = socket.read(Math.min(bytesAtOnce, socket.readableLength || bytesAtOnce)) as Buffer | null
    received += bytes?.length ?? 0
    await wait(intervalMs)
  }
  return received
}

/** Sends small requests one after the other; returns the time of the slowest, in milliseconds. */
async function sendQuick(count: number, body?: string | (() => Readable)): Promise<number> {
  let slowestMs = 0
  for (let index = 0; index < count; index++) {
    const startedAt = performance.now()
    const response = await send('/plain/quick', `quick-${index}`, typeof body === 'function' ? body() : body)
    expect(response.status).toBe(200)
    slowestMs = Math.max(slowestMs, performance.now() - startedAt)
  }
  return slowestMs
}

/** A body that is sent in chunks without a length. */
function inChunks(body: Buffer): Readable {
  return Readable.from(Array.from({ length: Math.ceil(body.length / 50_000) }, (_, index) => body.subarray(index * 50_000, (index + 1) * 50_000)))
}

async function send(path: string, id: string, body?: Buffer | string | Readable, deadlineMs = 5000) {
  const headers = { 'host': 'host.example', 'attempt-id': id, 'deadline-ms': String(deadlineMs) }
  const response = await request(`${gateway.address}${path}`, { method: body ? 'POST' : 'GET', headers, body })
  await response.body.dump({ limit: MAX_BUFFERED_RESPONSE_BYTES })
  return { id, status: response.statusCode, retryAfter: response.headers['retry-after'] }
}

describe('clients that read slowly', () => {
  test('get their whole answers, beside quick requests that are served in time, within the limit', async () => {
    const slow = Array.from({ length: 12 }, (_, index) => readSlowly(open(`/plain/${index}/large`), 65_536, 10))
    await vi.waitFor(() => expect(held()).toBeGreaterThan(LIMIT_BYTES / 2), { timeout: SET_UP_MS })
    expect(await sendQuick(50)).toBeLessThan(TARGET_MS)
    expect(await Promise.all(slow)).toSatisfy((sizes: number[]) => sizes.every(size => size >= LARGE_ANSWER.length))
    expect(highestBytes).toBeLessThanOrEqual(LIMIT_BYTES + MAX_BUFFERED_RESPONSE_BYTES)
    await vi.waitFor(() => expect(held()).toBe(0))
  }, 60_000)

  test.each([
    ['a buffered answer', '/plain/unread/large'],
    ['a stream', '/stream/unread/large'],
  ])('and stop reading %s are cut off within the stated time, and the event names them', async (_name, path) => {
    const closed = vi.fn()
    const respond = plain.respond
    plain.respond = (seen, response) => {
      if (seen.path === path)
        response.on('close', () => closed())
      return respond(seen, response)
    }
    const startedAt = performance.now()
    const socket = open(path)
    const event = await vi.waitFor(() => {
      const found = gateway.events.find(({ event }) => event === 'client-cut-off')
      expect(found).toBeDefined()
      return found!
    }, { timeout: 2 * MAX_STALL_MS })
    expect(performance.now() - startedAt).toBeGreaterThan(MAX_STALL_MS)
    expect(event).toMatchObject({ request: path, unreadMs: expect.any(Number) })
    expect(event.unreadBytes).toBeGreaterThan(0)
    await vi.waitFor(() => expect([held(), closed.mock.calls.length]).toEqual([0, 1]))
    expect(callFailures()).not.toContain('broken')
    socket.destroy()
  }, 30_000)

  test('get their whole answers from a gateway that is stopped meanwhile', async () => {
    const socket = open('/plain/stopped/large')
    await vi.waitFor(() => expect(held()).toBeGreaterThan(0), { timeout: SET_UP_MS })
    const drained = gateway.gateway.drain().then(held)
    await wait(DRAIN_SERVE_ALONE_MS + 500)
    const answer = readSlowly(socket, 65_536, 1)
    // The process exits when this resolves.
    expect(await drained).toBe(0)
    expect(await answer).toBeGreaterThanOrEqual(LARGE_ANSWER.length)
  }, 30_000)

  test.each([
    ['a buffered answer', '/plain/second/large'],
    ['a stream', '/stream/second/large'],
  ])('and disconnect while %s waits behind another one leave no request in flight', async (_name, path) => {
    const respond = plain.respond
    plain.respond = (seen, response) => seen.path === '/plain/first' ? undefined : respond(seen, response)
    const socket = open('/plain/first')
    socket.write(`GET ${path} HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: second\r\nDeadline-Ms: 50000\r\n\r\n`)
    await vi.waitFor(() => expect(plain.seen.some(seen => seen.path === path)).toBe(true), { timeout: SET_UP_MS })
    await vi.waitFor(() => expect(held()).toBeGreaterThan(0), { timeout: SET_UP_MS })
    socket.destroy()
    await vi.waitFor(async () => {
      const metric = await gateway.gateway.metrics.registry.getSingleMetric('eidermast_gateway_active_requests')!.get()
      expect([held(), metric.values[0].value]).toEqual([0, 0])
    }, { timeout: 2000 })
  })

  test('free their bytes when they disconnect', async () => {
    const sockets = Array.from({ length: 8 }, (_, index) => open(`/plain/${index}/large`))
    await vi.waitFor(() => expect(held()).toBeGreaterThan(LIMIT_BYTES / 2), { timeout: SET_UP_MS })
    for (const socket of sockets)
      socket.destroy()
    await vi.waitFor(() => expect(held()).toBe(0), { timeout: 2000 })
    expect(callFailures()).not.toContain('broken')
    expect(await sendQuick(5)).toBeLessThan(TARGET_MS)
  })
})

test.each([
  ['with a length', { 'Content-Length': String(LARGE_ANSWER.length) }, 1_000_000],
  ['with a length and few bytes', { 'Content-Length': String(LARGE_ANSWER.length) }, 1000],
  ['in chunks', {}, 1_000_000],
])('an answer %s that breaks off while it waits for room fails its own request only', async (_name, framing, sentBytes) => {
  const unread = Array.from({ length: 16 }, (_, index) => open(`/plain/${index}/large`))
  await vi.waitFor(() => expect(held()).toBeGreaterThan(0.85 * LIMIT_BYTES), { timeout: SET_UP_MS })
  const waitsBefore = await countWaits()
  plain.respond = async ({ headers }, response) => {
    response.writeHead(200, { ...framing, 'Attempt-Id': String(headers['attempt-id']), 'Server-Signature': 'signed' })
    response.write(LARGE_ANSWER.subarray(0, sentBytes))
    await wait(200)
    response.destroy()
  }
  expect((await send('/plain/broken', 'broken', undefined, 1000)).status).toBe(502)
  expect(await countWaits()).toBeGreaterThan(waitsBefore)
  plain.respond = answerCompletely()
  expect(await sendQuick(5)).toBeLessThan(TARGET_MS)
  for (const socket of unread)
    socket.destroy()
  await vi.waitFor(() => expect(held()).toBe(0))
})

describe('many large bodies at once', () => {
  test.each([
    ['with a length', (body: Buffer) => body],
    ['in chunks', inChunks],
  ])('%s are held within the limit, refused ones do not run, and small ones are served in time', async (_name, encode) => {
    plain.respond = async (seen, response) => {
      await wait(seen.path.endsWith('/slow') ? 300 : 0)
      answerCompletely()(seen, response)
    }
    const large = Array.from({ length: 24 }, (_, index) => send('/plain/slow', `large-${index}`, encode(LARGE_BODY)))
    await vi.waitFor(() => expect(held()).toBeGreaterThan(LARGE_BODY.length), { timeout: SET_UP_MS })
    expect(await sendQuick(10, 'small')).toBeLessThan(TARGET_MS)
    expect(await sendQuick(10, () => inChunks(Buffer.from('small')))).toBeLessThan(TARGET_MS)
    const answers = await Promise.all(large)
    const refused = answers.filter(({ status }) => status === 429)
    const served = answers.filter(({ status }) => status === 200)
    expect(refused.length + served.length).toBe(answers.length)
    expect(refused.length).toBeGreaterThan(0)
    expect(served.length).toBeGreaterThan(0)
    expect(refused.every(({ retryAfter }) => Number(retryAfter) > 0)).toBe(true)
    const ran = new Set(plain.seen.map(({ headers }) => headers['attempt-id']))
    expect(refused.filter(({ id }) => ran.has(id))).toEqual([])
    expect(highestBytes).toBeLessThanOrEqual(LIMIT_BYTES)
    await vi.waitFor(() => expect(held()).toBe(0))
  }, 30_000)

  test('that stop coming are refused within the stated time, and their room is free', async () => {
    const socket = connect(Number(new URL(gateway.address).port), '127.0.0.1')
    socket.write(`POST /plain/x HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: stalled\r\nContent-Length: ${LARGE_BODY.length}\r\n\r\nhalf`)
    await vi.waitFor(() => expect(held()).toBe(LARGE_BODY.length), { timeout: SET_UP_MS })
    expect(await text(socket)).toMatch(/^HTTP\/1.1 408 /)
    expect(gateway.events).toContainEqual(expect.objectContaining({ event: 'body-stalled', request: 'stalled' }))
    await vi.waitFor(() => expect(held()).toBe(0))
    expect(plain.seen.filter(({ headers }) => headers['attempt-id'] === 'stalled')).toEqual([])
  }, 3 * MAX_STALL_MS)

  test('at a backend server that does not read are held until their deadline, and hold up nobody else', async () => {
    const sockets = new Set<Socket>()
    const deaf = createServer({ pauseOnConnect: true }, socket => void sockets.add(socket.on('error', () => {})))
    await new Promise<void>(resolve => deaf.listen(0, '127.0.0.1', () => resolve()))
    store.put('keyed.servers', 'deaf-a', { ...plain.entry(), Service: 'deaf', Address: `127.0.0.1:${(deaf.address() as { port: number }).port}` })
    await vi.waitFor(() => expect(gateway.gateway.registry.available('deaf')).toHaveLength(1), { timeout: SET_UP_MS })
    const waiting = [1, 2].map(index => send('/deaf/x', `deaf-${index}`, LARGE_BODY))
    await vi.waitFor(() => expect(gateway.gateway.held.heldOf(HeldKind.RequestBody)).toBe(2 * LARGE_BODY.length), { timeout: SET_UP_MS })
    expect(await sendQuick(20, 'small')).toBeLessThan(TARGET_MS)
    expect((await send('/plain/x', 'other', LARGE_BODY)).status).toBe(200)
    for (const { status } of await Promise.all(waiting))
      expect(status).toBe(502)
    await vi.waitFor(() => expect(held()).toBe(0))
    for (const socket of sockets)
      socket.destroy()
    await new Promise(resolve => deaf.close(resolve))
  }, 30_000)
})

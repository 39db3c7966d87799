import type { Gateway } from '@eidermast/gateway'
import { Buffer } from 'node:buffer'
import { connect } from 'node:net'
import { Readable } from 'node:stream'
import { text } from 'node:stream/consumers'
import { wait } from '@eidermast/common'
import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { startGateway } from './support/in-process-gateway.js'
import { answerCompletely, answerUnframed, hang, StandInBackend, streamEvents } from './support/stand-in-backend.js'
import { StandInStore } from './support/stand-in-store.js'

/** The platform's bound on an answer after the time-out of a request's route. */
const MAX_OVERDUE_MS = 500
/** A process uses the fixed part of the retry budget once this time has passed since its start. */
const RETRY_WINDOW_MS = 100
const ROUTE = { Host: 'host.example', TimeoutMs: 4000, TargetLatencyMs: 1000, MaxAttempts: 2 }
const CONFIGURATION = {
  Version: 3,
  Routes: [
    { ...ROUTE, Name: 'plain', PathPrefix: '/plain/', Type: 'idempotent', Service: 'plain' },
    { ...ROUTE, Name: 'once', PathPrefix: '/once/', Type: 'non_idempotent', Service: 'plain', MaxAttempts: 1 },
    { ...ROUTE, Name: 'resumed', PathPrefix: '/resumed/', Type: 'streaming', Service: 'model', StreamResume: true },
    { ...ROUTE, Name: 'stream', PathPrefix: '/stream/', Type: 'streaming', Service: 'model', MaxAttempts: 1 },
  ],
  Services: [{ Name: 'plain', MaxConnections: 40 }, { Name: 'model', MaxConnections: 40, Engine: { Capacity: 8, KvCapacityTokens: 1000 } }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
  Tenants: [{ Name: 'tenant', ApiKeys: ['key'] }],
}

let store: StandInStore
let gateway: Gateway
let address: string
let readiness: string
let backends: StandInBackend[]

beforeEach(async () => {
  store = new StandInStore()
  const started = await startGateway('gateway-a', await store.start(), { retry: [`window-ms = ${RETRY_WINDOW_MS}`] })
  gateway = started.gateway
  address = started.address
  readiness = started.readiness
  backends = [new StandInBackend('plain-a', 'plain'), new StandInBackend('model-a', 'model'), new StandInBackend('model-b', 'model')]
  await Promise.all(backends.map(backend => backend.start()))
})

afterEach(async () => {
  await gateway.close()
  await Promise.all([store.stop(), ...backends.map(backend => backend.stop())])
})

async function publish(): Promise<void> {
  store.put('keyed.op', 'config', CONFIGURATION)
  for (const backend of backends)
    store.put('keyed.servers', backend.id, backend.entry())
  await vi.waitFor(async () => {
    expect(gateway.registry.size).toBe(backends.length)
    expect((await request(readiness)).statusCode).toBe(200)
  })
}

const HEADERS = { 'host': 'host.example', 'attempt-id': 'id-1', 'api-key': 'key' }

function send(path: string, headers: Record<string, string> = {}, body = 'body') {
  return request(`${address}${path}`, { method: 'POST', headers: { ...HEADERS, 'deadline-ms': '3000', ...headers }, body })
}

describe('a gateway without a configuration', () => {
  test('is not ready and asks clients to retry later', async () => {
    expect((await request(readiness)).statusCode).toBe(503)
    const response = await send('/plain/x')
    expect(response.statusCode).toBe(503)
    expect(response.headers['retry-after']).toBe('1.000')
  })
})

describe('a request', () => {
  beforeEach(publish)

  test('reaches a backend server unchanged except for the gateway\'s own headers', async () => {
    const response = await send('/plain/x?query=1', { 'x-own': 'kept', 'tenant': 'forged' })
    expect(await response.body.text()).toBe('answer to /plain/x?query=1')
    expect(response.headers['server-signature']).toBe('signed')
    const [seen] = backends[0].seen
    expect(seen).toMatchObject({ method: 'POST', path: '/plain/x?query=1', body: 'body' })
    expect(seen.headers).toMatchObject({ 'attempt-id': 'id-1', 'tenant': 'tenant', 'x-own': 'kept', 'expected-replica': 'plain-a', 'host': 'host.example' })
    expect(seen.headers['api-key']).toBeUndefined()
    expect(Number(seen.headers['deadline-ms'])).toBeLessThanOrEqual(3000)
  })

  test.each([
    ['without a route', '/none/', {}, 404],
    ['with an unknown key', '/plain/', { 'api-key': 'other' }, 401],
    ['with a deadline that is not a number', '/plain/', { 'deadline-ms': 'soon' }, 400],
    ['with too many bytes of headers', '/plain/', { 'x-long': 'x'.repeat(9000) }, 431],
  ])('%s reaches no backend server', async (_name, path, headers, status) => {
    expect((await send(path, headers)).statusCode).toBe(status)
    expect(backends.flatMap(backend => backend.seen)).toEqual([])
  })

  test('whose body still arrives at the time-out of its route is rejected then', async () => {
    const startedAt = performance.now()
    const body = Readable.from(async function* () {
      for (let part = 0; part < 40; part++) {
        yield Buffer.from('part')
        await wait(100)
      }
    }())
    const { statusCode, body: answer } = await request(`${address}/plain/x`, { method: 'POST', headers: { ...HEADERS, 'deadline-ms': '800' }, body })
    await answer.dump()
    expect(statusCode).toBe(408)
    expect(performance.now() - startedAt).toBeLessThan(800 + MAX_OVERDUE_MS)
    expect(backends.flatMap(backend => backend.seen)).toEqual([])
  })

  test('with too large a body reaches no backend server', async () => {
    expect((await send('/plain/', {}, 'x'.repeat(2000))).statusCode).toBe(413)
    expect(backends.flatMap(backend => backend.seen)).toEqual([])
  })

  test('that is not idempotent runs once, and is not reported as not run if its response is lost', async () => {
    backends[0].respond = (_, response) => void response.destroy()
    expect((await send('/once/x')).statusCode).toBe(502)
    expect(backends[0].seen).toHaveLength(1)
  })

  test('that is idempotent gets the backend server\'s own error if there is no other backend server', async () => {
    backends[0].respond = answerCompletely(500)
    const response = await send('/plain/x')
    expect(response.statusCode).toBe(500)
    expect(response.headers['server-signature']).toBe('signed')
  })

  const UNFRAMED = [
    ['a complete response', '/once/x', 0, 'answer', { 'content-length': '6' }],
    ['a stream', '/stream/x', 1, 'id: 1\ndata: 1\n\n', { 'transfer-encoding': 'chunked' }],
  ] as const

  // Guards against responses whose end is that of their connection, so that the end of the gateway's process looks like it.
  test.each(UNFRAMED)('whose backend server sends %s without a length gets it framed', async (_name, path, first, body, framing) => {
    backends.slice(first).forEach(backend => backend.respond = answerUnframed(body))
    const response = await send(path)
    expect(response.statusCode).toBe(200)
    expect(response.headers).toMatchObject({ 'server-signature': 'signed', ...framing })
    expect(response.headers.connection).not.toBe('close')
    expect(await response.body.text()).toBe(body)
  })

  // Guards against a response that its backend server did not complete, framed as complete.
  test.each(UNFRAMED)('whose backend server dies while it sends %s without a length never gets it as complete', async (_name, path, first, body) => {
    backends.slice(first).forEach(backend => backend.respond = (seen, response) => {
      void backend.stopListening()
      return answerUnframed(body)(seen, response)
    })
    const answer = send(path).then(async response => ({ status: response.statusCode, body: await response.body.text() }))
    const complete = await answer.catch(() => undefined)
    expect(complete?.status).not.toBe(200)
  })

  test('over HTTP/1.0 for a stream is rejected, since its end could not be told from that of the connection', async () => {
    const { hostname, port } = new URL(address)
    const socket = connect(Number(port), hostname)
    socket.write('POST /stream/x HTTP/1.0\r\nHost: host.example\r\nAttempt-Id: id-1\r\nApi-Key: key\r\nContent-Length: 0\r\n\r\n')
    expect(await text(socket)).toMatch(/^HTTP\/1\.1 400 [\s\S]*needs HTTP\/1\.1/)
    expect(backends.flatMap(backend => backend.seen)).toEqual([])
  })

  test('over HTTP/1.0 for a complete response gets it with its length', async () => {
    const { hostname, port } = new URL(address)
    const socket = connect(Number(port), hostname)
    backends[0].respond = answerUnframed('answer')
    socket.write('POST /plain/x HTTP/1.0\r\nHost: host.example\r\nAttempt-Id: id-1\r\nApi-Key: key\r\nContent-Length: 0\r\n\r\n')
    expect(await text(socket)).toMatch(/^HTTP\/1\.1 200 [\s\S]*content-length: 6\r\n[\s\S]*\r\n\r\nanswer$/)
  })

  test('whose client disconnects is cancelled at its backend server', async () => {
    const disconnected = vi.fn()
    backends[0].respond = hang(disconnected)
    const client = new AbortController()
    const sent = request(`${address}/plain/x`, { method: 'POST', headers: HEADERS, signal: client.signal })
    await vi.waitFor(() => expect(backends[0].seen).toHaveLength(1))
    client.abort()
    await expect(sent).rejects.toThrow()
    await vi.waitFor(() => expect(disconnected).toHaveBeenCalled())
  })
})

describe('a stream', () => {
  const ALL_EVENTS = [1, 2, 3, 4, 5, 6].map(id => `id: ${id}\ndata: ${id}\n\n`).join('')

  beforeEach(publish)

  test('is forwarded completely', async () => {
    backends.slice(1).forEach(backend => backend.respond = streamEvents(6))
    const response = await send('/stream/x')
    expect(await response.body.text()).toBe(ALL_EVENTS)
  })

  test('that is resumable continues at another backend server, without missing, duplicate or partial events', async () => {
    await wait(RETRY_WINDOW_MS)
    let isInterrupted = false
    for (const backend of backends.slice(1)) {
      backend.respond = (seen, response) => {
        const respond = isInterrupted ? streamEvents(6) : streamEvents(6, 3)
        isInterrupted = true
        return respond(seen, response)
      }
    }
    const response = await send('/resumed/x')
    expect(await response.body.text()).toBe(ALL_EVENTS)
    const seen = backends.slice(1).flatMap(backend => backend.seen)
    expect(seen.map(entry => entry.headers['last-event-id'])).toEqual(expect.arrayContaining([undefined, '3']))
  })

  test.each([
    ['is complete if its backend server runs on', false],
    ['ends as broken if its backend server dies', true],
  ])('that is resumed with a response without a length %s', async (_name, dies) => {
    await wait(RETRY_WINDOW_MS)
    let isInterrupted = false
    for (const backend of backends.slice(1)) {
      backend.respond = (seen, response) => {
        if (isInterrupted && dies)
          void backend.stopListening()
        const respond = isInterrupted ? answerUnframed('id: 4\ndata: 4\n\n') : streamEvents(6, 3)
        isInterrupted = true
        return respond(seen, response)
      }
    }
    const response = await send('/resumed/x')
    const body = await response.body.text().catch(() => 'broken')
    expect(body).toBe(dies ? 'broken' : [1, 2, 3, 4].map(id => `id: ${id}\ndata: ${id}\n\n`).join(''))
    expect(backends.slice(1).flatMap(backend => backend.seen)).toHaveLength(2)
  })

  test('without a length that ends inside an event continues at another backend server', async () => {
    await wait(RETRY_WINDOW_MS)
    let isInterrupted = false
    for (const backend of backends.slice(1)) {
      backend.respond = (seen, response) => {
        const respond = isInterrupted ? streamEvents(6) : answerUnframed('id: 1\ndata: 1\n\nid: 2\nda')
        isInterrupted = true
        return respond(seen, response)
      }
    }
    const response = await send('/resumed/x')
    expect(await response.body.text()).toBe(ALL_EVENTS)
    const seen = backends.slice(1).flatMap(backend => backend.seen)
    expect(seen.map(entry => entry.headers['last-event-id'])).toEqual(expect.arrayContaining([undefined, '1']))
  })

  test('without a length that ends inside an event, and is not resumable, ends as broken', async () => {
    backends.slice(1).forEach(backend => backend.respond = answerUnframed('id: 1\ndata: 1\n\nid: 2\nda'))
    const response = await send('/stream/x')
    await expect(response.body.text()).rejects.toThrow()
  })

  test('that is not resumable ends as broken, never as complete', async () => {
    backends.slice(1).forEach(backend => backend.respond = streamEvents(6, 3))
    const response = await send('/stream/x')
    await expect(response.body.text()).rejects.toThrow()
    expect(backends.slice(1).flatMap(backend => backend.seen)).toHaveLength(1)
  })
})

describe('a planned stop', () => {
  test('answers requests in flight and those that still arrive, and is immediately not ready', async () => {
    await publish()
    backends[0].respond = async (seen, response) => {
      await new Promise(resolve => setTimeout(resolve, 300))
      await answerCompletely()(seen, response)
    }
    const inFlight = send('/plain/x')
    await vi.waitFor(() => expect(backends[0].seen).toHaveLength(1))
    const drained = gateway.drain()
    expect((await request(readiness)).statusCode).toBe(503)
    const later = send('/plain/y', { 'attempt-id': 'id-2' })
    expect((await inFlight).statusCode).toBe(200)
    expect((await later).statusCode).toBe(200)
    expect((await later).headers.connection).toBe('close')
    await drained
    expect(gateway.clients.activeRequests).toBe(0)
  })
})

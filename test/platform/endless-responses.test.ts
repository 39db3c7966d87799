import type { StartedGateway } from './support/in-process-gateway.js'
import { wait } from '@eidermast/common'
import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { ENDLESS, MAX_EVENT_MS, writeWithoutEnd } from './support/endless-bytes.js'
import { startGateway } from './support/in-process-gateway.js'
import { answerCompletely, StandInBackend, streamEvents } from './support/stand-in-backend.js'
import { StandInStore } from './support/stand-in-store.js'

/** For timers and the backend server, which shares the process with the gateway. */
const MARGIN_MS = 700
/** Bytes that the gateway takes of one response without end, those in buffers of the kernel included. */
const MAX_TAKEN_BYTES = 24_000_000
const DEADLINE_MS = 10_000
const ROUTE = { Host: 'host.example', TimeoutMs: DEADLINE_MS, TargetLatencyMs: 400, TargetGapMs: 200, MaxAttempts: 1, Public: true }
const CONFIGURATION = {
  Version: 3,
  Routes: [
    { ...ROUTE, Name: 'bad', PathPrefix: '/bad/', Type: 'non_idempotent', Service: 'bad' },
    { ...ROUTE, Name: 'bad-stream', PathPrefix: '/bad-stream/', Type: 'streaming', Service: 'bad' },
    { ...ROUTE, Name: 'other', PathPrefix: '/other/', Type: 'idempotent', Service: 'other' },
    { ...ROUTE, Name: 'other-stream', PathPrefix: '/other-stream/', Type: 'streaming', Service: 'other' },
  ],
  Services: [{ Name: 'bad', MaxConnections: 40 }, { Name: 'other', MaxConnections: 40 }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
  Tenants: [],
}

let store: StandInStore
let started: StartedGateway
let bad: StandInBackend
let other: StandInBackend

beforeEach(async () => {
  store = new StandInStore()
  started = await startGateway('gateway-a', await store.start())
  bad = new StandInBackend('bad-a', 'bad')
  other = new StandInBackend('other-a', 'other')
  store.put('keyed.op', 'config', CONFIGURATION)
  for (const backend of [bad, other]) {
    await backend.start()
    store.put('keyed.servers', backend.id, backend.entry())
  }
  await vi.waitFor(async () => {
    expect(started.gateway.registry.size).toBe(2)
    expect((await request(started.readiness)).statusCode).toBe(200)
  })
})

afterEach(async () => {
  await started.gateway.close()
  await Promise.all([store.stop(), bad.stop(), other.stop()])
})

function send(path: string) {
  return request(`${started.address}${path}`, { method: 'POST', headers: { 'host': 'host.example', 'attempt-id': 'id-1', 'deadline-ms': String(DEADLINE_MS) }, body: '' })
}

describe('a backend server that sends without end', () => {
  // Guards against calls, connections and memory that one faulty backend server holds until the deadline or for good.
  test.each(ENDLESS)('%s has its connection closed, and its client gets no complete response', async (_name, path, bytes, maxMs) => {
    let taken: Promise<number> | undefined
    let takenMs = 0
    bad.respond = (seen, response) => {
      if (seen.path.startsWith('/-/'))
        return answerCompletely()(seen, response)
      const startedAt = performance.now()
      taken = writeWithoutEnd(response.socket!, bytes).finally(() => takenMs = performance.now() - startedAt)
    }
    const answer = send(path).then(async response => ({ status: response.statusCode, body: await response.body.text() })).catch(() => undefined)
    await vi.waitFor(() => expect(taken).toBeDefined())
    expect(await taken).toBeLessThan(MAX_TAKEN_BYTES)
    expect(takenMs).toBeLessThan(maxMs + MARGIN_MS)
    expect((await answer)?.status).not.toBe(200)
    expect((await (await send('/other/x')).body.text())).toBe('answer to /other/x')
  })
})

test('a large event that arrives in many small parts is passed on whole', async () => {
  const data = 'x'.repeat(200_000)
  const event = `id: 1\ndata: ${data}\n\n`
  bad.respond = async (seen, response) => {
    response.writeHead(200, { 'Attempt-Id': String(seen.headers['attempt-id']), 'Server-Signature': 'signed' })
    for (let start = 0; start < event.length; start += 500)
      response.write(event.slice(start, start + 500))
    response.end()
  }
  expect(await (await send('/bad-stream/x')).body.text()).toBe(event)
})

test('an event that is incomplete while its client reads slowly is not given up', async () => {
  const events = 40
  const data = 'x'.repeat(100_000)
  bad.respond = async (seen, response) => {
    response.writeHead(200, { 'Attempt-Id': String(seen.headers['attempt-id']), 'Server-Signature': 'signed' })
    for (let id = 1; id <= events; id++)
      response.write(`id: ${id}\ndata: ${data}\n\n`)
    response.end()
  }
  const response = await send('/bad-stream/x')
  await wait(MAX_EVENT_MS + MARGIN_MS)
  const text = await response.body.text()
  expect(text.match(/^id: /gm)).toHaveLength(events)
})

test('streams of other services go on beside interim responses without end', async () => {
  other.respond = streamEvents(20)
  bad.respond = (seen, response) => {
    if (seen.path.startsWith('/-/'))
      return answerCompletely()(seen, response)
    void writeWithoutEnd(response.socket!, { first: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n', pauseMs: 5 })
  }
  const waiting = Array.from({ length: 10 }, () => send('/bad/x').catch(() => undefined))
  const startedAt = performance.now()
  await Promise.all(Array.from({ length: 20 }, async () => (await send('/other-stream/x')).body.text()))
  expect(performance.now() - startedAt).toBeLessThan(2000)
  await bad.stop()
  await Promise.all(waiting)
}, 30_000)

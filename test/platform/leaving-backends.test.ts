import type { Gateway } from '@eidermast/gateway'
import { wait } from '@eidermast/common'
import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { startGateway } from './support/in-process-gateway.js'
import { answerWhole, StandInBackend } from './support/stand-in-backend.js'
import { StandInStore } from './support/stand-in-store.js'

const SERVER_TOPIC = 'keyed.servers'
/** A single gateway may use two of these, because one share is reserved for an unlisted gateway. */
const MAX_CONNECTIONS = 4
const CONNECTIONS = 2
/** Response time of the backend server under test. */
const ANSWER_MS = 1500
const CONFIGURATION = {
  Version: 3,
  Routes: [{ Name: 'once', Host: 'host.example', PathPrefix: '/once/', Type: 'non_idempotent', Service: 'plain', TimeoutMs: 6000, TargetLatencyMs: 3000, MaxAttempts: 1 }],
  Services: [{ Name: 'plain', MaxConnections: MAX_CONNECTIONS }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
}

let store: StandInStore
let gateway: Gateway
let address: string
let backend: StandInBackend

beforeEach(async () => {
  store = new StandInStore()
  backend = new StandInBackend('plain-a', 'plain')
  await backend.start()
  const started = await startGateway('gateway-a', await store.start())
  gateway = started.gateway
  address = started.address
  store.put('keyed.op', 'config', CONFIGURATION)
  store.put(SERVER_TOPIC, backend.id, backend.entry())
  await vi.waitFor(async () => expect((await request(started.readiness)).statusCode).toBe(200))
})

afterEach(async () => {
  await gateway.close()
  await Promise.all([store.stop(), backend.stop()])
})

const isUsed = (): boolean => gateway.registry.available('plain').length > 0

/** Sends a request; resolves with its status code and duration. */
async function send(requestId: string): Promise<{ status: number, tookMs: number }> {
  const sentAt = performance.now()
  const headers = { 'host': 'host.example', 'attempt-id': requestId, 'deadline-ms': '5000' }
  const response = await request(`${address}/once/x`, { method: 'POST', headers, body: 'body' })
  await response.body.dump()
  return { status: response.statusCode, tookMs: performance.now() - sentAt }
}

describe('a request that waits for a connection', () => {
  test.each([
    ['is listed as draining', () => backend.entry('draining')],
    ['is removed from the list', () => undefined],
  ])('is rejected immediately when its backend server %s', async (_name, entry) => {
    backend.respond = async (seen, response) => {
      await wait(ANSWER_MS)
      await answerWhole()(seen, response)
    }
    const inFlight = Array.from({ length: CONNECTIONS }, (_, index) => send(`in-flight-${index}`))
    await vi.waitFor(() => expect(backend.seen).toHaveLength(CONNECTIONS))
    const waiting = send('waiting')
    await wait(100)
    store.put(SERVER_TOPIC, backend.id, entry())
    expect(await waiting).toMatchObject({ status: 503 })
    expect((await waiting).tookMs).toBeLessThan(ANSWER_MS / 2)
    expect((await Promise.all(inFlight)).map(({ status }) => status)).toEqual(inFlight.map(() => 200))
    expect(backend.seen).toHaveLength(CONNECTIONS)
  })
})

describe('a backend server whose entry is removed', () => {
  test('gets no more work if the store deletes its history but keeps responding', async () => {
    store.put(SERVER_TOPIC, backend.id, undefined)
    store.deleteHistory(SERVER_TOPIC)
    await wait(600)
    expect(isUsed()).toBe(false)
  })
})

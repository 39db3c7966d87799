import type { StartedGateway } from './support/in-process-gateway.js'
import { once } from 'node:events'
import { connect } from 'node:net'
import { wait } from '@eidermast/common'
import { DRAIN_CLOSE_MS } from '@eidermast/gateway'
import { Agent, request } from 'undici'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { startGateway } from './support/in-process-gateway.js'
import { StandInBackend } from './support/stand-in-backend.js'
import { StandInStore } from './support/stand-in-store.js'

/** Later than the end of the grace period. */
const DEADLINE_MS = 30_000
/** Longer than the checks of a stop take, with a margin for a busy machine. */
const CHECK_MARGIN_MS = 1500
/** Interval between the bytes of a body that is sent slowly. */
const BODY_INTERVAL_MS = 200
/** Later than the time from which a gateway that is stopped refuses new requests, also as the last one. */
const BODY_ENDS_AFTER_MS = 4500
/** Requests that are sent on: the minimum of connections to one backend server. */
const SENT = 2
const WAITING = 4
const ROUTE = { Host: 'host.example', Type: 'non_idempotent', MaxAttempts: 1, TimeoutMs: DEADLINE_MS, TargetLatencyMs: 20_000, Public: true }
const CONFIGURATION = {
  Version: 3,
  Routes: [
    { ...ROUTE, Name: 'plain', PathPrefix: '/plain/', Service: 'plain' },
    { ...ROUTE, Name: 'stream', PathPrefix: '/stream/', Service: 'plain', Type: 'streaming', StreamResume: false },
    { ...ROUTE, Name: 'staged', PathPrefix: '/staged/', Service: 'plain', Phases: [{ Service: 'encoder', WatchRevision: [], SizeBytes: 100 }] },
  ],
  Services: [
    { Name: 'plain', MaxConnections: SENT },
    { Name: 'encoder', MaxConnections: 40, Segments: { Capacity: 1, Queue: 1, Batch: 1, CallMs: 10, ItemMs: 10, HeadroomMb: 10, HandleTtlS: 5, BandwidthMbps: 1000 } },
  ],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 20_000 },
  Tenants: [],
}

interface Answer {
  id: string
  /** Undefined without a complete answer. */
  status: number | undefined
  retryAfter: string | undefined
  tookMs: number
}

let store: StandInStore
let storeAddress: string
let backends: StandInBackend[]
let gateways: StartedGateway[]
let agent: Agent

beforeEach(async () => {
  agent = new Agent()
  gateways = []
  store = new StandInStore()
  storeAddress = await store.start()
  backends = [new StandInBackend('plain-a', 'plain'), new StandInBackend('encoder-a', 'encoder')]
  store.put('keyed.op', 'config', CONFIGURATION)
  for (const backend of backends) {
    backend.respond = () => {}
    await backend.start()
    store.put('keyed.servers', backend.id, backend.entry())
  }
})

afterEach(async () => {
  await agent.destroy()
  await Promise.all(gateways.map(({ gateway }) => gateway.close()))
  await Promise.all([store.stop(), ...backends.map(backend => backend.stop())])
})

async function start(names: readonly string[]): Promise<void> {
  for (const name of names)
    gateways.push(await startGateway(name, storeAddress))
  await expect.poll(() => gateways.every(({ gateway }) => gateway.registry.size === backends.length && gateway.members.count === names.length), { timeout: 20_000 }).toBe(true)
}

async function send(path: string, id: string): Promise<Answer> {
  const startedAt = performance.now()
  const answer = { id, status: undefined, retryAfter: undefined }
  try {
    const response = await request(`${gateways[0].address}${path}`, { dispatcher: agent, method: 'POST', headers: { 'host': 'host.example', 'attempt-id': id, 'deadline-ms': String(DEADLINE_MS), 'chunk-count': '1', 'chunk-key': 'key' }, body: '{}' })
    await response.body.dump()
    return { ...answer, status: response.statusCode, retryAfter: String(response.headers['retry-after']), tookMs: performance.now() - startedAt }
  }
  catch {
    return { ...answer, tookMs: performance.now() - startedAt }
  }
}

/** Sends the head of a request and its body byte by byte; resolves with what was received until the connection closed. */
async function sendSlowly(head: string): Promise<string> {
  const socket = connect(Number(new URL(gateways[0].address).port), '127.0.0.1')
  let received = ''
  socket.on('data', chunk => received += chunk)
  socket.on('error', () => {})
  socket.write(head)
  const timer = setInterval(() => socket.write('x'), BODY_INTERVAL_MS)
  await once(socket, 'close')
  clearInterval(timer)
  return received
}

function isSentOn({ id }: Answer): boolean {
  return backends[0].seen.some(({ headers }) => headers['attempt-id'] === id)
}

/** Sends requests of which the first ones are sent on, and waits until they are. */
async function sendMany(path: string): Promise<Promise<Answer>[]> {
  const answers: Promise<Answer>[] = []
  for (let index = 0; index < SENT + WAITING; index++)
    answers.push(send(path, `request-${index}`))
  await expect.poll(() => backends[0].seen.filter(({ headers }) => headers['attempt-id']).length, { timeout: 5000 }).toBe(SENT)
  return answers
}

// Guards against requests that are cut off without an answer by the end of a planned stop.
describe('requests at a gateway that stops while no other serves', () => {
  test.each(['/plain/', '/stream/'])('are answered before it ends, as not run if they still wait for a connection (%s)', async (path) => {
    await start(['gateway-a'])
    const sent = await sendMany(path)
    await gateways[0].gateway.drain()
    const answers = await Promise.all(sent)
    expect(answers.filter(isSentOn).map(({ status }) => status)).toEqual(Array.from({ length: SENT }).fill(502))
    expect(answers.filter(answer => !isSentOn(answer)).map(({ status }) => status)).toEqual(Array.from({ length: WAITING }).fill(503))
  }, 20_000)

  test('are answered as not run before it ends while their stage work runs', async () => {
    await start(['gateway-a'])
    const sent = send('/staged/', 'staged')
    await expect.poll(() => backends[1].seen.some(({ path }) => path.endsWith('stage-run')), { timeout: 5000 }).toBe(true)
    await gateways[0].gateway.drain()
    expect(await sent).toMatchObject({ status: 503 })
    expect(backends[0].seen.filter(({ headers }) => headers['attempt-id'])).toEqual([])
  }, 20_000)

  // Guards against requests that are taken late in the grace period and cut off at its end.
  test('are refused and not run if their bodies end after it refuses new ones and they are due later than its end', async () => {
    await start(['gateway-a'])
    const bodyBytes = Math.ceil(BODY_ENDS_AFTER_MS / BODY_INTERVAL_MS)
    const received = sendSlowly(`POST /stream/ HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: late\r\nDeadline-Ms: ${DEADLINE_MS}\r\nContent-Length: ${bodyBytes}\r\n\r\n`)
    await expect.poll(() => gateways[0].gateway.clients.activeRequests, { timeout: 5000 }).toBe(1)
    await gateways[0].gateway.drain()
    await gateways[0].gateway.close()
    expect(await received).toMatch(/^HTTP\/1.1 503 /)
    expect(backends[0].seen.filter(({ headers }) => headers['attempt-id'])).toEqual([])
  }, 20_000)

  test('are answered as not run before it ends while their bodies are sent', async () => {
    await start(['gateway-a'])
    const received = sendSlowly(`POST /plain/ HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: part\r\nDeadline-Ms: ${DEADLINE_MS}\r\nContent-Length: 1000\r\n\r\n`)
    await expect.poll(() => gateways[0].gateway.clients.activeRequests, { timeout: 5000 }).toBe(1)
    await gateways[0].gateway.drain()
    await gateways[0].gateway.close()
    expect(await received).toMatch(/^HTTP\/1.1 503 /)
  }, 20_000)
})

// Guards against requests that wait for the end of a stop though another gateway could serve them.
test('requests that wait at a gateway that stops are sent elsewhere once it has closed its listener', async () => {
  await start(['gateway-a', 'gateway-b'])
  const sent = await sendMany('/plain/')
  const drained = gateways[0].gateway.drain()
  const rejected = await Promise.race([Promise.all(sent.slice(SENT)), wait(DRAIN_CLOSE_MS + CHECK_MARGIN_MS)])
  expect(rejected).toMatchObject(Array.from({ length: WAITING }).fill({ status: 503, retryAfter: '0.100' }))
  await drained
  expect(await Promise.all(sent.slice(0, SENT))).toMatchObject(Array.from({ length: SENT }).fill({ status: 502 }))
}, 20_000)

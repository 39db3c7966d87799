import type { StartedGateway } from './support/in-process-gateway.js'
import type { ReceivedRequest, RequestHandler } from './support/stand-in-backend.js'
import { wait } from '@eidermast/common'
import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { CrashingPool } from './support/crashing-pool.js'
import { startGateway } from './support/in-process-gateway.js'
import { streamEvents } from './support/stand-in-backend.js'
import { StandInStore } from './support/stand-in-store.js'

const GATEWAYS = 3
const POOL_SIZE = 8
/** Crashes after which all connected gateways have to know the cause within CONTACT_MS (setting `contact-ms`). */
const ALLOWED_CRASHES = 5
const CONTACT_MS = 3000
/** Number of times that requests with the cause may still be sent to backend servers after that time. */
const MAX_LATE_REQUESTS = 3
/** Share of the sound streams that have to begin while requests with the cause are refused. */
const MIN_BEGUN_SHARE = 0.9
const STREAM_EVENTS = 40
const SOUND_INTERVAL_MS = 100
const CRASHING_INTERVAL_MS = 400
/** Time before requests with the cause begin. */
const CALM_MS = 2000
const CRASHING_MS = 16_000
/** Number of times that half of the backend servers end together, the time before each, and the interval of the checks for refused parts. */
const WAVES = 3
const WAVE_INTERVAL_MS = 1500
const CHECK_INTERVAL_MS = 10
/** Prompt parts that all requests of a client account begin with, and those of its documents. */
const ACCOUNT_PARTS = 4
const DOCUMENT_PARTS = 20
const CONFIGURATION = {
  Version: 1,
  Routes: [{ Name: 'stream', Host: 'host.example', PathPrefix: '/stream/', Type: 'streaming', Service: 'model', StreamResume: true, TimeoutMs: 6000, TargetLatencyMs: 1000, TargetGapMs: 400, MaxAttempts: 2 }],
  Services: [{ Name: 'model', MaxConnections: 600, Engine: { Capacity: 64, KvCapacityTokens: 100_000 } }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
}

let store: StandInStore
let pool: CrashingPool
let gateways: StartedGateway[]
let storeAddress: string
let sent: number

/** Sends the head and an event. */
const begin: RequestHandler = async (seen, response) => {
  response.writeHead(200, { 'Attempt-Id': String(seen.headers['attempt-id']), 'Server-Signature': 'signed', 'Content-Type': 'text/event-stream' })
  response.write('id: 1\ndata: 1\n\n')
  await wait(20)
}

async function startPool(causes: readonly string[], beforeCrash?: RequestHandler): Promise<void> {
  const isFatal = ({ headers }: ReceivedRequest): boolean => String(headers['prompt-prefix']).split(',').some(part => causes.includes(part.split(':')[0]))
  pool = new CrashingPool(store, { service: 'model', size: POOL_SIZE, workMs: 40, isFatal, answer: streamEvents(STREAM_EVENTS), beforeCrash })
  await pool.start()
  await vi.waitFor(() => gateways.forEach(({ gateway }) => expect(gateway.registry.size).toBe(POOL_SIZE)), { timeout: 5000 })
}

beforeEach(async () => {
  sent = 0
  store = new StandInStore()
  storeAddress = await store.start()
  store.put('keyed.op', 'config', CONFIGURATION)
  gateways = await Promise.all(Array.from({ length: GATEWAYS }, (_, index) => startGateway(`gateway-${index}`, storeAddress)))
  await vi.waitFor(() => gateways.forEach(({ gateway }) => expect(gateway.members.count).toBe(GATEWAYS)), { timeout: 5000 })
})

afterEach(async () => {
  await Promise.all(gateways.map(({ gateway }) => gateway.close()))
  await Promise.all([store.stop(), pool.stop()])
})

/** The path of streams whose prompts have these shared parts: that of their cause of crashes, if they hold one. */
function pathOf(shared: readonly string[]): string {
  return `/stream/${shared.find(part => part.startsWith('c')) ?? 'sound'}`
}

/** Sends a stream whose prompt has these shared parts; returns whether it began. */
async function send(shared: readonly string[]): Promise<boolean> {
  const id = sent++
  const { address } = gateways[id % GATEWAYS]
  const prompt = [...shared, `f${id}`].map(part => `${part}:100`).join(',')
  const headers = { 'host': 'host.example', 'attempt-id': `id-${id}`, 'deadline-ms': '5000', 'model': 'm', 'token-usage': '300,40', 'prompt-prefix': prompt }
  const response = await request(`${address}${pathOf(shared)}`, { method: 'POST', headers, body: `body of ${id}` })
  // A crash breaks the sound streams that run beside its cause.
  await response.body.dump().catch(() => {})
  return response.statusCode === 200
}

/** Sends streams at an interval for a time, and returns whether each began. */
async function sendFor(forMs: number, intervalMs: number, shared: () => readonly string[]): Promise<boolean[]> {
  const begun: Promise<boolean>[] = []
  const endAt = performance.now() + forMs
  while (performance.now() < endAt) {
    begun.push(send(shared()))
    await wait(intervalMs)
  }
  return Promise.all(begun)
}

function soundParts(): readonly string[] {
  return [`a${sent % ACCOUNT_PARTS}`, `b${sent % DOCUMENT_PARTS}`]
}

function shareOf(begun: readonly boolean[]): number {
  return begun.filter(Boolean).length / begun.length
}

interface Scenario {
  title: string
  causes: readonly string[]
  /** Shared parts of the requests that crash backend servers. */
  crashing: () => readonly string[]
  beforeCrash?: RequestHandler
}

const SCENARIOS: readonly Scenario[] = [
  { title: 'the second part of their prompts', causes: ['c0'], crashing: () => [`a${sent % ACCOUNT_PARTS}`, 'c0'], beforeCrash: begin },
  { title: 'the second part of their prompts, and crash before any event', causes: ['c0'], crashing: () => [`a${sent % ACCOUNT_PARTS}`, 'c0'] },
  { title: 'the first part of their prompts', causes: ['c0'], crashing: () => ['c0', `b${sent % DOCUMENT_PARTS}`], beforeCrash: begin },
  { title: 'one of two parts of their prompts', causes: ['c0', 'c1'], crashing: () => [`a${sent % ACCOUNT_PARTS}`, `c${sent % 2}`], beforeCrash: begin },
]

describe('different requests that crash every backend server that answers them', () => {
  test.each(SCENARIOS)('are no longer forwarded if they share $title, and sound streams go on', async ({ causes, crashing, beforeCrash }) => {
    await startPool(causes, beforeCrash)
    const calm = sendFor(CALM_MS, SOUND_INTERVAL_MS, soundParts)
    await wait(CALM_MS)
    const crashes = sendFor(CRASHING_MS, CRASHING_INTERVAL_MS, crashing)
    const during = sendFor(CRASHING_MS / 2, SOUND_INTERVAL_MS, soundParts)
    await during
    const afterwards = await sendFor(CRASHING_MS / 2, SOUND_INTERVAL_MS, soundParts)
    await Promise.all([calm, crashes])
    const figures = `${pool.crashes.length} crashes, ${shareOf(await calm)} and ${shareOf(afterwards)} of the sound streams begun`
    for (const cause of causes)
      expect(pool.receivedAfterCrash(ALLOWED_CRASHES, CONTACT_MS, pathOf([cause])).length, figures).toBeLessThanOrEqual(MAX_LATE_REQUESTS)
    expect(shareOf(afterwards), figures).toBeGreaterThanOrEqual(MIN_BEGUN_SHARE)
  }, 60_000)
})

/** Sends streams with the cause until every gateway refuses them. */
async function crashUntilRefused(shared: () => readonly string[]): Promise<void> {
  const stop = performance.now() + CONTACT_MS * 2
  while (performance.now() < stop && gateways.some(({ gateway }) => gateway.crashTracker.quarantined === 0)) {
    void send(shared())
    await wait(CRASHING_INTERVAL_MS)
  }
  expect(gateways.map(({ gateway }) => gateway.crashTracker.quarantined)).toEqual(gateways.map(() => 1))
}

describe('different requests with a part that crashed backend servers', () => {
  test('are refused by gateways that start after all others were lost, and sound ones with their first part are not', async () => {
    await startPool(['c0'], begin)
    await sendFor(CALM_MS, SOUND_INTERVAL_MS, soundParts)
    await crashUntilRefused(() => [`a${sent % ACCOUNT_PARTS}`, 'c0'])
    await Promise.all(gateways.map(({ gateway }) => gateway.close()))
    gateways = await Promise.all(Array.from({ length: GATEWAYS }, (_, index) => startGateway(`gateway-new-${index}`, storeAddress)))
    await vi.waitFor(() => expect(gateways.map(({ gateway }) => gateway.crashTracker.quarantined)).toEqual([1, 1, 1]), { timeout: CONTACT_MS })
    await vi.waitFor(() => gateways.forEach(({ gateway }) => expect(gateway.registry.size).toBeGreaterThanOrEqual(POOL_SIZE)), { timeout: 5000 })
    const crashesBefore = pool.crashes.length
    const [crashing, sound] = await Promise.all([
      sendFor(CONTACT_MS, CRASHING_INTERVAL_MS, () => [`a${sent % ACCOUNT_PARTS}`, 'c0']),
      sendFor(CONTACT_MS, SOUND_INTERVAL_MS, soundParts),
    ])
    expect(crashing).not.toContain(true)
    expect(pool.crashes.length).toBe(crashesBefore)
    expect(shareOf(sound)).toBeGreaterThanOrEqual(MIN_BEGUN_SHARE)
  }, 60_000)
})

describe('streams that share parts of their prompts', () => {
  test('are never refused if several backend servers end together repeatedly while running them', async () => {
    await startPool([])
    let refused = 0
    const checks = setInterval(() => refused += gateways.filter(({ gateway }) => gateway.crashTracker.quarantined > 0).length, CHECK_INTERVAL_MS)
    const sending = sendFor(WAVES * WAVE_INTERVAL_MS + CONTACT_MS, SOUND_INTERVAL_MS, soundParts)
    for (let wave = 0; wave < WAVES; wave++) {
      await wait(WAVE_INTERVAL_MS)
      pool.crashSome(POOL_SIZE / 2)
    }
    await sending
    clearInterval(checks)
    expect(pool.crashes.length).toBeGreaterThan(POOL_SIZE)
    expect(refused).toBe(0)
  }, 60_000)
})

import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { wait } from '@eidermast/common'
import { request } from 'undici'
import { afterEach, beforeAll, beforeEach, describe, expect, test, vi } from 'vitest'
import { GatewayChild } from '../soak/support/gateway-child.js'
import { retryTimes, worstExcess } from './support/retry-window.js'
import { breakRuns, StandInBackend } from './support/stand-in-backend.js'
import { StandInStore } from './support/stand-in-store.js'

const GATEWAYS = 3
const POOL_SIZE = 10
const ALLOWANCE = { ratio: 0.2, extra: 54, windowMs: 10_000 }
/** Backend servers answer one run in twenty. */
const BROKEN_RUNS = 19
const RUNS = 20
const WORK_MS = 20
const REQUEST_INTERVAL_MS = 100
/** Time without a restart before the first one: longer than the window, so that all gateways use the whole of their parts. */
const CALM_MS = ALLOWANCE.windowMs + 2000
/** Time from the first restart until the last request. */
const RESTARTS_MS = ALLOWANCE.windowMs + 2000
const CONFIGURATION = {
  Version: 1,
  Routes: [{ Name: 'plain', Host: 'host.example', PathPrefix: '/plain/', Type: 'idempotent', Service: 'plain', TimeoutMs: 4000, TargetLatencyMs: 1000, MaxAttempts: 2 }],
  Services: [{ Name: 'plain', MaxConnections: 60 }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
}

let store: StandInStore
let backends: StandInBackend[]
let gateways: GatewayChild[]
/** Monotonic times of the requests that clients sent, in milliseconds. */
let sentAt: number[]

beforeAll(async () => {
  await import('../../platform/build.mjs' as string)
})

beforeEach(async () => {
  sentAt = []
  store = new StandInStore()
  const storeAddress = await store.start()
  backends = Array.from({ length: POOL_SIZE }, (_, index) => new StandInBackend(`plain-${index}`, 'plain'))
  const respond = breakRuns(BROKEN_RUNS, RUNS, WORK_MS)
  for (const backend of backends) {
    backend.respond = respond
    await backend.start()
    store.put('keyed.servers', backend.id, backend.entry())
  }
  store.put('keyed.op', 'config', CONFIGURATION)
  const directory = mkdtempSync(path.join(tmpdir(), 'eidermast-retries-'))
  const retry = [`ratio = ${ALLOWANCE.ratio}`, `extra = ${ALLOWANCE.extra}`, `window-ms = ${ALLOWANCE.windowMs}`]
  gateways = Array.from({ length: GATEWAYS }, (_, index) => new GatewayChild(`gateway-${index}`, storeAddress, directory, { retry }))
  await Promise.all(gateways.map(gateway => gateway.start()))
  await vi.waitFor(async () => expect(await Promise.all(gateways.map(gateway => gateway.isReady()))).not.toContain(false), { timeout: 10_000 })
})

afterEach(async () => {
  await Promise.all(gateways.map(gateway => gateway.end()))
  await Promise.all([store.stop(), ...backends.map(backend => backend.stop())])
})

/** Sends requests to the gateways in turn until the signal is aborted. */
async function sendUntil(stopped: AbortSignal): Promise<void> {
  const pending: Promise<unknown>[] = []
  while (!stopped.aborted) {
    const id = sentAt.push(performance.now())
    const { address } = gateways[id % GATEWAYS]
    const headers = { 'host': 'host.example', 'attempt-id': `id-${id}`, 'deadline-ms': '3000' }
    // Most runs break, and gateways are down at times.
    pending.push(request(`${address}/plain/x`, { method: 'POST', headers, body: 'x' }).then(({ body }) => body.dump()).catch(() => {}))
    await wait(REQUEST_INTERVAL_MS)
  }
  await Promise.all(pending)
}

async function replaceAll(signal: NodeJS.Signals, pauseMs: number): Promise<void> {
  for (const gateway of gateways) {
    void gateway.replace(signal)
    await wait(pauseMs)
  }
}

const RESTARTS: readonly [string, () => Promise<void>][] = [
  ['all gateways are killed three times', async () => {
    for (let kill = 0; kill < 3; kill++) {
      await replaceAll('SIGKILL', 0)
      await wait(3000)
    }
  }],
  ['each gateway is stopped twice, one after the other', async () => {
    await replaceAll('SIGTERM', 1500)
    await replaceAll('SIGTERM', 1500)
  }],
]

describe('the retries of all gateways together', () => {
  test.each(RESTARTS)('stay within the budget of a window while %s', async (_, restart) => {
    const stop = new AbortController()
    const sending = sendUntil(stop.signal)
    await wait(CALM_MS)
    const restartedAt = performance.now()
    const restarting = restart()
    await wait(RESTARTS_MS)
    stop.abort()
    await Promise.all([sending, restarting])
    const retries = retryTimes(backends.flatMap(({ seen }) => seen))
    expect(retries.filter(at => at < restartedAt).length).toBeGreaterThan(0)
    expect(worstExcess(retries, sentAt, ALLOWANCE)).toBeLessThanOrEqual(0)
  }, 60_000)
})

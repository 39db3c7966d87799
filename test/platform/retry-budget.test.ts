import type { RequestHandler } from './support/stand-in-backend.js'
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { wait } from '@eidermast/common'
import { request } from 'undici'
import { afterEach, beforeAll, beforeEach, describe, expect, test, vi } from 'vitest'
import { GatewayChild } from '../soak/support/gateway-child.js'
import { answerCompletely, StandInBackend } from './support/stand-in-backend.js'
import { StandInStore } from './support/stand-in-store.js'

const GATEWAYS = 3
const POOL_SIZE = 10
/** The budget of all gateways together. */
const RATIO = 0.2
const EXTRA = 54
const WINDOW_MS = 10_000
/** Runs that break, of RUNS. */
const BROKEN_RUNS = 19
const RUNS = 20
const WORK_MS = 20
const REQUEST_INTERVAL_MS = 100
/** Time without a restart before the first one: longer than the window, so that all gateways use the whole of their parts. */
const CALM_MS = WINDOW_MS + 2000
/** Time from the first restart until the last request. */
const RESTARTS_MS = WINDOW_MS + 2000
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
let runs: number

/** Breaks the connection in most runs. */
const breakMostRuns: RequestHandler = async (seen, response) => {
  const breaks = runs++ % RUNS < BROKEN_RUNS
  await wait(WORK_MS)
  if (breaks)
    return void response.destroy()
  await answerCompletely()(seen, response)
}

beforeAll(async () => {
  await import('../../platform/build.mjs' as string)
})

beforeEach(async () => {
  sentAt = []
  runs = 0
  store = new StandInStore()
  const storeAddress = await store.start()
  backends = Array.from({ length: POOL_SIZE }, (_, index) => new StandInBackend(`plain-${index}`, 'plain'))
  for (const backend of backends) {
    backend.respond = breakMostRuns
    await backend.start()
    store.put('keyed.servers', backend.id, backend.entry())
  }
  store.put('keyed.op', 'config', CONFIGURATION)
  const directory = mkdtempSync(path.join(tmpdir(), 'eidermast-retries-'))
  const retry = [`ratio = ${RATIO}`, `extra = ${EXTRA}`, `window-ms = ${WINDOW_MS}`]
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

/** Arrival times of retries: all arrivals of a request except its first one. */
function retryTimes(): number[] {
  const arrivals = backends.flatMap(({ seen }) => seen).sort((a, b) => a.at - b.at)
  const known = new Set<unknown>()
  return arrivals.filter(({ headers }) => known.has(headers['attempt-id']) || !known.add(headers['attempt-id'])).map(({ at }) => at)
}

function countWithin(times: readonly number[], from: number, to: number): number {
  return times.filter(time => time >= from && time < to).length
}

/** Retries beyond the budget in the worst window, which may count the requests of its predecessor instead of its own. */
function worstExcess(retries: readonly number[]): number {
  return Math.max(...retries.map((from) => {
    const requests = Math.max(...[0, WINDOW_MS / 2, WINDOW_MS].map(earlier => countWithin(sentAt, from - earlier, from - earlier + WINDOW_MS)))
    return countWithin(retries, from, from + WINDOW_MS) - (RATIO * requests + EXTRA)
  }))
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
    const retries = retryTimes()
    expect(retries.filter(at => at < restartedAt).length).toBeGreaterThan(0)
    expect(worstExcess(retries)).toBeLessThanOrEqual(0)
  }, 60_000)
})

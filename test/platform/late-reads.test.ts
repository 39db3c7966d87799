import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { wait } from '@eidermast/common'
import { request } from 'undici'
import { afterEach, beforeAll, beforeEach, expect, test, vi } from 'vitest'
import { GatewayChild } from '../soak/support/gateway-child.js'
import { answerCompletely, StandInBackend } from './support/stand-in-backend.js'
import { StandInStore } from './support/stand-in-store.js'

const TIMEOUT_MS = 1000
/** Time after the time-out of the route at which the platform's rule looks. */
const HELD_MS = 500
/** Part of the requests that reached the time-out of their route which the rule allows to be unanswered then. */
const MAX_HELD_PART = 0.25
/** Part of the answers which may be late. */
const MAX_LATE_PART = 0.25
/** Part of the requests of a small account that are answered in time beside a large one; the gateway has time for less than this of all. */
const SMALL_PART = 0.5
/** One request in so many is of the small account. */
const SMALL_EVERY = 20
/** Processor time that a gateway spends on each answer of a backend server besides its own work. */
const ANSWER_COST_MS = 16
/** More than the gateway has processor time for. */
const PER_SECOND = 120
const BURST_MS = 5000
const CONFIGURATION = {
  Version: 1,
  Routes: [{ Name: 'plain', Host: 'host.example', PathPrefix: '/plain/', Type: 'idempotent', Service: 'plain', TimeoutMs: TIMEOUT_MS, TargetLatencyMs: 500, MaxAttempts: 1 }],
  Services: [{ Name: 'plain', MaxConnections: 60 }],
  Tenants: [{ Name: 'large', ApiKeys: ['large'] }, { Name: 'small', ApiKeys: ['small'] }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
}
/** Lets each answer occupy the processor, whatever the machine's speed. */
const SLOW_PROCESSOR = `
  import { ServerResponse } from 'node:http'
  const { writeHead } = ServerResponse.prototype
  ServerResponse.prototype.writeHead = function (status, ...rest) {
    const until = performance.now() + (status === 200 && this.hasHeader('Attempt-Id') ? ${ANSWER_COST_MS} : 0)
    while (performance.now() < until);
    return writeHead.call(this, status, ...rest)
  }`

let store: StandInStore
let backend: StandInBackend
let gateway: GatewayChild

beforeAll(async () => {
  await import('../../platform/build.mjs' as string)
}, 60_000)

beforeEach(async () => {
  store = new StandInStore()
  const storeAddress = await store.start()
  backend = new StandInBackend('plain-0', 'plain')
  backend.respond = answerCompletely()
  await backend.start()
  store.put('keyed.servers', backend.id, { ...backend.entry(), Capacity: 60 })
  store.put('keyed.op', 'config', CONFIGURATION)
  gateway = new GatewayChild('gateway-0', storeAddress, mkdtempSync(path.join(tmpdir(), 'eidermast-late-reads-')))
  gateway.nodeOptions = ['--import', `data:text/javascript,${encodeURIComponent(SLOW_PROCESSOR)}`]
  await gateway.start()
  await vi.waitFor(async () => expect(await gateway.isReady()).toBe(true), { timeout: 10_000 })
})

afterEach(async () => {
  await gateway.end()
  await Promise.all([store.stop(), backend.stop()])
})

interface Answer {
  key: string
  status: number
  tookMs: number
}

/** Sends a request on a new connection; returns its status, and how long its answer took in milliseconds. */
async function send(id: string, key: string): Promise<Answer> {
  const sentAt = performance.now()
  const headers = { 'host': 'host.example', 'attempt-id': id, 'api-key': key, 'deadline-ms': String(TIMEOUT_MS) }
  const response = await request(`${gateway.address}/plain/x`, { method: 'POST', headers, body: '', reset: true })
  await response.body.dump()
  return { key, status: response.statusCode, tookMs: performance.now() - sentAt }
}

async function sendFor(forMs: number, perSecond: number): Promise<Answer[]> {
  const startedAt = performance.now()
  const answers: ReturnType<typeof send>[] = []
  for (let at = 0; at < forMs; at += 1000 / perSecond) {
    await wait(Math.max(0, startedAt + at - performance.now()))
    answers.push(send(`request-${answers.length}`, answers.length % SMALL_EVERY === 0 ? 'small' : 'large'))
  }
  return Promise.all(answers)
}

test('requests are not held beyond the time-out of their route by a gateway that reads them late', async () => {
  const answers = await sendFor(BURST_MS, PER_SECOND)
  const timedOut = answers.filter(({ tookMs }) => tookMs >= TIMEOUT_MS)
  const held = timedOut.filter(({ tookMs }) => tookMs >= TIMEOUT_MS + HELD_MS)
  expect(answers.some(({ status }) => status !== 200)).toBe(true)
  expect(held.length).toBeLessThanOrEqual(timedOut.length * MAX_HELD_PART)
}, 30_000)

test('most of what a gateway answers beyond its processor time is in time, and small accounts have their share', async () => {
  const answers = await sendFor(BURST_MS, PER_SECOND)
  const answered = answers.filter(({ status }) => status === 200)
  const late = answered.filter(({ tookMs }) => tookMs > TIMEOUT_MS)
  expect(answered.length).toBeGreaterThan(0)
  expect(late.length).toBeLessThanOrEqual(answered.length * MAX_LATE_PART)
  const small = answers.filter(({ key }) => key === 'small')
  const smallInTime = small.filter(({ status, tookMs }) => status === 200 && tookMs <= TIMEOUT_MS)
  expect(smallInTime.length).toBeGreaterThanOrEqual(small.length * SMALL_PART)
}, 30_000)

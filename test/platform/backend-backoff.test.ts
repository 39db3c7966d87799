import type { Arrival, NoticeBackend } from './support/notice-pool.js'
import { wait } from '@eidermast/common'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { NoticeDeployment } from './support/notice-deployment.js'
import { maxWithin } from './support/notice-pool.js'

/** Backoff that a backend server requests (`Retry-After`). */
const BACKOFF_S = 3
/** Time after the response after which the backoff is enforced. */
const ENFORCED_AFTER_MS = 500
/** Maximum number of requests from one gateway to a backend server during a backoff. */
const MAX_REQUESTS = 2
/** Duration for which requests are sent. */
const TRAFFIC_MS = 8000
/** Less than a backoff even with the time until all gateways are informed. */
const MEASURED_MS = 400
const POOL_SIZE = 10
const REQUESTS_PER_SECOND = 40
/** Higher than the measured rate, so that all gateways are informed well within one backoff. */
const SET_UP_REQUESTS_PER_SECOND = 120
const SET_UP_ROUND_MS = 50
/** Together with MEASURED_MS less than a backoff. */
const SET_UP_TIMEOUT_MS = 2500
const REPORT_PATH = '/-/report'
/** Far below the deadline of the requests. */
const REJECTED_WITHIN_MS = 300

let deployment: NoticeDeployment

beforeEach(() => {
  deployment = new NoticeDeployment()
  return deployment.start(POOL_SIZE)
})
afterEach(() => deployment.stop())

/** The maximum number of requests that a backend server received from one gateway during a backoff requested from that gateway. */
function maxDuringBackoff({ arrivals, rejections }: NoticeBackend): number {
  const duringBackoff = ({ gateway, at }: Arrival): Arrival[] => arrivals.filter(later =>
    later.gateway === gateway && later.at > at + ENFORCED_AFTER_MS && later.at < at + BACKOFF_S * 1000)
  return Math.max(0, ...rejections.map(answer => duringBackoff(answer).length))
}

/**
 * Sends requests until each of the given backend servers has rejected a request
 * of each gateway. The other backend servers hold back their responses meanwhile:
 * since a gateway chooses the backend server with the fewest of its own calls in
 * flight, each request goes to one that has not rejected it yet, and the set-up
 * does not depend on chance.
 */
async function sendUntilAllInformed(backingOff: readonly NoticeBackend[]): Promise<void> {
  const countInformed = ({ rejections }: NoticeBackend): number => new Set(rejections.map(({ gateway }) => gateway)).size
  const others = deployment.pool.filter(backend => !backingOff.includes(backend))
  let release = (): void => {}
  const held = new Promise<void>(resolve => (release = resolve))
  for (const backend of others)
    backend.responsesHeldUntil = held
  const rounds: Promise<unknown>[] = []
  try {
    await vi.waitFor(async () => {
      rounds.push(deployment.sendFor(SET_UP_ROUND_MS, SET_UP_REQUESTS_PER_SECOND))
      await wait(SET_UP_ROUND_MS)
      expect(backingOff.map(countInformed)).toEqual(backingOff.map(() => deployment.gateways.length))
    }, { timeout: SET_UP_TIMEOUT_MS })
  }
  finally {
    release()
    await Promise.all(rounds)
  }
}

describe('a backend server that rejects a gateway\'s request and requests a backoff', () => {
  test.each([1, 8])('receives at most two more requests from it until the backoff ends: %i of ten', async (count) => {
    const backingOff = deployment.pool.slice(0, count)
    for (const backend of backingOff)
      backend.notice = { headers: { 'Retry-After': String(BACKOFF_S) }, rejects: true }
    await deployment.sendFor(TRAFFIC_MS, REQUESTS_PER_SECOND)
    expect(Math.min(...backingOff.map(({ rejections }) => rejections.length))).toBeGreaterThan(0)
    expect(Math.max(...backingOff.map(maxDuringBackoff))).toBeLessThanOrEqual(MAX_REQUESTS)
  })

  test('receives neither stage calls nor deletions of results from the coordinator that it rejected', async () => {
    for (const backend of deployment.stages)
      backend.notice = { headers: { 'Retry-After': String(BACKOFF_S) }, rejects: true }
    await deployment.sendFor(TRAFFIC_MS, REQUESTS_PER_SECOND, '/staged/x')
    for (const { arrivals } of deployment.stages) {
      const calls = arrivals.filter(({ path }) => path !== REPORT_PATH)
      expect(calls.length).toBeGreaterThan(1)
      expect(maxWithin(calls, BACKOFF_S * 1000 - ENFORCED_AFTER_MS)).toBeLessThanOrEqual(MAX_REQUESTS)
    }
  })

  test('receives requests again when the backoff has ended', async () => {
    const [backend] = deployment.pool
    backend.notice = { headers: { 'Retry-After': String(BACKOFF_S) }, rejects: true }
    await deployment.sendFor(1000, REQUESTS_PER_SECOND)
    backend.notice = undefined
    await deployment.sendFor(BACKOFF_S * 1000, REQUESTS_PER_SECOND)
    const seen = backend.arrivals.length
    await deployment.sendFor(1000, REQUESTS_PER_SECOND)
    expect(backend.arrivals.length).toBeGreaterThan(seen)
  })

  test('causes no failed requests while others accept them, once all gateways are informed', async () => {
    const backingOff = deployment.pool.slice(0, POOL_SIZE / 2)
    for (const backend of backingOff)
      backend.notice = { headers: { 'Retry-After': String(BACKOFF_S) }, rejects: true }
    // Before that, the retry budget may fail requests that several backend servers reject.
    await sendUntilAllInformed(backingOff)
    const answers = await deployment.sendFor(MEASURED_MS, REQUESTS_PER_SECOND)
    expect(answers.filter(({ status }) => status !== 200)).toEqual([])
  })
})

describe('requests to a service whose backend servers all request a backoff', () => {
  test.each(['/plain/x', '/staged/x'])('are rejected immediately, with the time until the first backoff ends as retry delay: %s', async (path) => {
    for (const backend of deployment.pool)
      backend.notice = { headers: { 'Retry-After': String(BACKOFF_S) }, rejects: true }
    await sendUntilAllInformed(deployment.pool)
    const answers = await deployment.sendFor(200, REQUESTS_PER_SECOND, path)
    expect([...new Set(answers.map(({ status }) => status))]).toEqual([429])
    expect(answers.filter(({ retryAfter }) => !(retryAfter! > 0 && retryAfter! <= BACKOFF_S))).toEqual([])
    expect(Math.max(...answers.map(({ tookMs }) => tookMs))).toBeLessThan(REJECTED_WITHIN_MS)
  })
})

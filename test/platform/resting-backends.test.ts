import type { Arrival, NoticeBackend } from './support/notice-pool.js'
import { wait } from '@eidermast/common'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { NoticeDeployment } from './support/notice-deployment.js'
import { mostWithin } from './support/notice-pool.js'

/** Seconds of rest that a backend server asks for. */
const REST_S = 3
/** Milliseconds after the answer from which on the rest binds. */
const BINDS_AFTER_MS = 500
/** Requests that may reach a backend server from one gateway in a rest. */
const ALLOWED = 2
const PLAY_MS = 8000
/** Milliseconds; with the time until all gateways are told less than a rest. */
const MEASURED_MS = 400
const POOL_SIZE = 10
const REQUESTS_PER_SECOND = 40
/** Above the measured rate, so that all gateways are told well within one rest. */
const SET_UP_REQUESTS_PER_SECOND = 120
const SET_UP_ROUND_MS = 50
/** Milliseconds; with MEASURED_MS less than a rest. */
const SET_UP_TIMEOUT_MS = 2500
const REPORT_PATH = '/-/report'
/** Milliseconds; far below the deadline of the requests. */
const REFUSED_WITHIN_MS = 300

let deployment: NoticeDeployment

beforeEach(() => {
  deployment = new NoticeDeployment()
  return deployment.start(POOL_SIZE)
})
afterEach(() => deployment.stop())

/** The most requests that a backend server got from one gateway in a rest that it had asked that gateway for. */
function mostInRest({ arrivals, turnedAwayAt }: NoticeBackend): number {
  const inRest = ({ gateway, at }: Arrival): Arrival[] => arrivals.filter(later =>
    later.gateway === gateway && later.at > at + BINDS_AFTER_MS && later.at < at + REST_S * 1000)
  return Math.max(0, ...turnedAwayAt.map(answer => inRest(answer).length))
}

/**
 * Sends until each of these backend servers has turned each gateway away. The others
 * hold their answers meanwhile: a gateway calls the backend server with the fewest
 * calls of its own under way, so that each request goes to one that has not yet
 * turned it away, and no choice is left to chance.
 */
async function sendUntilAllAreTold(resting: readonly NoticeBackend[]): Promise<void> {
  const told = ({ turnedAwayAt }: NoticeBackend): number => new Set(turnedAwayAt.map(({ gateway }) => gateway)).size
  const others = deployment.pool.filter(backend => !resting.includes(backend))
  let release = (): void => {}
  const held = new Promise<void>(resolve => (release = resolve))
  for (const backend of others)
    backend.heldUntil = held
  const rounds: Promise<unknown>[] = []
  try {
    await vi.waitFor(async () => {
      rounds.push(deployment.sendFor(SET_UP_ROUND_MS, SET_UP_REQUESTS_PER_SECOND))
      await wait(SET_UP_ROUND_MS)
      expect(resting.map(told)).toEqual(resting.map(() => deployment.gateways.length))
    }, { timeout: SET_UP_TIMEOUT_MS })
  }
  finally {
    release()
    await Promise.all(rounds)
  }
}

describe('a backend server that turns a gateway away and asks for rest', () => {
  test.each([1, 8])('gets two requests from it at most until the rest is over: %i of ten', async (resting) => {
    const named = deployment.pool.slice(0, resting)
    for (const backend of named)
      backend.notice = { headers: { 'Retry-After': String(REST_S) }, turnsAway: true }
    await deployment.sendFor(PLAY_MS, REQUESTS_PER_SECOND)
    expect(Math.min(...named.map(({ turnedAwayAt }) => turnedAwayAt.length))).toBeGreaterThan(0)
    expect(Math.max(...named.map(mostInRest))).toBeLessThanOrEqual(ALLOWED)
  })

  test('gets no call of stage work from the coordinator that it turned away, nor deletions of results', async () => {
    for (const backend of deployment.stages)
      backend.notice = { headers: { 'Retry-After': String(REST_S) }, turnsAway: true }
    await deployment.sendFor(PLAY_MS, REQUESTS_PER_SECOND, '/staged/x')
    for (const { arrivals } of deployment.stages) {
      const calls = arrivals.filter(({ path }) => path !== REPORT_PATH)
      expect(calls.length).toBeGreaterThan(1)
      expect(mostWithin(calls, REST_S * 1000 - BINDS_AFTER_MS)).toBeLessThanOrEqual(ALLOWED)
    }
  })

  test('gets requests again when its rest is over', async () => {
    const [backend] = deployment.pool
    backend.notice = { headers: { 'Retry-After': String(REST_S) }, turnsAway: true }
    await deployment.sendFor(1000, REQUESTS_PER_SECOND)
    backend.notice = undefined
    await deployment.sendFor(REST_S * 1000, REQUESTS_PER_SECOND)
    const seen = backend.arrivals.length
    await deployment.sendFor(1000, REQUESTS_PER_SECOND)
    expect(backend.arrivals.length).toBeGreaterThan(seen)
  })

  test('costs callers nothing while others take their requests, once gateways have been told', async () => {
    const resting = deployment.pool.slice(0, POOL_SIZE / 2)
    for (const backend of resting)
      backend.notice = { headers: { 'Retry-After': String(REST_S) }, turnsAway: true }
    // Until then the retry budget may end requests that several turn away.
    await sendUntilAllAreTold(resting)
    const answers = await deployment.sendFor(MEASURED_MS, REQUESTS_PER_SECOND)
    expect(answers.filter(({ status }) => status !== 200)).toEqual([])
  })
})

describe('requests to a service whose backend servers all ask for rest', () => {
  test.each(['/plain/x', '/staged/x'])('are refused at once, with the time until the first of them takes requests: %s', async (path) => {
    for (const backend of deployment.pool)
      backend.notice = { headers: { 'Retry-After': String(REST_S) }, turnsAway: true }
    await sendUntilAllAreTold(deployment.pool)
    const answers = await deployment.sendFor(200, REQUESTS_PER_SECOND, path)
    expect([...new Set(answers.map(({ status }) => status))]).toEqual([429])
    expect(answers.filter(({ retryAfter }) => !(retryAfter! > 0 && retryAfter! <= REST_S))).toEqual([])
    expect(Math.max(...answers.map(({ tookMs }) => tookMs))).toBeLessThan(REFUSED_WITHIN_MS)
  })
})

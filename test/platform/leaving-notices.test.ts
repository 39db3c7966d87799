import type { NoticeBackend } from './support/notice-pool.js'
import { wait } from '@eidermast/common'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { NoticeDeployment } from './support/notice-deployment.js'

/** Time after a response with `Server-Leaving` after which a gateway sends no new request (setting `drain-ms`). */
const DRAIN_MS = 2000
/** Duration for which requests are sent. */
const TRAFFIC_MS = 5000
/** Time within which heartbeats have informed all gateways. */
const PROPAGATED_WITHIN_MS = 1000
/** Far below the deadline of the requests. */
const REJECTED_WITHIN_MS = 300
const POOL_SIZE = 4
const REQUESTS_PER_SECOND = 40

let deployment: NoticeDeployment

beforeEach(() => {
  deployment = new NoticeDeployment()
  return deployment.start(POOL_SIZE)
})
afterEach(() => deployment.stop())

describe('a backend server that announces in its responses that it is leaving, while the list still shows it as ready', () => {
  test('receives no request sent by a client later than the drain time after such a response', async () => {
    const [backend] = deployment.pool
    backend.notice = { headers: { 'Server-Leaving': '1' } }
    await deployment.sendFor(TRAFFIC_MS, REQUESTS_PER_SECOND)
    const late = backend.arrivals.filter(({ gateway, requestId }) => deployment.sentAt.get(requestId)! > backend.informedAt.get(gateway)! + DRAIN_MS)
    expect(backend.informedAt.size).toBeGreaterThan(0)
    expect(late).toEqual([])
  })

  test('soon receives nothing from gateways that it has not responded to', async () => {
    const [backend] = deployment.pool
    backend.notice = { headers: { 'Server-Leaving': '1' } }
    await vi.waitFor(async () => {
      await deployment.sendFor(10, REQUESTS_PER_SECOND)
      expect(backend.informedAt.size).toBe(1)
    }, { timeout: 3000 })
    await wait(PROPAGATED_WITHIN_MS)
    const seen = backend.arrivals.length
    await deployment.sendFor(DRAIN_MS, REQUESTS_PER_SECOND)
    expect(backend.arrivals.length).toBe(seen)
  })

  test('receives no stage work, while its results are still read and deleted', async () => {
    const [backend, other] = deployment.stages
    backend.notice = { headers: { 'Server-Leaving': '1' } }
    const answers = await deployment.sendFor(TRAFFIC_MS, REQUESTS_PER_SECOND / 4, '/staged/x')
    const callsTo = ({ arrivals }: NoticeBackend): number => arrivals.filter(({ path }) => path === '/-/stage-run').length
    expect(callsTo(backend)).toBeLessThanOrEqual(1)
    expect(callsTo(other)).toBeGreaterThan(0)
    expect(answers.filter(({ status }) => status !== 200)).toEqual([])
  })

  test('completes its responses in flight, and no request fails', async () => {
    const [backend] = deployment.pool
    backend.notice = { headers: { 'Server-Leaving': '1' } }
    const answers = await deployment.sendFor(DRAIN_MS, REQUESTS_PER_SECOND)
    expect(answers.filter(({ status }) => status !== 200)).toEqual([])
  })
})

describe('a service whose backend servers are all leaving', () => {
  test('rejects requests immediately as not executed', async () => {
    for (const backend of deployment.pool)
      backend.notice = { headers: { 'Server-Leaving': '1' } }
    await deployment.sendFor(DRAIN_MS, REQUESTS_PER_SECOND)
    const answers = await deployment.sendFor(DRAIN_MS, REQUESTS_PER_SECOND)
    expect([...new Set(answers.map(({ status }) => status))]).toEqual([503])
    expect(Math.max(...answers.map(({ tookMs }) => tookMs))).toBeLessThan(REJECTED_WITHIN_MS)
  })
})

import type { PlayOptions, PlayServer } from './support/speed-play.js'
import { MeasuredLoadEstimator } from '@eidermast/gateway'
import { afterEach, describe, expect, test, vi } from 'vitest'
import { createBackend } from './support/fakes.js'
import { createRandom } from './support/random.js'
import { play, quantile } from './support/speed-play.js'

const FAST_MS = 50
const SLOW_MS = 200
/** One and a half times what a slow server takes. */
const BOUND_MS = 1.5 * SLOW_MS
const UNEVEN: PlayOptions = { gateways: 1, serviceMs: [50, 50, 50, 50, 50, 200, 200, 200, 200, 200], perSecond: 80, forMs: 10_000, seed: 1 }

afterEach(() => vi.restoreAllMocks())

/** Reports what was there five answers ago. */
function createLateReport(): PlayOptions['report'] {
  const earlier: number[][] = []
  return (there, server) => {
    earlier[server] = [...earlier[server] ?? [], there].slice(-5)
    return earlier[server][0]
  }
}

function createLossyReport(): PlayOptions['report'] {
  const random = createRandom(7)
  return there => random() < 0.5 ? undefined : there
}

function reportSlownessOf(serviceMs: number): number {
  return serviceMs / FAST_MS
}

describe('servers of which half are four times as slow', () => {
  test.each([
    { reports: 'right', report: undefined },
    { reports: 'right, with the slowness', report: undefined, reportSlowness: reportSlownessOf },
    { reports: 'late by five answers', report: createLateReport },
    { reports: 'lost half of the time', report: createLossyReport },
    { reports: 'absent', report: () => () => undefined },
    { reports: 'false, always idle', report: () => () => 0 },
  ].flatMap(row => [1, 3].map(gateways => ({ ...row, gateways }))))('answer 95 in 100 within one and a half times the slow time: $gateways gateways, reports $reports', ({ report, reportSlowness, gateways }) => {
    for (const seed of [1, 2, 3]) {
      const { tookMs, refused } = play({ ...UNEVEN, gateways, seed, report: report?.(), reportSlowness })
      expect(refused).toBe(0)
      expect(quantile(tookMs, 0.95)).toBeLessThanOrEqual(BOUND_MS)
    }
  })

  test.each([1, 2, 3, 4, 5])('are not full while others idle if thirty gateways choose at once: seed %i', (seed) => {
    expect(play({ ...UNEVEN, gateways: 30, seed, exchangeMs: 150 }).refusedBesideIdle).toBe(0)
  })

  test('serve thirty gateways better if these share their calls in flight', () => {
    const [alone, shared] = [0, 150].map(exchangeMs => play({ ...UNEVEN, gateways: 30, exchangeMs }))
    expect(quantile(shared.tookMs, 0.99)).toBeLessThan(quantile(alone.tookMs, 0.99))
  })
})

/** Plays ten servers of which the first is slow from 2 s to 7 s; returns the requests that each served from `fromMs` to `toMs`. */
function playSlowPeriod(reports: Pick<PlayOptions, 'gateways' | 'report' | 'reportSlowness'>, seed: number, fromMs: number, toMs: number): number[] {
  let before: number[] = []
  let after: number[] = []
  const onTick = (now: number, servers: PlayServer[]): void => {
    servers[0].serviceMs = now >= 2000 && now < 7000 ? SLOW_MS : FAST_MS
    before = now === fromMs ? servers.map(({ served }) => served) : before
    after = now === toMs ? servers.map(({ served }) => served) : after
  }
  play({ ...UNEVEN, serviceMs: Array.from({ length: 10 }, () => FAST_MS), perSecond: 130, forMs: toMs + 1, ...reports, seed, onTick })
  return after.map((served, index) => served - before[index])
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

const SILENT = { says: 'nothing', report: () => undefined }
const TELLING = { says: 'so', reportSlowness: reportSlownessOf }

describe.each([SILENT, TELLING].flatMap(reports => [1, 3].map(gateways => ({ ...reports, gateways }))))('a server of ten that gets slow and says $says, $gateways gateways', (reports) => {
  test.each([1, 2, 3])('gets no more than it can finish after a second: seed %i', (seed) => {
    const [slow, ...others] = playSlowPeriod(reports, seed, 3000, 7000)
    expect(slow).toBeLessThan(mean(others) * FAST_MS / SLOW_MS * 1.5)
  })

  test.each([1, 2, 3])('has its share again within three seconds of its recovery: seed %i', (seed) => {
    const [recovered, ...others] = playSlowPeriod(reports, seed, 10_000, 13_000)
    expect(recovered).toBeGreaterThan(mean(others) / 2)
  })
})

test.each([1, 3])('equal servers whose requests differ in size are used no worse than by load alone: %i gateways', (gateways) => {
  for (const seed of [1, 2, 3]) {
    // The choice by load breaks ties at random, which alone moves its 95th percentile by a fifth.
    vi.spyOn(Math, 'random').mockImplementation(createRandom(seed))
    const [byTime, byLoad] = [false, true].map(isByLoad => play({ ...UNEVEN, serviceMs: Array.from({ length: 10 }, () => FAST_MS), perSecond: 130, gateways, seed, sizesDiffer: true, byLoad: isByLoad }))
    expect(byTime.refused).toBe(0)
    expect(quantile(byTime.tookMs, 0.95)).toBeLessThanOrEqual(quantile(byLoad.tookMs, 0.95))
  }
})

test.each([1, 3])('servers that are slow for 300 ms at a time answer sooner if they report it: %i gateways', (gateways) => {
  const within = [undefined, TELLING.reportSlowness].map((reportSlowness) => {
    const random = createRandom(1)
    const onTick = (now: number, servers: PlayServer[]): void => {
      if (now % 300 === 0)
        servers.forEach(server => void (server.serviceMs = random() < 0.5 ? FAST_MS : SLOW_MS))
    }
    return quantile(play({ ...UNEVEN, gateways, exchangeMs: 150, reportSlowness, onTick }).tookMs, 0.95)
  })
  expect(within[1]).toBeLessThan(within[0])
})

test('a server that hangs and reports that it is idle is bound by the calls in flight to it', () => {
  const onTick = (_now: number, servers: PlayServer[]): void => {
    servers[0].endsAt = Number.POSITIVE_INFINITY
  }
  const { refused, tookMs } = play({ ...UNEVEN, serviceMs: Array.from({ length: 10 }, () => FAST_MS), report: () => 0, onTick })
  expect(refused).toBe(0)
  expect(quantile(tookMs, 0.95)).toBeLessThanOrEqual(4 * FAST_MS)
})

describe('the load at a backend server', () => {
  let now = 0
  function createEstimator(others?: number) {
    now = 1000
    const backend = createBackend({ capacity: 2 })
    const estimator = new MeasuredLoadEstimator({ gateways: () => 2, others: () => others === undefined ? undefined : { requests: others, at: 1000 } }, () => now)
    return { backend, estimator }
  }

  test('is what was reported, less own calls that have ended, with those sent since', () => {
    const { backend, estimator } = createEstimator()
    backend.outstanding = 3
    backend.recordLoad({ running: 2, waiting: 3, capacity: 2 }, true, now)
    expect(estimator.estimate(backend, now).requests).toBe(5)
    backend.outstanding = 1
    expect(estimator.estimate(backend, now).requests).toBe(3)
    backend.outstanding = 6
    expect(estimator.estimate(backend, now).requests).toBe(8)
  })

  test('is no less than its own calls, whatever is reported', () => {
    const { backend, estimator } = createEstimator()
    backend.outstanding = 4
    backend.recordLoad({ running: 0, waiting: 0, capacity: 2 }, true, now)
    expect(estimator.estimate(backend, now).requests).toBe(4)
  })

  test('includes the calls of other gateways for at most half a second', () => {
    const { backend, estimator } = createEstimator(5)
    expect(estimator.estimate(backend, now).requests).toBe(5)
    expect(estimator.estimate(backend, now + 500).requests).toBe(0)
  })

  test('is a full queue after a refusal', () => {
    const { backend, estimator } = createEstimator()
    estimator.recordRefusal(backend)
    expect(estimator.estimate(backend, now).requests).toBe(4)
  })

  test('follows a reported slowness at once', () => {
    const { backend, estimator } = createEstimator()
    backend.recordLoad({ running: 0, waiting: 0, capacity: 2, slowness: 1 }, true, now)
    estimator.recordAnswer(backend, { tookMs: 100, estimate: estimator.estimate(backend, now) })
    expect(estimator.estimate(backend, now)).toMatchObject({ serviceMs: expect.closeTo(100), waitMs: 0, slowness: 1 })
    now += 1
    backend.recordLoad({ running: 0, waiting: 0, capacity: 2, slowness: 3 }, true, now)
    expect(estimator.estimate(backend, now).serviceMs).toBeCloseTo(300)
  })

  test('counts a reported slowness of an engine or a stage server half as much after three seconds', () => {
    const { backend, estimator } = createEstimator()
    backend.recordLoad({ running: 0, waiting: 0, capacity: 2, slowness: 3 }, true, now)
    expect(estimator.reportedSlowdown(backend, now)).toBe(3)
    expect(estimator.promptSlowdown(backend, now)).toBe(3)
    expect(estimator.reportedSlowdown(backend, now + 3000)).toBe(2)
  })

  test('counts an abandoned call only if it shows that the server is slower', () => {
    const { backend, estimator } = createEstimator()
    const estimate = estimator.estimate(backend, now)
    estimator.recordAnswer(backend, { tookMs: 100, estimate })
    estimator.recordAbandoned(backend, { tookMs: 20, estimate })
    expect(estimator.estimate(backend, now).serviceMs).toBeCloseTo(100)
    estimator.recordAbandoned(backend, { tookMs: 500, estimate })
    expect(estimator.estimate(backend, now).serviceMs).toBeGreaterThan(105)
  })
})

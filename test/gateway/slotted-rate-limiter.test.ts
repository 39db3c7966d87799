import { SharedLimits, SlottedRateLimiter } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'
import { createBackend } from './support/fakes.js'
import { createRandom } from './support/random.js'

/** Time span over which requests are counted, and by how much the count may exceed the limit (as specified by the platform). */
const SPAN_MS = 4000
const FACTOR = 1.5
const SLACK = 5
const STEP_MS = 20
/** Simulated time slots per gateway. */
const SLOTS = 3
/** Maximum difference between the clocks of the gateways. */
const SKEW_MS = 50

interface Sender {
  limiter: SlottedRateLimiter
  backend: ReturnType<typeof createBackend>
}

interface Scenario {
  gateways: number
  limit: number
  /** Probability that a gateway has a request to send in a step. */
  demand: number
  seed: number
}

/** Gateways that know each other and the limit; each has its own copy of the backend server and its own clock skew. */
function createSenders({ gateways, limit, seed }: Scenario, clock: { now: number }): Sender[] {
  const random = createRandom(seed)
  return Array.from({ length: gateways }, (_, place) => {
    const skewMs = random() * SKEW_MS
    const backend = createBackend({ id: 'engine-a' })
    backend.intake.limitPerSecond = limit
    const limits = new SharedLimits({ members: { count: gateways, index: place }, heartbeatPeers: () => 0, findService: () => undefined, coldAllowance: { overshoot: 1, slack: 0 } })
    return { limiter: new SlottedRateLimiter(known => limits.rateLimitShare(known), () => clock.now, () => clock.now + skewMs), backend }
  })
}

/** Times at which the gateways send. */
function simulate(options: Scenario): number[] {
  const clock = { now: 0 }
  const senders = createSenders(options, clock)
  const random = createRandom(options.seed + 1)
  const sent: number[] = []
  for (const endAt = SLOTS * 1000 * options.gateways / options.limit; clock.now < endAt; clock.now += STEP_MS) {
    for (const { limiter, backend } of senders) {
      if (random() >= options.demand || limiter.waitMs(backend) > 0)
        continue
      backend.intake.lastSentAt = clock.now
      sent.push(clock.now)
    }
  }
  return sent
}

function maxInSpan(sent: readonly number[]): number {
  let first = 0
  return sent.reduce((most, at, index) => {
    while (at - sent[first] > SPAN_MS)
      first++
    return Math.max(most, index - first + 1)
  }, 0)
}

describe('requests of all gateways to a backend server that reports a limit', () => {
  test.each([4, 30, 300].flatMap(gateways => [1, 1.3, 5, 20].flatMap(limit => [1, 0.05].map(demand => ({ gateways, limit, demand })))))(
    'stay within the limit: $gateways gateways, $limit requests per second, demand $demand',
    ({ gateways, limit, demand }) => {
      const max = maxInSpan(simulate({ gateways, limit, demand, seed: gateways }))
      expect(max).toBeLessThanOrEqual(FACTOR * limit * SPAN_MS / 1000 + SLACK)
    },
  )

  test.each([4, 30, 300])('use most of the limit at full demand: %i gateways', (gateways) => {
    const limit = 2
    const sent = simulate({ gateways, limit, demand: 1, seed: 7 })
    const listedShare = gateways / (gateways + 1)
    expect(sent.length).toBeGreaterThan(0.9 * listedShare * SLOTS * gateways)
  })
})

describe('the time slots of a gateway', () => {
  const share = { position: 0, part: 0.25 }

  test('recur after the reported wait', () => {
    const clock = { now: 100_000 }
    const limiter = new SlottedRateLimiter(() => share, () => clock.now, () => clock.now)
    const backend = createBackend()
    backend.intake.limitPerSecond = 1
    for (let sent = 0; sent < 5; sent++) {
      clock.now += limiter.waitMs(backend)
      expect(limiter.waitMs(backend)).toBe(0)
      backend.intake.lastSentAt = clock.now
      expect(limiter.waitMs(backend)).toBeGreaterThan(0)
    }
  })

  test('are always open if no limit is reported', () => {
    expect(new SlottedRateLimiter(() => share).waitMs(createBackend())).toBe(0)
  })

  test('recur even with a limit of 0, so that the backend server can report that the limit has ended', () => {
    const clock = { now: 0 }
    const backend = createBackend()
    backend.intake.limitPerSecond = 0
    expect(new SlottedRateLimiter(() => share, () => clock.now, () => clock.now).waitMs(backend)).toBeLessThan(60_000)
  })

  test.each([2000, -2000])('allow no immediate second request if the wall clock jumps by %i ms', (jumpMs) => {
    const clock = { now: 100_000, jump: 0 }
    const limiter = new SlottedRateLimiter(() => share, () => clock.now, () => clock.now + clock.jump)
    const backend = createBackend()
    backend.intake.limitPerSecond = 1
    clock.now += limiter.waitMs(backend)
    backend.intake.lastSentAt = clock.now
    clock.jump = jumpMs
    expect(limiter.waitMs(backend)).toBeGreaterThan(1000)
  })
})

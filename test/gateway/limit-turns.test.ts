import { LimitTurns, SharedLimits } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'
import { createBackend } from './support/fakes.js'
import { createRandom } from './support/random.js'

/** Milliseconds over which requests are counted, and how many more than the limit a span may have (the platform's bounds). */
const SPAN_MS = 4000
const FACTOR = 1.5
const SLACK = 5
const STEP_MS = 20
/** Turns of each gateway that are played. */
const TURNS = 3
/** Milliseconds by which clocks of gateways differ. */
const SKEW_MS = 50

interface Sender {
  turns: LimitTurns
  backend: ReturnType<typeof createBackend>
}

interface Play {
  gateways: number
  limit: number
  /** Probability that a gateway has a request to send in a step. */
  demand: number
  seed: number
}

/** Gateways that know each other and the limit; each has its own copy of the backend server, and a clock of its own. */
function createSenders({ gateways, limit, seed }: Play, clock: { now: number }): Sender[] {
  const random = createRandom(seed)
  return Array.from({ length: gateways }, (_, place) => {
    const skewMs = random() * SKEW_MS
    const backend = createBackend({ id: 'engine-a' })
    backend.intake.limitPerSecond = limit
    const limits = new SharedLimits({ members: { count: gateways, place }, heartbeatPeers: () => 0, findService: () => undefined, coldAllowance: { overshoot: 1, slack: 0 } })
    return { turns: new LimitTurns(known => limits.rateLimitShare(known), () => clock.now, () => clock.now + skewMs), backend }
  })
}

/** Moments of the requests that the gateways send. */
function play(options: Play): number[] {
  const clock = { now: 0 }
  const senders = createSenders(options, clock)
  const random = createRandom(options.seed + 1)
  const sent: number[] = []
  for (const endAt = TURNS * 1000 * options.gateways / options.limit; clock.now < endAt; clock.now += STEP_MS) {
    for (const { turns, backend } of senders) {
      if (random() >= options.demand || turns.waitMs(backend) > 0)
        continue
      backend.intake.lastSentAt = clock.now
      sent.push(clock.now)
    }
  }
  return sent
}

function mostInSpan(sent: readonly number[]): number {
  let first = 0
  return sent.reduce((most, at, index) => {
    while (at - sent[first] > SPAN_MS)
      first++
    return Math.max(most, index - first + 1)
  }, 0)
}

describe('requests of all gateways to a backend server that names a limit', () => {
  test.each([4, 30, 300].flatMap(gateways => [1, 1.3, 5, 20].flatMap(limit => [1, 0.05].map(demand => ({ gateways, limit, demand })))))(
    'stay within what it allows: $gateways gateways, limit $limit a second, demand $demand',
    ({ gateways, limit, demand }) => {
      const most = mostInSpan(play({ gateways, limit, demand, seed: gateways }))
      expect(most).toBeLessThanOrEqual(FACTOR * limit * SPAN_MS / 1000 + SLACK)
    },
  )

  test.each([4, 30, 300])('use most of the limit where there are enough of them: %i gateways', (gateways) => {
    const limit = 2
    const sent = play({ gateways, limit, demand: 1, seed: 7 })
    const listedPart = gateways / (gateways + 1)
    expect(sent.length).toBeGreaterThan(0.9 * listedPart * TURNS * gateways)
  })
})

describe('the turns of a gateway', () => {
  const share = { place: 0, part: 0.25 }

  test('come again after a time that is true', () => {
    const clock = { now: 100_000 }
    const turns = new LimitTurns(() => share, () => clock.now, () => clock.now)
    const backend = createBackend()
    backend.intake.limitPerSecond = 1
    for (let sent = 0; sent < 5; sent++) {
      clock.now += turns.waitMs(backend)
      expect(turns.waitMs(backend)).toBe(0)
      backend.intake.lastSentAt = clock.now
      expect(turns.waitMs(backend)).toBeGreaterThan(0)
    }
  })

  test('are open at once where no limit is named', () => {
    expect(new LimitTurns(() => share).waitMs(createBackend())).toBe(0)
  })

  test('come also at a backend server that takes none, so that it can say that this has ended', () => {
    const clock = { now: 0 }
    const backend = createBackend()
    backend.intake.limitPerSecond = 0
    expect(new LimitTurns(() => share, () => clock.now, () => clock.now).waitMs(backend)).toBeLessThan(60_000)
  })

  test.each([2000, -2000])('bring no second request at once where the time of day jumps by %i ms', (jumpMs) => {
    const clock = { now: 100_000, jump: 0 }
    const turns = new LimitTurns(() => share, () => clock.now, () => clock.now + clock.jump)
    const backend = createBackend()
    backend.intake.limitPerSecond = 1
    clock.now += turns.waitMs(backend)
    backend.intake.lastSentAt = clock.now
    clock.jump = jumpMs
    expect(turns.waitMs(backend)).toBeGreaterThan(1000)
  })
})

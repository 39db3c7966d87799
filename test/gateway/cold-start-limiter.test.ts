import { coldAllowancePerSecond, ColdStartLimiter, COORDINATED_SHARE, coordinatorShare, countSharingGateways, UNCOORDINATED_SHARE } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'
import { createBackend } from './support/fakes.js'
import { createRandom } from './support/random.js'

/** The rate that a cold backend server can take, and its limit in requests per second (as specified by the platform). */
const SUSTAINABLE_RATE = 10
const ALLOWANCE = { overshoot: 1.5, slack: 5 }
const LIMIT = coldAllowancePerSecond(SUSTAINABLE_RATE, ALLOWANCE)
const COLD_MS = 6000
const STEP_MS = 10
/** Maximum delay with which gateways learn of a start. */
const MAX_NOTICE_DELAY_MS = 400

interface Sender {
  limiter: ColdStartLimiter
  backend: ReturnType<typeof createBackend>
}

/** A gateway that learned of the start at `informedAt`; each has its own copy of the backend server. */
function createSender(name: string, ratePerSecond: number, informedAt: number): Sender {
  const backend = createBackend({ id: 'engine-a' })
  backend.markCold(COLD_MS, informedAt)
  return { limiter: new ColdStartLimiter(name, () => ratePerSecond), backend }
}

/** Times at which senders with unlimited demand send. */
function simulateFullDemand(senders: readonly Sender[]): number[] {
  const sent: number[] = []
  for (let now = MAX_NOTICE_DELAY_MS; now < COLD_MS; now += STEP_MS) {
    for (const { limiter, backend } of senders) {
      if (!limiter.mayTake(backend, now))
        continue
      limiter.note(backend, now)
      sent.push(now)
    }
  }
  return sent
}

/** The largest number of requests in any second. */
function maxInSecond(sent: readonly number[]): number {
  return Math.max(0, ...sent.map(from => sent.filter(at => at >= from && at < from + 1000).length))
}

/** Gateways that select by themselves, and coordinators of groups that only receive heartbeats of their own members. */
function createSenders(gateways: number, groups: readonly number[], seed: number): Sender[] {
  const random = createRandom(seed)
  const informedAt = (): number => random() * MAX_NOTICE_DELAY_MS
  const own = Array.from({ length: gateways }, (_, index) =>
    createSender(`gateway-${seed}-${index}`, LIMIT * UNCOORDINATED_SHARE / countSharingGateways(gateways), informedAt()))
  const coordinators = groups.map((members, index) =>
    createSender(`coordinator-${seed}-${index}`, LIMIT * COORDINATED_SHARE * coordinatorShare(members - 1, gateways), informedAt()))
  return [...own, ...coordinators]
}

const isolated = (gateways: number): number[] => Array.from({ length: gateways }, () => 1)

describe('requests to a cold backend server', () => {
  test.each([
    ['4 gateways with one coordinator', 4, [4]],
    ['4 gateways without heartbeats between them', 4, isolated(4)],
    ['21 gateways with one coordinator', 21, [21]],
    ['21 gateways in two partitioned groups', 21, [14, 7]],
    ['21 gateways without heartbeats between them', 21, isolated(21)],
    ['300 gateways with one coordinator', 300, [300]],
    ['300 gateways without heartbeats between them', 300, isolated(300)],
  ])('stay within the limit with %s at any demand', (_name, gateways, groups) => {
    const maxima = [1, 2, 3, 4, 5, 6].map(seed => maxInSecond(simulateFullDemand(createSenders(gateways, groups, seed))))
    expect(Math.max(...maxima)).toBeLessThanOrEqual(LIMIT)
  })

  test.each([4, 21, 300])('use more than half of the sustainable rate with %i gateways that have one coordinator', (gateways) => {
    const sent = simulateFullDemand(createSenders(gateways, [gateways], 1))
    expect(sent.length / (COLD_MS / 1000)).toBeGreaterThan(SUSTAINABLE_RATE / 2)
  })

  test('are not limited once it is warm or if there is no limit', () => {
    const { limiter, backend } = createSender('gateway', 0.1, 0)
    expect(limiter.mayTake(backend, COLD_MS + 1)).toBe(true)
    expect(new ColdStartLimiter('gateway', () => undefined).mayTake(backend, 10)).toBe(true)
  })

  test('get a new time slot after it becomes cold again', () => {
    const { limiter, backend } = createSender('gateway', 10, 0)
    const later = 3 * COLD_MS
    backend.markCold(COLD_MS, later)
    expect(backend.coldSince).toBe(later)
    expect(opensWithinSecond(limiter, backend, later)).toBe(true)
  })
})

/** Whether a time slot opens within a second. */
function opensWithinSecond(limiter: ColdStartLimiter, backend: Sender['backend'], from: number): boolean {
  return Array.from({ length: 100 }, (_, step) => from + step * STEP_MS).some(now => limiter.mayTake(backend, now))
}

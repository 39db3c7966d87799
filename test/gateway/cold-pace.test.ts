import { coldAllowancePerSecond, ColdPace, COORDINATED_SHARE, coordinatorShare, countSharingGateways, OWN_SHARE } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'
import { createBackend } from './support/fakes.js'
import { createRandom } from './support/random.js'

/** What a cold backend server withstands, and what it may get at most in a second (the platform's bounds). */
const WITHSTANDS = 10
const ALLOWANCE = { overshoot: 1.5, slack: 5 }
const BOUND = coldAllowancePerSecond(WITHSTANDS, ALLOWANCE)
const COLD_MS = 6000
const STEP_MS = 10
/** Milliseconds by which gateways hear of a start at different times. */
const HEARD_LATE_MS = 400

interface Sender {
  pace: ColdPace
  backend: ReturnType<typeof createBackend>
}

/** A gateway that heard of the start at a moment; each has its own copy of the backend server. */
function createSender(name: string, ratePerSecond: number, heardAt: number): Sender {
  const backend = createBackend({ id: 'engine-a' })
  backend.noteCold(COLD_MS, heardAt)
  return { pace: new ColdPace(name, () => ratePerSecond), backend }
}

/** Moments of the requests of senders that always have one to send. */
function playFullDemand(senders: readonly Sender[]): number[] {
  const sent: number[] = []
  for (let now = HEARD_LATE_MS; now < COLD_MS; now += STEP_MS) {
    for (const { pace, backend } of senders) {
      if (!pace.mayTake(backend, now))
        continue
      pace.note(backend, now)
      sent.push(now)
    }
  }
  return sent
}

/** The most requests in any second. */
function maxInSecond(sent: readonly number[]): number {
  return Math.max(0, ...sent.map(from => sent.filter(at => at >= from && at < from + 1000).length))
}

/** Gateways that choose by themselves, and coordinators of groups that hear only their own members. */
function createSenders(gateways: number, groups: readonly number[], seed: number): Sender[] {
  const random = createRandom(seed)
  const heardAt = (): number => random() * HEARD_LATE_MS
  const own = Array.from({ length: gateways }, (_, index) =>
    createSender(`gateway-${seed}-${index}`, BOUND * OWN_SHARE / countSharingGateways(gateways), heardAt()))
  const coordinators = groups.map((members, index) =>
    createSender(`coordinator-${seed}-${index}`, BOUND * COORDINATED_SHARE * coordinatorShare(members - 1, gateways), heardAt()))
  return [...own, ...coordinators]
}

const alone = (gateways: number): number[] => Array.from({ length: gateways }, () => 1)

describe('requests to a cold backend server', () => {
  test.each([
    ['4 gateways with one coordinator', 4, [4]],
    ['4 gateways that do not hear each other', 4, alone(4)],
    ['21 gateways with one coordinator', 21, [21]],
    ['21 gateways in two groups that are cut off from each other', 21, [14, 7]],
    ['21 gateways that do not hear each other', 21, alone(21)],
    ['300 gateways with one coordinator', 300, [300]],
    ['300 gateways that do not hear each other', 300, alone(300)],
  ])('stay within the bound with %s, whatever comes', (_name, gateways, groups) => {
    const maxima = [1, 2, 3, 4, 5, 6].map(seed => maxInSecond(playFullDemand(createSenders(gateways, groups, seed))))
    expect(Math.max(...maxima)).toBeLessThanOrEqual(BOUND)
  })

  test.each([4, 21, 300])('come close to what it withstands with %i gateways that have one coordinator', (gateways) => {
    const sent = playFullDemand(createSenders(gateways, [gateways], 1))
    expect(sent.length / (COLD_MS / 1000)).toBeGreaterThan(WITHSTANDS / 2)
  })

  test('are not bounded once it is warm, or where there is no bound', () => {
    const { pace, backend } = createSender('gateway', 0.1, 0)
    expect(pace.mayTake(backend, COLD_MS + 1)).toBe(true)
    expect(new ColdPace('gateway', () => undefined).mayTake(backend, 10)).toBe(true)
  })

  test('begin a turn anew after it is cold once more', () => {
    const { pace, backend } = createSender('gateway', 10, 0)
    const later = 3 * COLD_MS
    backend.noteCold(COLD_MS, later)
    expect(backend.coldSince).toBe(later)
    expect(playable(pace, backend, later)).toBe(true)
  })
})

/** Whether a turn opens within a second. */
function playable(pace: ColdPace, backend: Sender['backend'], from: number): boolean {
  return Array.from({ length: 100 }, (_, step) => from + step * STEP_MS).some(now => pace.mayTake(backend, now))
}

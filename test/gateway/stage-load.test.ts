import type { RequestClass, RequestClassOutcome } from './support/stage-load.js'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createChain, createLargeResultStage, simulateStageLoad } from './support/stage-load.js'

const SEEDS = [1, 2]
/** Milliseconds that the longest load may take on a busy machine; 7 to 16 s were seen. */
const LONG_LOAD_MS = 180_000
const URGENT: RequestClass = { rate: 55, priority: 3, targetMs: 2000, tokens: 800, stages: createChain(0) }
const LARGE: RequestClass = { rate: 45, priority: 4, targetMs: 1400, tokens: 8000, stages: createLargeResultStage(2) }
const BACKGROUND: RequestClass = { rate: 75, priority: 5, targetMs: 2000, tokens: 2000, stages: createChain(1) }

/** Kinds at few backend servers of stages, and what differs in their plays. */
const FEW: RequestClass[] = [
  { rate: 34, priority: 1, targetMs: 2208, tokens: 800, stages: createChain(0), burst: { from: 1500, to: 6500, factor: 2.3 } },
  { rate: 12, priority: 1, targetMs: 1719, tokens: 8000, stages: createLargeResultStage(2) },
  { rate: 18, priority: 3, targetMs: 2310, tokens: 2000, stages: createChain(1) },
]
const FEW_OPTIONS = { loadMs: 9000, returns: 1, backends: { encode: 9, retrieve: 10, rerank: 12 } }

function shareInTime({ sent, inTime }: RequestClassOutcome): number {
  return inTime / sent
}

beforeEach(() => void vi.useFakeTimers())
afterEach(() => void vi.useRealTimers())

// What callers saw: in a burst of requests with three stages a third of them was refused, and at usual load some of
// the least urgent, while calls of the stage backend servers were half empty and those admitted were done long before
// their target. Cause: an idle backend server took all that waited while others became idle some milliseconds later,
// and the estimate added the wait for a later stage to the time in which that wait goes by.
// Evidence: with both as they were, the shares below are those given as "before".
describe('under load', () => {
  // Before: 27 and 67 of the background refused, and 15 of the urgent with the second seed.
  test.each(SEEDS)('all are served in time at a usual rate (seed %i)', async (seed) => {
    const outcomes = await simulateStageLoad([URGENT, LARGE, BACKGROUND], seed)
    expect(outcomes.map(shareInTime)).toEqual([1, 1, 1])
  })

  // Before: 0.63 and 0.65 of the urgent.
  test.each(SEEDS)('urgent requests of three stages are served in a burst that calls with many items can take (seed %i)', async (seed) => {
    const [urgent, large] = await simulateStageLoad([{ ...URGENT, rate: 140 }, LARGE, BACKGROUND], seed)
    expect(shareInTime(urgent)).toBeGreaterThan(0.75)
    expect(shareInTime(large)).toBe(1)
  })

  // Before: 0.87 and 0.94 of the urgent, 0.65 and 0.58 of the background.
  test.each(SEEDS)('a burst of large results leaves memory to the others (seed %i)', async (seed) => {
    const [urgent, large, background] = await simulateStageLoad([URGENT, { ...LARGE, rate: 125 }, BACKGROUND], seed)
    expect(shareInTime(urgent)).toBe(1)
    expect(shareInTime(large)).toBeGreaterThan(0.95)
    expect(shareInTime(background)).toBeGreaterThan(0.75)
  })

  // What callers saw: where gateways divide the stage work of few backend servers into halves, a burst of one kind makes
  // requests late in one half while backend servers of the other are free. One coordinator serves it all in time.
  // Before, in halves: 0.95, 0.80 and 0.79 of the urgent with three seeds.
  test.each(SEEDS)('one coordinator of few backend servers serves a burst of urgent requests in time (seed %i)', async (seed) => {
    const [urgent, large] = await simulateStageLoad(FEW, seed, FEW_OPTIONS)
    expect(shareInTime(urgent)).toBeGreaterThan(0.95)
    expect(shareInTime(large)).toBe(1)
  }, LONG_LOAD_MS)

  // What callers saw: for 2.5 s after all gateways had come back from a loss of power, two of three requests were
  // refused, though the backend servers of the stages made half of the calls that they could. Order of events: calls
  // were slow for 2 s, requests that had been admitted ended late one after the other, and each late one raised the
  // factor by which admission multiplies what it expects, the stages' own time with it, when the queues had gone.
  // Evidence: a play of that loss with logs; here calls of 60 in 100 backend servers take 0.4 s longer for 2 s.
  // Before: 65 of 398 and 78 of 395 of the background refused for good, 0.62 and 0.53 served in time.
  test.each(SEEDS)('is taken in again as soon as the queues have gone after slow calls (seed %i)', async (seed) => {
    const slowdown = { from: 1000, to: 3000, share: 0.6, extraCallMs: 400 }
    const [urgent, large, background] = await simulateStageLoad([URGENT, LARGE, BACKGROUND], seed, { loadMs: 5000, maxRetries: 2, slowdown })
    expect(shareInTime(urgent)).toBeGreaterThan(0.9)
    expect(shareInTime(large)).toBeGreaterThan(0.92)
    expect(shareInTime(background)).toBeGreaterThan(0.64)
    expect(background.refused / background.sent).toBeLessThan(0.08)
  }, LONG_LOAD_MS)
})

import type { RequestClass, RequestClassOutcome } from './support/stage-load.js'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createChain, createLargeResultStage, simulateStageLoad } from './support/stage-load.js'

const SEEDS = [1, 2]
/** Timeout of the longest simulations, which take 7 to 16 s. */
const LONG_LOAD_MS = 180_000
const URGENT: RequestClass = { rate: 55, priority: 3, targetMs: 2000, tokens: 800, stages: createChain(0) }
const LARGE: RequestClass = { rate: 45, priority: 4, targetMs: 1400, tokens: 8000, stages: createLargeResultStage(2) }
const BACKGROUND: RequestClass = { rate: 75, priority: 5, targetMs: 2000, tokens: 2000, stages: createChain(1) }

/** Kinds and options of the simulations with few stage backend servers. */
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

// Guards against refusing requests that backend servers have capacity for. In a burst of requests with three stages a third
// of them was refused, and at a usual rate some of the least urgent, while calls were half empty and admitted requests
// finished long before their target. An idle backend server took all waiting items although others became idle
// milliseconds later, and the estimate added the wait in a later stage to the time in which that wait passes. The
// results with both faults are given as "before" below.
describe('under load', () => {
  // Before: 27 and 67 of the background requests refused, and 15 of the urgent ones with the second seed.
  test.each(SEEDS)('all requests are served in time at a usual rate (seed %i)', async (seed) => {
    const outcomes = await simulateStageLoad([URGENT, LARGE, BACKGROUND], seed)
    expect(outcomes.map(shareInTime)).toEqual([1, 1, 1])
  })

  // Before: 0.63 and 0.65 of the urgent requests in time.
  test.each(SEEDS)('urgent requests of three stages are served in a burst within the capacity of large calls (seed %i)', async (seed) => {
    const [urgent, large] = await simulateStageLoad([{ ...URGENT, rate: 140 }, LARGE, BACKGROUND], seed)
    expect(shareInTime(urgent)).toBeGreaterThan(0.75)
    expect(shareInTime(large)).toBe(1)
  })

  // Before: 0.87 and 0.94 of the urgent and 0.65 and 0.58 of the background requests in time.
  test.each(SEEDS)('a burst of large results leaves memory to the others (seed %i)', async (seed) => {
    const [urgent, large, background] = await simulateStageLoad([URGENT, { ...LARGE, rate: 125 }, BACKGROUND], seed)
    expect(shareInTime(urgent)).toBe(1)
    expect(shareInTime(large)).toBeGreaterThan(0.95)
    expect(shareInTime(background)).toBeGreaterThan(0.75)
  })

  // Guards against dividing few backend servers into shards: with two shards, a burst of one kind makes requests late in
  // one shard while backend servers of the other are idle. One coordinator serves all of them in time.
  // Before, with two shards: 0.95, 0.80 and 0.79 of the urgent requests in time with three seeds.
  test.each(SEEDS)('one coordinator of few backend servers serves a burst of urgent requests in time (seed %i)', async (seed) => {
    const [urgent, large] = await simulateStageLoad(FEW, seed, FEW_OPTIONS)
    expect(shareInTime(urgent)).toBeGreaterThan(0.95)
    expect(shareInTime(large)).toBe(1)
  }, LONG_LOAD_MS)

  // Guards against refusals after a period of slow calls. For 2.5 s after all gateways had recovered from a power loss,
  // two of three requests were refused although the stage backend servers ran half of the calls that they could. Admitted
  // requests had finished late during 2 s of slow calls, and each of them raised the correction factor of admission, which
  // applied to the time of the stages as well when the queues were empty again. Reproduced in a simulation of that power
  // loss; here calls of 60 in 100 backend servers take 0.4 s longer for 2 s.
  // Before: 65 of 398 and 78 of 395 of the background requests refused permanently, 0.62 and 0.53 served in time.
  test.each(SEEDS)('requests are admitted again as soon as the queues are empty after slow calls (seed %i)', async (seed) => {
    const slowdown = { from: 1000, to: 3000, share: 0.6, extraCallMs: 400 }
    const [urgent, large, background] = await simulateStageLoad([URGENT, LARGE, BACKGROUND], seed, { loadMs: 5000, maxRetries: 2, slowdown })
    expect(shareInTime(urgent)).toBeGreaterThan(0.9)
    expect(shareInTime(large)).toBeGreaterThan(0.92)
    expect(shareInTime(background)).toBeGreaterThan(0.64)
    expect(background.refused / background.sent).toBeLessThan(0.08)
  }, LONG_LOAD_MS)
})

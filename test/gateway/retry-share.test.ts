import { RetryBudget, RetryShare } from '@eidermast/gateway'
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'

const SEED = 20261204
const WINDOW_MS = 10_000
const EXTRA = 50
const SERVICE = 'service'
const GATEWAYS = 4

/** A gateway process that makes every retry that its budget allows. */
function createProcess(now: () => number, gateways: () => number) {
  const share = new RetryShare({ windowMs: WINDOW_MS, gateways }, now)
  const budget = new RetryBudget({ ratio: 0, extra: EXTRA, windowMs: WINDOW_MS }, () => share.part, now)
  return { retry: () => budget.takeRetry(SERVICE) }
}

function mostInWindow(times: readonly number[]): number {
  return Math.max(0, ...times.map(from => times.filter(time => time >= from && time < from + WINDOW_MS).length))
}

describe('the fixed retry allowance of all gateways', () => {
  test('holds in any window over all processes, however often gateways restart', () => {
    const step = fc.record({ waitMs: fc.integer({ min: 0, max: 4000 }), restarted: fc.subarray([0, 1, 2, 3]), retries: fc.nat(30) })
    fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      let now = 0
      const start = () => createProcess(() => now, () => GATEWAYS)
      const processes = Array.from({ length: GATEWAYS }, start)
      const retries: number[] = []
      for (const { waitMs, restarted, retries: wanted } of steps) {
        now += waitMs
        for (let index = 0; index < wanted; index++)
          processes.forEach(process => process.retry() && retries.push(now))
        restarted.forEach(index => processes[index] = start())
      }
      expect(mostInWindow(retries)).toBeLessThanOrEqual(EXTRA)
    }), { seed: SEED, numRuns: 300 })
  })

  test('is used again a window after the start', () => {
    let now = 5000
    const { retry } = createProcess(() => now, () => GATEWAYS)
    now += WINDOW_MS - 1
    expect(retry()).toBe(false)
    now += 1
    expect(retry()).toBe(true)
  })
})

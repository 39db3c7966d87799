import { RetryBudget } from '@eidermast/gateway'
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'

const SEED = 20261202

describe('the retry budget', () => {
  test('never exceeds its share in any window', () => {
    const step = fc.record({ waitMs: fc.integer({ min: 0, max: 2000 }), requests: fc.nat(20), retries: fc.nat(40) })
    fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      let now = 0
      const budget = new RetryBudget({ ratio: 0.2, extra: 50, windowMs: 10_000 }, () => 1 / 5, () => now)
      const requests: number[] = []
      const retries: number[] = []
      for (const { waitMs, requests: asked, retries: wanted } of steps) {
        now += waitMs
        for (let index = 0; index < asked; index++) {
          budget.countRequest('service')
          requests.push(now)
        }
        for (let index = 0; index < wanted; index++) {
          if (budget.takeRetry('service'))
            retries.push(now)
        }
        const inWindow = (times: number[], length: number): number => times.filter(time => time > now - length).length
        expect(inWindow(retries, 10_000)).toBeLessThanOrEqual(0.2 * inWindow(requests, 10_500) + 50 / 5)
      }
    }), { seed: SEED, numRuns: 200 })
  })

  test('counts a reserved retry until it is released', () => {
    const budget = new RetryBudget({ ratio: 0, extra: 2, windowMs: 1000 }, () => 1, () => 0)
    const reservation = budget.reserveRetry('service')
    expect(budget.hasRetry('service')).toBe(false)
    reservation?.release()
    expect(budget.hasRetry('service')).toBe(true)
  })

  test('recovers fully once the window has passed', () => {
    let now = 0
    const budget = new RetryBudget({ ratio: 0, extra: 10, windowMs: 1000 }, () => 1, () => now)
    const takeRetries = (): number => Array.from({ length: 20 }, () => budget.takeRetry('service')).filter(Boolean).length
    expect(takeRetries()).toBe(8)
    now = 500
    expect(takeRetries()).toBe(0)
    now = 1200
    expect(takeRetries()).toBe(8)
  })
})

import { BudgetRetry, FixedRetry } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'

describe('retries', () => {
  test('are limited to a fraction of recent calls', () => {
    const retry = new BudgetRetry()
    while (retry.tryAcquire(1));
    for (let index = 0; index < 11; index++)
      retry.recordFirstCall()
    expect([retry.tryAcquire(1), retry.tryAcquire(1), retry.tryAcquire(1)]).toEqual([true, true, false])
  })

  test('are limited to a fixed number with the baseline policy', () => {
    expect([1, 2, 3].map(attempt => new FixedRetry().tryAcquire(attempt))).toEqual([true, true, false])
  })
})

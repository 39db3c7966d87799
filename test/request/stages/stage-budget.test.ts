import { ReservedBudget, WholeBudget } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'

describe('a stage\'s budget', () => {
  test('keeps the later stages\' time free, but never all of it', () => {
    expect(new ReservedBudget().budgetMs(1000, [100, 200])).toBe(700)
    expect(new ReservedBudget().budgetMs(1000, [5000])).toBe(250)
    expect(new WholeBudget().budgetMs(1000)).toBe(1000)
  })
})

import { ReservedBudget, WholeBudget } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'

describe('the time budget of a stage', () => {
  test('reserves time for later stages, but never all of it', () => {
    expect(new ReservedBudget().budgetMs(1000, [100, 200])).toBe(700)
    expect(new ReservedBudget().budgetMs(1000, [5000])).toBe(250)
    expect(new WholeBudget().budgetMs(1000)).toBe(1000)
  })
})

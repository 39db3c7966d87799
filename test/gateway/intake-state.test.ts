import { IntakeState } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

/** An intake state with a rate limit of 2 requests per second, reported at 1,000 ms. */
function createLimited(): IntakeState {
  const intake = new IntakeState()
  intake.updateLimit({ limitPerSecond: 2 }, { isWork: true, calledAt: 900 }, 1000)
  return intake
}

describe('the rate limit of a backend server', () => {
  test.each([
    { what: 'ends with a response to a later request that names no limit', calledAt: 1001, isWork: true, limit: undefined },
    { what: 'stays in force after a response to an earlier request that names no limit', calledAt: 999, isWork: true, limit: 2 },
    { what: 'stays in force after a probe response that names no limit', calledAt: 1001, isWork: false, limit: 2 },
  ])('$what', ({ calledAt, isWork, limit }) => {
    const intake = createLimited()
    expect(intake.updateLimit({}, { isWork, calledAt }, 1100)).toBe(limit === undefined)
    expect(intake.limitPerSecond).toBe(limit)
  })

  test('is the latest one reported, even by a probe response', () => {
    const intake = createLimited()
    expect(intake.updateLimit({ limitPerSecond: 5 }, { isWork: false, calledAt: 1050 }, 1100)).toBe(true)
    expect(intake.limitPerSecond).toBe(5)
  })
})

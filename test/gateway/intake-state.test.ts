import { IntakeState } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

/** A state to which a limit of 2 requests a second was named at 1,000 ms. */
function createLimited(): IntakeState {
  const intake = new IntakeState()
  intake.takeLimit({ limitPerSecond: 2 }, { isWork: true, calledAt: 900 }, 1000)
  return intake
}

describe('the limit that a backend server names', () => {
  test.each([
    { what: 'ends with an answer to later work that names none', calledAt: 1001, isWork: true, limit: undefined },
    { what: 'stays after an answer to earlier work that names none', calledAt: 999, isWork: true, limit: 2 },
    { what: 'stays after the answer to a probe that names none', calledAt: 1001, isWork: false, limit: 2 },
  ])('$what', ({ calledAt, isWork, limit }) => {
    const intake = createLimited()
    expect(intake.takeLimit({}, { isWork, calledAt }, 1100)).toBe(limit === undefined)
    expect(intake.limitPerSecond).toBe(limit)
  })

  test('is the newest that was named, also by the answer to a probe', () => {
    const intake = createLimited()
    expect(intake.takeLimit({ limitPerSecond: 5 }, { isWork: false, calledAt: 1050 }, 1100)).toBe(true)
    expect(intake.limitPerSecond).toBe(5)
  })
})

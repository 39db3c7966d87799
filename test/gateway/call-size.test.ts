import type { BackendForecast } from '@eidermast/gateway'
import { CallForecasts, decideCallItems } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

const FIXED_CALL_MS = 240

function startsIn(milliseconds: number, isUsable = true): BackendForecast {
  return { failureDomain: 'domain-a', isUsable: () => isUsable, msUntilNextCall: () => milliseconds, expectedCallMs: () => FIXED_CALL_MS }
}

describe('the items of a call', () => {
  test.each([
    ['are all that waits where no other backend server starts soon', 12, [startsIn(0), startsIn(200)], 12],
    ['are divided among those that start at once', 12, [startsIn(0), startsIn(0), startsIn(0)], 4],
    ['are divided among those that start within half of the fixed time', 12, [startsIn(0), startsIn(120), startsIn(121)], 6],
    ['leave none over', 7, [startsIn(0), startsIn(0)], 4],
    ['are not left to a backend server that gets no calls', 12, [startsIn(0), startsIn(0, false)], 12],
  ])('%s', (_name, waiting, backends, items) => {
    expect(decideCallItems(waiting, new CallForecasts(backends, 0), FIXED_CALL_MS)).toBe(items)
  })
})

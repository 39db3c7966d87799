import type { BackendForecast } from '@eidermast/gateway'
import { CallForecasts, decideCallItems } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

const FIXED_CALL_MS = 240

function createForecast(milliseconds: number, isUsable = true): BackendForecast {
  return { failureDomain: 'domain-a', isUsable: () => isUsable, msUntilNextCall: () => milliseconds, expectedCallMs: () => FIXED_CALL_MS }
}

describe('the size of a call', () => {
  test.each([
    ['covers all waiting items if no other backend server can start soon', 12, [createForecast(0), createForecast(200)], 12],
    ['is an equal share if other backend servers can start at once', 12, [createForecast(0), createForecast(0), createForecast(0)], 4],
    ['is an equal share among those that can start within half of the fixed time', 12, [createForecast(0), createForecast(120), createForecast(121)], 6],
    ['is rounded up', 7, [createForecast(0), createForecast(0)], 4],
    ['leaves no items to a paused backend server', 12, [createForecast(0), createForecast(0, false)], 12],
  ])('%s', (_name, waiting, backends, items) => {
    expect(decideCallItems(waiting, new CallForecasts(backends, 0), FIXED_CALL_MS)).toBe(items)
  })
})

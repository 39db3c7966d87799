import { ConfigurationRefresh } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'

const BOUND_MS = 2000

let ageMs: number
const refresh = vi.fn()
let check: ConfigurationRefresh

beforeEach(() => {
  vi.useFakeTimers()
  refresh.mockReset()
  ageMs = 5000
  check = new ConfigurationRefresh({ ageMs: () => ageMs, boundMs: BOUND_MS, refresh })
})
afterEach(() => void vi.useRealTimers())

describe('the configuration in force', () => {
  test('is not read anew if it was known to be the newest less than the bound ago', async () => {
    ageMs = BOUND_MS / 2
    expect(await check.isUpToDate()).toBe(true)
    expect(refresh).not.toHaveBeenCalled()
  })

  test('is up to date once a read has shown that it is the newest', async () => {
    refresh.mockImplementation(() => setTimeout(() => (ageMs = 5), 40))
    const isUpToDate = check.isUpToDate()
    await vi.advanceTimersByTimeAsync(100)
    expect(await isUpToDate).toBe(true)
  })

  test('is read once for all requests that ask meanwhile, and for those shortly after', async () => {
    const first = [check.isUpToDate(), check.isUpToDate()]
    await vi.advanceTimersByTimeAsync(400)
    expect(await Promise.all([...first, check.isUpToDate()])).toEqual([false, false, false])
    expect(refresh).toHaveBeenCalledOnce()
  })

  test('is read again after a while', async () => {
    void check.isUpToDate()
    await vi.advanceTimersByTimeAsync(1000)
    void check.isUpToDate()
    expect(refresh).toHaveBeenCalledTimes(2)
  })
})

/**
 * What callers would see: a VM is suspended for seconds and wakes. Its steady
 * clock did not count that time: its reads of the store wait on at connections
 * that are gone, and it coordinates as if nothing had happened.
 */
import type { ClockReadings } from '@eidermast/gateway'
import { awayBetween, SuspensionWatch } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'

describe('a process whose clocks went on', () => {
  test.each<[string, ClockReadings, number]>([
    ['alike was not away', { steady: 100, timeOfDay: 100 }, 0],
    ['alike for long, since it was frozen or busy, was not away unnoticed', { steady: 5000, timeOfDay: 5000 }, 0],
    ['with a little difference was not away', { steady: 100, timeOfDay: 599 }, 0],
    ['with the steady clock standing still was away', { steady: 100, timeOfDay: 4100 }, 4000],
    ['with the time of day set back was not away', { steady: 100, timeOfDay: -2000 }, 0],
  ])('%s', (_name, after, awayMs) => {
    expect(awayBetween({ steady: 0, timeOfDay: 0 }, after)).toBe(awayMs)
  })
})

describe('a watch', () => {
  beforeEach(() => void vi.useFakeTimers())
  afterEach(() => void vi.useRealTimers())

  test('tells each suspension once, also a second one', async () => {
    const clocks = { steady: 0, timeOfDay: 0 }
    const woke = vi.fn()
    const watch = new SuspensionWatch(woke, () => ({ ...clocks }))
    watch.start()
    const run = async (milliseconds: number, suspendedMs: number): Promise<void> => {
      clocks.steady += milliseconds
      clocks.timeOfDay += milliseconds + suspendedMs
      await vi.advanceTimersByTimeAsync(milliseconds)
    }
    await run(1000, 0)
    await run(100, 3000)
    await run(1000, 0)
    await run(100, 700)
    watch.stop()
    expect(woke.mock.calls).toEqual([[3000], [700]])
  })
})

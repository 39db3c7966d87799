/**
 * Guards against a suspension that goes undetected: a VM is suspended for some
 * seconds, its monotonic clock does not count them, and after resuming its reads
 * of the store stay pending on dead connections while it acts as coordinator on
 * stale state.
 */
import type { ClockReadings } from '@eidermast/gateway'
import { awayBetween, SuspensionWatch } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'

describe('a process whose clocks advanced', () => {
  test.each<[string, ClockReadings, number]>([
    ['by the same time was not suspended', { steady: 100, timeOfDay: 100 }, 0],
    ['by the same long time, because it was stopped or busy, was not suspended', { steady: 5000, timeOfDay: 5000 }, 0],
    ['with a small difference was not suspended', { steady: 100, timeOfDay: 599 }, 0],
    ['with a stopped monotonic clock was suspended', { steady: 100, timeOfDay: 4100 }, 4000],
    ['with the wall clock set back was not suspended', { steady: 100, timeOfDay: -2000 }, 0],
  ])('%s', (_name, after, awayMs) => {
    expect(awayBetween({ steady: 0, timeOfDay: 0 }, after)).toBe(awayMs)
  })
})

describe('the detector', () => {
  beforeEach(() => void vi.useFakeTimers())
  afterEach(() => void vi.useRealTimers())

  test('reports each of several suspensions once', async () => {
    const clocks = { steady: 0, timeOfDay: 0 }
    const woke = vi.fn()
    const watch = new SuspensionWatch(woke, () => ({ ...clocks }))
    watch.start()
    const advance = async (milliseconds: number, suspendedMs: number): Promise<void> => {
      clocks.steady += milliseconds
      clocks.timeOfDay += milliseconds + suspendedMs
      await vi.advanceTimersByTimeAsync(milliseconds)
    }
    await advance(1000, 0)
    await advance(100, 3000)
    await advance(1000, 0)
    await advance(100, 700)
    watch.stop()
    expect(woke.mock.calls).toEqual([[3000], [700]])
  })
})

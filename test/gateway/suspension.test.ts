/**
 * Guards against a suspension that goes undetected: a VM is suspended for some
 * seconds, its monotonic clock does not count them, and after resuming its reads
 * of the store stay pending on dead connections while it acts as coordinator on
 * stale state.
 */
import type { ClockReadings } from '@eidermast/gateway'
import { suspendedMsBetween, SuspensionDetector } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'

describe('a process whose clocks advanced', () => {
  test.each<[string, ClockReadings, number]>([
    ['by the same time was not suspended', { monotonicMs: 100, wallClockMs: 100 }, 0],
    ['by the same long time, because it was stopped or busy, was not suspended', { monotonicMs: 5000, wallClockMs: 5000 }, 0],
    ['with a small difference was not suspended', { monotonicMs: 100, wallClockMs: 599 }, 0],
    ['with a stopped monotonic clock was suspended', { monotonicMs: 100, wallClockMs: 4100 }, 4000],
    ['with the wall clock set back was not suspended', { monotonicMs: 100, wallClockMs: -2000 }, 0],
  ])('%s', (_name, after, suspendedMs) => {
    expect(suspendedMsBetween({ monotonicMs: 0, wallClockMs: 0 }, after)).toBe(suspendedMs)
  })
})

describe('the detector', () => {
  beforeEach(() => void vi.useFakeTimers())
  afterEach(() => void vi.useRealTimers())

  test('reports each of several suspensions once', async () => {
    const clocks = { monotonicMs: 0, wallClockMs: 0 }
    const onResume = vi.fn()
    const detector = new SuspensionDetector(onResume, () => ({ ...clocks }))
    detector.start()
    const advance = async (milliseconds: number, suspendedMs: number): Promise<void> => {
      clocks.monotonicMs += milliseconds
      clocks.wallClockMs += milliseconds + suspendedMs
      await vi.advanceTimersByTimeAsync(milliseconds)
    }
    await advance(1000, 0)
    await advance(100, 3000)
    await advance(1000, 0)
    await advance(100, 700)
    detector.stop()
    expect(onResume.mock.calls).toEqual([[3000], [700]])
  })
})

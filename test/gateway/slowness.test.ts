import { SlownessWatch } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

const TICK_MS = 150

/** Whether a process is slow after ticks that are late by these times, in milliseconds. */
function isSlowAfter(coreShare: number, latenessMs: readonly number[]): boolean {
  const watch = new SlownessWatch(coreShare)
  return latenessMs.map((lateMs, number) => watch.takeTick(lateMs, number * TICK_MS)).at(-1)!
}

const EACH_TICK_LATE = Array.from({ length: 20 }, () => 50)

// What users saw: on VMs of 0.12 of a core each, most requests with stages failed on a day without a fault. Order of
// events: the coordinator's ticks were late by 40 ms and more, as those of any busy process there; it counted itself
// as slow and passed the work on; the next one did the same, seventeen in 26 s. Cause: one limit for VMs of all sizes.
// Evidence: the log events `slow` of all seventeen, one after the other; without processor time charged, none.
describe('the slowness of a process', () => {
  test.each([
    ['is seen on a usual VM when each tick is late', 0.5, EACH_TICK_LATE, true],
    ['is seen on a VM of several cores by the same limit', 4, EACH_TICK_LATE, true],
    ['is not what a small VM always is', 0.12, EACH_TICK_LATE, false],
    ['is seen on a small VM that is slowed', 0.12, EACH_TICK_LATE.map(lateMs => lateMs * 5), true],
    ['is not a single pause', 0.5, [5000, 0, 0], false],
    ['is not a single pause on a small VM', 0.12, [5000, 0, 0], false],
  ])('%s', (_name, coreShare, latenessMs, isSlow) => {
    expect(isSlowAfter(coreShare, latenessMs)).toBe(isSlow)
  })
})

import { SlownessDetector } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

const TICK_MS = 150

/** Whether a process is slow after ticks with the given lateness, before each of which it has used some part of the CPU time that it may use. */
function isSlowAfter(coreShare: number, latenessMs: readonly number[], usedPart = 0.2): boolean {
  const detector = new SlownessDetector(coreShare)
  const usedCoreShare = usedPart * Math.min(1, coreShare)
  return latenessMs.map((lateMs, number) => detector.recordTick({ lateMs, usedCoreShare }, number * TICK_MS)).at(-1)!
}

const EACH_TICK_LATE = Array.from({ length: 20 }, () => 50)

// Guards against small VMs that hand over coordination one after another. With the same threshold for VMs of
// all sizes, a coordinator on 0.12 of a core had ticks 40 ms late or more under normal load,
// considered itself slow and handed over, and so did its successors: 17 handovers in 26 s, during
// which most requests with stages failed.
describe('the slowness of a process', () => {
  test.each([
    ['is detected on a VM of usual size when each tick is late', 0.5, EACH_TICK_LATE, true],
    ['is detected on a VM with several cores by the same threshold', 4, EACH_TICK_LATE, true],
    ['does not include the usual lateness of a small VM', 0.12, EACH_TICK_LATE, false],
    ['is detected on a small VM that is slowed down', 0.12, EACH_TICK_LATE.map(lateMs => lateMs * 5), true],
    ['does not include a single pause', 0.5, [5000, 0, 0], false],
    ['does not include a single pause on a small VM', 0.12, [5000, 0, 0], false],
  ])('%s', (_name, coreShare, latenessMs, isSlow) => {
    expect(isSlowAfter(coreShare, latenessMs)).toBe(isSlow)
  })
})

// Guards against coordinators that pass the role on, one after the other, because the role itself keeps them busy.
describe.each([0.12, 0.5, 1, 4])('the slowness of a process that may use %f cores and whose ticks are 0.2 s late', (coreShare) => {
  test.each([
    ['does not include the time that its own work takes', 1, false],
    ['does not include it on a VM that is somewhat slower than it should be', 0.4, false],
    ['is detected if the VM gives it a fifth of its CPU time', 0.2, true],
    ['is detected if it is suspended again and again', 0, true],
  ])('%s', (_name, usedPart, isSlow) => {
    expect(isSlowAfter(coreShare, EACH_TICK_LATE.map(lateMs => lateMs * 4), usedPart)).toBe(isSlow)
  })
})

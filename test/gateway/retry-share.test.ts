import { RetryBudget, RetryShare } from '@eidermast/gateway'
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'

const SEED = 20261204
const WINDOW_MS = 10_000
const EXTRA = 50
const SERVICE = 'service'
const GATEWAYS = 4

/** A gateway process that makes every retry that its budget allows. */
class EagerProcess {
  readonly share: RetryShare
  private readonly budget: RetryBudget

  constructor(private readonly now: () => number, listed: number | undefined) {
    this.share = new RetryShare(WINDOW_MS, now)
    this.budget = new RetryBudget({ ratio: 0, extra: EXTRA, windowMs: WINDOW_MS }, () => this.share.part, now)
    if (listed !== undefined)
      this.share.noteListed(listed)
  }

  retry(): boolean {
    return this.budget.takeRetry(SERVICE)
  }

  /** Makes all retries that are allowed now, and returns their times. */
  retryAll(): number[] {
    const times: number[] = []
    while (this.retry())
      times.push(this.now())
    return times
  }
}

function mostInWindow(times: readonly number[]): number {
  return Math.max(0, ...times.map(from => times.filter(time => time >= from && time < from + WINDOW_MS).length))
}

describe('the fixed retry allowance of all gateways', () => {
  test('holds in any window over all processes, however often gateways restart', () => {
    const step = fc.record({ waitMs: fc.integer({ min: 0, max: 4000 }), restarted: fc.subarray([0, 1, 2, 3]), retries: fc.nat(30) })
    fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      let now = 0
      const start = () => new EagerProcess(() => now, GATEWAYS)
      const processes = Array.from({ length: GATEWAYS }, start)
      const retries: number[] = []
      for (const { waitMs, restarted, retries: wanted } of steps) {
        now += waitMs
        for (let index = 0; index < wanted; index++)
          processes.forEach(process => process.retry() && retries.push(now))
        restarted.forEach(index => processes[index] = start())
      }
      expect(mostInWindow(retries)).toBeLessThanOrEqual(EXTRA)
    }), { seed: SEED, numRuns: 300 })
  })

  test('holds in any window while gateways join and leave', () => {
    const step = fc.record({ waitMs: fc.integer({ min: 0, max: 6000 }), joining: fc.nat(6), leaving: fc.nat(6) })
    fc.assert(fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      let now = 0
      const running = Array.from({ length: GATEWAYS }, () => new EagerProcess(() => now, GATEWAYS))
      const stopping: EagerProcess[] = []
      const retries: number[] = []
      for (const { waitMs, joining, leaving } of steps) {
        now += waitMs
        retries.push(...[...running, ...stopping].flatMap(process => process.retryAll()))
        const left = running.splice(1, leaving)
        left.forEach(({ share }) => share.noteStopping())
        stopping.push(...left)
        running.push(...Array.from({ length: joining }, () => new EagerProcess(() => now, running.length + joining)))
        running.forEach(({ share }) => share.noteListed(running.length))
      }
      expect(mostInWindow(retries)).toBeLessThanOrEqual(EXTRA)
    }), { seed: SEED, numRuns: 300 })
  })

  test('is used again a window after the start', () => {
    let now = 5000
    const process = new EagerProcess(() => now, GATEWAYS)
    now += WINDOW_MS - 1
    expect(process.retry()).toBe(false)
    now += 1
    expect(process.retry()).toBe(true)
  })

  test('is not used by a gateway that has not found itself in the list of gateways', () => {
    let now = 0
    const process = new EagerProcess(() => now, undefined)
    process.share.noteReported(GATEWAYS)
    now = 10 * WINDOW_MS
    expect(process.retry()).toBe(false)
  })

  test('is divided by the gateways that a peer reports, while the own list is behind', () => {
    let now = 0
    const { share } = new EagerProcess(() => now, GATEWAYS)
    now = WINDOW_MS
    share.noteReported(2 * GATEWAYS)
    expect(share.part).toBe(1 / (2 * GATEWAYS + 1))
    now += WINDOW_MS
    expect(share.part).toBe(1 / (GATEWAYS + 1))
  })
})

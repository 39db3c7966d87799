import { RetryBudget, StageRetryShare } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

const WINDOW_MS = 10_000
const EXTRA = 50
const SERVICE = 'service'

/** A process that makes all retries that it may as a coordinator. */
function createProcess(now: () => number) {
  const share = new StageRetryShare(WINDOW_MS, now)
  const budget = new RetryBudget({ ratio: 0, extra: EXTRA, windowMs: WINDOW_MS }, () => share.part, now)
  const retryAll = (): number => {
    let retries = 0
    while (budget.takeRetry(SERVICE))
      retries++
    return retries
  }
  return { share, retryAll }
}

describe('the retry allowance of a stage service', () => {
  test.each([1, 2, 3])('holds within a window if its %i coordinators are replaced again and again', (shards) => {
    let now = 0
    const processes = Array.from({ length: 10 }, () => createProcess(() => now))
    let retries = 0
    for (let first = 0; first <= processes.length - shards; first++) {
      now = WINDOW_MS + first * 500
      const names = Array.from({ length: shards }, (_, shard) => `gateway-${first + shard}`)
      processes.forEach(({ share }) => share.noteCoordinators(names))
      retries += processes.slice(first, first + shards).reduce((sum, { retryAll }) => sum + retryAll(), 0)
    }
    expect(retries).toBeGreaterThan(0)
    expect(retries).toBeLessThanOrEqual(EXTRA)
  })

  test('is used at once by a coordinator that takes over', () => {
    let now = 0
    const { share, retryAll } = createProcess(() => now)
    now = WINDOW_MS
    share.noteCoordinators(['gateway-0'])
    share.noteCoordinators(['gateway-1'])
    expect(retryAll()).toBeGreaterThan(0)
  })

  test('is not used by a coordinator that has just started', () => {
    let now = 0
    const { share, retryAll } = createProcess(() => now)
    share.noteCoordinators(['gateway-0'])
    now = WINDOW_MS - 1
    expect(retryAll()).toBe(0)
  })
})

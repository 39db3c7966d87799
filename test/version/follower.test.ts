import type { LogClient } from '@eidermast/daemon'
import { wait } from '@eidermast/common'
import { Configuration, ConfigurationFollower } from '@eidermast/daemon'
import { Ok } from 'ts-results-es'
import { afterEach, describe, expect, test, vi } from 'vitest'

const HOUR_MS = 3_600_000
const READ_MS = 10

/** A log without records. */
const emptyLog: LogClient = {
  append: async () => Ok(0),
  read: async () => {
    await wait(READ_MS)
    return Ok({ records: [], firstOffset: 0, nextOffset: 0 })
  },
  close: async () => {},
}

afterEach(() => {
  vi.useRealTimers()
})

describe('the age of a configuration', () => {
  test.each([
    { change: 'back', byMs: -HOUR_MS },
    { change: 'ahead', byMs: HOUR_MS },
  ])('does not change if the clock of the VM is set $change', async ({ byMs }) => {
    const follower = new ConfigurationFollower(emptyLog, new Configuration())
    const stopped = new AbortController()
    const running = follower.run(stopped.signal)
    await vi.waitFor(() => expect(follower.hasRead).toBe(true))
    stopped.abort()
    await running
    vi.useFakeTimers({ toFake: ['Date'], now: Date.now() + byMs })
    expect(follower.ageMs).toBeGreaterThanOrEqual(0)
    expect(follower.ageMs).toBeLessThan(HOUR_MS / 2)
  })
})

import { ExitCode, logFlushTimeoutMs, MAX_LOG_FLUSH_MS, ProcessLifecycle } from '@eidermast/gateway'
import { describe, expect, test, vi } from 'vitest'

const GRACE_PERIOD_MS = 8000

/** Creates a lifecycle with a fake gateway, and the order of what it did. */
function createLifecycle(start = async () => {}) {
  const steps: string[] = []
  const record = (step: string): void => void steps.push(step)
  const lifecycle = new ProcessLifecycle({
    gateway: {
      start,
      drain: async () => record('drain'),
    },
    log: { startFailed: error => record(`start-failed ${String(error)}`) },
    flushLog: async () => record('flush'),
    exit: code => record(`exit ${code}`),
    gracePeriodMs: GRACE_PERIOD_MS,
  })
  return { lifecycle, steps }
}

describe('the lifecycle of a gateway process', () => {
  test('flushes the log before it exits because the gateway cannot start', async () => {
    const { steps } = createLifecycle(() => Promise.reject(new Error('in use')))
    await vi.waitFor(() => expect(steps).toEqual(['start-failed Error: in use', 'flush', `exit ${ExitCode.Failed}`]))
  })

  test('drains, flushes the log and exits when it is stopped', async () => {
    const { lifecycle, steps } = createLifecycle()
    await lifecycle.stop()
    expect(steps).toEqual(['drain', 'flush', `exit ${ExitCode.Stopped}`])
  })

  test('drains a gateway that is stopped while it starts only once it has started', async () => {
    let finishStart = (): void => {}
    const { lifecycle, steps } = createLifecycle(() => new Promise((resolve) => {
      finishStart = resolve
    }))
    const stopped = lifecycle.stop()
    expect(steps).toEqual([])
    finishStart()
    await stopped
    expect(steps).toEqual(['drain', 'flush', `exit ${ExitCode.Stopped}`])
  })
})

describe('the time to write the last log lines', () => {
  test.each([
    [2700, MAX_LOG_FLUSH_MS],
    [GRACE_PERIOD_MS - 400, 300],
    [GRACE_PERIOD_MS, 0],
  ])('ends before the grace period, %i ms after SIGTERM', (elapsedMs, expected) => {
    expect(logFlushTimeoutMs(elapsedMs, GRACE_PERIOD_MS)).toBe(expected)
  })
})

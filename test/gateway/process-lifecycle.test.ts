import { MAX_LOG_FLUSH_MS } from '@eidermast/common'
import { ExitCode, logFlushTimeoutMs, ProcessLifecycle } from '@eidermast/gateway'
import { describe, expect, test, vi } from 'vitest'

const GRACE_PERIOD_MS = 8000

/** Creates a lifecycle with a fake gateway, and the order of what it did. */
function createLifecycle({ start = async () => {}, drain = async () => {} }: { start?: () => Promise<void>, drain?: () => Promise<void> } = {}) {
  const steps: string[] = []
  const record = (step: string): void => void steps.push(step)
  const lifecycle = new ProcessLifecycle({
    gateway: {
      start,
      drain: async () => {
        record('drain')
        await drain()
      },
    },
    log: { startFailed: error => record(`start-failed ${String(error)}`), stopFailed: error => record(`stop-failed ${String(error)}`) },
    flushLog: async () => record('flush'),
    exit: code => record(`exit ${code}`),
    gracePeriodMs: GRACE_PERIOD_MS,
  })
  return { lifecycle, steps }
}

describe('the lifecycle of a gateway process', () => {
  test('flushes the log before it exits because the gateway cannot start', async () => {
    const { steps } = createLifecycle({ start: () => Promise.reject(new Error('in use')) })
    await vi.waitFor(() => expect(steps).toEqual(['start-failed Error: in use', 'flush', `exit ${ExitCode.Failed}`]))
  })

  test('drains once, flushes the log and exits, even if it is stopped repeatedly', async () => {
    const { lifecycle, steps } = createLifecycle()
    await Promise.all([lifecycle.stop(), lifecycle.stop()])
    await lifecycle.stop()
    expect(steps).toEqual(['drain', 'flush', `exit ${ExitCode.Stopped}`])
  })

  // Guards against a process that neither serves nor exits after its stop has failed.
  test('exits with an error if the drain fails', async () => {
    const { lifecycle, steps } = createLifecycle({ drain: () => Promise.reject(new Error('closed')) })
    await lifecycle.stop()
    expect(steps).toEqual(['drain', 'stop-failed Error: closed', 'flush', `exit ${ExitCode.Failed}`])
  })

  test('drains a gateway that is stopped while it starts only once it has started', async () => {
    let finishStart = (): void => {}
    const { lifecycle, steps } = createLifecycle({ start: () => new Promise((resolve) => {
      finishStart = resolve
    }) })
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

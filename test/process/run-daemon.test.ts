import { createStopHandler } from '@eidermast/daemon'
import { describe, expect, test, vi } from 'vitest'

describe('a stop signal', () => {
  test('stops the daemon once, even if received repeatedly, and exits the process', async () => {
    const stop = vi.fn(async () => {})
    const exit = vi.fn()
    const onSignal = createStopHandler({ stop }, exit)
    onSignal()
    onSignal()
    await vi.waitFor(() => expect(exit).toHaveBeenCalledExactlyOnceWith(0))
    expect(stop).toHaveBeenCalledOnce()
  })

  test('exits the process with an error code if the stop fails', async () => {
    const exit = vi.fn()
    createStopHandler({ stop: () => Promise.reject(new Error('the listener is closed')) }, exit)()
    await vi.waitFor(() => expect(exit).toHaveBeenCalledExactlyOnceWith(1))
  })
})

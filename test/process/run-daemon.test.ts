import { createStop } from '@eidermast/daemon'
import { describe, expect, test, vi } from 'vitest'

describe('a signal to stop', () => {
  test('stops the daemon once, however often it comes, and ends the process', async () => {
    const stop = vi.fn(async () => {})
    const exit = vi.fn()
    const onSignal = createStop({ stop }, exit)
    onSignal()
    onSignal()
    await vi.waitFor(() => expect(exit).toHaveBeenCalledExactlyOnceWith(0))
    expect(stop).toHaveBeenCalledOnce()
  })

  test('ends the process also where the stop fails', async () => {
    const exit = vi.fn()
    createStop({ stop: () => Promise.reject(new Error('a listener is gone')) }, exit)()
    await vi.waitFor(() => expect(exit).toHaveBeenCalledExactlyOnceWith(1))
  })
})

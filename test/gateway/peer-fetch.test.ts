import { PeerFetch } from '@eidermast/gateway'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'

const PEER = { name: 'gateway-b', address: '127.0.0.1:1' }
const FETCH_DELAY_MS = 200

let revision: number
const fetch = vi.fn<(member: typeof PEER) => Promise<void>>()
const failed = vi.fn()
let peerFetch: PeerFetch

beforeEach(() => {
  vi.useFakeTimers()
  vi.resetAllMocks()
  revision = 5
  fetch.mockImplementation(async () => void (revision = 6))
  peerFetch = new PeerFetch({ fetchDelayMs: FETCH_DELAY_MS, revision: () => revision, fetch, failed })
})
afterEach(() => void vi.useRealTimers())

describe('the state of a peer', () => {
  test('is fetched if the own read does not deliver it in time', async () => {
    void peerFetch.handlePeerRevision(PEER, 6)
    await vi.advanceTimersByTimeAsync(FETCH_DELAY_MS - 1)
    expect(fetch).not.toHaveBeenCalled()
    await vi.advanceTimersByTimeAsync(1)
    expect(fetch).toHaveBeenCalledExactlyOnceWith(PEER)
  })

  test('is not fetched if the own read delivers it meanwhile', async () => {
    void peerFetch.handlePeerRevision(PEER, 6)
    revision = 6
    await vi.advanceTimersByTimeAsync(FETCH_DELAY_MS)
    expect(fetch).not.toHaveBeenCalled()
  })

  test.each([['older', 4], ['the same', 5], ['not sent', undefined]])('is not fetched if its revision is %s', async (_name, held) => {
    void peerFetch.handlePeerRevision(PEER, held)
    await vi.advanceTimersByTimeAsync(FETCH_DELAY_MS)
    expect(fetch).not.toHaveBeenCalled()
  })

  test('is fetched once, however many heartbeats report it meanwhile', async () => {
    for (let heartbeat = 0; heartbeat < 5; heartbeat++)
      void peerFetch.handlePeerRevision(PEER, 6)
    await vi.advanceTimersByTimeAsync(FETCH_DELAY_MS)
    expect(fetch).toHaveBeenCalledOnce()
  })

  test('is fetched from another peer if the first one does not answer', async () => {
    const other = { name: 'gateway-c', address: '127.0.0.1:2' }
    fetch.mockImplementationOnce(() => new Promise(() => {}))
    void peerFetch.handlePeerRevision(PEER, 6)
    await vi.advanceTimersByTimeAsync(FETCH_DELAY_MS)
    void peerFetch.handlePeerRevision(other, 6)
    expect(fetch.mock.calls).toEqual([[PEER]])
    for (let passed = 0; passed < 1000; passed += 150) {
      await vi.advanceTimersByTimeAsync(150)
      for (const peer of [PEER, other])
        void peerFetch.handlePeerRevision(peer, 6)
    }
    expect(fetch.mock.calls).toEqual([[PEER], [other]])
    expect(revision).toBe(6)
  })

  test('is fetched on the next heartbeat after a failed fetch', async () => {
    const error = new Error('no answer')
    fetch.mockRejectedValueOnce(error)
    void peerFetch.handlePeerRevision(PEER, 6)
    await vi.advanceTimersByTimeAsync(FETCH_DELAY_MS)
    expect(failed).toHaveBeenCalledExactlyOnceWith(PEER, error)
    void peerFetch.handlePeerRevision(PEER, 6)
    await vi.advanceTimersByTimeAsync(FETCH_DELAY_MS)
    expect(revision).toBe(6)
  })
})

import { PeerUpdates } from '@eidermast/gateway'
import { beforeEach, describe, expect, test, vi } from 'vitest'

const state = { isCoordinator: false, isCoordinatorUnavailable: false }
const begun = vi.fn()
let updates: PeerUpdates

beforeEach(() => {
  Object.assign(state, { isCoordinator: false, isCoordinatorUnavailable: false })
  begun.mockReset()
  updates = new PeerUpdates({ count: () => 4, isCoordinator: () => state.isCoordinator, isCoordinatorUnavailable: () => state.isCoordinatorUnavailable })
  updates.onUpdatingPeers(begun)
  updates.handleCoordinatorChange()
})

describe('a gateway', () => {
  test.each([
    { title: 'relies on its peers while another gateway reads for it', isCoordinator: false, isCoordinatorUnavailable: false, receives: true },
    { title: 'does not rely on them while it reads for the others', isCoordinator: true, isCoordinatorUnavailable: false, receives: false },
    { title: 'does not rely on them while the coordinator cannot read', isCoordinator: false, isCoordinatorUnavailable: true, receives: false },
  ])('$title', ({ receives, ...now }) => {
    Object.assign(state, now)
    expect(updates.receivesPeerUpdates).toBe(receives)
  })

  test('repeats its reads once each time that it becomes the coordinator', () => {
    for (const isCoordinator of [true, true, false, true]) {
      state.isCoordinator = isCoordinator
      updates.handleCoordinatorChange()
    }
    expect(begun).toHaveBeenCalledTimes(2)
  })

  test('leaves its reads to be restarted as failed ones when the coordinator cannot read', () => {
    state.isCoordinatorUnavailable = true
    updates.handleCoordinatorChange()
    expect(begun).not.toHaveBeenCalled()
  })

  test('that starts alone repeats no reads', () => {
    const alone = new PeerUpdates({ count: () => 1, isCoordinator: () => true, isCoordinatorUnavailable: () => false })
    alone.onUpdatingPeers(begun)
    alone.handleCoordinatorChange()
    expect(begun).not.toHaveBeenCalled()
  })
})

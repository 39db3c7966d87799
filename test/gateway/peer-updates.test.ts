import { PeerUpdates } from '@eidermast/gateway'
import { beforeEach, describe, expect, test, vi } from 'vitest'

const state = { isCoordinator: false, isCoordinatorUnavailable: false }
const ended = vi.fn()
let updates: PeerUpdates

beforeEach(() => {
  Object.assign(state, { isCoordinator: false, isCoordinatorUnavailable: false })
  ended.mockReset()
  updates = new PeerUpdates({ count: () => 4, isCoordinator: () => state.isCoordinator, isCoordinatorUnavailable: () => state.isCoordinatorUnavailable })
  updates.onUpdatesEnd(ended)
  updates.update()
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

  test('repeats its reads once each time that it can no longer rely on them', () => {
    for (const isCoordinator of [true, true, false, true]) {
      state.isCoordinator = isCoordinator
      updates.update()
    }
    expect(ended).toHaveBeenCalledTimes(2)
  })

  test('that starts alone repeats no reads', () => {
    const alone = new PeerUpdates({ count: () => 1, isCoordinator: () => true, isCoordinatorUnavailable: () => false })
    alone.onUpdatesEnd(ended)
    alone.update()
    expect(ended).not.toHaveBeenCalled()
  })
})

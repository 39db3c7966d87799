import type { PreparationRequest, Preparer } from '@eidermast/gateway'
import { Members, PeerClients, PreparationFailureKind, SharedPreparer } from '@eidermast/gateway'
import { Err, Ok } from 'ts-results-es'
import { describe, expect, test, vi } from 'vitest'
import { createLog } from './support/fakes.js'

const SELF = { name: 'gateway-a', address: '127.0.0.1:1' }
const NEVER = new AbortController().signal
const REQUEST: PreparationRequest = { requestId: 'id-1', stages: [], key: '', priority: 0, targetMs: 1000, deadlineMs: 4000, returning: false, zone: 'zone-a' }
const PREPARED = Ok({ handles: ['handle'], zone: 'zone-a', bytes: 1 })
const REFUSED = Err({ kind: PreparationFailureKind.Overloaded, message: 'too much waits', retryAfterMs: 300 })

function createPreparer(prepare: Preparer['prepare']) {
  const { log } = createLog()
  const members = new Members(SELF, { greet: () => Promise.reject(new Error('nobody')) }, log, () => {})
  const local = { prepare, release: vi.fn() }
  return { local, shared: new SharedPreparer(members, local, new PeerClients(), log) }
}

describe('stage work of this gateway\'s own', () => {
  test('is given up at its owner when its request releases it', async () => {
    const { shared, local } = createPreparer(async () => PREPARED)
    await shared.prepare(REQUEST, NEVER)
    shared.release('id-1')
    expect(local.release).toHaveBeenCalledWith('id-1')
  })

  test('that was refused leaves nothing behind to give up', async () => {
    const { shared, local } = createPreparer(async () => REFUSED)
    expect((await shared.prepare(REQUEST, NEVER)).isErr()).toBe(true)
    shared.release('id-1')
    expect(local.release).not.toHaveBeenCalled()
  })
})

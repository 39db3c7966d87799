/**
 * Guards against gateways that coordinate stage work on their own right after a
 * start of the whole deployment. After a power loss, fifty gateways became ready
 * within a second, and each received requests before any peer had answered its
 * first heartbeat. A gateway without a reply from any peer considers itself the
 * coordinator, so each called the stage backend servers directly: in a replay, 86
 * of 184 calls in half a second, for 132 of 744 items. The shard coordinators
 * refused 250 of 300 requests; in all, two of three were refused for 2.5 s.
 */
import type { HeartbeatReply, Preparer } from '@eidermast/gateway'
import { Members, PeerDiscovery, SharedPreparer } from '@eidermast/gateway'
import { Ok } from 'ts-results-es'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createLog } from './support/fakes.js'
import { createStageRequest, NEVER } from './support/stage-coordinator.js'

const SELF = { name: 'gateway-b', address: 'gateway-b' }
const OTHER = { name: 'gateway-a', address: 'gateway-a', announcementOrder: 1 }
const ALIVE: HeartbeatReply = { version: 1, stopping: false, slow: false }
const PREPARED = Ok({ handles: ['handle'], failureDomain: 'zone-a', bytes: 1 })
const REPLY_MS = 100
const MAX_REPLY_WAIT_MS = 600
const MAX_DIRECTORY_WAIT_MS = 1500

/** Creates the members and preparer of a starting gateway; `heartbeat` is the reply of every peer. */
function createStartingGateway(heartbeat: () => Promise<HeartbeatReply>) {
  const { log } = createLog()
  const members = new Members(SELF, { heartbeat }, log, () => {})
  const handledBy: string[] = []
  const local: Preparer = {
    prepare: async () => {
      handledBy.push('self')
      return PREPARED
    },
    release: () => {},
  }
  const peers = {
    prepare: async () => {
      handledBy.push('peer')
      return PREPARED
    },
    release: async () => {},
  }
  return { members, handledBy, preparer: new SharedPreparer(members, local, peers, log) }
}

const replyLate = (): Promise<HeartbeatReply> => new Promise(resolve => setTimeout(() => resolve(ALIVE), REPLY_MS))
const refuse = (): Promise<HeartbeatReply> => Promise.reject(new Error('refused'))

beforeEach(() => void vi.useFakeTimers())
afterEach(() => void vi.useRealTimers())

describe('a request at a gateway that has just started', () => {
  test('waits for heartbeats again after a suspension, then goes to the coordinator', async () => {
    const { members, handledBy, preparer } = createStartingGateway(replyLate)
    members.start()
    members.upsert(OTHER)
    members.noteListRead()
    await vi.advanceTimersByTimeAsync(2 * REPLY_MS)
    members.restartDiscovery()
    const prepared = preparer.prepare(createStageRequest(), NEVER)
    // A heartbeat sent before the suspension is answered now.
    await vi.advanceTimersByTimeAsync(REPLY_MS - 10)
    expect(handledBy).toEqual([])
    await vi.advanceTimersByTimeAsync(REPLY_MS)
    await prepared
    expect(handledBy).toEqual(['peer'])
    members.stop()
  })

  test('waits for the first heartbeats, then goes to the coordinator', async () => {
    const { members, handledBy, preparer } = createStartingGateway(replyLate)
    members.start()
    const prepared = preparer.prepare(createStageRequest(), NEVER)
    // Longer than the wait for replies: the directory is read late when all gateways start
    // together.
    await vi.advanceTimersByTimeAsync(MAX_REPLY_WAIT_MS + 100)
    members.upsert(OTHER)
    members.noteListRead()
    await vi.advanceTimersByTimeAsync(REPLY_MS + 10)
    await prepared
    expect(handledBy).toEqual(['peer'])
    members.stop()
  })

  test('does not wait any longer if the peers refuse connections', async () => {
    const { members, handledBy, preparer } = createStartingGateway(refuse)
    members.start()
    members.upsert(OTHER)
    members.noteListRead()
    const prepared = preparer.prepare(createStageRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(10)
    await prepared
    expect(handledBy).toEqual(['self'])
    members.stop()
  })

  test('does not wait if no other gateway is listed', async () => {
    const { members, handledBy, preparer } = createStartingGateway(refuse)
    members.start()
    members.noteListRead()
    await preparer.prepare(createStageRequest(), NEVER)
    expect(handledBy).toEqual(['self'])
    members.stop()
  })

  test('waits a limited time if the directory cannot be read', async () => {
    const { members, handledBy, preparer } = createStartingGateway(refuse)
    members.start()
    const prepared = preparer.prepare(createStageRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(MAX_DIRECTORY_WAIT_MS - 200)
    expect(handledBy).toEqual([])
    await vi.advanceTimersByTimeAsync(400)
    await prepared
    expect(handledBy).toEqual(['self'])
    members.stop()
  })

  test('does not wait once discovery is complete, however many gateways fail', async () => {
    const { members, handledBy, preparer } = createStartingGateway(refuse)
    members.start()
    await vi.advanceTimersByTimeAsync(MAX_DIRECTORY_WAIT_MS + 200)
    members.upsert(OTHER)
    await preparer.prepare(createStageRequest(), NEVER)
    expect(handledBy).toEqual(['self'])
    members.stop()
  })
})

describe('peer discovery', () => {
  test.each<[string, number | undefined, { probed: boolean[], now: number }, boolean]>([
    ['continues until the directory is read', undefined, { probed: [], now: 1000 }, false],
    ['completes after the longest wait for the directory', undefined, { probed: [], now: MAX_DIRECTORY_WAIT_MS }, true],
    ['continues while a member has neither answered nor failed to', 1000, { probed: [true, false], now: 1100 }, false],
    ['completes when every member has answered or failed to', 1000, { probed: [true, true], now: 1100 }, true],
    ['completes after the longest wait for replies', 1000, { probed: [false], now: 1000 + MAX_REPLY_WAIT_MS }, true],
  ])('%s', (_name, directoryReadAt, progress, isComplete) => {
    const discovery = new PeerDiscovery()
    discovery.start(0)
    if (directoryReadAt !== undefined)
      discovery.noteDirectoryRead(directoryReadAt)
    discovery.update(progress)
    expect(discovery.isComplete).toBe(isComplete)
  })
})

import type { PreparationFailure, PreparationRequest, PreparedInputs, Preparer } from '@eidermast/gateway'
import type { Result } from 'ts-results-es'
import { createShard, Members, PeerClients, PreparationFailureKind, SharedPreparer } from '@eidermast/gateway'
import { Err, Ok } from 'ts-results-es'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createLog } from './support/fakes.js'

const SELF = { name: 'gateway-a', address: '127.0.0.1:1' }
const NEVER = new AbortController().signal
const REQUEST: PreparationRequest = { requestId: 'id-1', stages: [], key: '', priority: 0, targetMs: 1000, deadlineMs: 4000, isRetry: false, failureDomain: 'zone-a' }
type Preparation = Result<PreparedInputs, PreparationFailure>

const PREPARED: Preparation = Ok({ handles: ['handle'], failureDomain: 'zone-a', bytes: 1 })
const REFUSED: Preparation = Err({ kind: PreparationFailureKind.Overloaded, message: 'the queue is too long', retryAfterMs: 300 })

const FAILED: Preparation = Err({ kind: PreparationFailureKind.Failed, message: 'items failed', retryAfterMs: 300 })

function createPreparer(prepare: Preparer['prepare']) {
  const { log } = createLog()
  const members = new Members(SELF, { heartbeat: () => Promise.reject(new Error('unreachable')) }, log, () => {})
  const local = { prepare, release: vi.fn() }
  return { local, shared: new SharedPreparer(members, local, new PeerClients(), log) }
}

describe('stage work at this gateway', () => {
  test('is released at its coordinator when its request releases it', async () => {
    const { shared, local } = createPreparer(async () => PREPARED)
    await shared.prepare(REQUEST, NEVER)
    shared.release('id-1')
    expect(local.release).toHaveBeenCalledWith('id-1')
  })

  test('is not released after it was refused', async () => {
    const { shared, local } = createPreparer(async () => REFUSED)
    expect((await shared.prepare(REQUEST, NEVER)).isErr()).toBe(true)
    shared.release('id-1')
    expect(local.release).not.toHaveBeenCalled()
  })
})

describe('a coordinator that hands its work over because another one was elected', () => {
  const HANDED_OVER: Preparation = Err({ kind: PreparationFailureKind.HandedOver, message: 'the coordinator is stopping', retryAfterMs: 0 })

  beforeEach(() => void vi.useFakeTimers())
  afterEach(() => void vi.useRealTimers())

  // Guards against a gateway that was slow for a moment and never coordinates again until it restarts: work that is
  // handed over marks its coordinator as stopping, which must not apply to the local process.
  test('is not marked as stopping, and coordinates again', async () => {
    const { log } = createLog()
    const members = new Members(SELF, { heartbeat: async () => ({ version: 1, stopping: false, slow: false }) }, log, () => {})
    members.start()
    members.upsert({ ...SELF, announcementOrder: 1 })
    members.upsert({ name: 'gateway-b', address: '127.0.0.1:2', announcementOrder: 2 })
    members.noteListRead()
    await vi.advanceTimersByTimeAsync(1000)
    const answers = [HANDED_OVER, PREPARED]
    const peers = { prepare: async () => PREPARED, release: async () => {} }
    const shared = new SharedPreparer(members, { prepare: async () => answers.shift()!, release: () => {} }, peers, log)
    expect((await shared.prepare(REQUEST, NEVER)).isOk()).toBe(true)
    expect(members.isCoordinator).toBe(true)
    members.stop()
  })
})

describe('stage work in shards', () => {
  const ORDER = [createShard(['a']), createShard(['b']), createShard(['c'])]

  function createInShards(replies: Record<string, Preparation>) {
    const { log } = createLog()
    const members = new Members(SELF, { heartbeat: () => Promise.reject(new Error('unreachable')) }, log, () => {})
    const calledShards: string[] = []
    const local: Preparer = {
      prepare: async ({ shard }) => {
        calledShards.push(shard!)
        return replies[shard!]
      },
      release: () => {},
    }
    return { calledShards, shared: new SharedPreparer(members, local, new PeerClients(), log, { order: () => ORDER }) }
  }

  test.each([
    ['is sent to the preferred shard only, if that admits it', { a: PREPARED }, ['a'], true],
    ['is sent to one more shard if the preferred one is overloaded', { a: REFUSED, b: PREPARED }, ['a', 'b'], true],
    ['is refused if both shards are overloaded', { a: REFUSED, b: REFUSED }, ['a', 'b'], false],
    ['is not sent to another shard after it failed', { a: FAILED }, ['a'], false],
  ])('%s', async (_name, replies, shards, isPrepared) => {
    const { shared, calledShards } = createInShards(replies)
    expect((await shared.prepare(REQUEST, NEVER)).isOk()).toBe(isPrepared)
    expect(calledShards).toEqual(shards)
  })
})

describe('stage work at another gateway', () => {
  const COORDINATOR = { name: 'gateway-b', address: '127.0.0.1:2' }

  /** Creates an error as wrapped by undici's fetch and tRPC. */
  function createError(code: string): Error {
    return new Error('call failed', { cause: new TypeError('fetch failed', { cause: Object.assign(new Error(code), { code }) }) })
  }

  async function createShared(failures: Error[]) {
    const { log } = createLog()
    const members = new Members(SELF, { heartbeat: async () => ({ version: 1, stopping: false, slow: false }) }, log, () => {})
    members.upsert({ ...COORDINATOR, announcementOrder: 0 })
    members.noteListRead()
    members.start()
    await vi.advanceTimersByTimeAsync(500)
    const calledCoordinators: string[] = []
    const peers = { prepare: async () => {
      calledCoordinators.push(COORDINATOR.name)
      const failure = failures.shift()
      if (failure)
        throw failure
      return PREPARED
    }, release: async () => {} }
    const local = { prepare: async () => {
      calledCoordinators.push(SELF.name)
      return PREPARED
    }, release: () => {} }
    return { shared: new SharedPreparer(members, local, peers, log), members, calledCoordinators }
  }

  beforeEach(() => void vi.useFakeTimers())
  afterEach(() => void vi.useRealTimers())

  test('is asked for again at the same coordinator once its connection was found to be lost', async () => {
    const { log } = createLog()
    let lostHeartbeats = 0
    const heartbeat = async () => {
      if (lostHeartbeats-- > 0)
        return await new Promise<never>((_resolve, reject) => setTimeout(() => reject(new Error('timeout')), 450))
      return { version: 1, stopping: false, slow: false }
    }
    const members = new Members(SELF, { heartbeat }, log, () => {})
    members.upsert({ ...COORDINATOR, announcementOrder: 0 })
    members.noteListRead()
    members.start()
    await vi.advanceTimersByTimeAsync(500)
    const calls: AbortSignal[] = []
    const prepare = (_member: unknown, _request: unknown, signal: AbortSignal): Promise<Preparation> => {
      calls.push(signal)
      return calls.length > 1 ? Promise.resolve(PREPARED) : new Promise((_resolve, reject) => signal.addEventListener('abort', () => reject(signal.reason)))
    }
    const shared = new SharedPreparer(members, { prepare: async () => FAILED, release: () => {} }, { prepare, release: async () => {} }, log)
    const prepared = shared.prepare(REQUEST, NEVER)
    lostHeartbeats = 2
    await vi.advanceTimersByTimeAsync(1000)
    expect((await prepared).isOk()).toBe(true)
    expect(calls.length).toBe(2)
    expect(members.coordinator.name).toBe(COORDINATOR.name)
    members.stop()
  })

  test.each([
    ['is retried at the same coordinator after a connection reset', [createError('ECONNRESET')], [COORDINATOR.name, COORDINATOR.name]],
    ['restarts at this gateway if the coordinator refuses connections', [createError('ECONNREFUSED')], [COORDINATOR.name, SELF.name]],
    ['restarts at this gateway after a second failed call', [createError('ECONNRESET'), createError('ECONNRESET')], [COORDINATOR.name, COORDINATOR.name, SELF.name]],
  ])('%s', async (_name, failures, coordinators) => {
    const { shared, members, calledCoordinators } = await createShared([...failures])
    expect((await shared.prepare(REQUEST, NEVER)).isOk()).toBe(true)
    expect(calledCoordinators).toEqual(coordinators)
    expect(members.coordinator.name).toBe(coordinators.at(-1))
    members.stop()
  })
})

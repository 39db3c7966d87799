/**
 * What callers saw: after all gateways of a large deployment had lost power,
 * two of three requests were refused for two and a half seconds, though the
 * stage backend servers were all there.
 * Order of events: fifty gateways become ready within a second; each is sent
 * requests before any other gateway has answered its first heartbeat, counts
 * itself as the coordinator, and calls the stage backend servers for them.
 * Cause: a gateway that has heard nobody yet acted as one that is alone.
 * Evidence: the calls of a replay by caller: 86 of 184 in half a second came
 * from such gateways, for 132 of 744 items; the shards' coordinators, with the
 * rest, refused 250 of 300 requests.
 */
import type { HeartbeatReply, Preparer } from '@eidermast/gateway'
import { Acquaintance, Members, SharedPreparer } from '@eidermast/gateway'
import { Ok } from 'ts-results-es'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createLog } from './support/fakes.js'
import { createStageRequest, NEVER } from './support/stage-coordinator.js'

const SELF = { name: 'gateway-b', address: 'gateway-b' }
const OTHER = { name: 'gateway-a', address: 'gateway-a', announcementOrder: 1 }
const ALIVE: HeartbeatReply = { version: 1, stopping: false, slow: false }
const PREPARED = Ok({ handles: ['handle'], failureDomain: 'zone-a', bytes: 1 })
/** Milliseconds. */
const ANSWER_MS = 100
const LONGEST_ANSWER_WAIT_MS = 600
const LONGEST_LIST_WAIT_MS = 1500

/** A gateway that starts; `heartbeat` is how others answer it. */
function createStarting(heartbeat: () => Promise<HeartbeatReply>) {
  const { log } = createLog()
  const members = new Members(SELF, { heartbeat }, log, () => {})
  const asked: string[] = []
  const local: Preparer = {
    prepare: async () => {
      asked.push('itself')
      return PREPARED
    },
    release: () => {},
  }
  const peers = {
    prepare: async () => {
      asked.push('the other')
      return PREPARED
    },
    release: async () => {},
  }
  return { members, asked, preparer: new SharedPreparer(members, local, peers, log) }
}

const answerLate = (): Promise<HeartbeatReply> => new Promise(resolve => setTimeout(() => resolve(ALIVE), ANSWER_MS))
const refuse = (): Promise<HeartbeatReply> => Promise.reject(new Error('refused'))

beforeEach(() => void vi.useFakeTimers())
afterEach(() => void vi.useRealTimers())

describe('a request at a gateway that has just started', () => {
  test('waits again for heartbeats after the process was away, and goes to the coordinator', async () => {
    const { members, asked, preparer } = createStarting(answerLate)
    members.start()
    members.upsert(OTHER)
    members.noteListRead()
    await vi.advanceTimersByTimeAsync(2 * ANSWER_MS)
    members.meetAgain()
    const prepared = preparer.prepare(createStageRequest(), NEVER)
    // A heartbeat of before is answered now.
    await vi.advanceTimersByTimeAsync(ANSWER_MS - 10)
    expect(asked).toEqual([])
    await vi.advanceTimersByTimeAsync(ANSWER_MS)
    await prepared
    expect(asked).toEqual(['the other'])
    members.stop()
  })

  test('waits for the first heartbeats and goes to the coordinator', async () => {
    const { members, asked, preparer } = createStarting(answerLate)
    members.start()
    const prepared = preparer.prepare(createStageRequest(), NEVER)
    // Later than others would have answered: the directory is read late where all start together.
    await vi.advanceTimersByTimeAsync(LONGEST_ANSWER_WAIT_MS + 100)
    members.upsert(OTHER)
    members.noteListRead()
    await vi.advanceTimersByTimeAsync(ANSWER_MS + 10)
    await prepared
    expect(asked).toEqual(['the other'])
    members.stop()
  })

  test('does not wait longer where the others refuse', async () => {
    const { members, asked, preparer } = createStarting(refuse)
    members.start()
    members.upsert(OTHER)
    members.noteListRead()
    const prepared = preparer.prepare(createStageRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(10)
    await prepared
    expect(asked).toEqual(['itself'])
    members.stop()
  })

  test('waits for nobody where no other gateway is listed', async () => {
    const { members, asked, preparer } = createStarting(refuse)
    members.start()
    members.noteListRead()
    await preparer.prepare(createStageRequest(), NEVER)
    expect(asked).toEqual(['itself'])
    members.stop()
  })

  test('waits a limited time where the directory cannot be read', async () => {
    const { members, asked, preparer } = createStarting(refuse)
    members.start()
    const prepared = preparer.prepare(createStageRequest(), NEVER)
    await vi.advanceTimersByTimeAsync(LONGEST_LIST_WAIT_MS - 200)
    expect(asked).toEqual([])
    await vi.advanceTimersByTimeAsync(400)
    await prepared
    expect(asked).toEqual(['itself'])
    members.stop()
  })

  test('later on, waits for nothing, however many gateways fail', async () => {
    const { members, asked, preparer } = createStarting(refuse)
    members.start()
    await vi.advanceTimersByTimeAsync(LONGEST_LIST_WAIT_MS + 200)
    members.upsert(OTHER)
    await preparer.prepare(createStageRequest(), NEVER)
    expect(asked).toEqual(['itself'])
    members.stop()
  })
})

describe('the first contact with other gateways', () => {
  test.each<[string, number | undefined, { tried: boolean[], now: number }, boolean]>([
    ['goes on while the directory is not read', undefined, { tried: [], now: 1000 }, false],
    ['is over after the longest wait for the directory', undefined, { tried: [], now: LONGEST_LIST_WAIT_MS }, true],
    ['goes on while one has not shown anything', 1000, { tried: [true, false], now: 1100 }, false],
    ['is over when each has answered or failed to', 1000, { tried: [true, true], now: 1100 }, true],
    ['is over after the longest wait for answers', 1000, { tried: [false], now: 1000 + LONGEST_ANSWER_WAIT_MS }, true],
  ])('%s', (_name, listReadAt, signs, isOver) => {
    const acquaintance = new Acquaintance()
    acquaintance.begin(0)
    if (listReadAt !== undefined)
      acquaintance.noteListRead(listReadAt)
    acquaintance.look(signs)
    expect(acquaintance.isOver).toBe(isOver)
  })
})

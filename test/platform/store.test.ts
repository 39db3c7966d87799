import type { KeyedRecord, TopicSink } from '@eidermast/gateway'
import { wait } from '@eidermast/common'
import { directoryPauseMs, maxReadWaitMs, pauseAfterChangesMs, READ_MARGIN_MS, TopicFollower, usableAfterReturnMs } from '@eidermast/gateway'
import { encodeRecord, PlatformLog, readRecords, StoreClient, StoreCrashLedger } from '@eidermast/platform'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createLog } from '../gateway/support/fakes.js'
import { StandInStore, StoreFault } from './support/stand-in-store.js'
import { StoreProxy } from './support/store-proxy.js'

const TOPIC = 'keyed.op'
let store: StandInStore
let storeAddress: string
let client: StoreClient
let abortController: AbortController
let received: string[]
let following: Promise<void>

function follow(options: Pick<TopicSink, 'pauseMs' | 'waitMs' | 'upToDate'> = {}): void {
  const record = ({ key, value }: KeyedRecord): void => void received.push(`${key}=${value.toString()}`)
  const sink = { snapshot: (records: KeyedRecord[]) => records.forEach(record), record, ...options }
  following = new TopicFollower(client, TOPIC, sink, new PlatformLog(createLog().log)).follow(abortController.signal)
}

/** Writes a record, follows the topic and waits until the record has been delivered. */
async function followFromFirstRecord(): Promise<void> {
  store.put(TOPIC, 'config', 'one')
  follow()
  await vi.waitFor(() => expect(received).toEqual(['config=one']))
}

beforeEach(async () => {
  store = new StandInStore()
  storeAddress = await store.start()
  client = new StoreClient(storeAddress)
  abortController = new AbortController()
  received = []
  following = Promise.resolve()
})

afterEach(async () => {
  abortController.abort()
  await store.stop()
  await following
})

describe('following a topic', () => {
  test('tells until when its records are known, from the latest records and from reads without records', async () => {
    const startedAt = performance.now()
    const known: number[] = []
    follow({ waitMs: 50, upToDate: asOf => known.push(asOf) })
    await vi.waitFor(() => expect(known.length).toBeGreaterThan(2))
    expect(known[0]).toBeGreaterThanOrEqual(startedAt)
    expect(known).toEqual([...known].sort((left, right) => left - right))
    expect(known.at(-1)).toBeLessThanOrEqual(performance.now())
  })

  test('waits for records again after a refresh that brought some', async () => {
    const reads: (number | undefined)[] = []
    const read = client.read.bind(client)
    vi.spyOn(client, 'read').mockImplementation((topic, offset, signal, waitMs) => {
      reads.push(waitMs)
      return read(topic, offset, signal, waitMs)
    })
    const follower = new TopicFollower(client, TOPIC, { snapshot: () => {}, record: ({ value }) => void received.push(value.toString()), waitMs: 5000 }, new PlatformLog(createLog().log))
    following = follower.follow(abortController.signal)
    await vi.waitFor(() => expect(reads.length).toBeGreaterThan(0))
    store.fault = StoreFault.Hanging
    await wait(300)
    store.fault = StoreFault.None
    store.put(TOPIC, 'config', 'one')
    const before = reads.length
    follower.refresh()
    await vi.waitFor(() => expect(reads.length).toBeGreaterThan(before + 1))
    expect(received).toEqual(['one'])
    expect(reads.slice(before, before + 2)).toEqual([0, 5000])
  })

  test('does not know its records while the store does not answer', async () => {
    const upToDate = vi.fn()
    follow({ waitMs: 50, upToDate })
    await vi.waitFor(() => expect(upToDate).toHaveBeenCalled())
    store.fault = StoreFault.Hanging
    const hangingSince = performance.now()
    await wait(400)
    expect(upToDate.mock.calls.at(-1)![0]).toBeLessThan(hangingSince + 50)
  })

  test('delivers the latest record of each key, then every further record', async () => {
    store.put(TOPIC, 'config', 'one')
    store.put(TOPIC, 'config', 'two')
    follow()
    await vi.waitFor(() => expect(received).toEqual(['config=two']))
    store.put(TOPIC, 'config', 'three')
    await vi.waitFor(() => expect(received).toEqual(['config=two', 'config=three']))
  })

  test.each([
    ['before offsets are reused', 0],
    ['when offsets are reused', 3],
  ])('starts again if the store was restored from an older snapshot, %s', async (_when, writes) => {
    await followFromFirstRecord()
    store.takeSnapshot()
    for (const value of ['two', 'three', 'four'])
      store.put(TOPIC, 'config', value)
    await vi.waitFor(() => expect(received.at(-1)).toBe('config=four'))
    received.length = 0
    store.restoreSnapshot()
    for (let write = 0; write < writes; write++)
      store.put(TOPIC, `key-${write}`, 'again')
    await vi.waitFor(() => expect(received).toContain('config=one'))
    expect(received).toEqual(['config=one', ...Array.from({ length: writes }, (_, write) => `key-${write}=again`)])
    store.put(TOPIC, 'config', 'five')
    await vi.waitFor(() => expect(received.at(-1)).toBe('config=five'))
  })

  test.each([StoreFault.Busy, StoreFault.Reset, StoreFault.Truncated])('resumes after the store fault "%s" without losing or repeating a record', async (fault) => {
    await followFromFirstRecord()
    store.fault = fault
    store.put(TOPIC, 'config', 'two')
    await wait(300)
    store.fault = StoreFault.None
    store.put(TOPIC, 'config', 'three')
    await vi.waitFor(() => expect(received).toEqual(['config=one', 'config=two', 'config=three']), { timeout: 5000 })
  })

  test('detects within a few seconds that a hanging store lost a read', async () => {
    await followFromFirstRecord()
    store.fault = StoreFault.Hanging
    await wait(300)
    store.fault = StoreFault.None
    store.put(TOPIC, 'config', 'two')
    await vi.waitFor(() => expect(received).toEqual(['config=one', 'config=two']), { timeout: 4500 })
  })

  test('pauses after a read that returned records if the sink requests it, and loses none', async () => {
    follow({ pauseMs: 400 })
    await vi.waitFor(() => expect(store.calls).toBeGreaterThan(1))
    store.put(TOPIC, 'first', '1')
    await vi.waitFor(() => expect(received).toEqual(['first=1']))
    const calls = store.calls
    for (const key of ['second', 'third', 'fourth']) {
      store.put(TOPIC, key, '1')
      await wait(20)
    }
    await vi.waitFor(() => expect(received).toHaveLength(4))
    expect(store.calls - calls).toBeLessThanOrEqual(2)
  })

  test('of crash reports reads those that several gateways write at the same time together', async () => {
    const bounds = { contactMs: 3000, configurationMs: 4000, drainMs: 4000, evacuationMs: 5000 }
    const owners: string[] = []
    const sink = { replaceAll: () => {}, applyReports: (owner: string) => void owners.push(owner) }
    following = new StoreCrashLedger(client, new PlatformLog(createLog().log), bounds).follow(sink, { receivesPeerUpdates: false, updatesPeers: true, onUpdatingPeers: () => {}, count: 4 }, abortController.signal)
    await vi.waitFor(() => expect(store.calls).toBeGreaterThan(1))
    const calls = store.calls
    for (const owner of ['a', 'b', 'c', 'd']) {
      store.put('keyed.eidermast-crashes', owner, { crashes: [], answers: [] })
      await wait(20)
    }
    await vi.waitFor(() => expect(owners).toHaveLength(4))
    expect(store.calls - calls).toBeLessThanOrEqual(2)
  })

  test('starts again with the latest records if the history was deleted', async () => {
    await followFromFirstRecord()
    store.fault = StoreFault.Busy
    await wait(250)
    store.put(TOPIC, 'config', 'two')
    store.put(TOPIC, 'config', 'three')
    store.deleteHistory(TOPIC)
    store.fault = StoreFault.None
    await vi.waitFor(() => expect(received.at(-1)).toBe('config=three'), { timeout: 5000 })
  })

  test('delivers changes made between two pages of the latest records, and never an older record after a newer one', async () => {
    store.pageSize = 1
    store.put(TOPIC, 'first', 'one')
    store.put(TOPIC, 'second', 'one')
    store.put(TOPIC, 'second', 'two')
    let isFirstPage = true
    store.onPage = () => {
      if (isFirstPage) {
        store.put(TOPIC, 'first', 'two')
        store.put(TOPIC, 'second', 'three')
      }
      isFirstPage = false
    }
    follow()
    await vi.waitFor(() => expect(received).toContain('first=two'))
    await wait(100)
    expect(received).toEqual(['first=one', 'second=three', 'first=two'])
  })

  test('detects the recovery of a store that hung for more than one read, within the read margin and a retry delay', async () => {
    await followFromFirstRecord()
    store.fault = StoreFault.Hanging
    await wait(3200)
    store.fault = StoreFault.None
    store.put(TOPIC, 'config', 'two')
    const returnedAt = performance.now()
    await vi.waitFor(() => expect(received).toEqual(['config=one', 'config=two']), { timeout: 6000 })
    expect(performance.now() - returnedAt).toBeLessThan(READ_MARGIN_MS + 800)
  })

  test('uses new connections after a call that timed out, because the open ones may be dead too', async () => {
    const proxy = new StoreProxy(storeAddress)
    client = new StoreClient(await proxy.start())
    store.put(TOPIC, 'config', 'one')
    // Concurrent calls leave more than one connection open.
    await Promise.all([1, 2, 3].map(() => client.readLatest(TOPIC)))
    proxy.stallOpenConnections()
    await expect(client.read(TOPIC, 0, abortController.signal, 0)).rejects.toThrow('timeout')
    const calledAt = performance.now()
    expect((await client.read(TOPIC, 0, abortController.signal, 0)).records).toHaveLength(1)
    expect(performance.now() - calledAt).toBeLessThan(READ_MARGIN_MS / 2)
    proxy.stop()
  })

  test('limits the rate of calls to a store that rejects them', async () => {
    store.fault = StoreFault.Busy
    follow()
    await wait(1500)
    expect(store.calls).toBeLessThanOrEqual(12)
    expect(store.calls).toBeGreaterThan(1)
  })
})

describe('the maximum wait of a read', () => {
  test.each([
    ['a small site', 3000, 2000, 2000],
    ['a grown site', 4000, 3000, 3000],
    ['a site with a shorter drain bound', 3000, 2000, 500],
  ])('lets changes that a lost read missed take effect in time on %s', (_name, contact, configuration, drain) => {
    const bounds = { contactMs: contact, configurationMs: configuration, drainMs: drain, evacuationMs: 5000 }
    const withUpdatesMs = maxReadWaitMs(bounds, true)
    expect(withUpdatesMs).toBeGreaterThanOrEqual(1000)
    expect(withUpdatesMs + READ_MARGIN_MS + 300).toBeLessThan(contact + Math.min(configuration, drain))
    const withoutUpdatesMs = maxReadWaitMs(bounds, false)
    expect(withoutUpdatesMs).toBeGreaterThanOrEqual(1000)
    expect(withoutUpdatesMs + READ_MARGIN_MS + 300).toBeLessThan(Math.max(contact, Math.min(configuration, drain)))
  })

  test('stops the use of removed entries before the contact bound ends', () => {
    expect(usableAfterReturnMs({ contactMs: 3000, configurationMs: 2000, drainMs: 2000, evacuationMs: 5000 })).toBeLessThan(3000)
  })
})

describe('the pause after changes', () => {
  const BOUNDS = { contactMs: 5000, configurationMs: 4000, drainMs: 4000, evacuationMs: 5000 }

  test.each([
    ['zero at the coordinator, which updates the others', BOUNDS, { updatesPeers: true, count: 70 }, 0],
    ['one second for few gateways', BOUNDS, { updatesPeers: false, count: 4 }, 1000],
    ['longer for more gateways', BOUNDS, { updatesPeers: false, count: 50 }, 1500],
    ['at most half of the drain bound', BOUNDS, { updatesPeers: false, count: 400 }, 2000],
    ['one second if the drain bound is short', { ...BOUNDS, drainMs: 1000 }, { updatesPeers: false, count: 400 }, 1000],
  ])('of the backend server list is %s', (_name, bounds, peers, pauseMs) => {
    expect(pauseAfterChangesMs(bounds, peers)).toBe(pauseMs)
  })

  test('limits the total call rate of all gateways, whatever their number', () => {
    const callsASecond = (gateways: number): number => gateways * 1000 / directoryPauseMs(gateways, 60_000)
    expect([10, 70, 400].map(callsASecond).every(calls => calls < 34)).toBe(true)
  })

  test('of the member directory is short while a gateway starts, so that gateways that start together discover each other', () => {
    expect(directoryPauseMs(400, 0)).toBe(400)
  })
})

describe('records', () => {
  test.each([
    ['an empty value', 'key', ''],
    ['a large value', 'key', 'x'.repeat(70_000)],
    ['a non-ASCII key', 'schlüssel', 'value'],
  ])('are decoded as they were encoded, with %s', (_name, key, value) => {
    const bytes = Buffer.concat([Buffer.alloc(16), encodeRecord({ key, value: Buffer.from(value) })])
    expect(readRecords(bytes).map(record => [record.key, record.value.toString()])).toEqual([[key, value]])
  })

  test.each([1, 3, 6])('truncated by %i bytes are an error, not a shorter record', (missing) => {
    const bytes = Buffer.concat([Buffer.alloc(16), encodeRecord({ key: 'key', value: Buffer.from('value') })])
    expect(() => readRecords(bytes.subarray(0, bytes.length - missing))).toThrow('truncated record')
  })
})

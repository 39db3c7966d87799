import type { KeyedRecord, TopicSink } from '@eidermast/gateway'
import { wait } from '@eidermast/common'
import { directoryPauseMs, maxReadWaitMs, pauseAfterChangesMs, READ_MARGIN_MS, TopicFollower, usableAfterReturnMs } from '@eidermast/gateway'
import { encodeRecord, PlatformLog, readRecords, StoreClient } from '@eidermast/platform'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createLog } from '../gateway/support/fakes.js'
import { StandInStore, StoreFault } from './support/stand-in-store.js'
import { StoreProxy } from './support/store-proxy.js'

const TOPIC = 'keyed.op'
let store: StandInStore
let storeAddress: string
let client: StoreClient
let ending: AbortController
let seen: string[]
let following: Promise<void>

function follow(options: Pick<TopicSink, 'pauseMs'> = {}): void {
  const record = ({ key, value }: KeyedRecord): void => void seen.push(`${key}=${value.toString()}`)
  const sink = { snapshot: (records: KeyedRecord[]) => records.forEach(record), record, ...options }
  following = new TopicFollower(client, TOPIC, sink, new PlatformLog(createLog().log)).follow(ending.signal)
}

/** Follows the topic, whose first record has been seen when this resolves. */
async function followFromFirstRecord(): Promise<void> {
  store.put(TOPIC, 'config', 'one')
  follow()
  await vi.waitFor(() => expect(seen).toEqual(['config=one']))
}

beforeEach(async () => {
  store = new StandInStore()
  storeAddress = await store.start()
  client = new StoreClient(storeAddress)
  ending = new AbortController()
  seen = []
  following = Promise.resolve()
})

afterEach(async () => {
  ending.abort()
  await store.stop()
  await following
})

describe('following a topic', () => {
  test('starts with the newest record of each key and goes on with each further one', async () => {
    store.put(TOPIC, 'config', 'one')
    store.put(TOPIC, 'config', 'two')
    follow()
    await vi.waitFor(() => expect(seen).toEqual(['config=two']))
    store.put(TOPIC, 'config', 'three')
    await vi.waitFor(() => expect(seen).toEqual(['config=two', 'config=three']))
  })

  test.each([
    ['before its offsets are reused', 0],
    ['after its offsets are reused', 3],
  ])('starts again if the store was restored from an older snapshot, %s', async (_when, writes) => {
    await followFromFirstRecord()
    store.takeSnapshot()
    for (const value of ['two', 'three', 'four'])
      store.put(TOPIC, 'config', value)
    await vi.waitFor(() => expect(seen.at(-1)).toBe('config=four'))
    seen.length = 0
    store.restoreSnapshot()
    for (let write = 0; write < writes; write++)
      store.put(TOPIC, `key-${write}`, 'again')
    await vi.waitFor(() => expect(seen).toContain('config=one'))
    expect(seen).toEqual(['config=one', ...Array.from({ length: writes }, (_, write) => `key-${write}=again`)])
    store.put(TOPIC, 'config', 'five')
    await vi.waitFor(() => expect(seen.at(-1)).toBe('config=five'))
  })

  test.each([StoreFault.Busy, StoreFault.Reset, StoreFault.Cut])('resumes after the store was %s, without missing or duplicate records', async (fault) => {
    await followFromFirstRecord()
    store.fault = fault
    store.put(TOPIC, 'config', 'two')
    await wait(300)
    store.fault = StoreFault.None
    store.put(TOPIC, 'config', 'three')
    await vi.waitFor(() => expect(seen).toEqual(['config=one', 'config=two', 'config=three']), { timeout: 5000 })
  })

  test('detects within some seconds that a read was lost while the store was silent', async () => {
    await followFromFirstRecord()
    store.fault = StoreFault.Silent
    await wait(300)
    store.fault = StoreFault.None
    store.put(TOPIC, 'config', 'two')
    await vi.waitFor(() => expect(seen).toEqual(['config=one', 'config=two']), { timeout: 4500 })
  })

  test('pauses after a read that returned records if the sink asks for it, and misses none', async () => {
    follow({ pauseMs: 400 })
    await vi.waitFor(() => expect(store.calls).toBeGreaterThan(1))
    store.put(TOPIC, 'first', '1')
    await vi.waitFor(() => expect(seen).toEqual(['first=1']))
    const calls = store.calls
    for (const key of ['second', 'third', 'fourth']) {
      store.put(TOPIC, key, '1')
      await wait(20)
    }
    await vi.waitFor(() => expect(seen).toHaveLength(4))
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
    await vi.waitFor(() => expect(seen.at(-1)).toBe('config=three'), { timeout: 5000 })
  })

  test('misses no change between two pages of the latest records, and delivers no older record after a newer one', async () => {
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
    await vi.waitFor(() => expect(seen).toContain('first=two'))
    await wait(100)
    expect(seen).toEqual(['first=one', 'second=three', 'first=two'])
  })

  test('detects the recovery of a store that was silent for more than one read within one read margin and one backoff', async () => {
    await followFromFirstRecord()
    store.fault = StoreFault.Silent
    await wait(3200)
    store.fault = StoreFault.None
    store.put(TOPIC, 'config', 'two')
    const returnedAt = performance.now()
    await vi.waitFor(() => expect(seen).toEqual(['config=one', 'config=two']), { timeout: 6000 })
    expect(performance.now() - returnedAt).toBeLessThan(READ_MARGIN_MS + 800)
  })

  test('opens new connections after a call timed out, because the open ones may be dead too', async () => {
    const line = new StoreProxy(storeAddress)
    client = new StoreClient(await line.start())
    store.put(TOPIC, 'config', 'one')
    // Concurrent reads leave more than one connection open.
    await Promise.all([1, 2, 3].map(() => client.readLatest(TOPIC)))
    line.silenceOpenConnections()
    await expect(client.read(TOPIC, 0, ending.signal, 0)).rejects.toThrow('timeout')
    const calledAt = performance.now()
    expect((await client.read(TOPIC, 0, ending.signal, 0)).records).toHaveLength(1)
    expect(performance.now() - calledAt).toBeLessThan(READ_MARGIN_MS / 2)
    line.stop()
  })

  test('backs off from a store that refuses calls', async () => {
    store.fault = StoreFault.Busy
    follow()
    await wait(1500)
    expect(store.calls).toBeLessThanOrEqual(12)
    expect(store.calls).toBeGreaterThan(1)
  })
})

describe('the maximum wait of a read', () => {
  test.each([
    ['small sites', 3000, 2000, 2000],
    ['grown sites', 4000, 3000, 3000],
    ['a bound that is shorter', 3000, 2000, 500],
  ])('lets what a lost read hid be in force in time on %s', (_name, contact, configuration, drain) => {
    const bounds = { contactMs: contact, configurationMs: configuration, drainMs: drain, evacuationMs: 5000 }
    const toldMs = maxReadWaitMs(bounds, true)
    expect(toldMs).toBeGreaterThanOrEqual(1000)
    expect(toldMs + READ_MARGIN_MS + 300).toBeLessThan(contact + Math.min(configuration, drain))
    const aloneMs = maxReadWaitMs(bounds, false)
    expect(aloneMs).toBeGreaterThanOrEqual(1000)
    expect(aloneMs + READ_MARGIN_MS + 300).toBeLessThan(Math.max(contact, Math.min(configuration, drain)))
  })

  test('ends the use of removed entries before a gateway must be connected again', () => {
    expect(usableAfterReturnMs({ contactMs: 3000, configurationMs: 2000, drainMs: 2000, evacuationMs: 5000 })).toBeLessThan(3000)
  })
})

describe('the pause after changes', () => {
  const BOUNDS = { contactMs: 5000, configurationMs: 4000, drainMs: 4000, evacuationMs: 5000 }

  test.each([
    ['none at the coordinator, which updates the others', BOUNDS, { receivesPeerUpdates: false, count: 70 }, 0],
    ['a second if there are few gateways', BOUNDS, { receivesPeerUpdates: true, count: 4 }, 1000],
    ['longer if there are more', BOUNDS, { receivesPeerUpdates: true, count: 50 }, 1500],
    ['at most half of the drain bound', BOUNDS, { receivesPeerUpdates: true, count: 400 }, 2000],
    ['a second if the drain bound is short', { ...BOUNDS, drainMs: 1000 }, { receivesPeerUpdates: true, count: 400 }, 1000],
  ])('of the list of backend servers is %s', (_name, bounds, peers, pauseMs) => {
    expect(pauseAfterChangesMs(bounds, peers)).toBe(pauseMs)
  })

  test('limits the calls of all gateways together, regardless of their number', () => {
    const callsASecond = (gateways: number): number => gateways * 1000 / directoryPauseMs(gateways, 60_000)
    expect([10, 70, 400].map(callsASecond).every(calls => calls < 34)).toBe(true)
  })

  test('of the directory is short while a gateway starts, so that gateways that start together soon know each other', () => {
    expect(directoryPauseMs(400, 0)).toBe(400)
  })
})

describe('records', () => {
  test.each([
    ['an empty value', 'key', ''],
    ['a value of many bytes', 'key', 'x'.repeat(70_000)],
    ['a key that is not ASCII', 'schlüssel', 'value'],
  ])('are read as they were written, with %s', (_name, key, value) => {
    const bytes = Buffer.concat([Buffer.alloc(16), encodeRecord({ key, value: Buffer.from(value) })])
    expect(readRecords(bytes).map(record => [record.key, record.value.toString()])).toEqual([[key, value]])
  })

  test.each([1, 3, 6])('that are truncated by %i bytes are an error, not a shorter record', (missing) => {
    const bytes = Buffer.concat([Buffer.alloc(16), encodeRecord({ key: 'key', value: Buffer.from('value') })])
    expect(() => readRecords(bytes.subarray(0, bytes.length - missing))).toThrow('cut')
  })
})

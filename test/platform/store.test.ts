import type { KeyedRecord, TopicSink } from '@eidermast/gateway'
import { wait } from '@eidermast/common'
import { directoryPauseMs, maxReadWaitMs, pauseAfterChangesMs, READ_MARGIN_MS, TopicFollower, usableAfterReturnMs } from '@eidermast/gateway'
import { encodeRecord, PlatformLog, readRecords, StoreClient } from '@eidermast/platform'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createLog } from '../gateway/support/fakes.js'
import { StandInStore, StoreFault } from './support/stand-in-store.js'
import { StoreLine } from './support/store-line.js'

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
    ['before its offsets are given out again', 0],
    ['when its offsets are given out again', 3],
  ])('begins anew where the store came back from an older copy, %s', async (_when, writes) => {
    await followFromFirstRecord()
    store.keepCopy()
    for (const value of ['two', 'three', 'four'])
      store.put(TOPIC, 'config', value)
    await vi.waitFor(() => expect(seen.at(-1)).toBe('config=four'))
    seen.length = 0
    store.comeBackFromCopy()
    for (let write = 0; write < writes; write++)
      store.put(TOPIC, `key-${write}`, 'again')
    await vi.waitFor(() => expect(seen).toContain('config=one'))
    expect(seen).toEqual(['config=one', ...Array.from({ length: writes }, (_, write) => `key-${write}=again`)])
    store.put(TOPIC, 'config', 'five')
    await vi.waitFor(() => expect(seen.at(-1)).toBe('config=five'))
  })

  test.each([StoreFault.Busy, StoreFault.Reset, StoreFault.Cut])('resumes after a store that is %s, without a lost or a repeated record', async (fault) => {
    await followFromFirstRecord()
    store.fault = fault
    store.put(TOPIC, 'config', 'two')
    await wait(300)
    store.fault = StoreFault.None
    store.put(TOPIC, 'config', 'three')
    await vi.waitFor(() => expect(seen).toEqual(['config=one', 'config=two', 'config=three']), { timeout: 5000 })
  })

  test('notices within some seconds that a read was lost by a store that was silent', async () => {
    await followFromFirstRecord()
    store.fault = StoreFault.Silent
    await wait(300)
    store.fault = StoreFault.None
    store.put(TOPIC, 'config', 'two')
    await vi.waitFor(() => expect(seen).toEqual(['config=one', 'config=two']), { timeout: 4500 })
  })

  test('rests after a read that brought records where the sink asks for it, and misses none', async () => {
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

  test('starts again with the newest records when the history is gone', async () => {
    await followFromFirstRecord()
    store.fault = StoreFault.Busy
    await wait(250)
    store.put(TOPIC, 'config', 'two')
    store.put(TOPIC, 'config', 'three')
    store.dropHistory(TOPIC)
    store.fault = StoreFault.None
    await vi.waitFor(() => expect(seen.at(-1)).toBe('config=three'), { timeout: 5000 })
  })

  test('misses nothing that changes between two pages of the newest records, and takes nothing older after newer', async () => {
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

  test('notices the return of a store that was silent for more than one read within a margin and a pause', async () => {
    await followFromFirstRecord()
    store.fault = StoreFault.Silent
    await wait(3200)
    store.fault = StoreFault.None
    store.put(TOPIC, 'config', 'two')
    const returnedAt = performance.now()
    await vi.waitFor(() => expect(seen).toEqual(['config=one', 'config=two']), { timeout: 6000 })
    expect(performance.now() - returnedAt).toBeLessThan(READ_MARGIN_MS + 800)
  })

  test('opens connections anew after a call that ran out of time: those that were open may be silent too', async () => {
    const line = new StoreLine(storeAddress)
    client = new StoreClient(await line.start())
    store.put(TOPIC, 'config', 'one')
    // Reads that end together leave more than one connection open.
    await Promise.all([1, 2, 3].map(() => client.readLatest(TOPIC)))
    line.silenceOpenConnections()
    await expect(client.read(TOPIC, 0, ending.signal, 0)).rejects.toThrow('timeout')
    const calledAt = performance.now()
    expect((await client.read(TOPIC, 0, ending.signal, 0)).records).toHaveLength(1)
    expect(performance.now() - calledAt).toBeLessThan(READ_MARGIN_MS / 2)
    line.stop()
  })

  test('seldom calls a store that refuses', async () => {
    store.fault = StoreFault.Busy
    follow()
    await wait(1500)
    expect(store.calls).toBeLessThanOrEqual(12)
    expect(store.calls).toBeGreaterThan(1)
  })
})

describe('the wait of a read', () => {
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

  test('ends the use of entries that went before a gateway is in touch again', () => {
    expect(usableAfterReturnMs({ contactMs: 3000, configurationMs: 2000, drainMs: 2000, evacuationMs: 5000 })).toBeLessThan(3000)
  })
})

describe('the rest after changes', () => {
  const BOUNDS = { contactMs: 5000, configurationMs: 4000, drainMs: 4000, evacuationMs: 5000 }

  test.each([
    ['none at the coordinator, which the others hear', BOUNDS, { receivesPeerUpdates: false, count: 70 }, 0],
    ['a second where there are few gateways', BOUNDS, { receivesPeerUpdates: true, count: 4 }, 1000],
    ['longer the more there are', BOUNDS, { receivesPeerUpdates: true, count: 50 }, 1500],
    ['no longer than half of the time in which a leaving must take effect', BOUNDS, { receivesPeerUpdates: true, count: 400 }, 2000],
    ['a second where that time is short', { ...BOUNDS, drainMs: 1000 }, { receivesPeerUpdates: true, count: 400 }, 1000],
  ])('of the list of backend servers is %s', (_name, bounds, peers, restMs) => {
    expect(pauseAfterChangesMs(bounds, peers)).toBe(restMs)
  })

  test('keeps the calls of all gateways together in bounds, however many there are', () => {
    const callsASecond = (gateways: number): number => gateways * 1000 / directoryPauseMs(gateways, 60_000)
    expect([10, 70, 400].map(callsASecond).every(calls => calls < 34)).toBe(true)
  })

  test('of the directory is short while a gateway starts, so that those that start together know each other', () => {
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

  test.each([1, 3, 6])('that are cut by %i bytes are an error, not a shorter record', (missing) => {
    const bytes = Buffer.concat([Buffer.alloc(16), encodeRecord({ key: 'key', value: Buffer.from('value') })])
    expect(() => readRecords(bytes.subarray(0, bytes.length - missing))).toThrow('cut')
  })
})

/**
 * Guards against invalid entries in the backend server list, written by another
 * process: without validation, requests would be sent to an invalid address, or
 * all entries read in the same batch would be lost.
 */
import type { BackendRecord } from '@eidermast/gateway'
import { Buffer } from 'node:buffer'
import { BackendList, BackendRegistry } from '@eidermast/gateway'
import { PlatformLog, StoreBackendSource, StoreClient } from '@eidermast/platform'
import * as fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { createLog } from '../gateway/support/fakes.js'
import { StandInStore } from './support/stand-in-store.js'

const TOPIC = 'keyed.servers'
const BOUNDS = { contactMs: 3000, configurationMs: 2000, drainMs: 2000, evacuationMs: 5000 }
const NO_PEERS = { receivesPeerUpdates: false, updatesPeers: true, onUpdatingPeers: () => {}, count: 1 }
const ENTRY = { Service: 'plain', Address: '127.0.0.1:9000', Zone: 'zone-a', Version: 'v1', Capacity: 4, State: 'ready', ColdRemainingMs: 0, Sequence: 1, born: 1_700_000_000_000 }
/** Levels of arrays, which overflow the stack of a recursive reader. */
const DEEP = 100_000
const FIELDS = ['Service', 'Address', 'Zone', 'Capacity', 'State', 'born'] as const

let store: StandInStore
let abortController: AbortController
let registry: BackendRegistry
let lines: ReturnType<typeof createLog>['lines']

beforeEach(async () => {
  store = new StandInStore()
  abortController = new AbortController()
  const created = createLog()
  lines = created.lines
  registry = new BackendRegistry(created.log)
  const source = new StoreBackendSource(new StoreClient(await store.start()), new PlatformLog(created.log), BOUNDS)
  void source.follow(new BackendList(registry, created.log), NO_PEERS, abortController.signal)
})

afterEach(async () => {
  abortController.abort()
  await store.stop()
})

const availableIds = (): string[] => registry.available('plain').map(({ id }) => id).sort()

/** Writes a valid entry and waits until it is available, so that all earlier records have been read. */
async function writeAndAwait(last: string): Promise<void> {
  store.put(TOPIC, last, ENTRY)
  await vi.waitFor(() => expect(availableIds()).toContain(last))
}

describe('an invalid entry', () => {
  test.each<[string, unknown]>([
    ['an unknown state', { ...ENTRY, State: 'resting' }],
    ['no address', { ...ENTRY, Address: undefined }],
    ['an invalid address', { ...ENTRY, Address: 'nowhere' }],
    ['an invalid port', { ...ENTRY, Address: '127.0.0.1:99999' }],
    ['a part of an address beyond its range', { ...ENTRY, Address: '999.0.0.1:9000' }],
    ['an address of too few parts', { ...ENTRY, Address: '127.1:9000' }],
    ['an address without digits', { ...ENTRY, Address: '....:9000' }],
    ['a capacity that is too large for a number', JSON.stringify(ENTRY).replace('"Capacity":4', '"Capacity":1e999')],
    ['a start time that is too large for a number', JSON.stringify(ENTRY).replace('"born":1700000000000', '"born":1e999')],
    ['nothing but deep nesting', '['.repeat(DEEP) + ']'.repeat(DEEP)],
    ['deep nesting in a field', JSON.stringify(ENTRY).replace('"zone-a"', '['.repeat(DEEP) + ']'.repeat(DEEP))],
    ['a capacity of another type', { ...ENTRY, Capacity: '4' }],
    ['no capacity', { ...ENTRY, Capacity: undefined }],
    ['a fractional start time', { ...ENTRY, born: 1.5 }],
    ['undecodable bytes', Buffer.from([0xFF, 0xFE, 0x00]).toString('latin1')],
    ['an array', [ENTRY]],
    ['null', null],
  ])('with %s is rejected, also if it replaces a valid one, and the other entries remain', async (_name, entry) => {
    store.put(TOPIC, 'plain-a', ENTRY)
    await writeAndAwait('plain-b')
    store.put(TOPIC, 'plain-a', entry)
    await writeAndAwait('plain-c')
    expect(availableIds()).toEqual(['plain-b', 'plain-c'])
    expect(lines.filter(({ event }) => event === 'backend-entry-rejected')).toHaveLength(1)
  })

  test('with arbitrary field values is either valid and used, or not used at all', async () => {
    const anything = fc.oneof(fc.constant(undefined), fc.jsonValue())
    const entries = fc.array(fc.record({ field: fc.constantFrom(...FIELDS), value: anything }), { minLength: 1, maxLength: 30 })
    await fc.assert(fc.asyncProperty(entries, async (changes) => {
      changes.forEach(({ field, value }, number) => store.put(TOPIC, `odd-${number}`, { ...ENTRY, Service: 'odd', [field]: value }))
      await writeAndAwait('plain-z')
      const records = ['odd', 'plain'].flatMap(service => registry.available(service)).map(({ record }) => record)
      expect(records.every(isValid)).toBe(true)
      store.put(TOPIC, 'plain-z', undefined)
      changes.forEach((_change, number) => store.put(TOPIC, `odd-${number}`, undefined))
      await vi.waitFor(() => expect(registry.size).toBe(0))
    }), { numRuns: 25, seed: 20261203 })
  }, 60_000)
})

function isValid({ service, address, failureDomain, capacity, born }: BackendRecord): boolean {
  const texts = [service, address, failureDomain]
  return texts.every(text => typeof text === 'string') && /^[\d.]+:\d+$/.test(address) && capacity > 0
    && (born === undefined || Number.isInteger(born))
}

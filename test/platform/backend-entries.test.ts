/**
 * What callers would see: another writer puts something into the list of backend
 * servers that is not of the form agreed, and work goes to an address that is
 * none, or all entries read with it are lost.
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
const ALONE = { receivesPeerUpdates: false, count: 1 }
const ENTRY = { Service: 'plain', Address: '127.0.0.1:9000', Zone: 'zone-a', Version: 'v1', Capacity: 4, State: 'ready', ColdRemainingMs: 0, Sequence: 1, born: 1_700_000_000_000 }
const FIELDS = ['Service', 'Address', 'Zone', 'Capacity', 'State', 'born'] as const

let store: StandInStore
let ending: AbortController
let registry: BackendRegistry
let lines: ReturnType<typeof createLog>['lines']

beforeEach(async () => {
  store = new StandInStore()
  ending = new AbortController()
  const created = createLog()
  lines = created.lines
  registry = new BackendRegistry(created.log)
  const source = new StoreBackendSource(new StoreClient(await store.start()), new PlatformLog(created.log), BOUNDS)
  void source.follow(new BackendList(registry, created.log), ALONE, ending.signal)
})

afterEach(async () => {
  ending.abort()
  await store.stop()
})

const used = (): string[] => registry.available('plain').map(({ id }) => id).sort()

/** Everything written so far is known. */
async function writeAndRead(last: string): Promise<void> {
  store.put(TOPIC, last, ENTRY)
  await vi.waitFor(() => expect(used()).toContain(last))
}

describe('an entry of another form', () => {
  test.each<[string, unknown]>([
    ['an unknown state', { ...ENTRY, State: 'resting' }],
    ['no address', { ...ENTRY, Address: undefined }],
    ['an address that is none', { ...ENTRY, Address: 'nowhere' }],
    ['a port that is none', { ...ENTRY, Address: '127.0.0.1:99999' }],
    ['a capacity of another type', { ...ENTRY, Capacity: '4' }],
    ['no capacity', { ...ENTRY, Capacity: undefined }],
    ['a start that is no whole number', { ...ENTRY, born: 1.5 }],
    ['bytes that cannot be read', Buffer.from([0xFF, 0xFE, 0x00]).toString('latin1')],
    ['a list', [ENTRY]],
    ['nothing', null],
  ])('with %s names no backend server, also where one was listed before, and the others hold', async (_name, entry) => {
    store.put(TOPIC, 'plain-a', ENTRY)
    await writeAndRead('plain-b')
    store.put(TOPIC, 'plain-a', entry)
    await writeAndRead('plain-c')
    expect(used()).toEqual(['plain-b', 'plain-c'])
    expect(lines.filter(({ event }) => event === 'backend-entry-rejected')).toHaveLength(1)
  })

  test('in whatever way it differs is used whole or not at all', async () => {
    const anything = fc.oneof(fc.constant(undefined), fc.jsonValue())
    const entries = fc.array(fc.record({ field: fc.constantFrom(...FIELDS), value: anything }), { minLength: 1, maxLength: 30 })
    await fc.assert(fc.asyncProperty(entries, async (changes) => {
      changes.forEach(({ field, value }, number) => store.put(TOPIC, `odd-${number}`, { ...ENTRY, Service: 'odd', [field]: value }))
      await writeAndRead('plain-z')
      const records = ['odd', 'plain'].flatMap(service => registry.available(service)).map(({ record }) => record)
      expect(records.every(isSound)).toBe(true)
      store.put(TOPIC, 'plain-z', undefined)
      changes.forEach((_change, number) => store.put(TOPIC, `odd-${number}`, undefined))
      await vi.waitFor(() => expect(registry.size).toBe(0))
    }), { numRuns: 25, seed: 20261203 })
  }, 60_000)
})

function isSound({ service, address, failureDomain, capacity, born }: BackendRecord): boolean {
  const texts = [service, address, failureDomain]
  return texts.every(text => typeof text === 'string') && /^[\d.]+:\d+$/.test(address) && capacity > 0
    && (born === undefined || Number.isInteger(born))
}

/**
 * Guards against malformed entries, written to the list of backend servers by
 * another program: work would be sent to an invalid address, or all entries that
 * are read together with a malformed one would be lost.
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

/** Writes a valid entry, and waits until it and everything written before is known. */
async function writeAndRead(last: string): Promise<void> {
  store.put(TOPIC, last, ENTRY)
  await vi.waitFor(() => expect(used()).toContain(last))
}

describe('a malformed entry', () => {
  test.each<[string, unknown]>([
    ['an unknown state', { ...ENTRY, State: 'resting' }],
    ['no address', { ...ENTRY, Address: undefined }],
    ['an invalid address', { ...ENTRY, Address: 'nowhere' }],
    ['an invalid port', { ...ENTRY, Address: '127.0.0.1:99999' }],
    ['a capacity of another type', { ...ENTRY, Capacity: '4' }],
    ['no capacity', { ...ENTRY, Capacity: undefined }],
    ['a start time that is not an integer', { ...ENTRY, born: 1.5 }],
    ['bytes that are not valid text', Buffer.from([0xFF, 0xFE, 0x00]).toString('latin1')],
    ['an array', [ENTRY]],
    ['null', null],
  ])('with %s lists no backend server, replaces a valid entry, and does not affect other entries', async (_name, entry) => {
    store.put(TOPIC, 'plain-a', ENTRY)
    await writeAndRead('plain-b')
    store.put(TOPIC, 'plain-a', entry)
    await writeAndRead('plain-c')
    expect(used()).toEqual(['plain-b', 'plain-c'])
    expect(lines.filter(({ event }) => event === 'backend-entry-rejected')).toHaveLength(1)
  })

  test('is never used partially, whatever is wrong with it', async () => {
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

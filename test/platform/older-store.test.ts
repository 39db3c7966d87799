/**
 * Guards against stale state after a store restore: the store is briefly down and
 * is restored from a snapshot that is some seconds old, so its offsets restart
 * below those already read. A gateway that compared offsets without the store's
 * era took new records for old ones: it kept sending to leaving backend servers
 * and ignored new ones until as many records were written as had been lost, and a
 * gateway whose announcement was lost stayed unknown to later ones. Without the
 * era the first and the last of the four tests below fail.
 */
import type { StartedGateway } from './support/in-process-gateway.js'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { startGateway } from './support/in-process-gateway.js'
import { StandInBackend } from './support/stand-in-backend.js'
import { StandInStore, StoreFault } from './support/stand-in-store.js'

const SERVER_TOPIC = 'keyed.servers'
const MEMBER_TOPIC = 'keyed.eidermast-gateways'
/** Time within which connected gateways know a change. */
const CONTACT_TIMEOUT = { timeout: 3000 }
const ROUTE = { Name: 'plain', Host: 'host.example', PathPrefix: '/plain/', Type: 'idempotent', Service: 'plain', TimeoutMs: 4000, TargetLatencyMs: 1000, MaxAttempts: 1 }

function createConfiguration(version: number): object {
  return {
    Version: version,
    Routes: [ROUTE],
    Services: [{ Name: 'plain', MaxConnections: 60 }],
    Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
  }
}

let store: StandInStore
let storeAddress: string
let gateways: StartedGateway[]
let backends: StandInBackend[]

const writeEntry = (backend: StandInBackend, state?: string): void => store.put(SERVER_TOPIC, backend.id, backend.entry(state))
/** Ids of the backend servers that accept work, for each gateway. */
const availableIds = (): string[][] => gateways.map(({ gateway }) => gateway.registry.available('plain').map(({ id }) => id).sort())

beforeEach(async () => {
  store = new StandInStore()
  storeAddress = await store.start()
  backends = ['a', 'b', 'c'].map(name => new StandInBackend(`plain-${name}`, 'plain'))
  await Promise.all(backends.map(backend => backend.start()))
  store.put('keyed.op', 'config', createConfiguration(3))
  writeEntry(backends[0])
  writeEntry(backends[1])
  gateways = [await startGateway('gateway-0', storeAddress)]
  await vi.waitFor(() => expect(store.newestOf(MEMBER_TOPIC).has('gateway-0')).toBe(true))
})

afterEach(async () => {
  await Promise.all(gateways.map(({ gateway }) => gateway.close()))
  await Promise.all([store.stop(), ...backends.map(backend => backend.stop())])
})

/** Takes a snapshot of the store, then writes many records and starts a second gateway. */
async function writeAfterSnapshot(): Promise<void> {
  store.takeSnapshot()
  for (let write = 0; write < 20; write++)
    writeEntry(backends[1])
  store.put('keyed.op', 'config', createConfiguration(4))
  gateways.push(await startGateway('gateway-1', storeAddress))
  await vi.waitFor(() => {
    for (const { gateway } of gateways) {
      expect(gateway.configuration.version).toBe(4)
      expect(gateway.members.count).toBe(2)
      expect(gateway.registry.size).toBe(2)
    }
  }, CONTACT_TIMEOUT)
}

/** Makes the store unavailable for 300 ms and restores it from the snapshot. */
async function restoreSnapshot(): Promise<void> {
  store.fault = StoreFault.Reset
  await new Promise(resolve => setTimeout(resolve, 300))
  store.restoreSnapshot()
  store.fault = StoreFault.None
}

describe('gateways whose store was restored from an older snapshot', () => {
  test('learn of backend servers that leave or are added afterwards', async () => {
    await writeAfterSnapshot()
    await restoreSnapshot()
    writeEntry(backends[1], 'draining')
    writeEntry(backends[2])
    await vi.waitFor(() => expect(availableIds()).toEqual([['plain-a', 'plain-c'], ['plain-a', 'plain-c']]), CONTACT_TIMEOUT)
  })

  test('send nothing to a backend server whose draining state is not in the snapshot', async () => {
    await writeAfterSnapshot()
    writeEntry(backends[1], 'draining')
    await vi.waitFor(() => expect(availableIds()).toEqual([['plain-a'], ['plain-a']]), CONTACT_TIMEOUT)
    await restoreSnapshot()
    const sentTo = new Set<string>()
    const samples = setInterval(() => availableIds().flat().forEach(id => sentTo.add(id)), 10)
    await new Promise(resolve => setTimeout(resolve, 1500))
    clearInterval(samples)
    expect([...sentTo]).toEqual(['plain-a'])
  })

  test('keep the configuration in force and apply the next one', async () => {
    await writeAfterSnapshot()
    await restoreSnapshot()
    await new Promise(resolve => setTimeout(resolve, 500))
    expect(gateways.map(({ gateway }) => gateway.configuration.version)).toEqual([4, 4])
    store.put('keyed.op', 'config', createConfiguration(5))
    await vi.waitFor(() => expect(gateways.map(({ gateway }) => gateway.configuration.version)).toEqual([5, 5]), CONTACT_TIMEOUT)
  })

  test('are listed again, once, if their announcement was lost', async () => {
    await writeAfterSnapshot()
    await restoreSnapshot()
    await vi.waitFor(() => expect([...store.newestOf(MEMBER_TOPIC).keys()].sort()).toEqual(['gateway-0', 'gateway-1']), CONTACT_TIMEOUT)
    gateways.push(await startGateway('gateway-2', storeAddress))
    await vi.waitFor(() => expect(gateways.map(({ gateway }) => gateway.members.count)).toEqual([3, 3, 3]), CONTACT_TIMEOUT)
  })
})

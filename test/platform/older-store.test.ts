/**
 * What callers would see: the store is away for a moment and comes back from a
 * copy some seconds old. Its offsets begin again below those that gateways have
 * read. A gateway takes what it reads for old, and ignores it: it sends to
 * backend servers that leave, and never to those that come, until as many
 * records have been written as were lost; a gateway whose announcement was lost
 * is unknown to those that start later.
 *
 * Cause: an offset was taken for a place in one history, which nothing but the
 * store's era tells from another.
 *
 * Evidence: without the mend the first and the last of the four tests below fail.
 */
import type { StartedGateway } from './support/in-process-gateway.js'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { startGateway } from './support/in-process-gateway.js'
import { StandInBackend } from './support/stand-in-backend.js'
import { StandInStore, StoreFault } from './support/stand-in-store.js'

const SERVER_TOPIC = 'keyed.servers'
const MEMBER_TOPIC = 'keyed.eidermast-gateways'
/** Milliseconds within which gateways that are in touch know a change. */
const IN_TOUCH = { timeout: 3000 }
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

const listOne = (backend: StandInBackend, state?: string): void => store.put(SERVER_TOPIC, backend.id, backend.entry(state))
/** Backend servers that each gateway sends work to. */
const used = (): string[][] => gateways.map(({ gateway }) => gateway.registry.available('plain').map(({ id }) => id).sort())

beforeEach(async () => {
  store = new StandInStore()
  storeAddress = await store.start()
  backends = ['a', 'b', 'c'].map(name => new StandInBackend(`plain-${name}`, 'plain'))
  await Promise.all(backends.map(backend => backend.start()))
  store.put('keyed.op', 'config', createConfiguration(3))
  listOne(backends[0])
  listOne(backends[1])
  gateways = [await startGateway('gateway-0', storeAddress)]
  await vi.waitFor(() => expect(store.newestOf(MEMBER_TOPIC).has('gateway-0')).toBe(true))
})

afterEach(async () => {
  await Promise.all(gateways.map(({ gateway }) => gateway.close()))
  await Promise.all([store.stop(), ...backends.map(backend => backend.stop())])
})

/** The store keeps a copy, then much is written, and a second gateway starts. */
async function writeAfterCopy(): Promise<void> {
  store.keepCopy()
  for (let write = 0; write < 20; write++)
    listOne(backends[1])
  store.put('keyed.op', 'config', createConfiguration(4))
  gateways.push(await startGateway('gateway-1', storeAddress))
  await vi.waitFor(() => {
    for (const { gateway } of gateways) {
      expect(gateway.configuration.version).toBe(4)
      expect(gateway.members.count).toBe(2)
      expect(gateway.registry.size).toBe(2)
    }
  }, IN_TOUCH)
}

/** The store is away for a moment and comes back from the copy. */
async function loseWrites(): Promise<void> {
  store.fault = StoreFault.Reset
  await new Promise(resolve => setTimeout(resolve, 300))
  store.comeBackFromCopy()
  store.fault = StoreFault.None
}

describe('gateways whose store came back from an older copy', () => {
  test('learn of backend servers that leave and come from then on', async () => {
    await writeAfterCopy()
    await loseWrites()
    listOne(backends[1], 'draining')
    listOne(backends[2])
    await vi.waitFor(() => expect(used()).toEqual([['plain-a', 'plain-c'], ['plain-a', 'plain-c']]), IN_TOUCH)
  })

  test('send nothing to a backend server whose word that it leaves is not in the copy', async () => {
    await writeAfterCopy()
    listOne(backends[1], 'draining')
    await vi.waitFor(() => expect(used()).toEqual([['plain-a'], ['plain-a']]), IN_TOUCH)
    await loseWrites()
    const sentTo = new Set<string>()
    const watch = setInterval(() => used().flat().forEach(id => sentTo.add(id)), 10)
    await new Promise(resolve => setTimeout(resolve, 1500))
    clearInterval(watch)
    expect([...sentTo]).toEqual(['plain-a'])
  })

  test('stay with the configuration that was in force, and take the next one', async () => {
    await writeAfterCopy()
    await loseWrites()
    await new Promise(resolve => setTimeout(resolve, 500))
    expect(gateways.map(({ gateway }) => gateway.configuration.version)).toEqual([4, 4])
    store.put('keyed.op', 'config', createConfiguration(5))
    await vi.waitFor(() => expect(gateways.map(({ gateway }) => gateway.configuration.version)).toEqual([5, 5]), IN_TOUCH)
  })

  test('are listed again, once, where their announcement was lost', async () => {
    await writeAfterCopy()
    await loseWrites()
    await vi.waitFor(() => expect([...store.newestOf(MEMBER_TOPIC).keys()].sort()).toEqual(['gateway-0', 'gateway-1']), IN_TOUCH)
    gateways.push(await startGateway('gateway-2', storeAddress))
    await vi.waitFor(() => expect(gateways.map(({ gateway }) => gateway.members.count)).toEqual([3, 3, 3]), IN_TOUCH)
  })
})

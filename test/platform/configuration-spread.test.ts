/**
 * Guards against gateways that hold an older configuration for longer than the
 * platform allows, because their own reads were lost while the gateway that
 * reads for them ended, or does not pass the change on.
 */
import type { StartedGateway } from './support/in-process-gateway.js'
import { wait } from '@eidermast/common'
import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { describeEvents, startGateway } from './support/in-process-gateway.js'
import { StandInBackend } from './support/stand-in-backend.js'
import { StandInStore } from './support/stand-in-store.js'
import { StoreProxy } from './support/store-proxy.js'

/** Time after a fault until a gateway must be connected again (setting `contact-ms`). */
const CONTACT_MS = 3000
/** Time after the store's acknowledgement until a change must be in force (setting `configuration-ms`). */
const CONFIGURATION_MS = 2000
/** Longer than the stand-in store holds any read. */
const READ_HOLD_MS = 400
const OLD_VERSION = 3
const NEW_VERSION = 7
const OPERATOR_TOPIC = 'keyed.op'
const NAMES = ['gateway-a', 'gateway-b', 'gateway-c', 'gateway-d']

let store: StandInStore
let backend: StandInBackend
let proxies: StoreProxy[]
let gateways: StartedGateway[]

function createConfiguration(version: number): object {
  const keys = version === OLD_VERSION ? ['old-key'] : ['old-key', 'new-key']
  return {
    Version: version,
    Routes: [{ Name: 'plain', Host: 'host.example', PathPrefix: '/plain/', Type: 'idempotent', Service: 'plain', TimeoutMs: 6000, TargetLatencyMs: 3000, MaxAttempts: 1 }],
    Services: [{ Name: 'plain', MaxConnections: 40 }],
    Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
    Tenants: [{ Name: 'account', ApiKeys: keys }],
  }
}

beforeEach(async () => {
  store = new StandInStore()
  const storeAddress = await store.start()
  backend = new StandInBackend('plain-a', 'plain')
  await backend.start()
  store.put(OPERATOR_TOPIC, 'config', createConfiguration(OLD_VERSION))
  store.put('keyed.servers', backend.id, backend.entry())
  proxies = NAMES.map(() => new StoreProxy(storeAddress))
  gateways = []
  for (const [index, name] of NAMES.entries()) {
    gateways.push(await startGateway(name, await proxies[index].start()))
    await vi.waitFor(() => expect(store.newestOf('keyed.eidermast-gateways').has(name)).toBe(true))
  }
  await vi.waitFor(() => {
    for (const { gateway } of gateways) {
      expect(gateway.members.coordinator.name).toBe(NAMES[0])
      expect(gateway.members.count).toBe(NAMES.length)
      expect(gateway.configuration.version).toBe(OLD_VERSION)
      expect(gateway.registry.size).toBe(1)
    }
  }, { timeout: 5000 })
  // Only reads that start after the gateways have agreed on a coordinator are to be lost.
  await wait(READ_HOLD_MS)
})

afterEach(async () => {
  await Promise.all(gateways.map(({ gateway }) => gateway.close()))
  proxies.forEach(proxy => proxy.stop())
  await Promise.all([store.stop(), backend.stop()])
})

/** Publishes the new version. Returns when it was acknowledged, on the monotonic clock in milliseconds. */
function publish(): number {
  store.put(OPERATOR_TOPIC, 'config', createConfiguration(NEW_VERSION))
  return performance.now()
}

/** Milliseconds from the deadline until some gateways have the new version in force; negative if they are in time. */
async function latenessMs(some: readonly StartedGateway[], deadline: number): Promise<number> {
  await vi.waitFor(() => {
    for (const { gateway } of some)
      expect(gateway.configuration.version, describeEvents(some)).toBe(NEW_VERSION)
  }, { timeout: 9000, interval: 10 })
  return performance.now() - deadline
}

async function statusWith(gateway: StartedGateway, key: string): Promise<number> {
  const headers = { 'host': 'host.example', 'attempt-id': `id-${Math.random()}`, 'deadline-ms': '2000', 'api-key': key }
  const { statusCode, body } = await request(`${gateway.address}/plain/x`, { headers })
  await body.dump()
  return statusCode
}

describe('a change of the configuration is in force in time', () => {
  test.each([
    ['no gateway ends', 0],
    ['the coordinator ends at the change', 1],
    ['the coordinator and its successor end at the change', 2],
  ])('at gateways whose reads were all lost, if %s', async (_name, ending) => {
    const lostAt = performance.now()
    proxies.forEach(proxy => proxy.stallOpenConnections())
    await wait(100)
    const publishedAt = publish()
    await Promise.all(gateways.slice(0, ending).map(({ gateway }) => gateway.close()))
    expect(await latenessMs(gateways.slice(ending), Math.max(lostAt + CONTACT_MS, publishedAt + CONFIGURATION_MS))).toBeLessThan(0)
  })

  test('at gateways whose reads were all lost while the coordinator could not read', async () => {
    proxies[0].isPartitioned = true
    proxies[0].stallOpenConnections()
    await vi.waitFor(() => expect(gateways[0].gateway.backendList.isSourceUnavailable).toBe(true), { timeout: 5000 })
    // Reads that were sent before the coordinator's report have ended by then.
    await wait(READ_HOLD_MS)
    const lostAt = performance.now()
    proxies.forEach(proxy => proxy.stallOpenConnections())
    await wait(100)
    const publishedAt = publish()
    expect(await latenessMs(gateways.slice(1), Math.max(lostAt + CONTACT_MS, publishedAt + CONFIGURATION_MS))).toBeLessThan(0)
  })

  test('at gateways whose connections to the store are lost while they read it again after deleted history', async () => {
    const publishedAt = publish()
    store.deleteHistory(OPERATOR_TOPIC)
    await wait(15)
    const lostAt = performance.now()
    proxies.forEach(proxy => proxy.stallOpenConnections())
    expect(await latenessMs(gateways, Math.max(lostAt + CONTACT_MS, publishedAt + CONFIGURATION_MS))).toBeLessThan(0)
  })

  test('at a gateway that the store turns away, although the coordinator does not answer the question for it', async () => {
    const coordinator = gateways[0].gateway as unknown as { peerService: { configuration: () => unknown } }
    vi.spyOn(coordinator.peerService, 'configuration').mockImplementation(() => new Promise(() => {}))
    proxies[3].isPartitioned = true
    proxies[3].stallOpenConnections()
    const publishedAt = publish()
    expect(await latenessMs([gateways[3]], publishedAt + CONFIGURATION_MS)).toBeLessThan(0)
  })
})

describe('a gateway that has heard neither the store nor a peer for as long as a change may take', () => {
  beforeEach(async () => {
    proxies[3].isPartitioned = true
    proxies[3].stallOpenConnections()
    await Promise.all(gateways.slice(0, 3).map(({ gateway }) => gateway.close()))
    await wait(CONFIGURATION_MS)
    publish()
  })

  test('does not deny a key that it does not know, but sends its caller elsewhere', async () => {
    expect(await statusWith(gateways[3], 'new-key')).toBe(503)
  })

  test('serves a key that it gets to know while it asks, as soon as the store answers', async () => {
    proxies[3].isPartitioned = false
    expect(await statusWith(gateways[3], 'new-key')).toBe(200)
  })

  test('serves requests that its configuration allows', async () => {
    expect(await statusWith(gateways[3], 'old-key')).toBe(200)
  })
})

test('a gateway that reads the store denies an unknown key', async () => {
  await wait(CONFIGURATION_MS)
  expect(await statusWith(gateways[3], 'unknown-key')).toBe(401)
})

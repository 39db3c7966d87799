/**
 * Evacuation of a failure domain: operators order that its backend servers get
 * no more requests. Each gateway reaches the store through its own proxy, which
 * fails in the ways that delay the propagation of the order.
 */
import type { StartedGateway } from './support/in-process-gateway.js'
import { wait } from '@eidermast/common'
import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest'
import { startGateway } from './support/in-process-gateway.js'
import { hang, StandInBackend } from './support/stand-in-backend.js'
import { makeStageResults, STAGE_LIMITS } from './support/stand-in-stages.js'
import { StandInStore } from './support/stand-in-store.js'
import { StoreProxy } from './support/store-proxy.js'

const OPERATOR_TOPIC = 'keyed.op'
const SERVER_TOPIC = 'keyed.servers'
/** Time after its acknowledgement until an evacuation must be in force on connected gateways (the platform's bounds). */
const EVACUATION_MS = 5000
const SEND_INTERVAL_MS = 50
/** Few enough requests for one stage backend server to finish in time on a slow machine. */
const ROUNDS_PER_STAGED_REQUEST = 2
const ROUTE = { Host: 'host.example', TimeoutMs: 6000, TargetLatencyMs: 3000 }
const CONFIGURATION = {
  Version: 3,
  Routes: [
    { ...ROUTE, Name: 'plain', PathPrefix: '/plain/', Type: 'idempotent', Service: 'plain', MaxAttempts: 2 },
    { ...ROUTE, Name: 'staged', PathPrefix: '/staged/', Type: 'idempotent', Service: 'plain', MaxAttempts: 2, Phases: [{ Service: 'encode', WatchRevision: [], SizeBytes: 1000 }] },
  ],
  Services: [{ Name: 'plain', MaxConnections: 40 }, { Name: 'encode', MaxConnections: 40, Segments: STAGE_LIMITS }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
}

let store: StandInStore
let proxies: StoreProxy[]
let gateways: StartedGateway[]
let backends: StandInBackend[]

const evacuate = (failureDomain: string): void => store.put(OPERATOR_TOPIC, `evacuate/${failureDomain}`, {})
const endEvacuation = (failureDomain: string): void => store.put(OPERATOR_TOPIC, `evacuate/${failureDomain}`, undefined)
const inDomain = (failureDomain: string): StandInBackend[] => backends.filter(backend => backend.failureDomain === failureDomain)

async function startGatewayBehindProxy(number: number): Promise<void> {
  proxies[number] = new StoreProxy(storeAddress)
  gateways[number] = await startGateway(`gateway-${number}`, await proxies[number].start())
}

let storeAddress: string

beforeEach(async () => {
  store = new StandInStore()
  storeAddress = await store.start()
  backends = ['plain', 'encode'].flatMap(service => ['zone-a', 'zone-b'].map(domain => new StandInBackend(`${service}-${domain}`, service, domain)))
  for (const backend of backends) {
    if (backend.service === 'encode')
      backend.respond = makeStageResults()
    await backend.start()
    store.put(SERVER_TOPIC, backend.id, backend.entry())
  }
  store.put(OPERATOR_TOPIC, 'config', CONFIGURATION)
  proxies = []
  gateways = []
  await startGatewayBehindProxy(0)
  await vi.waitFor(() => expect(store.newestOf('keyed.eidermast-gateways').has('gateway-0')).toBe(true))
  await startGatewayBehindProxy(1)
  await vi.waitFor(() => {
    for (const { gateway } of gateways) {
      expect(gateway.registry.size).toBe(backends.length)
      expect(gateway.members.coordinator.name).toBe('gateway-0')
    }
  }, { timeout: 3000 })
})

afterEach(async () => {
  await Promise.all(gateways.map(({ gateway }) => gateway.close()))
  proxies.forEach(proxy => proxy.stop())
  await Promise.all([store.stop(), ...backends.map(backend => backend.stop())])
})

async function send(gateway: StartedGateway, path: string, id: string): Promise<number> {
  const headers = { 'host': 'host.example', 'attempt-id': id, 'deadline-ms': '3000', 'chunk-count': '2', 'chunk-key': 'key' }
  const response = await request(`${gateway.address}${path}`, { headers })
  await response.body.dump()
  return response.statusCode
}

/** Sends requests to all gateways for some time; resolves with the status codes. */
async function sendFor(milliseconds: number): Promise<number[]> {
  const answers: Promise<number>[] = []
  let rounds = 0
  const endAt = performance.now() + milliseconds
  while (performance.now() < endAt) {
    for (const gateway of gateways) {
      answers.push(send(gateway, '/plain/x', `plain-${answers.length}`))
      if (rounds % ROUNDS_PER_STAGED_REQUEST === 0)
        answers.push(send(gateway, '/staged/x', `staged-${answers.length}`))
    }
    rounds++
    await wait(SEND_INTERVAL_MS)
  }
  return Promise.all(answers)
}

/** Requests that reached backend servers of a failure domain after a point in time. */
function arrivalsAfter(failureDomain: string, deadline: number): string[] {
  return inDomain(failureDomain).flatMap(backend => backend.seen).filter(({ path, at }) => at > deadline && path !== '/-/stage-free').map(({ path, at }) => `${path} ${Math.round(at - deadline)} ms late`)
}

describe('the backend servers of an evacuated failure domain', () => {
  test.each([
    ['the store is available', () => {}],
    ['one gateway is cut off from the store', () => {
      proxies[1].isPartitioned = true
      proxies[1].stallOpenConnections()
    }],
    ['the reads of one gateway are lost', () => proxies[1].stallOpenConnections()],
    ['the reads of all gateways are lost', () => proxies.forEach(proxy => proxy.stallOpenConnections())],
  ])('get no requests after the deadline if %s', async (_name, injectFault) => {
    injectFault()
    await wait(100)
    evacuate('zone-a')
    const acknowledgedAt = performance.now()
    const statuses = await sendFor(EVACUATION_MS + 1000)
    expect(inDomain('zone-b').every(backend => backend.seen.length > 0)).toBe(true)
    expect(arrivalsAfter('zone-a', acknowledgedAt + EVACUATION_MS)).toEqual([])
    expect(statuses.filter(status => status !== 200)).toEqual([])
  })

  test('get work again when the evacuation is withdrawn', async () => {
    evacuate('zone-a')
    await vi.waitFor(() => gateways.forEach(({ gateway }) => expect(gateway.evacuations.evacuated).toEqual(new Set(['zone-a']))))
    endEvacuation('zone-a')
    await vi.waitFor(() => gateways.forEach(({ gateway }) => expect(gateway.evacuations.evacuated.size).toBe(0)))
    await sendFor(300)
    expect(inDomain('zone-a').every(backend => backend.seen.length > 0)).toBe(true)
  })

  test('get no requests from a gateway that starts after the order\'s records were deleted from the history', async () => {
    evacuate('zone-a')
    store.deleteHistory(OPERATOR_TOPIC)
    await startGatewayBehindProxy(2)
    await vi.waitFor(() => expect(gateways[2].gateway.registry.size).toBe(backends.length), { timeout: 3000 })
    expect(gateways[2].gateway.registry.available('plain').map(({ id }) => id)).toEqual(['plain-zone-b'])
  })

  test('get work again if the withdrawal is in history that the store has deleted', async () => {
    evacuate('zone-a')
    await vi.waitFor(() => gateways.forEach(({ gateway }) => expect(gateway.evacuations.evacuated.size).toBe(1)))
    proxies.forEach(proxy => proxy.stallOpenConnections())
    endEvacuation('zone-a')
    store.deleteHistory(OPERATOR_TOPIC)
    await vi.waitFor(() => gateways.forEach(({ gateway }) => expect(gateway.evacuations.evacuated.size).toBe(0)), { timeout: EVACUATION_MS })
  })

  test('include backend servers that are listed later', async () => {
    evacuate('zone-a')
    await vi.waitFor(() => expect(gateways[0].gateway.evacuations.evacuated.size).toBe(1))
    const late = new StandInBackend('plain-late', 'plain', 'zone-a')
    await late.start()
    backends.push(late)
    store.put(SERVER_TOPIC, late.id, late.entry())
    await vi.waitFor(() => expect(gateways[0].gateway.registry.find(late.id)).toBeDefined())
    expect(gateways[0].gateway.registry.available('plain').map(({ id }) => id)).toEqual(['plain-zone-b'])
  })

  test('finish the requests in progress', async () => {
    const slow = inDomain('zone-a').find(({ service }) => service === 'plain')!
    const only = inDomain('zone-b').find(({ service }) => service === 'plain')!
    let answer = (): void => {}
    const interrupted = vi.fn()
    slow.respond = (seen, response) => {
      response.on('close', () => response.writableEnded || interrupted())
      answer = () => {
        response.writeHead(200, { 'Attempt-Id': String(seen.headers['attempt-id']), 'Server-Signature': 'signed' })
        response.end('whole')
      }
    }
    store.put(SERVER_TOPIC, only.id, only.entry('draining'))
    await vi.waitFor(() => expect(gateways[0].gateway.registry.available('plain').map(({ id }) => id)).toEqual([slow.id]))
    const status = send(gateways[0], '/plain/x', 'under-way')
    await vi.waitFor(() => expect(slow.seen.length).toBe(1))
    evacuate('zone-a')
    await vi.waitFor(() => expect(gateways[0].gateway.registry.callsInEvacuated).toBe(1))
    answer()
    expect(await status).toBe(200)
    expect(interrupted).not.toHaveBeenCalled()
    await vi.waitFor(() => expect(gateways[0].gateway.registry.callsInEvacuated).toBe(0))
  })
})

describe('a service whose backend servers are all in evacuated failure domains', () => {
  test('is refused immediately, as not run', async () => {
    inDomain('zone-b').forEach(backend => (backend.respond = hang(() => {})))
    evacuate('zone-a')
    evacuate('zone-b')
    await vi.waitFor(() => expect(gateways[0].gateway.evacuations.evacuated.size).toBe(2))
    const startedAt = performance.now()
    expect(await send(gateways[0], '/plain/x', 'refused')).toBe(503)
    expect(performance.now() - startedAt).toBeLessThan(1000)
  })
})

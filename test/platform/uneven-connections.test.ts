import type { SentRequest } from './support/connecting-clients.js'
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { wait } from '@eidermast/common'
import { afterEach, beforeAll, beforeEach, expect, test, vi } from 'vitest'
import { GatewayChild } from '../soak/support/gateway-child.js'
import { sendUntilRead, TryEnd } from './support/connecting-clients.js'
import { answerCompletely, StandInBackend } from './support/stand-in-backend.js'
import { StandInStore } from './support/stand-in-store.js'

const GATEWAYS = 3
const POOL_SIZE = 6
/** Processor time that a gateway spends on each request besides its own work. */
const REQUEST_COST_MS = 12
const REQUESTS_PER_SECOND = 120
/** Share of the new connections that one gateway gets while they are uneven: about half more than it can serve. */
const UNEVEN_SHARE = 0.95
const EVEN_MS = 4000
/** Time after which the platform's rule applies. */
const CONTACT_MS = 3000
const MEASURED_MS = 4000
/** Part of the former share of served requests that the platform's rule asks for. */
const MIN_SERVED_PART = 0.75
const MILLISECONDS_PER_SECOND = 1000
const CONFIGURATION = {
  Version: 1,
  Routes: [{ Name: 'plain', Host: 'host.example', PathPrefix: '/plain/', Type: 'idempotent', Service: 'plain', TimeoutMs: 2000, TargetLatencyMs: 500, MaxAttempts: 2 }],
  Services: [{ Name: 'plain', MaxConnections: 60 }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
}
/** Lets each request of a client occupy the processor, whatever the machine's speed. */
const SLOW_PROCESSOR = `
  import { Server } from 'node:http'
  const { emit } = Server.prototype
  Server.prototype.emit = function (event, ...rest) {
    const until = performance.now() + (event === 'request' && rest[0].headers['attempt-id'] ? ${REQUEST_COST_MS} : 0)
    while (performance.now() < until);
    return emit.call(this, event, ...rest)
  }`

let store: StandInStore
let backends: StandInBackend[]
let gateways: GatewayChild[]
let sent = 0

beforeAll(async () => {
  await import('../../platform/build.mjs' as string)
}, 60_000)

beforeEach(async () => {
  store = new StandInStore()
  const storeAddress = await store.start()
  backends = Array.from({ length: POOL_SIZE }, (_, index) => new StandInBackend(`plain-${index}`, 'plain'))
  for (const backend of backends) {
    backend.respond = answerCompletely()
    await backend.start()
    store.put('keyed.servers', backend.id, backend.entry())
  }
  store.put('keyed.op', 'config', CONFIGURATION)
  const directory = mkdtempSync(path.join(tmpdir(), 'eidermast-connections-'))
  gateways = Array.from({ length: GATEWAYS }, (_, index) => new GatewayChild(`gateway-${index}`, storeAddress, directory))
  gateways.forEach(gateway => gateway.nodeOptions = ['--import', `data:text/javascript,${encodeURIComponent(SLOW_PROCESSOR)}`])
  await Promise.all(gateways.map(gateway => gateway.start()))
  await vi.waitFor(async () => expect(await Promise.all(gateways.map(gateway => gateway.isReady()))).not.toContain(false), { timeout: 10_000 })
})

afterEach(async () => {
  await Promise.all(gateways.map(gateway => gateway.end()))
  await Promise.all([store.stop(), ...backends.map(backend => backend.stop())])
})

/** Sends requests for `forMs`; the first gateway gets this share of them, and the others get the rest in turn. */
async function sendFor(forMs: number, firstShare: number): Promise<SentRequest[]> {
  const requests: Promise<SentRequest>[] = []
  const startedAt = performance.now()
  for (let index = 0; performance.now() - startedAt < forMs; index++) {
    const isFirst = Math.floor((index + 1) * firstShare) > Math.floor(index * firstShare)
    const start = isFirst ? 0 : 1 + sent % (GATEWAYS - 1)
    const addresses = [...gateways.slice(start), ...gateways.slice(0, start)].map(({ address }) => address)
    requests.push(sendUntilRead(addresses, '/plain/x', `request-${sent++}`))
    await wait(Math.max(0, startedAt + (index + 1) * MILLISECONDS_PER_SECOND / REQUESTS_PER_SECOND - performance.now()))
  }
  return Promise.all(requests)
}

/** Share of the requests that were served at the first try that was read. */
function servedShare(requests: readonly SentRequest[]): number {
  return requests.filter(({ tries }) => tries.at(-1) === TryEnd.Served).length / requests.length
}

test('requests are served at the first try that is read while one gateway gets most new connections', async () => {
  const before = servedShare(await sendFor(EVEN_MS, 1 / GATEWAYS))
  expect(before).toBeGreaterThan(0.9)
  const unevenAt = performance.now()
  const uneven = await sendFor(CONTACT_MS + MEASURED_MS, UNEVEN_SHARE)
  expect(servedShare(uneven.filter(({ sentAt }) => sentAt - unevenAt >= CONTACT_MS))).toBeGreaterThanOrEqual(MIN_SERVED_PART * before)
}, 60_000)

/**
 * What a soak plays with: a stand-in store, stand-in backend servers, and gateways
 * as processes of their own.
 */
import type { Respond } from '../../platform/support/stand-in-backend.js'
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { wait } from '@eidermast/common'
import { expect, vi } from 'vitest'
import { CrashingPool } from '../../platform/support/crashing-pool.js'
import { answerWhole, StandInBackend, streamEvents } from '../../platform/support/stand-in-backend.js'
import { makeStageResults, STAGE_LIMITS } from '../../platform/support/stand-in-stages.js'
import { StandInStore } from '../../platform/support/stand-in-store.js'
import { StoreProxy } from '../../platform/support/store-proxy.js'
import { GatewayChild } from './gateway-child.js'
import { RequestKind } from './soak-clients.js'

/** Events of a whole stream. */
export const STREAM_EVENTS = 4
const GATEWAYS = 3
/** Backend servers of each service. */
const BACKENDS_EACH = 2
/** Milliseconds that a backend server of the plain service works on a request. */
const ANSWER_MS = 20
const ROUTE = { Host: 'host.example', TimeoutMs: 4000, TargetLatencyMs: 3000, Service: 'plain' }
const ROUTES = [
  { ...ROUTE, Name: 'once', PathPrefix: `/${RequestKind.Once}/`, Type: 'non_idempotent', MaxAttempts: 1 },
  { ...ROUTE, Name: 'plain', PathPrefix: `/${RequestKind.Plain}/`, Type: 'idempotent', MaxAttempts: 2 },
  { ...ROUTE, Name: 'stream', PathPrefix: `/${RequestKind.Stream}/`, Type: 'streaming', Service: 'model', MaxAttempts: 2, StreamResume: true, Phases: [{ Service: 'encode', WatchRevision: [], SizeBytes: 1000 }] },
]

const MAX_CONNECTIONS = 60
const STAGED_SERVICES = [
  { Name: 'model', MaxConnections: MAX_CONNECTIONS, Engine: { Capacity: 8, KvCapacityTokens: 1000 } },
  { Name: 'encode', MaxConnections: MAX_CONNECTIONS, Segments: STAGE_LIMITS },
]

const delayed: Respond = async (seen, response) => {
  await wait(ANSWER_MS)
  await answerWhole()(seen, response)
}

/** What differs between soaks. */
export interface SoakOptions {
  /** Connections that a backend server of the plain service accepts from all gateways. @default 60 */
  plainConnections?: number
  /** How backend servers of the plain service answer. @default after ANSWER_MS */
  plainAnswer?: Respond
  /** Backend servers of each service. @default BACKENDS_EACH */
  backendsEach?: number
  /** Backend servers of the plain service in a pool whose members a body ends and that come back (`plainPool`), in place of the others. @default none */
  plainPoolSize?: number
  /** The bundle that gateways run at first. @default that of this checkout */
  bundle?: string
  /** Failure domains, to which gateways and the backend servers of each service belong in turn. @default zone-a */
  failureDomains?: readonly string[]
  /** Fields of the plain service beside its name and connections. @default none */
  plainService?: object
  /** Further lines of the settings' section `[platform]`. @default none */
  platformSettings?: readonly string[]
  /** Each gateway has a way of its own to the store (`lines`). @default false */
  ownLines?: boolean
}

/** A deployment with nothing broken. */
export class SoakDeployment {
  readonly store = new StandInStore()
  readonly directory = mkdtempSync(path.join(tmpdir(), 'eidermast-soak-'))
  readonly backends: StandInBackend[] = []
  readonly plainPool: CrashingPool | undefined
  gateways: GatewayChild[] = []
  /** The gateways' ways to the store, in their order, where the options ask for them. */
  lines: StoreProxy[] = []
  private version = 0

  constructor(private readonly options: SoakOptions = {}) {
    if (options.plainPoolSize !== undefined)
      this.plainPool = new CrashingPool(this.store, { service: 'plain', size: options.plainPoolSize, workMs: ANSWER_MS })
  }

  async start(): Promise<void> {
    const address = await this.store.start()
    await this.plainPool?.start()
    const services = this.plainPool ? ['model', 'encode'] : ['plain', 'model', 'encode']
    for (const service of services) {
      for (let number = 0; number < (this.options.backendsEach ?? BACKENDS_EACH); number++)
        await this.addBackend(service, `${service}-${number}`, this.failureDomainOf(number))
    }
    this.publish()
    this.gateways = await Promise.all(Array.from({ length: GATEWAYS }, (_, number) => this.createGateway(number, address)))
    await Promise.all(this.gateways.map(gateway => gateway.start()))
  }

  async stop(): Promise<void> {
    await Promise.all(this.gateways.map(gateway => gateway.end()))
    this.lines.forEach(line => line.stop())
    await Promise.all([...this.backends.map(backend => backend.stop()), this.plainPool?.stop()])
    await this.store.stop()
  }

  /** Resolves when every gateway says that it is ready. */
  waitUntilReady(): Promise<void> {
    return vi.waitFor(async () => {
      expect(await Promise.all(this.gateways.map(gateway => gateway.isReady()))).not.toContain(false)
    }, { timeout: 30_000, interval: 100 })
  }

  /** Publishes the same routes under a newer version. */
  publish(): void {
    this.store.put('keyed.op', 'config', {
      Version: ++this.version,
      Routes: ROUTES,
      Services: [{ Name: 'plain', MaxConnections: this.options.plainConnections ?? MAX_CONNECTIONS, ...this.options.plainService }, ...STAGED_SERVICES],
      Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
    })
  }

  /** Lists a backend server as ready or as leaving. */
  list(backend: StandInBackend, state: 'ready' | 'draining'): void {
    this.store.put('keyed.servers', backend.id, backend.entry(state))
  }

  /** Takes a backend server off the list without a word. */
  unlist(backend: StandInBackend): void {
    this.store.put('keyed.servers', backend.id, undefined)
  }

  /** Runs of a request that backend servers began. */
  runsOf(id: string): number {
    const seen = this.backends.filter(backend => backend.service !== 'encode').flatMap(backend => backend.seen)
    return seen.filter(request => request.headers['attempt-id'] === id).length
  }

  private async createGateway(number: number, storeAddress: string): Promise<GatewayChild> {
    const settings = { failureDomain: this.failureDomainOf(number), platform: this.options.platformSettings }
    const gateway = new GatewayChild(`gateway-${number}`, await this.storeAddressFor(number, storeAddress), this.directory, settings)
    gateway.bundle = this.options.bundle ?? gateway.bundle
    return gateway
  }

  private async storeAddressFor(gateway: number, address: string): Promise<string> {
    if (!this.options.ownLines)
      return address
    this.lines[gateway] = new StoreProxy(address)
    return this.lines[gateway].start()
  }

  /** Failure domain of the gateway, or of the backend servers, of a number. */
  failureDomainOf(number: number): string {
    const { failureDomains = ['zone-a'] } = this.options
    return failureDomains[number % failureDomains.length]
  }

  /** Starts a backend server and lists it, as cold for some milliseconds. */
  async addBackend(service: string, id: string, failureDomain: string, coldMs = 0): Promise<StandInBackend> {
    const backend = new StandInBackend(id, service, failureDomain)
    backend.respond = this.answerOf(service)
    await backend.start()
    this.backends.push(backend)
    this.store.put('keyed.servers', backend.id, backend.entry('ready', coldMs))
    return backend
  }

  private answerOf(service: string): Respond {
    if (service === 'plain')
      return this.options.plainAnswer ?? delayed
    return service === 'model' ? streamEvents(STREAM_EVENTS) : makeStageResults()
  }
}

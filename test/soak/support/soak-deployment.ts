/**
 * Deployment for soak tests: a stand-in store and stand-in backend servers in the
 * test process, and gateways as child processes.
 */
import type { ReceivedRequest, RequestHandler } from '../../platform/support/stand-in-backend.js'
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { wait } from '@eidermast/common'
import { expect, vi } from 'vitest'
import { CrashingPool } from '../../platform/support/crashing-pool.js'
import { answerCompletely, StandInBackend, streamEvents } from '../../platform/support/stand-in-backend.js'
import { makeStageResults, STAGE_LIMITS } from '../../platform/support/stand-in-stages.js'
import { StandInStore, StoreFault } from '../../platform/support/stand-in-store.js'
import { StoreProxy } from '../../platform/support/store-proxy.js'
import { GatewayChild } from './gateway-child.js'
import { RequestKind } from './soak-clients.js'

/** Number of events in a complete stream. */
export const STREAM_EVENTS = 4
const GATEWAYS = 3
/** Backend servers of each service. */
const BACKENDS_EACH = 2
/** Processing time of a request in the plain service. */
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

const answerAfterDelay: RequestHandler = async (seen, response) => {
  await wait(ANSWER_MS)
  await answerCompletely()(seen, response)
}

/** Options for a soak deployment. */
export interface SoakOptions {
  /** Maximum number of connections that a plain backend server accepts from all gateways. @default 60 */
  plainConnections?: number
  /** How plain backend servers answer. @default a complete answer after ANSWER_MS */
  plainAnswer?: RequestHandler
  /** Backend servers of each service. @default BACKENDS_EACH */
  backendsEach?: number
  /** Replaces the plain backend servers with a pool of this size (`plainPool`), whose members crash on CRASHING_BODY and restart. @default none */
  plainPoolSize?: number
  /** Which requests crash a member of that pool. @default those with CRASHING_BODY */
  isFatal?: (request: ReceivedRequest) => boolean
  /** Bundle that gateways run initially. @default that of this checkout */
  bundle?: string
  /** Failure domains, assigned round-robin to gateways and to the backend servers of each service. @default zone-a */
  failureDomains?: readonly string[]
  /** Additional fields of the plain service. @default none */
  plainService?: object
  /** Additional lines for the settings section `[platform]`. @default none */
  platformSettings?: readonly string[]
  /** Lines of the settings section `[load]`. @default none */
  load?: readonly string[]
  /** Lines of the settings section `[retry]`. @default none */
  retry?: readonly string[]
  /** Client accounts, whose keys are their names. @default none, and requests need no key */
  accounts?: readonly string[]
  /** Whether each gateway reaches the store over a separate connection line (`lines`). @default false */
  ownLines?: boolean
}

/** A deployment that starts without faults. */
export class SoakDeployment {
  readonly store = new StandInStore()
  readonly directory = mkdtempSync(path.join(tmpdir(), 'eidermast-soak-'))
  readonly backends: StandInBackend[] = []
  readonly plainPool: CrashingPool | undefined
  gateways: GatewayChild[] = []
  /** Connection lines to the store, by gateway index; empty unless `ownLines` is set. */
  lines: StoreProxy[] = []
  private version = 0

  constructor(private readonly options: SoakOptions = {}) {
    if (options.plainPoolSize !== undefined)
      this.plainPool = new CrashingPool(this.store, { service: 'plain', size: options.plainPoolSize, workMs: ANSWER_MS, isFatal: options.isFatal })
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

  /** Waits until all gateways report that they are ready. */
  waitUntilReady(): Promise<void> {
    return vi.waitFor(async () => {
      expect(await Promise.all(this.gateways.map(gateway => gateway.isReady()))).not.toContain(false)
    }, { timeout: 30_000, interval: 100 })
  }

  /** Publishes the same configuration under a new version. */
  publish(): void {
    this.store.put('keyed.op', 'config', {
      Version: ++this.version,
      Routes: ROUTES,
      Services: [{ Name: 'plain', MaxConnections: this.options.plainConnections ?? MAX_CONNECTIONS, ...this.options.plainService }, ...STAGED_SERVICES],
      Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
      Tenants: this.options.accounts?.map(account => ({ Name: account, ApiKeys: [account] })),
    })
  }

  /** Lists a backend server as ready or as draining. */
  list(backend: StandInBackend, state: 'ready' | 'draining'): void {
    this.store.put('keyed.servers', backend.id, backend.entry(state))
  }

  /** Removes a backend server from the list without listing it as leaving first. */
  unlist(backend: StandInBackend): void {
    this.store.put('keyed.servers', backend.id, undefined)
  }

  /** Counts the runs of a request that backend servers started; stage runs are not counted. */
  countRuns(id: string): number {
    const seen = this.backends.filter(backend => backend.service !== 'encode').flatMap(backend => backend.seen)
    return seen.filter(request => request.headers['attempt-id'] === id).length
  }

  /** Suspends a gateway for a time. */
  async pause(gateway: number, forMs: number): Promise<void> {
    const child = this.gateways[gateway]
    child.signal('SIGSTOP')
    await wait(forMs)
    child.signal('SIGCONT')
  }

  /** Cuts a gateway off from the store for a time; needs `ownLines`. */
  async disconnectFromStore(gateway: number, forMs: number): Promise<void> {
    const line = this.lines[gateway]
    line.isPartitioned = true
    line.stallOpenConnections()
    await wait(forMs)
    line.isPartitioned = false
  }

  /** Makes the store fail for a time. */
  async failStore(fault: StoreFault, forMs: number): Promise<void> {
    this.store.fault = fault
    await wait(forMs)
    this.store.fault = StoreFault.None
  }

  private async createGateway(number: number, storeAddress: string): Promise<GatewayChild> {
    const settings = { failureDomain: this.failureDomainOf(number), platform: this.options.platformSettings, load: this.options.load, retry: this.options.retry }
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

  /** Returns the failure domain of the gateway, or of the backend server of each service, with the given index. */
  failureDomainOf(number: number): string {
    const { failureDomains = ['zone-a'] } = this.options
    return failureDomains[number % failureDomains.length]
  }

  /** Starts a backend server and lists it as cold for the given time. */
  async addBackend(service: string, id: string, failureDomain: string, coldMs = 0): Promise<StandInBackend> {
    const backend = new StandInBackend(id, service, failureDomain)
    backend.respond = this.responderFor(service)
    await backend.start()
    this.backends.push(backend)
    this.store.put('keyed.servers', backend.id, backend.entry('ready', coldMs))
    return backend
  }

  private responderFor(service: string): RequestHandler {
    if (service === 'plain')
      return this.options.plainAnswer ?? answerAfterDelay
    return service === 'model' ? streamEvents(STREAM_EVENTS) : makeStageResults()
  }
}

/**
 * Gateways as child processes and backend servers of several software versions,
 * whose events name the version that wrote them.
 */
import type { RequestHandler } from './stand-in-backend.js'
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { wait } from '@eidermast/common'
import { expect, vi } from 'vitest'
import { GatewayChild } from '../../soak/support/gateway-child.js'
import { StandInBackend } from './stand-in-backend.js'
import { makeStageResults, STAGE_LIMITS } from './stand-in-stages.js'
import { StandInStore } from './stand-in-store.js'
import { StoreProxy } from './store-proxy.js'
import { StreamClient } from './stream-client.js'

/** Number of events in a complete stream. */
export const STREAM_EVENTS = 40
/** Pause between two events of a stream. */
const EVENT_PAUSE_MS = 25
const SERVICE = 'model'
const STAGE_SERVICE = 'encode'
const SERVER_TOPIC = 'keyed.servers'
const FAILURE_DOMAINS = ['zone-a', 'zone-b', 'zone-c']
const ROUTE = { Host: 'host.example', Type: 'streaming', Service: SERVICE, StreamResume: true, TimeoutMs: 6000, TargetLatencyMs: 1000, TargetGapMs: 400, MaxAttempts: 2 }
const CONFIGURATION = {
  Version: 1,
  Routes: [
    { ...ROUTE, Name: 'stream', PathPrefix: '/stream/' },
    { ...ROUTE, Name: 'staged', PathPrefix: '/staged/', Phases: [{ Service: STAGE_SERVICE, WatchRevision: [], SizeBytes: 1000 }] },
  ],
  Services: [
    { Name: SERVICE, MaxConnections: 600, Engine: { Capacity: 64, KvCapacityTokens: 1000 } },
    { Name: STAGE_SERVICE, MaxConnections: 60, Segments: STAGE_LIMITS },
  ],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
}

/** Streams events that contain the version; `breakAfter` returns the number of events after which the connection breaks, `pauseMs` is the time between two events. */
export function streamVersion(version: string, breakAfter: () => number = () => Number.POSITIVE_INFINITY, pauseMs = EVENT_PAUSE_MS): RequestHandler {
  return async (seen, response) => {
    const after = Number(seen.headers['last-event-id'] ?? 0)
    const last = after + breakAfter()
    response.writeHead(200, { 'Attempt-Id': String(seen.headers['attempt-id']), 'Server-Signature': 'signed', 'Content-Type': 'text/event-stream' })
    for (let id = after + 1; id <= STREAM_EVENTS; id++) {
      if (id > last)
        return void response.destroy()
      response.write(`id: ${id}\ndata: ${version}\n\n`)
      await wait(pauseMs)
    }
    response.end()
  }
}

/** Gateways, their store, and backend servers by software version. */
export class VersionedDeployment {
  readonly store = new StandInStore()
  readonly backends: StandInBackend[] = []
  gateways: GatewayChild[] = []
  /** The connections of the gateways to the store. */
  private readonly storeProxies: StoreProxy[] = []
  private readonly directory = mkdtempSync(path.join(tmpdir(), 'eidermast-versions-'))
  /** Starts streams at the gateways, and resumes them there. */
  readonly clients = new StreamClient(() => this.gateways.map(({ address }) => address))
  private started = 0

  constructor(private readonly gatewayCount = 3) {}

  /** Starts the gateways, and the given number of backend servers of each version. */
  async start(counts: Record<string, number>): Promise<void> {
    const storeAddress = await this.store.start()
    const stage = await this.startBackend(STAGE_SERVICE, undefined)
    stage.respond = makeStageResults()
    this.store.put(SERVER_TOPIC, stage.id, stage.entry())
    for (const [version, count] of Object.entries(counts))
      await this.addBackends(version, count)
    this.store.put('keyed.op', 'config', CONFIGURATION)
    this.gateways = await Promise.all(Array.from({ length: this.gatewayCount }, (_, index) => this.createGateway(index, storeAddress)))
    await Promise.all(this.gateways.map(gateway => gateway.start()))
    await this.waitUntilListed()
  }

  async stop(): Promise<void> {
    await Promise.all(this.gateways.map(gateway => gateway.end()))
    this.storeProxies.forEach(proxy => proxy.stop())
    await Promise.all([this.store.stop(), ...this.backends.map(backend => backend.stop())])
  }

  /** Starts backend servers of a version and lists them. */
  async addBackends(version: string | undefined, count: number): Promise<StandInBackend[]> {
    const added = await Promise.all(Array.from({ length: count }, () => this.startBackend(SERVICE, version)))
    added.forEach(backend => this.list(backend))
    return added
  }

  /** Lists a backend server as ready or as draining. */
  list(backend: StandInBackend, state: 'ready' | 'draining' = 'ready'): void {
    this.store.put(SERVER_TOPIC, backend.id, backend.entry(state))
  }

  /** Lists backend servers as ready or as draining, which they were not before, and waits until all gateways know it. */
  async change(backends: readonly StandInBackend[], state: 'ready' | 'draining'): Promise<void> {
    backends.forEach(backend => this.list(backend, state))
    await vi.waitFor(() => {
      for (const gateway of this.gateways)
        expect(backends.filter(({ id }) => lastState(gateway.readLog(), id) !== state)).toEqual([])
    }, { timeout: 5000, interval: 20 })
  }

  unlist(backend: StandInBackend): void {
    this.store.put(SERVER_TOPIC, backend.id, undefined)
  }

  /** Backend servers of the streaming service with a version. */
  ofVersion(version: string | undefined): StandInBackend[] {
    return this.backends.filter(backend => backend.service === SERVICE && backend.softwareVersion === version)
  }

  /** Index of the gateway that coordinates the stage work. */
  async findCoordinator(): Promise<number> {
    const coordinated = await Promise.all(this.gateways.map(async gateway => readGauge(await gateway.readMetrics(), 'eidermast_gateway_owns_stages')))
    return coordinated.findIndex(shards => shards > 0)
  }

  /** Kills a gateway, which does not come back. */
  async kill(index: number): Promise<void> {
    await this.gateways[index].end()
  }

  /** Kills gateways at the same time and starts them again under their names. */
  async killAndRestart(indexes: readonly number[]): Promise<void> {
    await Promise.all(indexes.map(index => this.gateways[index].replace('SIGKILL')))
  }

  /** Waits until all gateways are ready and know all listed backend servers and each other. */
  async waitUntilListed(): Promise<void> {
    await vi.waitFor(async () => {
      const listed = this.store.newestOf(SERVER_TOPIC).size
      const known = await Promise.all(this.gateways.map(async (gateway) => {
        const metrics = await gateway.readMetrics()
        return [readGauge(metrics, 'eidermast_gateway_replicas'), readGauge(metrics, 'eidermast_gateway_members')]
      }))
      expect(known).toEqual(this.gateways.map(() => [listed, this.gatewayCount]))
      expect(await Promise.all(this.gateways.map(gateway => gateway.isReady()))).not.toContain(false)
    }, { timeout: 10_000, interval: 50 })
  }

  /** Cuts a gateway off from the store without closing connections. */
  cutFromStore(index: number): void {
    this.storeProxies[index].isPartitioned = true
    this.storeProxies[index].stallOpenConnections()
  }

  /** Lets a gateway that was cut off open new connections to the store. */
  reconnectToStore(index: number): void {
    this.storeProxies[index].isPartitioned = false
  }

  private async createGateway(index: number, storeAddress: string): Promise<GatewayChild> {
    this.storeProxies[index] = new StoreProxy(storeAddress)
    const proxyAddress = await this.storeProxies[index].start()
    const failureDomain = FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]
    const gateway = new GatewayChild(`gateway-${index}`, proxyAddress, this.directory, { failureDomain, load: ['start-wait-ms = 1000'], retry: ['ratio = 1', 'extra = 1000'] })
    gateway.keepsPorts = true
    return gateway
  }

  private async startBackend(service: string, version: string | undefined): Promise<StandInBackend> {
    const backend = new StandInBackend(`${service}-${this.started++}`, service)
    backend.softwareVersion = version
    backend.respond = streamVersion(version ?? 'unnamed')
    await backend.start()
    this.backends.push(backend)
    return backend
  }
}

function readGauge(metrics: string, name: string): number {
  return Number(new RegExp(`^${name} (\\d+)$`, 'm').exec(metrics)?.[1])
}

/** The state of a backend server as a gateway logged its last change; undefined if it has not changed. */
function lastState(log: string, id: string): string | undefined {
  const draining = [...log.matchAll(new RegExp(`"event":"backend-state".*"backend":"${id}".*"draining":(true|false)`, 'g'))].at(-1)?.[1]
  return draining && (draining === 'true' ? 'draining' : 'ready')
}

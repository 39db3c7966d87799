import type { EventLog } from '@eidermast/common'
/**
 * One gateway process: its parts, its start and its orderly end.
 */
import type { Server, ServerResponse } from 'node:http'
import type { BackendCodec } from '../connection/backend-client.js'
import type { ClientCodec } from '../connection/client-codec.js'
import type { Member } from '../connection/member.js'
import type { StageClient } from '../connection/stage-client.js'
import type { ConfigurationDecoder } from '../version/configuration-holder.js'
import type { GatewaySettings } from './gateway-settings.js'
import type { MemberDirectory } from './membership/members.js'
import { createServer } from 'node:http'
import { OutlierEjection } from '@eidermast/common'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { BackendConnections } from '../connection/backend-connections.js'
import { ClientServer } from '../connection/client-server.js'
import { HttpBackendClient } from '../connection/http-backend-client.js'
import { PeerClients } from '../connection/peer-clients.js'
import { createPeerRouter } from '../connection/peer-router.js'
import { LeastLoadChoice, PrefixAwareChoice } from '../request/backend-choice.js'
import { BackendRunner } from '../request/backend-runner.js'
import { PassThrough } from '../request/pass-through.js'
import { RetryBudget } from '../request/retry-budget.js'
import { ConfigurationHolder } from '../version/configuration-holder.js'
import { BackendRegistry } from './backend-registry.js'
import { GatewayMetrics } from './gateway-metrics.js'
import { Members } from './membership/members.js'
import { SharedPreparer } from './stages/shared-preparer.js'
import { StageCoordinator } from './stages/stage-coordinator.js'

/** Follows the platform's configuration until the signal aborts. */
export interface ConfigurationSource {
  follow: (offer: (text: string) => void, signal: AbortSignal) => Promise<void>
}

/** Follows the platform's registry of backend servers until the signal aborts. */
export interface BackendSource {
  follow: (registry: BackendRegistry, signal: AbortSignal) => Promise<void>
}

/** What a platform brings to a gateway. */
export interface PlatformAdapter {
  configurationSource: ConfigurationSource
  decodeConfiguration: ConfigurationDecoder
  backendSource: BackendSource
  memberDirectory: MemberDirectory
  clientCodec: ClientCodec
  backendCodec: BackendCodec
  stageClient: (connections: BackendConnections) => StageClient
}

/** Gateways that may come while this one shares limits with those it knows. */
const SPARE_GATEWAYS = 1
/** A kept connection may still bring requests for this long after the balancer looked away, in milliseconds. */
const DRAIN_SERVE_MS = 3200
/** The listener closes this long after the end was asked for, in milliseconds. */
const DRAIN_CLOSE_MS = 4000
/** Kept of the grace period for the process's end, in milliseconds. */
const END_MARGIN_MS = 400
const END_CHECK_MS = 50

/** A gateway with all its parts. */
export class Gateway {
  readonly log: EventLog
  readonly metrics = new GatewayMetrics()
  readonly configuration: ConfigurationHolder
  readonly registry: BackendRegistry
  readonly members: Members
  readonly clients: ClientServer
  private readonly stageCoordinator: StageCoordinator
  private readonly peers = new PeerClients()
  private readonly connections: BackendConnections
  private readonly ending = new AbortController()
  private stopping = false
  private fetching = false
  private readonly self: Member
  private readonly servers: Server[] = []
  private ready = false

  constructor(private readonly settings: GatewaySettings, private readonly platform: PlatformAdapter, log: EventLog) {
    this.log = log
    this.self = { name: settings.process.name, address: `${settings.process.host}:${settings.listen['peer-port']}` }
    this.configuration = new ConfigurationHolder(platform.decodeConfiguration, log)
    this.registry = new BackendRegistry(log)
    this.members = new Members(this.self, { heartbeat: member => this.heartbeat(member) }, log, (member, version) => void this.learnVersion(member, version))
    this.connections = new BackendConnections(service => this.connectionShare(service))
    const budget = new RetryBudget({ ratio: settings.retry.ratio, extra: settings.retry.extra, windowMs: settings.retry['window-ms'] }, () => this.gatewayCount())
    const stageBudget = new RetryBudget({ ratio: 0, extra: settings.retry.extra, windowMs: settings.retry['window-ms'] }, () => 1 + SPARE_GATEWAYS)
    this.stageCoordinator = new StageCoordinator(this.registry, platform.stageClient(this.connections), { takeRepeats: service => stageBudget.takeRepeat(service) }, log)
    const ejection = new OutlierEjection()
    const runner = new BackendRunner({
      failureDomain: settings.process.failureDomain,
      registry: this.registry,
      client: new HttpBackendClient(this.connections, platform.backendCodec),
      ejection,
      plainChoice: new LeastLoadChoice(ejection),
      engineChoice: new PrefixAwareChoice(ejection),
      budget,
      log,
      isEngine: service => this.configuration.table?.findService(service)?.engine !== undefined,
    })
    const preparer = new SharedPreparer(this.members, this.stageCoordinator, this.peers, log)
    this.clients = new ClientServer(new PassThrough({ configuration: this.configuration, preparer, runner, metrics: this.metrics, log }), platform.clientCodec, this.configuration, log)
    this.members.onCoordinatorChange(() => this.takeCoordinatorChange())
    this.configuration.onChange(table => this.stageCoordinator.applyConfiguration(table))
    this.registry.listen({ removed: backend => this.connections.forget(backend.id) })
  }

  /** Listens, then follows the platform; ready when a configuration and backend servers are known. */
  async start(): Promise<void> {
    this.log.write('start', { pid: process.pid, startMs: Math.round(performance.now()) })
    const { listen } = this.settings
    await this.clients.listen(listen.clients.port, listen.clients.host)
    await this.serve(createServer((_, response) => {
      response.writeHead(this.isReady() ? 200 : 503).end()
    }), listen.readiness.port, listen.readiness.host)
    await this.serve(createServer(createHTTPHandler({ router: createPeerRouter(this.peerService()) })), listen['peer-port'], this.settings.process.host)
    await this.serve(createServer((_, response) => void this.serveMetrics(response)), listen['metrics-port'], this.settings.process.host)
    this.metrics.addGauges({
      activeRequests: () => this.clients.activeRequests,
      configurationVersion: () => this.configuration.version,
      backends: () => this.registry.size,
      members: () => this.members.count,
      isCoordinator: () => this.members.isCoordinator,
    })
    const { signal } = this.ending
    void this.platform.configurationSource.follow(text => this.configuration.offer(text, 'platform'), signal)
    void this.platform.backendSource.follow(this.registry, signal)
    void this.platform.memberDirectory.follow(this.members, signal)
    void this.platform.memberDirectory.announce(this.self, signal)
    this.members.start()
    this.log.write('listening', { startMs: Math.round(performance.now()) })
  }

  /** Serves on until the balancer has looked away and all is answered, or the grace period is over. */
  async drain(): Promise<void> {
    const startedAt = performance.now()
    const elapsed = (): number => performance.now() - startedAt
    const latest = this.settings.process['grace-period-ms'] - END_MARGIN_MS
    this.log.write('stop', { active: this.clients.activeRequests, graceMs: latest })
    this.stopping = true
    this.members.markStopping(this.self)
    this.clients.beginDrain()
    void this.platform.memberDirectory.withdraw(this.self)
    setTimeout(() => this.clients.refuseNew(), DRAIN_SERVE_MS)
    setTimeout(() => this.clients.close(), DRAIN_CLOSE_MS)
    while (elapsed() < latest && (elapsed() < DRAIN_CLOSE_MS || this.clients.activeRequests > 0))
      await new Promise(resolve => setTimeout(resolve, END_CHECK_MS))
    this.ending.abort()
    this.log.write('stopped', { active: this.clients.activeRequests, tookMs: Math.round(elapsed()) })
  }

  /** Ends at once: closes every listener and connection. */
  async close(): Promise<void> {
    this.ending.abort()
    this.members.stop()
    this.stageCoordinator.stop()
    this.clients.close()
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
    await Promise.all([this.peers.close(), this.connections.close()])
  }

  private takeCoordinatorChange(): void {
    this.stageCoordinator.expectOtherCoordinator()
    if (this.members.isCoordinator)
      this.stageCoordinator.takeOver()
    else if (this.stopping)
      this.stageCoordinator.handOver()
  }

  private isReady(): boolean {
    const ready = !this.stopping && this.configuration.table !== undefined && this.registry.size > 0
    if (ready !== this.ready)
      this.log.write('readiness', { ready, configuration: this.configuration.version, backends: this.registry.size })
    this.ready = ready
    return ready
  }

  private peerService() {
    return {
      heartbeat: (heartbeat: { name: string, address: string, version: number }) => {
        void this.learnVersion(heartbeat, heartbeat.version)
        return { version: this.configuration.version, stopping: this.stopping }
      },
      configuration: () => this.configuration.record,
      prepare: this.stageCoordinator.prepare.bind(this.stageCoordinator),
      release: (requestIds: string[]) => requestIds.forEach(id => this.stageCoordinator.release(id)),
    }
  }

  private heartbeat(member: Member) {
    return this.peers.heartbeat(member, { ...this.self, version: this.configuration.version })
  }

  /** Takes a newer configuration from a peer, where the platform's store did not bring it. */
  private async learnVersion(member: Member, version: number): Promise<void> {
    if (version <= this.configuration.version || this.fetching)
      return
    this.fetching = true
    try {
      const record = await this.peers.configuration(member)
      if (record)
        this.configuration.offer(record.text, member.name)
    }
    catch (error) {
      this.log.write('peer-configuration-failed', { member: member.name, error: error instanceof Error ? error.message : String(error) })
    }
    this.fetching = false
  }

  private gatewayCount(): number {
    return this.members.count + SPARE_GATEWAYS
  }

  private connectionShare(service: string): number {
    const limit = this.configuration.table?.findService(service)?.maxConnections ?? 0
    return Math.floor(limit / this.gatewayCount())
  }

  private async serve(server: Server, port: number, host: string): Promise<void> {
    this.servers.push(server)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, () => resolve())
    })
  }

  private async serveMetrics(response: ServerResponse): Promise<void> {
    response.writeHead(200, { 'content-type': this.metrics.registry.contentType })
    response.end(await this.metrics.registry.metrics())
  }
}

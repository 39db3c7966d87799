import type { EventLog } from '@eidermast/common'
/**
 * One gateway process: its parts, its start and its orderly end.
 */
import type { Server, ServerResponse } from 'node:http'
import type { ReplicaCodec } from '../connection/backend-client.js'
import type { ClientCodec } from '../connection/client-codec.js'
import type { StageClient } from '../connection/stage-client.js'
import type { ConfigurationDecoder } from '../version/configuration-holder.js'
import type { GatewaySettings } from './gateway-settings.js'
import type { Member, MemberDirectory } from './membership/members.js'
import { createServer } from 'node:http'
import { OutlierEjection } from '@eidermast/common'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { ReplicaConnections } from '../connection/backend-connections.js'
import { ClientServer } from '../connection/client-server.js'
import { HttpReplicaClient } from '../connection/http-backend-client.js'
import { PeerClients } from '../connection/peer-clients.js'
import { createPeerRouter } from '../connection/peer-router.js'
import { LeastLoadChoice, PrefixAwareChoice } from '../request/backend-choice.js'
import { ReplicaRunner } from '../request/backend-runner.js'
import { PassThrough } from '../request/pass-through.js'
import { RetryBudget } from '../request/retry-budget.js'
import { ConfigurationHolder } from '../version/configuration-holder.js'
import { ReplicaRegistry } from './backend-registry.js'
import { GatewayMetrics } from './gateway-metrics.js'
import { Members } from './membership/members.js'
import { SharedPreparer } from './stages/shared-preparer.js'
import { StageScheduler } from './stages/stage-coordinator.js'
import { ShiftedTargetOrder } from './stages/stage-order.js'

/** Follows the platform's configuration until the signal aborts. */
export interface ConfigurationSource {
  follow: (offer: (text: string) => void, signal: AbortSignal) => Promise<void>
}

/** Follows the platform's registry of replicas until the signal aborts. */
export interface ReplicaSource {
  follow: (registry: ReplicaRegistry, signal: AbortSignal) => Promise<void>
}

/** What a platform brings to a gateway. */
export interface PlatformAdapter {
  configurationSource: ConfigurationSource
  decodeConfiguration: ConfigurationDecoder
  replicaSource: ReplicaSource
  memberDirectory: MemberDirectory
  clientCodec: ClientCodec
  replicaCodec: ReplicaCodec
  stageClient: (connections: ReplicaConnections) => StageClient
}

/** Gateways that may come while this one shares limits with those it knows. */
const SPARE_SHARERS = 1
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
  readonly registry: ReplicaRegistry
  readonly members: Members
  readonly clients: ClientServer
  private readonly scheduler: StageScheduler
  private readonly peers = new PeerClients()
  private readonly connections: ReplicaConnections
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
    this.registry = new ReplicaRegistry(log)
    this.members = new Members(this.self, { greet: member => this.greet(member) }, log, (member, version) => void this.learnVersion(member, version))
    this.connections = new ReplicaConnections(service => this.connectionShare(service))
    const budget = new RetryBudget({ ratio: settings.retry.ratio, extra: settings.retry.extra, windowMs: settings.retry['window-ms'] }, () => this.sharers())
    const stageBudget = new RetryBudget({ ratio: 0, extra: settings.retry.extra, windowMs: settings.retry['window-ms'] }, () => 1 + SPARE_SHARERS)
    this.scheduler = new StageScheduler(this.registry, platform.stageClient(this.connections), new ShiftedTargetOrder(), { takeRepeats: service => stageBudget.takeRepeat(service) }, log)
    const ejection = new OutlierEjection()
    const runner = new ReplicaRunner({
      zone: settings.process.zone,
      registry: this.registry,
      client: new HttpReplicaClient(this.connections, platform.replicaCodec),
      ejection,
      plainChoice: new LeastLoadChoice(ejection),
      engineChoice: new PrefixAwareChoice(ejection),
      budget,
      log,
      isEngine: service => this.configuration.table?.findService(service)?.engine !== undefined,
    })
    const preparer = new SharedPreparer(this.members, this.scheduler, this.peers, log)
    this.clients = new ClientServer(new PassThrough({ configuration: this.configuration, preparer, runner, metrics: this.metrics, log }), platform.clientCodec, this.configuration, log)
    this.members.onOwnerChange(() => this.takeOwnerChange())
    this.configuration.onChange(table => this.scheduler.applyConfiguration(table))
    this.registry.listen({ removed: replica => this.connections.forget(replica.id) })
  }

  /** Listens, then follows the platform; ready when a configuration and replicas are known. */
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
      replicas: () => this.registry.size,
      members: () => this.members.count,
      ownsStages: () => this.members.ownsStages,
    })
    const { signal } = this.ending
    void this.platform.configurationSource.follow(text => this.configuration.offer(text, 'platform'), signal)
    void this.platform.replicaSource.follow(this.registry, signal)
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
    this.scheduler.stop()
    this.clients.close()
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
    await Promise.all([this.peers.close(), this.connections.close()])
  }

  private takeOwnerChange(): void {
    this.scheduler.expectOthers()
    if (this.members.ownsStages)
      this.scheduler.takeOver()
    else if (this.stopping)
      this.scheduler.handOver()
  }

  private isReady(): boolean {
    const ready = !this.stopping && this.configuration.table !== undefined && this.registry.size > 0
    if (ready !== this.ready)
      this.log.write('readiness', { ready, configuration: this.configuration.version, replicas: this.registry.size })
    this.ready = ready
    return ready
  }

  private peerService() {
    return {
      greet: (greeting: { name: string, address: string, version: number }) => {
        void this.learnVersion(greeting, greeting.version)
        return { version: this.configuration.version, stopping: this.stopping }
      },
      configuration: () => this.configuration.record,
      prepare: this.scheduler.prepare.bind(this.scheduler),
      release: (requestIds: string[]) => requestIds.forEach(id => this.scheduler.release(id)),
    }
  }

  private greet(member: Member) {
    return this.peers.greet(member, { ...this.self, version: this.configuration.version })
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

  private sharers(): number {
    return this.members.count + SPARE_SHARERS
  }

  private connectionShare(service: string): number {
    const limit = this.configuration.table?.findService(service)?.maxConnections ?? 0
    return Math.floor(limit / this.sharers())
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

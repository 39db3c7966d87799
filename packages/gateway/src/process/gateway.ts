/**
 * One gateway process: builds the parts, wires them, and starts and ends them.
 * It owns all state of the process, in memory only. When the process dies,
 * clients and peers see broken connections; the next process reads
 * configuration, backend servers and members from the platform again.
 */
import type { EventLog } from '@eidermast/common'
import type { Backend } from '../connection/backends/backend.js'
import type { Member } from '../connection/peers/member.js'
import type { HeartbeatReply } from '../connection/peers/peer-messages.js'
import type { StageShard } from '../connection/peers/stage-shard.js'
import type { RetryBudgetSettings } from '../request/attempts/retry-budget.js'
import type { GatewaySettings } from './gateway-settings.js'
import type { SelfDescription } from './peer-service.js'
import type { PlatformAdapter } from './platform-adapter.js'
import { createServer } from 'node:http'
import { OutlierEjection } from '@eidermast/common'
import { BackendConnections } from '../connection/backends/backend-connections.js'
import { HttpBackendClient } from '../connection/backends/http-backend-client.js'
import { checkByConnection } from '../connection/backends/presence-check.js'
import { ClientServer } from '../connection/clients/client-server.js'
import { PeerClients } from '../connection/peers/peer-clients.js'
import { createPeerHandler } from '../connection/peers/peer-handler.js'
import { createPeerRouter } from '../connection/peers/peer-router.js'
import { BackendRunner } from '../request/attempts/backend-runner.js'
import { ColdStartLimiter } from '../request/attempts/cold-start-limiter.js'
import { LeastLoadPolicy, PrefixAwarePolicy } from '../request/attempts/load-balancing.js'
import { RetryBudget } from '../request/attempts/retry-budget.js'
import { SlottedRateLimiter } from '../request/attempts/slotted-rate-limiter.js'
import { ProxyRequestHandler } from '../request/proxy-request-handler.js'
import { ConfigurationHolder } from '../version/configuration-holder.js'
import { BackendList } from './backend-list.js'
import { BackendRegistry } from './backend-registry.js'
import { CallReports } from './call-reports.js'
import { CommonLimits } from './common-limits.js'
import { CoordinatorReads } from './coordinator-reads.js'
import { CrashBoard } from './crashes/crash-board.js'
import { CrashWitness } from './crashes/crash-witness.js'
import { drainClients } from './drain/drain-clients.js'
import { latestEndMs } from './drain/drain-plan.js'
import { EvacuationList } from './evacuation/evacuation-list.js'
import { GatewayLog } from './gateway-log.js'
import { GatewayMetrics } from './gateway-metrics.js'
import { countSharingGateways } from './gateway-share.js'
import { BackendIntakes } from './intake/backend-intakes.js'
import { createMetricsServer, createReadinessServer, InternalServers } from './internal-servers.js'
import { HeardPeers } from './membership/heard-peers.js'
import { Members } from './membership/members.js'
import { GatewayPeerService } from './peer-service.js'
import { Readiness } from './readiness.js'
import { ShardsByPrompt } from './stages/shard-choice.js'
import { SharedPreparer } from './stages/shared-preparer.js'
import { CoordinatorRole, StageCoordinators } from './stages/stage-coordinators.js'
import { SuspensionWatch } from './suspension.js'

/** A gateway with all its parts. */
export class Gateway {
  readonly metrics = new GatewayMetrics()
  readonly configuration: ConfigurationHolder
  readonly registry: BackendRegistry
  readonly backendList: BackendList
  readonly evacuations: EvacuationList
  readonly members: Members
  readonly crashBoard: CrashBoard
  readonly clients: ClientServer
  private readonly self: Member
  private readonly gatewayLog: GatewayLog
  private readonly peers = new PeerClients()
  private readonly peerService: GatewayPeerService
  private readonly heardPeers = new HeardPeers()
  private readonly commonLimits: CommonLimits
  private readonly connections: BackendConnections
  private readonly intakes: BackendIntakes
  private readonly stageCoordinators: StageCoordinators
  private readonly readiness: Readiness
  private readonly internalServers = new InternalServers()
  private readonly coordinatorReads = new CoordinatorReads(() => this.platform.readAnew())
  private readonly suspensionWatch = new SuspensionWatch(awayMs => this.takeWake(awayMs))
  /** Ends what follows the platform. */
  private readonly ending = new AbortController()
  private stopping = false

  constructor(private readonly settings: GatewaySettings, private readonly platform: PlatformAdapter, private readonly log: EventLog) {
    const { name, host, failureDomain, 'core-share': coreShare } = settings.process
    this.self = { name, address: `${host}:${settings.listen['peer-port']}`, failureDomain, coreShare }
    this.gatewayLog = new GatewayLog(log)
    this.configuration = new ConfigurationHolder(platform.decodeConfiguration, log)
    this.registry = new BackendRegistry(log, service => this.configuration.table?.findService(service)?.coldStartMs ?? 0)
    this.backendList = new BackendList(this.registry, log)
    this.evacuations = new EvacuationList(this.gatewayLog, evacuated => this.registry.setEvacuated(evacuated))
    this.crashBoard = this.createCrashBoard()
    this.members = this.createMembers()
    this.commonLimits = this.createCommonLimits()
    const rateLimiter = new SlottedRateLimiter(backend => this.commonLimits.ofLimit(backend))
    this.intakes = new BackendIntakes(this.registry, platform.backendCodec.readNotice, rateLimiter, this.gatewayLog)
    this.connections = this.createConnections()
    this.stageCoordinators = this.createStageCoordinators()
    this.peerService = this.createPeerService()
    this.clients = this.createClientServer()
    this.readiness = new Readiness(this.gatewayLog)
    this.members.onShardChange(shard => this.takeCoordinatorChange(shard))
    this.configuration.onChange(table => this.stageCoordinators.applyConfiguration(table))
    this.registry.listen({ removed: backend => this.connections.forget(backend), stateChanged: backend => this.takeStateChange(backend) })
  }

  /**
   * Listens, then follows the platform; ready when a configuration and backend
   * servers are known. Rejects where an address cannot be had.
   */
  async start(): Promise<void> {
    this.gatewayLog.started()
    await this.listen()
    this.metrics.addGauges(this)
    this.followPlatform()
    this.members.start()
    this.suspensionWatch.start()
    this.gatewayLog.listening()
  }

  /** Serves on until the balancer sends no more and all is answered, or the grace period is over. */
  async drain(): Promise<void> {
    const startedAt = performance.now()
    const gracePeriodMs = this.settings.process['grace-period-ms']
    this.gatewayLog.stopRequested(this.clients.activeRequests, latestEndMs(gracePeriodMs))
    this.stopping = true
    this.members.markStopping(this.self)
    void this.platform.memberDirectory.withdraw(this.self)
    await drainClients(this.clients, gracePeriodMs, () => this.members.othersServe)
    this.ending.abort()
    this.gatewayLog.stopped(this.clients.activeRequests, performance.now() - startedAt)
  }

  /** Ends at once: closes every listener and connection. */
  async close(): Promise<void> {
    this.ending.abort()
    this.members.stop()
    this.suspensionWatch.stop()
    this.stageCoordinators.stop()
    this.clients.close()
    this.internalServers.close()
    await Promise.all([this.peers.close(), this.connections.close()])
  }

  private createMembers(): Members {
    const contact = {
      heartbeat: (member: Member) => this.peers.heartbeat(member, { ...this.self, ...this.peerService.heldFor(member) }),
    }
    return new Members(this.self, contact, this.log, (member, reply) => this.takeReply(member, reply))
  }

  private takeReply(member: Member, reply: HeartbeatReply): void {
    if (member.name === this.members.coordinator.name)
      this.coordinatorReads.takeWord(member.name, reply.sourceAway ?? false)
    this.peerService.learn(member, reply)
  }

  /** What this process tells of itself in answer to a heartbeat, beside what it holds. */
  private describeSelf(): SelfDescription {
    const { isSelfSlow, selfOrder } = this.members
    return { stopping: this.stopping, slow: isSelfSlow, announcementOrder: selfOrder, sourceAway: this.backendList.isSourceAway || undefined }
  }

  private createCrashBoard(): CrashBoard {
    const { gatewayLog, platform, log, self: { name } } = this
    const witness = new CrashWitness({
      checkPresence: checkByConnection,
      log: gatewayLog,
      onCrash: (crash) => {
        this.metrics.countCrash(crash.backend.service)
        this.crashBoard.noteCrash(crash)
      },
    })
    return new CrashBoard({ name, ledger: platform.crashLedger, log, witness, restoresOthers: () => !this.members.isTold })
  }

  private createCommonLimits(): CommonLimits {
    return new CommonLimits({
      members: this.members,
      heardGateways: () => this.heardPeers.count(performance.now()),
      findService: name => this.configuration.table?.findService(name),
      coldAllowance: this.platform.coldAllowance,
    })
  }

  private createConnections(): BackendConnections {
    const reports = new CallReports(this.metrics, this.gatewayLog)
    return new BackendConnections(service => this.commonLimits.connections(service), reports, this.intakes)
  }

  /** This process may have been away: what it knows may be old, and others may have decided meanwhile. */
  private takeWake(awayMs: number): void {
    this.gatewayLog.woke(awayMs)
    this.platform.readAnew()
    this.members.meetAgain()
  }

  private takeStateChange(backend: Backend): void {
    if (!backend.takesWork)
      this.connections.turnAwayWaiting(backend)
  }

  private createStageCoordinators(): StageCoordinators {
    const client = this.platform.stageClient(this.connections)
    const retryBudget = new RetryBudget({ ...this.retryAllowance(), ratio: 0 }, () => countSharingGateways(this.members.shards.length))
    const coldPace = new ColdStartLimiter(this.self.name, service => this.commonLimits.coordinatedColdRate(service))
    return new StageCoordinators({ registry: this.registry, client, retryBudget, crashes: this.crashBoard, coldPace, intake: this.intakes, log: this.log })
  }

  private createBackendRunner(): BackendRunner {
    const ejection = new OutlierEjection()
    return new BackendRunner({
      failureDomain: this.settings.process.failureDomain,
      registry: this.registry,
      client: new HttpBackendClient(this.connections, this.platform.backendCodec),
      ejection,
      plainPolicy: new LeastLoadPolicy(ejection),
      enginePolicy: new PrefixAwarePolicy(ejection),
      budget: new RetryBudget(this.retryAllowance(), () => this.commonLimits.sharingGateways()),
      crashes: this.crashBoard,
      coldStartLimiter: new ColdStartLimiter(this.self.name, service => this.commonLimits.ownColdRate(service)),
      intake: this.intakes,
      log: this.log,
      isEngine: service => this.configuration.table?.findService(service)?.engine !== undefined,
    })
  }

  private createClientServer(): ClientServer {
    const requestHandler = new ProxyRequestHandler({
      configuration: this.configuration,
      preparer: new SharedPreparer(this.members, this.stageCoordinators, this.peers, this.log, new ShardsByPrompt(this.members, this.registry)),
      runner: this.createBackendRunner(),
      crashes: this.crashBoard,
      metrics: this.metrics,
      log: this.log,
    })
    return new ClientServer(requestHandler, this.platform.clientCodec, this.configuration, this.log)
  }

  private createPeerService(): GatewayPeerService {
    return new GatewayPeerService({
      holder: this.configuration,
      backendList: this.backendList,
      evacuations: this.evacuations,
      limits: this.intakes.limitExchange,
      leaving: this.intakes.leavingExchange,
      heardPeers: this.heardPeers,
      peers: this.peers,
      stageCoordinator: this.stageCoordinators,
      crashes: this.crashBoard.peerExchange,
      describeSelf: () => this.describeSelf(),
      log: this.gatewayLog,
    })
  }

  private async listen(): Promise<void> {
    const { clients, readiness, 'peer-port': peerPort, 'metrics-port': metricsPort } = this.settings.listen
    const { host } = this.settings.process
    const peerServer = createServer(createPeerHandler(createPeerRouter(this.peerService)))
    await this.clients.listen(clients.port, clients.host)
    await this.internalServers.listen(createReadinessServer(() => this.isReady()), readiness.port, readiness.host)
    await this.internalServers.listen(peerServer, peerPort, host)
    await this.internalServers.listen(createMetricsServer(this.metrics.registry), metricsPort, host)
  }

  private isReady(): boolean {
    const { stopping, configuration, registry } = this
    return this.readiness.check({ stopping, configurationVersion: configuration.version, backends: registry.size })
  }

  private followPlatform(): void {
    const { signal } = this.ending
    const { operatorSource, backendSource, memberDirectory, crashLedger } = this.platform
    const operatorSink = { offerConfiguration: (text: string) => void this.configuration.offer(text, 'platform'), evacuations: this.evacuations }
    void operatorSource.follow(operatorSink, this.members, signal)
    void backendSource.follow(this.backendList, this.members, signal)
    void memberDirectory.follow(this.members, signal)
    void crashLedger.follow(this.crashBoard, this.members, signal)
    void memberDirectory.announce(this.self, signal)
  }

  private takeCoordinatorChange(shard: StageShard): void {
    this.stageCoordinators.takeChange(shard, this.roleIn(shard))
  }

  private roleIn(shard: StageShard): CoordinatorRole {
    if (this.members.coordinatorOf(shard).name === this.self.name)
      return CoordinatorRole.Coordinates
    return this.stopping ? CoordinatorRole.Leaves : CoordinatorRole.HandsOver
  }

  /** The allowance of retries of all gateways together. */
  private retryAllowance(): RetryBudgetSettings {
    const { ratio, extra, 'window-ms': windowMs } = this.settings.retry
    return { ratio, extra, windowMs }
  }
}

/**
 * One gateway process: creates its components, connects them, and starts and
 * stops them. All state is in memory. When the process ends, clients and peers
 * see broken connections; a new process loads the configuration, backend servers
 * and members from the platform again.
 */
import type { EventLog } from '@eidermast/common'
import type { Backend } from '../connection/backends/backend.js'
import type { Member } from '../connection/peers/member.js'
import type { HeartbeatReply } from '../connection/peers/peer-messages.js'
import type { StageShard } from '../connection/peers/stage-shard.js'
import type { AccountShares } from '../request/admission/account-shares.js'
import type { RequestAdmission } from '../request/admission/request-admission.js'
import type { RetryBudgetSettings } from '../request/attempts/retry-budget.js'
import type { LoadEstimator } from '../request/load/load-estimator.js'
import type { PortLimits } from './connection-limits.js'
import type { GatewaySettings } from './gateway-settings.js'
import type { AccountSharing } from './load/account-sharing.js'
import type { SelfDescription } from './peer-service.js'
import type { PlatformAdapter } from './platform-adapter.js'
import { MemoryPool, OutlierEjection } from '@eidermast/common'
import { BackendConnections } from '../connection/backends/backend-connections.js'
import { HttpBackendClient } from '../connection/backends/http-backend-client.js'
import { checkByConnection } from '../connection/backends/presence-check.js'
import { ClientServer } from '../connection/clients/client-server.js'
import { HeldBytes } from '../connection/held/held-bytes.js'
import { PeerClients } from '../connection/peers/peer-clients.js'
import { createPeerHandler } from '../connection/peers/peer-handler.js'
import { createPeerRouter } from '../connection/peers/peer-router.js'
import { AdaptiveAdmission } from '../request/admission/adaptive-admission.js'
import { AdmitAll } from '../request/admission/request-admission.js'
import { BackendRunner } from '../request/attempts/backend-runner.js'
import { ColdStartLimiter } from '../request/attempts/cold-start-limiter.js'
import { LeastTimePolicy } from '../request/attempts/least-time.js'
import { LeastLoadPolicy, PrefixAwarePolicy } from '../request/attempts/load-balancing.js'
import { RetryBudget } from '../request/attempts/retry-budget.js'
import { SlottedRateLimiter } from '../request/attempts/slotted-rate-limiter.js'
import { ReportedLoadEstimator } from '../request/load/load-estimator.js'
import { MeasuredLoadEstimator } from '../request/load/measured-load-estimator.js'
import { ProxyRequestHandler } from '../request/proxy-request-handler.js'
import { ConfigurationHolder } from '../version/configuration-holder.js'
import { BackendList } from './backend-list.js'
import { BackendRegistry } from './backend-registry.js'
import { CallReporter } from './call-reporter.js'
import { ConfigurationRefresh } from './configuration-refresh.js'
import { decideConnectionLimits } from './connection-limits.js'
import { CoordinatorOutageWatch } from './coordinator-outage-watch.js'
import { CrashDetector } from './crashes/crash-detector.js'
import { CrashTracker } from './crashes/crash-tracker.js'
import { DirectoryLagWatch } from './directory-lag-watch.js'
import { drainClients } from './drain/drain-clients.js'
import { latestEndMs } from './drain/drain-plan.js'
import { EvacuationList } from './evacuation/evacuation-list.js'
import { GatewayLog } from './gateway-log.js'
import { GatewayMetrics } from './gateway-metrics.js'
import { AccountShareMode, AdmissionMode, BackendSpeedMode, StageSharingMode } from './gateway-settings.js'
import { decideHeldLimit } from './held-limit.js'
import { BackendIntakes } from './intake/backend-intakes.js'
import { createMetricsListener, createReadinessListener, InternalServers } from './internal-servers.js'
import { createMaxMinSharing, NO_SHARING } from './load/account-sharing.js'
import { NoInFlightExchange } from './load/in-flight-exchange.js'
import { LoadExchange } from './load/load-exchange.js'
import { SharedInFlight } from './load/shared-in-flight.js'
import { countSlowBackends } from './load/slow-backends.js'
import { ActivePeers } from './membership/active-peers.js'
import { Members } from './membership/members.js'
import { GatewayPeerService } from './peer-service.js'
import { PeerUpdates } from './peer-updates.js'
import { Readiness } from './readiness.js'
import { RetryShare } from './retry-share.js'
import { SharedLimits } from './shared-limits.js'
import { PromptShardChoice } from './stages/shard-choice.js'
import { SharedPreparer } from './stages/shared-preparer.js'
import { FairStageSharing } from './stages/sharing/fair-stage-sharing.js'
import { CoordinatorRole, StageCoordinators } from './stages/stage-coordinators.js'
import { StageRetryShare } from './stages/stage-retry-share.js'
import { StartupGate } from './startup-gate.js'
import { SuspensionDetector } from './suspension.js'
import { ListRefresh } from './versions/list-refresh.js'
import { OriginFinder } from './versions/origin-finder.js'
import { longestStreamLifeMs, maxStreamLifeMs, resumableServices } from './versions/stream-life.js'
import { StreamReporter } from './versions/stream-reporter.js'
import { StreamVersions } from './versions/stream-versions.js'
import { VersionHistory } from './versions/version-history.js'
import { VersionLedger } from './versions/version-ledger.js'

/** A gateway process with all its components. */
export class Gateway {
  readonly metrics = new GatewayMetrics()
  readonly configuration: ConfigurationHolder
  readonly registry: BackendRegistry
  readonly backendList: BackendList
  readonly evacuations: EvacuationList
  readonly members: Members
  readonly crashTracker: CrashTracker
  readonly held: HeldBytes
  readonly accountSharing: AccountSharing
  readonly clients: ClientServer
  private readonly self: Member
  private readonly gatewayLog: GatewayLog
  private readonly peers = new PeerClients()
  private readonly peerService: GatewayPeerService
  private readonly activePeers = new ActivePeers()
  private readonly sharedInFlight = new SharedInFlight({ called: () => this.calledPlainly(), isCoordinator: () => this.members.isCoordinator })
  private readonly loadExchange: LoadExchange
  private readonly sharedLimits: SharedLimits
  private readonly retryShare: RetryShare
  private readonly stageRetryShare: StageRetryShare
  private readonly versionHistory: VersionHistory
  private readonly versionLedger: VersionLedger
  private readonly streamVersions: StreamVersions
  private readonly connections: BackendConnections
  private readonly intakes: BackendIntakes
  private readonly estimator: LoadEstimator
  private readonly stageCoordinators: StageCoordinators
  private readonly readiness: Readiness
  private readonly portLimits: PortLimits
  /** Shared by the connections of all ports. */
  private readonly connectionMemory: MemoryPool
  private readonly internalServers: InternalServers
  private readonly coordinatorOutages = new CoordinatorOutageWatch(() => this.platform.restartReads())
  private readonly peerUpdates = new PeerUpdates({
    count: () => this.members.count,
    isCoordinator: () => this.members.isCoordinator,
    isCoordinatorUnavailable: () => this.coordinatorOutages.isReported,
  })

  private readonly directoryLag: DirectoryLagWatch
  private readonly suspensionDetector = new SuspensionDetector(suspendedMs => this.handleResume(suspendedMs))
  /** Aborts everything that follows the platform. */
  private readonly shutdown = new AbortController()
  private stopping = false

  constructor(private readonly settings: GatewaySettings, private readonly platform: PlatformAdapter, private readonly log: EventLog) {
    const { name, host, failureDomain, 'core-share': coreShare } = settings.process
    this.self = { name, address: `${host}:${settings.listen['peer-port']}`, failureDomain, coreShare }
    this.gatewayLog = new GatewayLog(log)
    this.directoryLag = new DirectoryLagWatch(this.gatewayLog, () => platform.restartReads())
    this.configuration = new ConfigurationHolder(platform.decodeConfiguration, log)
    this.registry = new BackendRegistry(log, service => this.configuration.table?.findService(service)?.coldStartMs ?? 0)
    this.versionHistory = new VersionHistory(this.registry, {
      onChange: service => this.streamVersions.reportIfNeeded(service),
      lifeMs: service => this.streamLifeMs(service),
    })
    this.backendList = new BackendList(this.registry, log)
    this.evacuations = new EvacuationList(this.gatewayLog, evacuated => this.registry.setEvacuated(evacuated))
    this.crashTracker = this.createCrashTracker()
    this.members = this.createMembers()
    this.versionLedger = this.createVersionLedger()
    this.streamVersions = this.createStreamVersions()
    this.sharedLimits = this.createSharedLimits()
    this.retryShare = new RetryShare(settings.retry['window-ms'])
    this.stageRetryShare = new StageRetryShare(settings.retry['window-ms'])
    this.members.onCoordinatorChange(() => this.peerUpdates.handleCoordinatorChange())
    this.members.onListChange(gateways => this.retryShare.noteListed(gateways))
    this.accountSharing = this.createAccountSharing()
    this.loadExchange = new LoadExchange({ ...this.accountSharing.exchanges, inFlight: this.usesSpeed ? this.sharedInFlight : new NoInFlightExchange() })
    this.estimator = this.createEstimator()
    const rateLimiter = new SlottedRateLimiter(backend => this.sharedLimits.rateLimitShare(backend))
    this.intakes = new BackendIntakes(this.registry, platform.backendCodec.readNotice, rateLimiter, this.gatewayLog)
    this.connections = this.createConnections()
    this.stageCoordinators = this.createStageCoordinators()
    this.peerService = this.createPeerService()
    this.portLimits = decideConnectionLimits({ ...settings.connections, maxOpenFiles: settings.process.maxOpenFiles, memoryBytes: settings.process.memoryBytes })
    this.connectionMemory = new MemoryPool(this.portLimits.sharedBytes)
    this.internalServers = new InternalServers({ pool: this.connectionMemory, metrics: this.metrics }, log)
    this.held = this.createHeldBytes()
    this.clients = this.createClientServer()
    this.readiness = new Readiness(this.gatewayLog)
    this.members.onShardChange(shard => this.handleCoordinatorChange(shard))
    this.configuration.onChange(table => this.stageCoordinators.applyConfiguration(table))
    this.registry.listen({ removed: backend => this.connections.remove(backend), stateChanged: backend => this.handleBackendStateChange(backend) })
  }

  /**
   * Starts listening, then follows the platform. The gateway is ready once it has
   * a configuration and backend servers. Rejects if an address cannot be bound.
   */
  async start(): Promise<void> {
    this.gatewayLog.started()
    this.gatewayLog.heldLimitSet(this.held.limitBytes)
    await this.listen()
    this.metrics.addGauges(this)
    this.followPlatform()
    this.members.start()
    void this.streamVersions.start()
    this.suspensionDetector.start()
    this.gatewayLog.listening()
  }

  /** Shuts down gracefully: serves until the drain plan allows the process to end, shortly before the end of the grace period at the latest. */
  async drain(): Promise<void> {
    const startedAt = performance.now()
    const gracePeriodMs = this.settings.process['grace-period-ms']
    this.gatewayLog.stopRequested(this.clients.activeRequests, latestEndMs(gracePeriodMs))
    this.stopping = true
    this.members.markStopping(this.self)
    this.retryShare.noteStopping()
    void this.platform.memberDirectory.withdraw(this.self)
    await drainClients(this.clients, gracePeriodMs, () => this.members.othersServe)
    this.shutdown.abort()
    this.gatewayLog.stopped(this.clients.activeRequests, performance.now() - startedAt)
  }

  /** Stops immediately: closes every listener and connection. */
  async close(): Promise<void> {
    this.shutdown.abort()
    this.members.stop()
    this.suspensionDetector.stop()
    this.stageCoordinators.stop()
    this.clients.close()
    this.internalServers.close()
    await Promise.all([this.peers.close(), this.connections.close()])
  }

  private createMembers(): Members {
    const contact = {
      heartbeat: (member: Member) => this.peers.heartbeat(member, {
        ...this.self,
        ...this.peerService.sharedStateFor(member),
        load: this.loadExchange.report(member.name, performance.now()),
      }),
    }
    return new Members(this.self, contact, this.log, (member, reply) => this.handleHeartbeatReply(member, reply))
  }

  private handleHeartbeatReply(member: Member, reply: HeartbeatReply): void {
    if (reply.members !== undefined)
      this.retryShare.noteReported(reply.members)
    if (member.name === this.members.coordinator.name) {
      this.coordinatorOutages.handleReply(member.name, reply.sourceAway ?? false)
      this.directoryLag.handleReply(reply.members, this.members.count, performance.now())
      this.loadExchange.receiveAnswer(reply.load, performance.now())
    }
    this.configuration.notePeerAge(reply.version, reply.versionAgeMs, performance.now())
    this.peerService.applyPeerState(member, reply)
  }

  /** This process's own status in heartbeat replies, without the shared state. */
  private describeSelf(): SelfDescription {
    const { isSelfSlow, selfOrder } = this.members
    const versionAgeMs = this.configuration.ageMs(performance.now())
    return {
      stopping: this.stopping,
      slow: isSelfSlow,
      announcementOrder: selfOrder,
      members: this.members.count,
      sourceAway: this.backendList.isSourceUnavailable || undefined,
      versionAgeMs: Number.isFinite(versionAgeMs) ? Math.round(versionAgeMs) : undefined,
    }
  }

  private createCrashTracker(): CrashTracker {
    const { gatewayLog, platform, log, self: { name } } = this
    const detector = new CrashDetector({
      checkPresence: checkByConnection,
      log: gatewayLog,
      onCrash: (crash) => {
        this.metrics.countCrash(crash.backend.service)
        this.crashTracker.noteCrash(crash)
      },
    })
    return new CrashTracker({
      name,
      ledger: platform.crashLedger,
      log,
      detector,
      restoresOthers: () => this.members.isCoordinator,
      startsTrials: () => this.members.isCoordinator,
    })
  }

  private createVersionLedger(): VersionLedger {
    const { platform, members, versionHistory, log } = this
    return new VersionLedger({
      store: platform.records,
      isCoordinator: () => members.isCoordinator,
      services: () => resumableServices(this.configuration.table?.configuration),
      recentVersions: service => versionHistory.recent(service, this.streamLifeMs(service), performance.now()),
      onRecord: (service, version) => versionHistory.noteServed(service, version, performance.now()),
      log,
    })
  }

  /** The gateways that keep records of streams, as far as known. Before the directory is read, those that send heartbeats to this one. */
  private otherGateways(): readonly Member[] {
    const listed = this.members.others
    return listed.length > 0 ? listed : this.activePeers.members(performance.now())
  }

  private longestStreamLifeMs(): number {
    return longestStreamLifeMs(this.configuration.table?.configuration)
  }

  private createStreamReporter(): StreamReporter {
    const reporter = new StreamReporter({
      gateways: () => this.otherGateways(),
      send: (gateway, streams) => this.peers.noteStreams(gateway, streams),
      longestLifeMs: () => this.longestStreamLifeMs(),
      countReports: streams => this.metrics.countStreamReports(streams),
    })
    this.members.onNewProcess((gateway) => {
      reporter.repeatTo(gateway)
      // Once all members of the same read are listed.
      queueMicrotask(() => this.streamVersions.reportPending())
    })
    return reporter
  }

  private createStreamVersions(): StreamVersions {
    const { members, peers, metrics, registry, versionHistory: history, versionLedger, log } = this
    const gateways = (): readonly Member[] => this.otherGateways()
    const listRefresh = new ListRefresh({ listAgeMs: () => registry.listAgeMs, restartReads: () => this.platform.restartReads() })
    return new StreamVersions({
      history,
      reporter: this.createStreamReporter(),
      finder: new OriginFinder({ gateways, failureDomain: this.self.failureDomain, ask: (gateway, question) => peers.findStream(gateway, question) }),
      lifeMs: service => this.streamLifeMs(service),
      longestLifeMs: () => this.longestStreamLifeMs(),
      isHistoryRead: () => versionLedger.isRead,
      listAgeMs: () => registry.listAgeMs,
      refreshList: () => listRefresh.refresh(),
      knowsGateways: () => gateways().length > 0,
      listsGateways: () => members.others.length > 0,
      whenPeersDiscovered: () => members.whenPeersDiscovered(),
      metrics,
      log,
    })
  }

  private streamLifeMs(service: string): number {
    return maxStreamLifeMs(this.configuration.table?.configuration, service)
  }

  private createSharedLimits(): SharedLimits {
    return new SharedLimits({
      members: this.members,
      heartbeatPeers: () => this.activePeers.count(performance.now()),
      findService: name => this.configuration.table?.findService(name),
      coldAllowance: this.platform.coldAllowance,
    })
  }

  private createAccountSharing(): AccountSharing {
    return this.settings.load['account-shares'] === AccountShareMode.MaxMin ? createMaxMinSharing(this.metrics, this.log) : NO_SHARING
  }

  private createConnections(): BackendConnections {
    const reporter = new CallReporter(this.metrics, this.gatewayLog)
    return new BackendConnections(service => this.sharedLimits.connections(service), reporter, this.intakes, this.platform.backendCodec.readRequestId)
  }

  /** The process may have been suspended: its state may be stale, and peers may have made decisions meanwhile. */
  private handleResume(suspendedMs: number): void {
    this.gatewayLog.resumed(suspendedMs)
    this.platform.restartReads()
    this.members.restartDiscovery()
  }

  private handleBackendStateChange(backend: Backend): void {
    if (!backend.acceptsWork)
      this.connections.rejectWaiting(backend)
  }

  private createStageCoordinators(): StageCoordinators {
    const client = this.platform.stageClient(this.connections)
    const retryBudget = new RetryBudget({ ...this.retryBudgetSettings(), ratio: 0 }, () => this.stageRetryShare.part)
    const coldStartLimiter = new ColdStartLimiter(this.self.name, service => this.sharedLimits.coordinatedColdRate(service))
    const isFair = this.settings.load['stage-sharing'] === StageSharingMode.Fair
    return new StageCoordinators({
      registry: this.registry,
      client,
      retryBudget,
      crashes: this.crashTracker,
      coldStartLimiter,
      intake: this.intakes,
      versionAgeMs: backend => this.versionHistory.ageMs(backend, performance.now()),
      slowdowns: this.usesSpeed ? this.estimator : undefined,
      createSharing: isFair ? () => new FairStageSharing() : undefined,
      minSharingAccounts: this.settings.load['stage-sharing-accounts'],
      metrics: this.metrics,
      log: this.log,
    })
  }

  /** Backend servers that are much slower than their service. */
  get slowBackends(): number {
    return countSlowBackends(this.registry.all, this.estimator, performance.now())
  }

  private get usesSpeed(): boolean {
    return this.settings.load['backend-speed'] === BackendSpeedMode.Measured
  }

  private get isAdmissionAdaptive(): boolean {
    return this.settings.load.admission === AdmissionMode.Adaptive
  }

  /** Whether expected times are needed: adaptive admission estimates them also where the choice of a backend server does not. */
  private get usesTimes(): boolean {
    return this.usesSpeed || this.isAdmissionAdaptive
  }

  private createEstimator(): LoadEstimator {
    if (!this.usesTimes)
      return new ReportedLoadEstimator()
    return new MeasuredLoadEstimator({
      gateways: () => this.members.count,
      others: (backend, now) => this.sharedInFlight.others(backend, now),
    })
  }

  /** Backend servers with calls in flight, without stage services, whose coordinator knows all calls. */
  private calledPlainly(): Backend[] {
    return this.registry.called.filter(({ service }) => this.configuration.table?.findService(service)?.stage === undefined)
  }

  /** Gateways that choose by the same counts of the load exchange; 1 while it is silent. */
  private informedAlike(): number {
    return this.sharedInFlight.isFresh(performance.now()) ? this.members.count : 1
  }

  private createBackendRunner(): BackendRunner {
    const { estimator, usesSpeed } = this
    const ejection = new OutlierEjection(undefined, !usesSpeed)
    return new BackendRunner({
      failureDomain: this.settings.process.failureDomain,
      registry: this.registry,
      client: new HttpBackendClient(this.connections, this.platform.backendCodec),
      ejection,
      estimator: this.usesTimes ? estimator : undefined,
      waitsUnderLoad: this.isAdmissionAdaptive,
      plainPolicy: usesSpeed ? new LeastTimePolicy(ejection, estimator, { informedAlike: () => this.informedAlike() }) : new LeastLoadPolicy(ejection, estimator),
      enginePolicy: new PrefixAwarePolicy(ejection, estimator, usesSpeed),
      budget: new RetryBudget(this.retryBudgetSettings(), () => this.retryShare.part),
      metrics: this.metrics,
      crashes: this.crashTracker,
      coldStartLimiter: new ColdStartLimiter(this.self.name, service => this.sharedLimits.ownColdRate(service)),
      intake: this.intakes,
      log: this.log,
      isEngine: service => this.configuration.table?.findService(service)?.engine !== undefined,
      streams: this.streamVersions,
    })
  }

  private createHeldBytes(): HeldBytes {
    const limitBytes = decideHeldLimit({
      configuredBytes: this.settings.load.heldBytes,
      memoryBytes: this.settings.process.memoryBytes,
    })
    return new HeldBytes(limitBytes, this.metrics)
  }

  private createAdmission(backends: BackendRunner, shares: AccountShares): RequestAdmission {
    if (!this.isAdmissionAdaptive)
      return new AdmitAll()
    return new AdaptiveAdmission({ backends, estimator: this.estimator, shares, gateways: () => this.members.count, metrics: this.metrics, log: this.log })
  }

  private createClientServer(): ClientServer {
    const runner = this.createBackendRunner()
    const handler = new ProxyRequestHandler({
      configuration: this.configuration,
      configurationCheck: this.createConfigurationCheck(),
      startGate: new StartupGate(this.configuration, this.registry),
      maxStartWaitMs: this.settings.load['start-wait-ms'],
      preparer: new SharedPreparer(this.members, this.stageCoordinators, this.peers, this.log, new PromptShardChoice(this.members, this.registry)),
      admission: this.createAdmission(runner, this.accountSharing.shares),
      shares: this.accountSharing.shares,
      returns: this.accountSharing.returns,
      runner,
      streams: this.streamVersions,
      crashes: this.crashTracker,
      metrics: this.metrics,
      log: this.log,
    })
    const { configuration, held, metrics, log, platform: { clientCodec: codec } } = this
    const connections = { maxConnections: this.portLimits.clients, pool: this.connectionMemory, metrics: this.metrics }
    return new ClientServer({ handler, codec, configuration, held, metrics, log, connections })
  }

  private createConfigurationCheck(): ConfigurationRefresh {
    const { configuration, platform } = this
    return new ConfigurationRefresh({
      ageMs: () => configuration.ageMs(performance.now()),
      boundMs: platform.configurationBoundMs,
      refresh: () => platform.operatorSource.refresh(),
    })
  }

  private createPeerService(): GatewayPeerService {
    return new GatewayPeerService({
      holder: this.configuration,
      backendList: this.backendList,
      evacuations: this.evacuations,
      limits: this.intakes.limitExchange,
      leaving: this.intakes.leavingExchange,
      load: this.loadExchange,
      activePeers: this.activePeers,
      peers: this.peers,
      stageCoordinator: this.stageCoordinators,
      crashes: this.crashTracker.crashExchange,
      streams: this.streamVersions,
      describeSelf: () => this.describeSelf(),
      log: this.gatewayLog,
    })
  }

  private async listen(): Promise<void> {
    const { clients, readiness, 'peer-port': peerPort, 'metrics-port': metricsPort } = this.settings.listen
    const { host } = this.settings.process
    const { peers, operations } = this.portLimits
    const peerHandler = createPeerHandler(createPeerRouter(this.peerService), new MemoryPool(this.portLimits.peerCallBytes))
    await this.clients.listen(clients.port, clients.host)
    await this.internalServers.listen(createReadinessListener(() => this.isReady()), { ...readiness, maxConnections: operations })
    await this.internalServers.listen(peerHandler, { host, port: peerPort, maxConnections: peers })
    await this.internalServers.listen(createMetricsListener(this.metrics.registry), { host, port: metricsPort, maxConnections: operations })
  }

  private isReady(): boolean {
    const { stopping, configuration, registry } = this
    return this.readiness.check({ stopping, configurationVersion: configuration.version, backends: registry.size })
  }

  private followPlatform(): void {
    const { signal } = this.shutdown
    const { operatorSource, backendSource, memberDirectory, crashLedger } = this.platform
    const operatorSink = {
      offerConfiguration: (text: string) => void this.configuration.offer(text, 'platform'),
      configurationUpToDate: (asOf: number) => this.configuration.noteUpToDate(asOf),
      evacuations: this.evacuations,
    }
    void operatorSource.follow(operatorSink, this.peerUpdates, signal)
    void backendSource.follow(this.backendList, this.peerUpdates, signal)
    void memberDirectory.follow(this.members, signal)
    void crashLedger.follow(this.crashTracker, this.peerUpdates, signal)
    void this.versionLedger.start(signal)
    void memberDirectory.announce(this.self, signal)
  }

  private handleCoordinatorChange(shard: StageShard): void {
    this.stageRetryShare.noteCoordinators(this.members.shards.map(each => this.members.coordinatorOf(each).name))
    this.stageCoordinators.applyRole(shard, this.roleIn(shard))
  }

  private roleIn(shard: StageShard): CoordinatorRole {
    if (this.members.coordinatorOf(shard).name === this.self.name)
      return CoordinatorRole.Coordinates
    return this.stopping ? CoordinatorRole.Leaves : CoordinatorRole.HandsOver
  }

  /** The retry budget of all gateways together. */
  private retryBudgetSettings(): RetryBudgetSettings {
    const { ratio, extra, 'window-ms': windowMs } = this.settings.retry
    return { ratio, extra, windowMs }
  }
}

/**
 * The side role: a sidecar through which all calls to one backend server go.
 * Creates, connects, starts and stops the components of a side. The queue, the
 * stage results and the fence of the latest order exist only in this process:
 * after a crash, entries treat their calls as lost, and the placement is ordered
 * again.
 */
import type { Daemon, DaemonInfo } from '../daemon.js'
import type { OperationsSource } from '../operations.js'
import type { Settings, SideSettings } from '../settings.js'
import process from 'node:process'
import { createLogger, MemoryPool, wait } from '@eidermast/common'
import { HttpBackendClient } from '../../connection/http-backend-client.js'
import { HttpLogClient } from '../../connection/log-client.js'
import { createSideRouter } from '../../connection/peer-router.js'
import { PeerServer } from '../../connection/peer-server.js'
import { StageRunner } from '../../request/side/stage-runner.js'
import { StageTable } from '../../request/side/stage-table.js'
import { Configuration } from '../../version/configuration.js'
import { SIDE_OBJECT_KINDS } from '../../version/objects.js'
import { DecisionLog } from '../decision-log.js'
import { waitUntilIdle } from '../idle.js'
import { createIncarnation } from '../incarnation.js'
import { memoryLimitsOf } from '../memory-limits.js'
import { SideMetrics } from '../metrics.js'
import { createMetricsRead, createOperationsListener } from '../operations.js'
import { createQueue } from '../policies.js'
import { BackendHealthMonitor } from './backend-health-monitor.js'
import { PlacementReconciler } from './placement-reconciler.js'
import { SideConfiguration } from './side-configuration.js'
import { SidePeerService } from './side-peer-service.js'
import { CurrentSideState } from './side-state.js'
import { HttpWeightStore } from './weight-store.js'

const log = createLogger('process')

/**
 * Time to send the last replies before connections are closed. A large reply on a
 * slow link would otherwise be cut off and treated as lost by the entry.
 */
const REPLY_FLUSH_MS = 200

/** A running side. */
export class Side implements Daemon {
  private readonly incarnation = createIncarnation()
  private readonly configuration = new Configuration(SIDE_OBJECT_KINDS)
  private readonly abortController = new AbortController()
  private readonly decisions: DecisionLog
  private readonly logClient: HttpLogClient
  private readonly backend: HttpBackendClient
  private readonly sideConfiguration: SideConfiguration
  private readonly reconciler: PlacementReconciler
  private readonly healthMonitor: BackendHealthMonitor
  private readonly state: CurrentSideState
  private readonly table: StageTable
  private readonly runner: StageRunner

  private constructor(
    private readonly settings: Settings,
    sideSettings: SideSettings,
    private readonly peerServer: PeerServer,
    private readonly metrics: SideMetrics,
  ) {
    const { platform, process: identity } = settings
    const { incarnation, configuration } = this
    this.decisions = new DecisionLog(identity.name)
    this.logClient = new HttpLogClient({ url: platform.log, timeoutMs: platform['log-timeout-ms'] })
    this.backend = new HttpBackendClient(sideSettings.backend, sideSettings.slots)
    this.sideConfiguration = new SideConfiguration(identity.name, configuration, this.logClient)
    this.reconciler = this.createReconciler()
    this.healthMonitor = this.createHealthMonitor(sideSettings['load-interval-ms'])
    const { sideConfiguration, healthMonitor, reconciler } = this
    this.state = new CurrentSideState({ backendName: identity.name, incarnation, configuration, sideConfiguration, healthMonitor, reconciler })
    this.table = new StageTable({
      entries: sideSettings['result-memory-entries'],
      bytes: sideSettings['result-memory-bytes'],
      lifetimeMs: sideSettings['result-memory-ms'],
    })
    this.runner = this.createRunner(sideSettings)
    const { runner, table, decisions } = this
    const service = new SidePeerService({ identity, incarnation, configuration, sideConfiguration, reconciler, healthMonitor, runner, table, decisions })
    peerServer.serve(createSideRouter(service), createOperationsListener(this.createOperations()))
  }

  /** Starts a side and resolves once it is listening; rejects if it cannot listen on its port. */
  static async start(settings: Settings): Promise<Side> {
    const metrics = new SideMetrics()
    const connections = { maxConnections: settings.peers['max-connections'], pool: new MemoryPool(memoryLimitsOf(settings).sharedBytes), metrics }
    const { host, key, 'peer-port': port } = settings.process
    const side = new Side(settings, settings.side!, await PeerServer.listen({ host, key, port, connections }), metrics)
    side.runTasks()
    return side
  }

  get info(): DaemonInfo {
    const { name, role } = this.settings.process
    return { role, name, incarnation: this.incarnation, pid: process.pid, peer: this.peerServer.address }
  }

  /** Refuses new work, waits for work in flight to finish and for entries to read the replies, then closes. */
  async stop(): Promise<void> {
    const { process: identity, peers } = this.settings
    log('stopping', { name: identity.name, unfinished: this.table.unfinished })
    this.state.stopping = true
    this.state.logDraining()
    await waitUntilIdle(() => this.runner.idle, identity['stop-timeout-ms'])
    await wait(peers['greet-interval-ms'] + REPLY_FLUSH_MS)
    this.abortController.abort()
    await this.peerServer.close()
    await this.backend.close()
    await this.logClient.close()
    log('stopped', { name: identity.name })
  }

  private createReconciler(): PlacementReconciler {
    const { platform, process: identity } = this.settings
    return new PlacementReconciler({
      backendName: identity.name,
      configuration: this.configuration,
      configurationStatus: this.sideConfiguration,
      backend: this.backend,
      weights: new HttpWeightStore(platform['weight-store']),
      metrics: this.metrics,
    })
  }

  private createHealthMonitor(intervalMs: number): BackendHealthMonitor {
    return new BackendHealthMonitor({
      backendName: this.settings.process.name,
      backend: this.backend,
      intervalMs,
      onPoll: () => {
        this.state.logDraining()
        this.runner.refuseQueuedIfLeaving()
      },
      onRestart: () => {
        this.reconciler.reset()
        void this.reconciler.reconcile()
      },
    })
  }

  private createRunner(sideSettings: SideSettings): StageRunner {
    const { state, backend, table, decisions, metrics } = this
    const { slots } = sideSettings
    return new StageRunner({ side: state, backend, table, queue: createQueue(sideSettings), slots, decisions, metrics })
  }

  private createOperations(): OperationsSource {
    return {
      ...createMetricsRead(this.metrics.registry, () => {
        const { running, queued } = this.runner.load()
        this.metrics.setLoad(running, queued.high + queued.normal + queued.low)
        this.metrics.setConfiguration(this.configuration.offset)
      }),
      isReady: () => !this.state.draining,
    }
  }

  private runTasks(): void {
    const { signal } = this.abortController
    void this.sideConfiguration.loadUntilKnown(signal)
    void this.reconciler.run(signal)
    void this.healthMonitor.run(signal)
  }
}

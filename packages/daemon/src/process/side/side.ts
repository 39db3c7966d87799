/**
 * The side role: the only way to one backend server. Builds the parts of a
 * side, wires them and starts and stops them. The queue, the stage results and
 * the fence of the newest order live in this process only: after a crash,
 * entries find their calls lost, and the placement is ordered again.
 */
import type { Daemon, DaemonAddresses } from '../daemon.js'
import type { OperationsSource } from '../operations.js'
import type { Settings, SideSettings } from '../settings.js'
import process from 'node:process'
import { createLogger, wait } from '@eidermast/common'
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
import { SideMetrics } from '../metrics.js'
import { createOperationsListener } from '../operations.js'
import { createQueue } from '../policies.js'
import { BackendWatch } from './backend-watch.js'
import { OrderKeeper } from './order-keeper.js'
import { SideConfiguration } from './side-configuration.js'
import { SidePeerService } from './side-service.js'
import { CurrentSideState } from './side-state.js'
import { HttpWeightStore } from './weight-store.js'

const log = createLogger('process')

/**
 * Milliseconds for the last replies to leave before connections close. Half may
 * cut a large reply on a slow link, which the entry then counts as lost; twice
 * only makes a stop longer.
 */
const FLUSH_MS = 200

/** A running side. */
export class Side implements Daemon {
  private readonly incarnation = createIncarnation()
  private readonly configuration = new Configuration(SIDE_OBJECT_KINDS)
  private readonly metrics = new SideMetrics()
  private readonly stopping = new AbortController()
  private readonly decisions: DecisionLog
  private readonly logClient: HttpLogClient
  private readonly backend: HttpBackendClient
  private readonly newest: SideConfiguration
  private readonly orders: OrderKeeper
  private readonly watch: BackendWatch
  private readonly state: CurrentSideState
  private readonly table: StageTable
  private readonly runner: StageRunner

  private constructor(
    private readonly settings: Settings,
    sideSettings: SideSettings,
    private readonly peerServer: PeerServer,
  ) {
    const { platform, process: identity } = settings
    const { incarnation, configuration } = this
    this.decisions = new DecisionLog(identity.name)
    this.logClient = new HttpLogClient({ url: platform.log, timeoutMs: platform['log-timeout-ms'] })
    this.backend = new HttpBackendClient(sideSettings.backend, sideSettings.slots)
    this.newest = new SideConfiguration(identity.name, configuration, this.logClient)
    this.orders = this.createOrderKeeper()
    this.watch = this.createWatch(sideSettings['load-interval-ms'])
    const { newest, watch, orders } = this
    this.state = new CurrentSideState({ backendName: identity.name, incarnation, configuration, newest, watch, orders })
    this.table = new StageTable({
      entries: sideSettings['result-memory-entries'],
      bytes: sideSettings['result-memory-bytes'],
      lifetimeMs: sideSettings['result-memory-ms'],
    })
    this.runner = this.createRunner(sideSettings)
    const { runner, table, decisions } = this
    const service = new SidePeerService({ identity, incarnation, configuration, newest, orders, watch, runner, table, decisions })
    peerServer.serve(createSideRouter(service), createOperationsListener(this.createOperations()))
  }

  /** Starts a side; it listens when this returns. Rejects where its port cannot be listened on. */
  static async start(settings: Settings): Promise<Side> {
    const { host, key, 'peer-port': port } = settings.process
    const side = new Side(settings, settings.side!, await PeerServer.listen({ host, key, port }))
    side.runTasks()
    return side
  }

  get addresses(): DaemonAddresses {
    const { name, role } = this.settings.process
    return { role, name, incarnation: this.incarnation, pid: process.pid, peer: this.peerServer.address }
  }

  /** Refuses new work, finishes what is in flight, waits for entries to read the replies, and closes. */
  async stop(): Promise<void> {
    const { process: identity, peers } = this.settings
    log('stopping', { name: identity.name, unfinished: this.table.unfinished })
    this.state.stopping = true
    this.state.logDraining()
    await waitUntilIdle(() => this.runner.idle, identity['stop-timeout-ms'])
    await wait(peers['greet-interval-ms'] + FLUSH_MS)
    this.stopping.abort()
    await this.peerServer.close()
    await this.backend.close()
    await this.logClient.close()
    log('stopped', { name: identity.name })
  }

  private createOrderKeeper(): OrderKeeper {
    const { platform, process: identity } = this.settings
    return new OrderKeeper({
      backendName: identity.name,
      configuration: this.configuration,
      newest: this.newest,
      backend: this.backend,
      weights: new HttpWeightStore(platform['weight-store']),
      metrics: this.metrics,
    })
  }

  private createWatch(intervalMs: number): BackendWatch {
    return new BackendWatch({
      backendName: this.settings.process.name,
      backend: this.backend,
      intervalMs,
      onReading: () => {
        this.state.logDraining()
        this.runner.refuseQueuedIfLeaving()
      },
      onRestart: () => {
        this.orders.forget()
        void this.orders.applyNewest()
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
      registry: this.metrics.registry,
      isReady: () => !this.state.draining,
      refresh: () => {
        const { running, queued } = this.runner.load()
        this.metrics.setLoad(running, queued.high + queued.normal + queued.low)
        this.metrics.setConfiguration(this.configuration.offset)
      },
    }
  }

  private runTasks(): void {
    const { signal } = this.stopping
    void this.newest.learn(signal)
    void this.orders.run(signal)
    void this.watch.run(signal)
  }
}

/**
 * The side role: the only way to one backend server. Holds the queue before
 * it, the table of stage results and the fence of its orders.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { BackendLoad } from '../connection/backend-client.js'
import type { Heartbeat, HeartbeatReply, ResultQuestion, StageCall, StageReply, StreamMessage } from '../connection/messages.js'
import type { ProcessStatus, SideService } from '../connection/peer-router.js'
import type { PeerServer } from '../connection/peer-server.js'
import type { ConfigurationDifference } from '../version/configuration.js'
import type { Daemon } from './daemon.js'
import type { Settings, SideSettings } from './settings.js'
import { createLogger, wait } from '@eidermast/common'
import { HttpBackendClient } from '../connection/backend-client.js'
import { HttpLogClient } from '../connection/log-client.js'
import { RefusalReason } from '../connection/messages.js'
import { createSideRouter } from '../connection/peer-router.js'
import { startPeerServer } from '../connection/peer-server.js'
import { SIDE_OBJECT_KINDS } from '../connection/side-link.js'
import { StageRunner } from '../request/side/stage-runner.js'
import { StageTable } from '../request/side/stage-table.js'
import { Configuration } from '../version/configuration.js'
import { ConfigurationFollower, foldPage } from '../version/follower.js'
import { BackendRole, ObjectKind } from '../version/objects.js'
import { isOrderedIn, resolvePlacement } from '../version/placement.js'
import { CONFIGURATION_STREAM } from '../version/record.js'
import { answerOperations } from './daemon.js'
import { DecisionLog } from './decision-log.js'
import { createIncarnation } from './incarnation.js'
import { SideMetrics } from './metrics.js'
import { OrderKeeper } from './order-keeper.js'
import { createQueue } from './policies.js'
import { HttpWeightStore } from './weight-store.js'

const log = createLogger('process')

/** Load readings in a row without an answer after which the backend server counts as down. */
const MISSED_READINGS = 3
/** Time for which a starting side waits for the log before it takes the entries' word, in milliseconds. */
const LOG_PATIENCE_MS = 3000
/** Time for the last replies to leave before connections close, in milliseconds. */
const FLUSH_MS = 200

/** A running side. */
export class Side implements Daemon, SideService {
  private readonly incarnation = createIncarnation()
  private readonly configuration = new Configuration(SIDE_OBJECT_KINDS)
  private readonly metrics = new SideMetrics()
  private readonly stopping = new AbortController()
  private readonly decisions: DecisionLog
  private readonly logClient: HttpLogClient
  private readonly follower: ConfigurationFollower
  private readonly backend: HttpBackendClient
  private readonly orders: OrderKeeper
  private readonly runner: StageRunner
  private readonly table: StageTable
  private peerServer!: PeerServer
  private leaving = false
  private backendDraining = false
  private missedReadings = 0
  private backendInstance: string | undefined
  private configurationKnown = false
  private heardFromPeer = false

  private constructor(private readonly settings: Settings, private readonly sideSettings: SideSettings) {
    const { platform, process: identity } = settings
    this.decisions = new DecisionLog(identity.name)
    this.logClient = new HttpLogClient({ url: platform.log, timeoutMs: platform['log-timeout-ms'] })
    this.follower = new ConfigurationFollower(this.logClient, this.configuration)
    this.backend = new HttpBackendClient(sideSettings.backend, sideSettings.slots)
    this.orders = new OrderKeeper({
      backendName: identity.name,
      configuration: this.configuration,
      backend: this.backend,
      weights: new HttpWeightStore(platform['weight-store']),
      metrics: this.metrics,
      isConfigurationKnown: () => this.configurationKnown,
      confirmNewest: () => this.confirmNewest(),
    })
    this.table = new StageTable({
      entries: sideSettings['result-memory-entries'],
      bytes: sideSettings['result-memory-bytes'],
      lifetimeMs: sideSettings['result-memory-ms'],
    })
    this.runner = new StageRunner({
      side: this.createSideState(),
      backend: this.backend,
      table: this.table,
      queue: createQueue(sideSettings),
      slots: sideSettings.slots,
      decisions: this.decisions,
      metrics: this.metrics,
    })
  }

  /** Starts a side; it listens when this returns. */
  static async start(settings: Settings): Promise<Side> {
    const side = new Side(settings, settings.side!)
    const { host, key, 'peer-port': port } = settings.process
    side.peerServer = await startPeerServer({
      router: createSideRouter(side),
      key,
      host,
      port,
      onRequest: (request, response) => void side.answerHttp(request, response),
    })
    side.runTasks()
    return side
  }

  get addresses(): Daemon['addresses'] {
    const { name, role } = this.settings.process
    return { role, name, incarnation: this.incarnation, pid: process.pid, peer: this.peerServer.address }
  }

  /** Refuses new work, finishes what is in flight and closes. */
  async stop(): Promise<void> {
    log('stopping', { name: this.settings.process.name, unfinished: this.table.unfinished })
    this.leaving = true
    const giveUpAt = performance.now() + this.settings.process['stop-timeout-ms']
    while (!this.runner.idle && performance.now() < giveUpAt)
      await wait(20)
    await wait(this.settings.peers['greet-interval-ms'] + FLUSH_MS)
    this.stopping.abort()
    await this.peerServer.close()
    await this.backend.close()
    await this.logClient.close()
    log('stopped', { name: this.settings.process.name })
  }

  heartbeat(heartbeat: Heartbeat): HeartbeatReply {
    for (const key of heartbeat.acknowledged)
      this.table.acknowledge(key)
    // An entry that the log has just confirmed, and whose configuration is not newer, vouches for this one.
    if (heartbeat.fresh && heartbeat.offset <= this.configuration.offset)
      this.configurationKnown = true
    return { incarnation: this.incarnation, name: this.settings.process.name, offset: this.configuration.offset, load: this.runner.load() }
  }

  difference(request: { since: number, kinds: ObjectKind[] }): ConfigurationDifference {
    return this.configuration.differenceSince(request.since, request.kinds)
  }

  offer(difference: ConfigurationDifference): number {
    this.configuration.apply(difference)
    this.heardFromPeer = true
    void this.orders.applyNewest()
    return this.configuration.offset
  }

  status(): ProcessStatus {
    const { name, role, 'failure-domain': failureDomain } = this.settings.process
    const load = this.runner.load()
    const placement = this.orders.placement
    const detail = [
      { subject: 'running', text: String(load.running) },
      { subject: 'queued', text: String(load.queued.high + load.queued.normal + load.queued.low) },
      { subject: 'draining', text: String(load.draining) },
      { subject: 'backend-instance', text: this.backendInstance ?? 'unknown' },
      { subject: 'placement', text: placement ? `${placement.model ?? '-'}@${placement.version ?? '-'} fence ${placement.fence}` : 'none' },
    ]
    return { name, role, incarnation: this.incarnation, pid: process.pid, failureDomain, offset: this.configuration.offset, ready: !load.draining, detail }
  }

  explain(requestId: string) {
    return this.decisions.explain(requestId)
  }

  run(call: StageCall): Promise<StageReply> {
    return this.runner.run(call)
  }

  /** Streams tokens, then the reply. The run goes on when the stream is cut: the entry may ask again. */
  async* stream(call: StageCall): AsyncIterable<StreamMessage> {
    const messages: StreamMessage[] = []
    let wake = (): void => {}
    const push = (message: StreamMessage): void => {
      messages.push(message)
      wake()
    }
    void this.runner.run(call, (index, text) => push({ token: { index, text } })).then(reply => push({ reply }))
    for (;;) {
      const message = messages.shift()
      if (!message) {
        await new Promise<void>((resolve) => {
          wake = resolve
        })
        continue
      }
      yield message
      if ('reply' in message)
        return
    }
  }

  cancel(key: string) {
    return this.runner.cancel(key)
  }

  findResult(question: ResultQuestion): StageReply | undefined {
    return this.table.findFinished(question)
  }

  private createSideState() {
    const offset = (): number => this.configuration.offset
    const draining = (): boolean => this.draining
    return {
      incarnation: this.incarnation,
      get offset() {
        return offset()
      },
      get draining() {
        return draining()
      },
      refusal: (call: StageCall) => this.refusal(call),
    }
  }

  /** Leaving by its own word, by the backend server's, or by the operators' order. */
  private get draining(): boolean {
    const orderedOut = this.configurationKnown && !isOrderedIn(this.configuration, this.settings.process.name)
    const placement = resolvePlacement(this.configuration, this.settings.process.name)
    const holdsNothing = placement?.model !== undefined && this.orders.placement === undefined
    const backendDown = this.missedReadings >= MISSED_READINGS
    return this.leaving || this.backendDraining || backendDown || orderedOut || holdsNothing || !this.configurationKnown
  }

  private refusal(call: StageCall): RefusalReason | undefined {
    if (this.draining)
      return RefusalReason.Draining
    if (call.backend !== this.settings.process.name)
      return RefusalReason.OtherIncarnation
    const role = this.configuration.get(ObjectKind.Backend, this.settings.process.name)?.value.role
    if ((role === BackendRole.Plain) !== (call.serviceRequest !== undefined))
      return RefusalReason.WrongRole
    const placement = resolvePlacement(this.configuration, this.settings.process.name)
    if (placement && call.offset < placement.fence && call.model !== placement.model)
      return RefusalReason.Stale
    const held = this.orders.placement
    if (call.model === undefined)
      return undefined
    const matches = held?.model === call.model && (call.version === undefined || held.version === call.version)
    return matches ? undefined : RefusalReason.WrongModel
  }

  private runTasks(): void {
    const { signal } = this.stopping
    void this.learnConfiguration(signal)
    void this.orders.run(signal)
    void this.readLoad(signal)
  }

  /**
   * Reads the log until it answers once; after that, entries bring what is new.
   * While the log is out, what entries brought within a time counts as the newest.
   */
  private async learnConfiguration(signal: AbortSignal): Promise<void> {
    const learning = new AbortController()
    const stop = (): void => learning.abort()
    signal.addEventListener('abort', stop)
    void this.follower.run(learning.signal)
    const startedAt = performance.now()
    while (!signal.aborted && !this.configurationKnown) {
      const waited = performance.now() - startedAt > LOG_PATIENCE_MS
      if (this.follower.hasRead || (this.heardFromPeer && waited))
        this.configurationKnown = true
      await wait(20, signal)
    }
    stop()
    signal.removeEventListener('abort', stop)
    log('configuration-known', { name: this.settings.process.name, offset: this.configuration.offset })
  }

  private async readLoad(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const load = await this.backend.readLoad()
      this.missedReadings = load ? 0 : this.missedReadings + 1
      this.backendDraining = load?.draining ?? this.backendDraining
      this.noteInstance(load)
      await wait(this.sideSettings['load-interval-ms'], signal)
    }
  }

  /** A backend server that was started again holds no model: its placement is ordered anew. */
  private noteInstance(load: BackendLoad | undefined): void {
    if (!load || load.instance === this.backendInstance)
      return
    const restarted = this.backendInstance !== undefined
    this.backendInstance = load.instance
    if (!restarted)
      return
    log('backend-restarted', { name: this.settings.process.name, instance: load.instance })
    this.orders.forget()
    void this.orders.applyNewest()
  }

  /** Reads the log once; false where it does not answer or held newer records, which are taken over. */
  private async confirmNewest(): Promise<boolean> {
    const from = this.configuration.offset + 1
    const page = await this.logClient.read({ stream: CONFIGURATION_STREAM, from, limit: Number.MAX_SAFE_INTEGER, waitMs: 0 })
    if (page.isErr())
      return false
    const newest = page.value.nextOffset <= from
    foldPage(this.configuration, page.value)
    return newest
  }

  private async answerHttp(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const refresh = (): void => {
      const load = this.runner.load()
      this.metrics.setLoad(load.running, load.queued.high + load.queued.normal + load.queued.low)
      this.metrics.setConfiguration(this.configuration.offset)
    }
    const answered = await answerOperations({ registry: this.metrics.registry, isReady: () => !this.draining, refresh }, request, response)
    if (!answered)
      response.writeHead(404).end()
  }
}

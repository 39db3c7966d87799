/**
 * The entry role: handles callers' requests from the first byte to the last.
 * Creates, connects, starts and stops the components of an entry. No state has
 * to survive the process: after a crash, claims in the log show other entries
 * that a request may have run here, and the configuration is read again.
 */
import type { Server } from 'node:http'
import type { Daemon, DaemonInfo } from '../daemon.js'
import type { OperationsSource } from '../operations.js'
import type { Settings } from '../settings.js'
import type { RequestComponents } from './request-components.js'
import process from 'node:process'
import { createLogger, MemoryPool } from '@eidermast/common'
import { createCallerServer } from '../../connection/caller-server.js'
import { EntryPeers } from '../../connection/entry-peers.js'
import { HttpLogClient } from '../../connection/log-client.js'
import { createEntryRouter } from '../../connection/peer-router.js'
import { listen, PeerServer } from '../../connection/peer-server.js'
import { Checkpointer } from '../../version/checkpointer.js'
import { Configuration } from '../../version/configuration.js'
import { ConfigurationFollower } from '../../version/follower.js'
import { DecisionLog } from '../decision-log.js'
import { createIncarnation } from '../incarnation.js'
import { Membership } from '../membership/membership.js'
import { HttpVirtualMachineSource, VirtualMachineList } from '../membership/virtual-machine-list.js'
import { memoryLimitsOf } from '../memory-limits.js'
import { EntryMetrics } from '../metrics.js'
import { answerOperations, createMetricsRead, createOperationsListener } from '../operations.js'
import { ConfigurationMonitor } from './configuration-monitor.js'
import { EntryCallerService } from './entry-caller-service.js'
import { EntryPeerService } from './entry-peer-service.js'
import { stopGracefully } from './graceful-stop.js'
import { OutcomeSearch } from './outcome-search.js'
import { createRequestComponents } from './request-components.js'
import { RequestDispatcher } from './request-dispatcher.js'

const log = createLogger('process')

/** Memory that callers' requests share. */
interface EntryMemory {
  /** For the connections of all ports. */
  connections: MemoryPool
  bodies: MemoryPool
}

/** A running entry. */
export class Entry implements Daemon {
  private readonly incarnation = createIncarnation()
  private readonly configuration = new Configuration()
  private readonly abortController = new AbortController()
  private readonly logClient: HttpLogClient
  private readonly follower: ConfigurationFollower
  private readonly machines: VirtualMachineList
  private readonly peers: EntryPeers
  private readonly configurationMonitor: ConfigurationMonitor
  private readonly membership: Membership
  private readonly requestComponents: RequestComponents
  private readonly callerService: EntryCallerService
  private readonly operations: OperationsSource
  private readonly callerServer: Server
  private callerAddress = ''

  private constructor(private readonly settings: Settings, private readonly peerServer: PeerServer, private readonly metrics: EntryMetrics, private readonly memory: EntryMemory) {
    const { process: identity, platform } = settings
    const { incarnation, configuration } = this
    const { address } = peerServer
    this.operations = this.createOperations()
    const decisions = new DecisionLog(identity.name)
    this.logClient = new HttpLogClient({ url: platform.log, timeoutMs: platform['log-timeout-ms'] })
    this.follower = new ConfigurationFollower(this.logClient, configuration)
    this.machines = new VirtualMachineList(new HttpVirtualMachineSource(platform['virtual-machines']), platform['list-interval-ms'])
    this.peers = new EntryPeers({ key: identity.key, entryName: identity.name, entryIncarnation: incarnation, configuration })
    this.configurationMonitor = this.createConfigurationMonitor()
    this.membership = this.createMembership()
    const { logClient, machines, membership, peers, configurationMonitor } = this
    this.requestComponents = createRequestComponents({
      settings,
      incarnation,
      address,
      configuration,
      logClient,
      membership,
      machines,
      peers,
      decisions,
      metrics,
    })
    const { claims, outcomes, tickets, pipelines, services } = this.requestComponents
    const dispatcher = new RequestDispatcher({ configuration, freshness: configurationMonitor, pipelines, services, tickets })
    const search = new OutcomeSearch({ outcomes, claims, peers, machines, address })
    this.callerService = new EntryCallerService({ dispatcher, tickets, search, configurationMonitor, membership })
    this.callerServer = this.createCallerServer()
    const peerService = this.createPeerService(dispatcher, search, decisions)
    peerServer.serve(createEntryRouter(peerService), createOperationsListener(this.operations))
  }

  /** Starts an entry and resolves once it is listening; rejects if it cannot listen on a port. */
  static async start(settings: Settings): Promise<Entry> {
    const { host, key, 'peer-port': port, 'caller-port': callerPort } = settings.process
    const memoryLimits = memoryLimitsOf(settings)
    const pool = new MemoryPool(memoryLimits.sharedBytes)
    const metrics = new EntryMetrics()
    const connections = { maxConnections: settings.peers['max-connections'], pool, metrics }
    const entry = new Entry(settings, await PeerServer.listen({ host, key, port, connections }), metrics, { connections: pool, bodies: new MemoryPool(memoryLimits.heldBodyBytes) })
    entry.callerAddress = await listen(entry.callerServer, host, callerPort)
    entry.runTasks()
    return entry
  }

  get info(): DaemonInfo {
    const { name, role } = this.settings.process
    return { role, name, incarnation: this.incarnation, pid: process.pid, peer: this.peerServer.address, caller: this.callerAddress }
  }

  async stop(): Promise<void> {
    const { process: identity, entry } = this.settings
    log('stopping', { name: identity.name, inFlight: this.callerService.inFlight })
    const timeouts = { stopTimeoutMs: identity['stop-timeout-ms'], writeTimeoutMs: entry['write-timeout-ms'] }
    await stopGracefully(this.callerService, this.callerServer, timeouts)
    this.abortController.abort()
    this.membership.close()
    this.peers.close()
    await this.peerServer.close()
    await this.logClient.close()
    log('stopped', { name: identity.name })
  }

  private createConfigurationMonitor(): ConfigurationMonitor {
    const { configuration, follower, peers, machines, settings } = this
    const { addresses } = settings.peers
    return new ConfigurationMonitor({ configuration, follower, peers, machines, addresses, ownAddress: this.peerServer.address })
  }

  private createMembership(): Membership {
    const { process: identity, peers } = this.settings
    return new Membership(this.configuration, this.machines, {
      entryName: identity.name,
      entryIncarnation: this.incarnation,
      key: identity.key,
      heartbeatIntervalMs: peers['greet-interval-ms'],
      watchLimit: peers['watch-limit'],
      freshness: this.configurationMonitor,
    })
  }

  private createPeerService(dispatcher: RequestDispatcher, search: OutcomeSearch, decisions: DecisionLog): EntryPeerService {
    const { incarnation, configuration, configurationMonitor, membership, callerService, requestComponents, settings } = this
    const { claims, finder } = requestComponents
    return new EntryPeerService({
      identity: settings.process,
      incarnation,
      configuration,
      configurationMonitor,
      membership,
      claims,
      finder,
      dispatcher,
      search,
      callerService,
      decisions,
    })
  }

  private createCallerServer(): Server {
    const { entry } = this.settings
    return createCallerServer({
      limits: {
        connections: { maxConnections: entry['max-connections'], pool: this.memory.connections, metrics: this.metrics },
        bodies: this.memory.bodies,
        maxBodyBytes: entry['max-body-bytes'],
        bodyTimeoutMs: entry['body-timeout-ms'],
        writeTimeoutMs: entry['write-timeout-ms'],
      },
      configuration: this.configuration,
      service: this.callerService,
      answerOperations: (request, response) => answerOperations(this.operations, request, response),
    })
  }

  private runTasks(): void {
    const { signal } = this.abortController
    const retentionMs = this.settings.platform['log-retention-ms']
    void this.follower.run(signal)
    void this.requestComponents.claims.run(signal)
    void this.machines.run(signal)
    void new Checkpointer(this.logClient, this.configuration, { retentionMs }).run(signal)
    void this.configurationMonitor.run(signal)
    void this.membership.run(signal)
  }

  private createOperations(): OperationsSource {
    return {
      ...createMetricsRead(this.metrics.registry, async () => {
        this.metrics.setConfiguration(this.configuration.offset, this.follower.ageMs)
        this.metrics.setCallerConnections(await countConnections(this.callerServer))
      }),
      isReady: () => this.callerService.isReady(),
    }
  }
}

/** Counts open connections; `getConnections` reports an error for a closed server, which has 0. */
function countConnections(server: Server): Promise<number> {
  return new Promise(resolve => server.getConnections((_error, count) => resolve(count ?? 0)))
}

/**
 * Exchange of state with peers: answers their heartbeats, serves the
 * configuration and the backend server list, exchanges crash reports
 * (`crashes/crash-exchange.ts`), and runs their stage work while this gateway is
 * a coordinator. Each heartbeat and its reply carry the revisions held, the
 * evacuation orders, and which backend servers are leaving or changed their rate
 * limit, and the load exchange (`load/load-exchange.ts`); a reply also carries the list changes that the sender lacks. State of a
 * peer that is newer still, and that the store has not delivered, is fetched
 * (`peer-fetch.ts`). Holds no state except for fetches in flight.
 */
import type { Result } from 'ts-results-es'
import type { BackendChange, ListedBackends } from '../connection/backends/backend.js'
import type { Member } from '../connection/peers/member.js'
import type { PeerClients } from '../connection/peers/peer-clients.js'
import type { Heartbeat, HeartbeatReply } from '../connection/peers/peer-messages.js'
import type { PeerService } from '../connection/peers/peer-router.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs, Preparer } from '../connection/peers/preparation.js'
import type { StreamAnswer, StreamMessage, StreamQuestion } from '../connection/peers/stream-message.js'
import type { ConfigurationHolder, ConfigurationRecord } from '../version/configuration-holder.js'
import type { BackendList } from './backend-list.js'
import type { CrashExchange } from './crashes/crash-exchange.js'
import type { EvacuationList } from './evacuation/evacuation-list.js'
import type { GatewayLog } from './gateway-log.js'
import type { LeavingExchange } from './intake/leaving-exchange.js'
import type { LimitExchange } from './intake/limit-exchange.js'
import type { LoadExchange } from './load/load-exchange.js'
import type { ActivePeers } from './membership/active-peers.js'
import type { StreamVersions } from './versions/stream-versions.js'
import { PeerFetch } from './peer-fetch.js'

/** Configurations are fetched without delay: they change rarely and must be in force everywhere within seconds. */
const CONFIGURATION_FETCH_DELAY_MS = 0
/**
 * Long enough for slow processes to get changes by their own reads; taken from
 * the two seconds during which a leaving backend server may get work.
 */
const BACKENDS_FETCH_DELAY_MS = 200

/** Components that peers access through this service, and the clients to reach the peers. */
export interface PeerServiceParts {
  holder: ConfigurationHolder
  backendList: BackendList
  evacuations: EvacuationList
  limits: LimitExchange
  leaving: LeavingExchange
  load: LoadExchange
  activePeers: ActivePeers
  peers: Pick<PeerClients, 'configuration' | 'backends'>
  stageCoordinator: Preparer
  crashes: CrashExchange
  streams: Pick<StreamVersions, 'noteReported' | 'answer' | 'reportPending'>
  /** This process's own status in heartbeat replies, without the shared state. */
  describeSelf: () => SelfDescription
  log: GatewayLog
}

/** State shared with peers, as carried by heartbeats and their replies. */
export type SharedState = Pick<HeartbeatReply, 'version' | 'backends' | 'backendChanges' | 'evacuations' | 'limits' | 'leaving' | 'load'> & { crashes?: unknown }

/** Status of a gateway in its heartbeat replies, without the shared state. */
export type SelfDescription = Omit<HeartbeatReply, keyof SharedState>

/** Implements the procedures between gateways, and fetches newer state from peers. */
export class GatewayPeerService implements PeerService {
  private readonly configurationFetch: PeerFetch
  private readonly backendsFetch: PeerFetch

  constructor(private readonly parts: PeerServiceParts) {
    const { holder, backendList, peers, log } = parts
    this.configurationFetch = new PeerFetch({
      fetchDelayMs: CONFIGURATION_FETCH_DELAY_MS,
      revision: () => holder.version,
      fetch: member => this.fetchConfiguration(member),
      failed: (member, error) => log.peerConfigurationFailed(member, error),
    })
    this.backendsFetch = new PeerFetch({
      fetchDelayMs: BACKENDS_FETCH_DELAY_MS,
      revision: () => backendList.revision,
      fetch: async member => backendList.adopt(await peers.backends(member), member),
      failed: (member, error) => log.peerBackendsFailed(member, error),
    })
  }

  /** The shared state that heartbeats to this peer carry. */
  sharedStateFor({ address }: Member): Pick<HeartbeatReply, 'version' | 'backends' | 'crashes' | 'evacuations' | 'limits' | 'leaving'> {
    const { holder, backendList, crashes, limits, leaving, evacuations: { orders } } = this.parts
    return {
      version: holder.version,
      backends: backendList.revision,
      crashes: crashes.messageFor(address),
      evacuations: orders.length > 0 ? orders : undefined,
      limits: limits.messages(performance.now()),
      leaving: leaving.messages(),
    }
  }

  heartbeat(heartbeat: Heartbeat): HeartbeatReply {
    const { name, address } = heartbeat
    this.parts.activePeers.note({ name, address }, performance.now())
    this.parts.streams.reportPending()
    this.applyPeerState(heartbeat, heartbeat)
    const now = performance.now()
    this.parts.load.receiveReport(heartbeat.load, heartbeat.name, now)
    const load = this.parts.load.answerFor(heartbeat.name, now)
    return { ...this.sharedStateFor(heartbeat), load, backendChanges: this.changesFor(heartbeat), ...this.parts.describeSelf() }
  }

  configuration(): ConfigurationRecord | undefined {
    return this.parts.holder.record
  }

  backends(): ListedBackends {
    return this.parts.backendList.current
  }

  prepare(request: PreparationRequest, signal: AbortSignal): Promise<Result<PreparedInputs, PreparationFailure>> {
    return this.parts.stageCoordinator.prepare(request, signal)
  }

  release(requestIds: string[]): void {
    for (const id of requestIds)
      this.parts.stageCoordinator.release(id)
  }

  noteStreams(streams: readonly StreamMessage[]): void {
    this.parts.streams.noteReported(streams)
  }

  findStream(question: StreamQuestion): StreamAnswer {
    return this.parts.streams.answer(question)
  }

  /** Applies the state that a peer sent, and fetches what is newer but was not included. */
  applyPeerState({ name, address }: Member, { version, backends, backendChanges, crashes, evacuations, limits, leaving }: SharedState): void {
    const member = { name, address }
    if (crashes !== undefined)
      this.parts.crashes.receive(address, crashes)
    // Before the configuration is fetched: a starting gateway must know the orders when it begins to serve.
    this.parts.evacuations.applyPeerOrders(evacuations ?? [], name)
    if (backends !== undefined && backendChanges)
      this.parts.backendList.adoptChanges(backendChanges, backends, member)
    this.parts.limits.receive(limits ?? [], name, performance.now())
    this.parts.leaving.receive(leaving ?? [], name)
    void this.configurationFetch.handlePeerRevision(member, version)
    void this.backendsFetch.handlePeerRevision(member, backends)
  }

  /** The list changes that a peer lacks; undefined if there are none, which is the common case. */
  private changesFor({ backends }: Heartbeat): BackendChange[] | undefined {
    const changes = backends === undefined ? undefined : this.parts.backendList.changesSince(backends)
    return changes && changes.length > 0 ? changes : undefined
  }

  private async fetchConfiguration(member: Member): Promise<void> {
    const record = await this.parts.peers.configuration(member)
    if (record)
      this.parts.holder.offer(record.text, member.name)
  }
}

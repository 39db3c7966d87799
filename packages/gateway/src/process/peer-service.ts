/**
 * What this gateway and its peers exchange: it answers their heartbeats, gives
 * them its configuration and its list of backend servers, exchanges crashes
 * (`crashes/crash-exchange.ts`), and does their stage
 * work while it coordinates. Each heartbeat and its answer tell the versions
 * held, the orders about failure domains, and which backend servers leave or
 * changed their limit; an answer also the changes of the list that the sender lacks. What a peer
 * holds beyond that, and the platform's store did not bring, is fetched
 * (`peer-fetch.ts`). It owns no state but that fetches are under way.
 */
import type { Result } from 'ts-results-es'
import type { BackendChange, ListedBackends } from '../connection/backends/backend.js'
import type { Member } from '../connection/peers/member.js'
import type { PeerClients } from '../connection/peers/peer-clients.js'
import type { Heartbeat, HeartbeatReply } from '../connection/peers/peer-messages.js'
import type { PeerService } from '../connection/peers/peer-router.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs, Preparer } from '../connection/peers/preparation.js'
import type { ConfigurationHolder, ConfigurationRecord } from '../version/configuration-holder.js'
import type { BackendList } from './backend-list.js'
import type { CrashExchange } from './crashes/crash-exchange.js'
import type { EvacuationList } from './evacuation/evacuation-list.js'
import type { GatewayLog } from './gateway-log.js'
import type { LeavingExchange } from './intake/leaving-exchange.js'
import type { LimitExchange } from './intake/limit-exchange.js'
import type { ActivePeers } from './membership/active-peers.js'
import { PeerFetch } from './peer-fetch.js'

/** Milliseconds. A configuration is fetched at once: it changes seldom, and in seconds it must be in force everywhere. */
const CONFIGURATION_PATIENCE_MS = 0
/**
 * Milliseconds. Half costs fetches where a process is slow; twice leaves less
 * of the two seconds in which a leaving backend server may get work.
 */
const BACKENDS_PATIENCE_MS = 200

/** The parts of a gateway that its peers reach, and those that reach the peers. */
export interface PeerServiceParts {
  holder: ConfigurationHolder
  backendList: BackendList
  evacuations: EvacuationList
  limits: LimitExchange
  leaving: LeavingExchange
  activePeers: ActivePeers
  peers: Pick<PeerClients, 'configuration' | 'backends'>
  stageCoordinator: Preparer
  crashes: CrashExchange
  /** What this process tells of itself in answer to a heartbeat, without what it holds. */
  describeSelf: () => SelfDescription
  log: GatewayLog
}

/** What a gateway tells of the state that it shares with its peers. */
export type HeldState = Pick<HeartbeatReply, 'version' | 'backends' | 'backendChanges' | 'evacuations' | 'limits' | 'leaving'> & { crashes?: unknown }

/** What a gateway tells of itself, beside the state that it shares. */
export type SelfDescription = Omit<HeartbeatReply, keyof HeldState>

/** Answers the procedures between gateways, and fetches what peers have and this process lacks. */
export class GatewayPeerService implements PeerService {
  private readonly configurationFetch: PeerFetch
  private readonly backendsFetch: PeerFetch

  constructor(private readonly parts: PeerServiceParts) {
    const { holder, backendList, peers, log } = parts
    this.configurationFetch = new PeerFetch({
      patienceMs: CONFIGURATION_PATIENCE_MS,
      revision: () => holder.version,
      fetch: member => this.fetchConfiguration(member),
      failed: (member, error) => log.peerConfigurationFailed(member, error),
    })
    this.backendsFetch = new PeerFetch({
      patienceMs: BACKENDS_PATIENCE_MS,
      revision: () => backendList.revision,
      fetch: async member => backendList.adopt(await peers.backends(member), member),
      failed: (member, error) => log.peerBackendsFailed(member, error),
    })
  }

  /** What this process holds, as its heartbeats tell a peer. */
  heldFor({ address }: Member): Pick<HeartbeatReply, 'version' | 'backends' | 'crashes' | 'evacuations' | 'limits' | 'leaving'> {
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
    this.parts.activePeers.note(heartbeat.name, performance.now())
    this.learn(heartbeat, heartbeat)
    return { ...this.heldFor(heartbeat), backendChanges: this.changesFor(heartbeat), ...this.parts.describeSelf() }
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

  /** A peer told what it holds; what is newer and was not told is fetched. */
  learn({ name, address }: Member, { version, backends, backendChanges, crashes, evacuations, limits, leaving }: HeldState): void {
    const member = { name, address }
    if (crashes !== undefined)
      this.parts.crashes.receive(address, crashes)
    // Before the configuration is fetched: a gateway that starts must know them when it serves.
    this.parts.evacuations.applyPeerOrders(evacuations ?? [], name)
    if (backends !== undefined && backendChanges)
      this.parts.backendList.adoptChanges(backendChanges, backends, member)
    this.parts.limits.receive(limits ?? [], name, performance.now())
    this.parts.leaving.receive(leaving ?? [], name)
    void this.configurationFetch.learn(member, version)
    void this.backendsFetch.learn(member, backends)
  }

  /** The changes of the list that a peer lacks; undefined where there is nothing to tell, which is most of the time. */
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

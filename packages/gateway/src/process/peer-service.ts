/**
 * What this gateway and its peers exchange: it answers their heartbeats, gives
 * them its configuration, and does their stage work while it coordinates. Where
 * a peer holds a newer configuration, which the platform's store did not bring,
 * it fetches that; versions come with each heartbeat and its reply. It owns no
 * state but that a fetch is under way; one that fails is tried again with the
 * next heartbeat that shows a newer version.
 */
import type { Result } from 'ts-results-es'
import type { Member } from '../connection/peers/member.js'
import type { PeerClients } from '../connection/peers/peer-clients.js'
import type { Heartbeat, HeartbeatReply } from '../connection/peers/peer-messages.js'
import type { PeerService } from '../connection/peers/peer-router.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs, Preparer } from '../connection/peers/preparation.js'
import type { ConfigurationHolder, ConfigurationRecord } from '../version/configuration-holder.js'
import type { GatewayLog } from './gateway-log.js'

/** The parts of a gateway that its peers reach, and those that reach the peers. */
export interface PeerServiceParts {
  holder: ConfigurationHolder
  peers: PeerClients
  stageCoordinator: Preparer
  /** What this process tells of itself in answer to a heartbeat, without the configuration version. */
  describeSelf: () => Omit<HeartbeatReply, 'version'>
  log: GatewayLog
}

/** Answers the procedures between gateways, and fetches configurations that peers have and this process lacks. */
export class GatewayPeerService implements PeerService {
  private fetching = false

  constructor(private readonly parts: PeerServiceParts) {}

  heartbeat(heartbeat: Heartbeat): HeartbeatReply {
    const { holder, describeSelf } = this.parts
    void this.learnVersion(heartbeat, heartbeat.version)
    return { version: holder.version, ...describeSelf() }
  }

  configuration(): ConfigurationRecord | undefined {
    return this.parts.holder.record
  }

  prepare(request: PreparationRequest, signal: AbortSignal): Promise<Result<PreparedInputs, PreparationFailure>> {
    return this.parts.stageCoordinator.prepare(request, signal)
  }

  release(requestIds: string[]): void {
    for (const id of requestIds)
      this.parts.stageCoordinator.release(id)
  }

  /** A peer holds this version; a newer one is fetched, one fetch at a time. */
  async learnVersion(member: Member, version: number): Promise<void> {
    const { holder, peers, log } = this.parts
    if (version <= holder.version || this.fetching)
      return
    this.fetching = true
    try {
      const record = await peers.configuration(member)
      if (record)
        holder.offer(record.text, member.name)
    }
    catch (error) {
      log.peerConfigurationFailed(member, error)
    }
    this.fetching = false
  }
}

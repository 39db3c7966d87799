/**
 * Takes a newer configuration from a peer where the platform's store did not
 * bring it. Versions come with each heartbeat and its reply. It holds no
 * configuration itself; one fetch is under way at a time, and one that fails is
 * tried again with the next heartbeat that shows a newer version.
 */
import type { Member } from '../../connection/peers/member.js'
import type { PeerClients } from '../../connection/peers/peer-clients.js'
import type { ConfigurationHolder } from '../../version/configuration-holder.js'
import type { GatewayLog } from '../gateway-log.js'

/** Fetches configurations that peers have and this process lacks. */
export class PeerConfiguration {
  private fetching = false

  constructor(
    private readonly configuration: ConfigurationHolder,
    private readonly peers: Pick<PeerClients, 'configuration'>,
    private readonly log: GatewayLog,
  ) {}

  /** A peer holds this version. */
  async learnVersion(member: Member, version: number): Promise<void> {
    if (version <= this.configuration.version || this.fetching)
      return
    this.fetching = true
    try {
      const record = await this.peers.configuration(member)
      if (record)
        this.configuration.offer(record.text, member.name)
    }
    catch (error) {
      this.log.peerConfigurationFailed(member, error)
    }
    this.fetching = false
  }
}

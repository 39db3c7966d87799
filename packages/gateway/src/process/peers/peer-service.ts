/**
 * What this gateway answers to its peers: heartbeats, its configuration, and
 * stage work while it coordinates. It holds no state of its own.
 */
import type { Result } from 'ts-results-es'
import type { Heartbeat, HeartbeatReply } from '../../connection/peers/peer-messages.js'
import type { PeerService } from '../../connection/peers/peer-router.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs, Preparer } from '../../connection/peers/preparation.js'
import type { ConfigurationHolder, ConfigurationRecord } from '../../version/configuration-holder.js'
import type { PeerConfiguration } from './peer-configuration.js'

/** The parts of a gateway that answer its peers. */
export interface PeerServiceParts {
  configuration: ConfigurationHolder
  peerConfiguration: PeerConfiguration
  stageCoordinator: Preparer
  /** Whether this process was asked to stop. */
  isStopping: () => boolean
}

/** Answers the procedures between gateways. */
export class GatewayPeerService implements PeerService {
  constructor(private readonly parts: PeerServiceParts) {}

  heartbeat(heartbeat: Heartbeat): HeartbeatReply {
    const { configuration, peerConfiguration, isStopping } = this.parts
    void peerConfiguration.learnVersion(heartbeat, heartbeat.version)
    return { version: configuration.version, stopping: isStopping() }
  }

  configuration(): ConfigurationRecord | undefined {
    return this.parts.configuration.record
  }

  prepare(request: PreparationRequest, signal: AbortSignal): Promise<Result<PreparedInputs, PreparationFailure>> {
    return this.parts.stageCoordinator.prepare(request, signal)
  }

  release(requestIds: string[]): void {
    for (const id of requestIds)
      this.parts.stageCoordinator.release(id)
  }
}

/**
 * Heartbeats from one entry to one side. They identify the sender and the offset
 * of its configuration, acknowledge stage results, and push a newer configuration
 * to the side. Owns the pending acknowledgements and the state from the side's
 * last reply. If this process dies, pending acknowledgements are lost, and the
 * side evicts those results by age.
 */
import type { Configuration } from '../version/configuration.js'
import type { Heartbeat, HeartbeatReply, Load } from './messages.js'
import type { PeerConnection, SideClient } from './peer-connection.js'
import { createLogger } from '@eidermast/common'
import { SIDE_OBJECT_KINDS } from '../version/objects.js'
import { NO_OFFSET } from '../version/record.js'
import { isHeartbeatDue } from './heartbeat-timing.js'
import { heartbeatReplySchema, MAX_ACKNOWLEDGEMENTS } from './messages.js'
import { callPeer, CallState } from './peer-connection.js'

const log = createLogger('membership')

/** Reply timeout in heartbeat intervals. With a single interval, a late reply would overlap with the next heartbeat. */
const REPLY_TIMEOUT_INTERVALS = 2

/** Reports whether the configuration is up to date. */
export interface ConfigurationFreshness {
  /** Whether the log recently confirmed the configuration. */
  readonly isFresh: boolean
}

export interface SideHeartbeatsOptions {
  backendName: string
  entryName: string
  entryIncarnation: string
  configuration: Configuration
  heartbeatIntervalMs: number
  freshness: ConfigurationFreshness
  /** Receives the load that the side reports in its replies. */
  onLoad: (load: Load) => void
}

/** The heartbeats of one link. */
export class SideHeartbeats {
  /** Process incarnation of the side as of its last reply; undefined if its process is known to have ended. */
  sideIncarnation: string | undefined
  /** Arrival of the last stage reply (monotonic, in milliseconds). */
  private stageRepliedAt = Number.NEGATIVE_INFINITY
  /** Arrival of the last heartbeat reply (monotonic, in milliseconds). */
  private heartbeatRepliedAt = Number.NEGATIVE_INFINITY
  /** Offset of the side's configuration as of its last reply. */
  private sideOffset = NO_OFFSET
  private acknowledgements: string[] = []

  constructor(private readonly options: SideHeartbeatsOptions) {}

  /** Timeout of all calls to the side except stage calls. */
  get replyTimeoutMs(): number {
    return this.options.heartbeatIntervalMs * REPLY_TIMEOUT_INTERVALS
  }

  get isDue(): boolean {
    const now = performance.now()
    return isHeartbeatDue({
      sinceReplyMs: now - this.stageRepliedAt,
      sinceHeartbeatMs: now - this.heartbeatRepliedAt,
      intervalMs: this.options.heartbeatIntervalMs,
      acknowledgements: this.acknowledgements.length,
      offset: this.options.configuration.offset,
      sideOffset: this.sideOffset,
    })
  }

  /** Marks the start of a connection, so that its first heartbeat is due immediately. */
  handleConnect(): void {
    this.stageRepliedAt = Number.NEGATIVE_INFINITY
  }

  /** Records a stage reply, which proves that the side is responsive. */
  handleStageReply(): void {
    this.stageRepliedAt = performance.now()
  }

  /** Queues an acknowledgement for the next heartbeat. The side evicts results beyond the limit by age. */
  acknowledge(key: string): void {
    if (this.acknowledgements.length < MAX_ACKNOWLEDGEMENTS)
      this.acknowledgements.push(key)
  }

  /** Sends one heartbeat; returns whether the side replied. If it is lost, so are its acknowledgements. */
  async send(connection: PeerConnection<SideClient>): Promise<boolean> {
    const heartbeat = this.createHeartbeat()
    const result = await callPeer(connection, client => client.greet.mutate(heartbeat), this.replyTimeoutMs)
    if (result.state !== CallState.Answered)
      return this.logMissed(result.message)
    const reply = heartbeatReplySchema.safeParse(result.value)
    if (!reply.success)
      return this.logMissed('the side sent a heartbeat reply in an unknown format')
    this.handleHeartbeatReply(reply.data)
    await this.pushConfiguration(connection)
    return true
  }

  private createHeartbeat(): Heartbeat {
    const { configuration, entryIncarnation, entryName, freshness } = this.options
    const acknowledged = this.acknowledgements
    this.acknowledgements = []
    return { incarnation: entryIncarnation, name: entryName, offset: configuration.offset, fresh: freshness.isFresh, acknowledged }
  }

  private logMissed(message: string): false {
    log('heartbeat-missed', { backend: this.options.backendName, error: message })
    return false
  }

  private handleHeartbeatReply(reply: HeartbeatReply): void {
    this.heartbeatRepliedAt = performance.now()
    this.sideOffset = reply.offset
    this.sideIncarnation = reply.incarnation
    if (reply.load)
      this.options.onLoad(reply.load)
  }

  /** Pushes the objects that the side lacks. Its next heartbeat reply shows whether they arrived. */
  private async pushConfiguration(connection: PeerConnection<SideClient>): Promise<void> {
    const { configuration } = this.options
    if (this.sideOffset >= configuration.offset)
      return
    const difference = configuration.differenceSince(this.sideOffset, SIDE_OBJECT_KINDS)
    await callPeer(connection, client => client.offer.mutate(difference), this.replyTimeoutMs)
  }
}

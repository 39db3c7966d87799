/**
 * Heartbeats of one entry to one side: says who sends and how new its
 * configuration is, acknowledges stage results, and carries a newer
 * configuration to the side. Owns the acknowledgements that are not sent yet
 * and what the side last answered. When this process dies, unsent
 * acknowledgements are lost, and the side drops those results by their age.
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

/** Heartbeat intervals that an answer may take. At one, a late answer overlaps the next heartbeat. */
const ANSWER_TIMEOUT_INTERVALS = 2

/** Who knows whether a configuration may be vouched for. */
export interface ConfigurationFreshness {
  /** Whether the log confirmed the configuration a short while ago. */
  readonly isFresh: boolean
}

/** Options of the heartbeats. */
export interface SideHeartbeatsOptions {
  backendName: string
  entryName: string
  entryIncarnation: string
  configuration: Configuration
  heartbeatIntervalMs: number
  freshness: ConfigurationFreshness
  /** Receives the load that a side reports with its answer. */
  onLoad: (load: Load) => void
}

/** The heartbeats of one link. */
export class SideHeartbeats {
  /** The side's process life, as of its newest answer; undefined where its process is known to be over. */
  sideIncarnation: string | undefined
  /** When the newest stage reply and the newest answered heartbeat came, in milliseconds of the process clock. */
  private repliedAt = Number.NEGATIVE_INFINITY
  private answeredAt = Number.NEGATIVE_INFINITY
  /** The configuration that the side held at the newest answer. */
  private sideOffset = NO_OFFSET
  private acknowledgements: string[] = []

  constructor(private readonly options: SideHeartbeatsOptions) {}

  /** Milliseconds that a side may take for any answer but a stage reply. */
  get answerTimeoutMs(): number {
    return this.options.heartbeatIntervalMs * ANSWER_TIMEOUT_INTERVALS
  }

  /** Whether a heartbeat is due. */
  get isDue(): boolean {
    const now = performance.now()
    return isHeartbeatDue({
      sinceReplyMs: now - this.repliedAt,
      sinceHeartbeatMs: now - this.answeredAt,
      intervalMs: this.options.heartbeatIntervalMs,
      acknowledgements: this.acknowledgements.length,
      offset: this.options.configuration.offset,
      sideOffset: this.sideOffset,
    })
  }

  /** Takes note that a connection begins: its first heartbeat is due at once. */
  noteConnected(): void {
    this.repliedAt = Number.NEGATIVE_INFINITY
  }

  /** Takes note of a stage reply, which shows that the side answers. */
  noteReply(): void {
    this.repliedAt = performance.now()
  }

  /** Has a result's receipt reported with the next heartbeat; beyond the limit, the side drops the result by its age. */
  acknowledge(key: string): void {
    if (this.acknowledgements.length < MAX_ACKNOWLEDGEMENTS)
      this.acknowledgements.push(key)
  }

  /** Sends one heartbeat; returns whether the side answered it. Acknowledgements of one that is lost are lost. */
  async send(connection: PeerConnection<SideClient>): Promise<boolean> {
    const heartbeat = this.createHeartbeat()
    const result = await callPeer(connection, client => client.greet.mutate(heartbeat), this.answerTimeoutMs)
    if (result.state === CallState.Lost)
      return this.noteMissed(result.message)
    const reply = heartbeatReplySchema.safeParse(result.value)
    if (!reply.success)
      return this.noteMissed('the side answered in an unknown form')
    this.noteAnswer(reply.data)
    await this.bringConfiguration(connection)
    return true
  }

  private createHeartbeat(): Heartbeat {
    const { configuration, entryIncarnation, entryName, freshness } = this.options
    const acknowledged = this.acknowledgements
    this.acknowledgements = []
    return { incarnation: entryIncarnation, name: entryName, offset: configuration.offset, fresh: freshness.isFresh, acknowledged }
  }

  private noteMissed(message: string): false {
    log('heartbeat-missed', { backend: this.options.backendName, error: message })
    return false
  }

  private noteAnswer(reply: HeartbeatReply): void {
    this.answeredAt = performance.now()
    this.sideOffset = reply.offset
    this.sideIncarnation = reply.incarnation
    if (reply.load)
      this.options.onLoad(reply.load)
  }

  /** Brings the side what it lacks. Whether that arrived shows in its next answer. */
  private async bringConfiguration(connection: PeerConnection<SideClient>): Promise<void> {
    const { configuration } = this.options
    if (this.sideOffset >= configuration.offset)
      return
    const difference = configuration.differenceSince(this.sideOffset, SIDE_OBJECT_KINDS)
    await callPeer(connection, client => client.offer.mutate(difference), this.answerTimeoutMs)
  }
}

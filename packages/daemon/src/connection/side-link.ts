/**
 * An entry's link to one side: maintains one connection, sends heartbeats on it
 * and makes stage calls. Owns the connection, the number of calls in flight and
 * the last load report until it is closed. If this process dies, its calls
 * continue at the side and their results are never read.
 */
import type { Configuration } from '../version/configuration.js'
import type { LinkResult, LinkTokenListener } from './link-call.js'
import type { CancelReply, Load, ResultQuery, StageCall, StageReply } from './messages.js'
import type { PeerConnection, SideClient } from './peer-connection.js'
import type { ConfigurationFreshness } from './side-heartbeats.js'
import { createLogger, wait } from '@eidermast/common'
import { classifySide, SideHealth } from './heartbeat-timing.js'
import { callStage, LinkOutcome } from './link-call.js'
import { stageKey, stageReplySchema } from './messages.js'
import { callPeer, CallState, ConnectFailure, connectSide } from './peer-connection.js'
import { ReconnectDelay } from './reconnect-delay.js'
import { SideHeartbeats } from './side-heartbeats.js'

const log = createLogger('membership')

export interface SideLinkOptions {
  backendName: string
  /** Address of the side, as `host:port`. */
  address: string
  key: string
  entryName: string
  entryIncarnation: string
  configuration: Configuration
  heartbeatIntervalMs: number
  freshness: ConfigurationFreshness
  /** Called when the side becomes responsive or silent, or starts or stops draining. */
  onChange: () => void
}

/** An entry's link to one side. */
export class SideLink {
  /** Number of calls sent on this link that have no reply yet. */
  outstanding = 0
  /** Number of calls sent since the last load report. */
  sentSinceReport = 0
  /** Whether an attempt to reach the side has succeeded or failed since this link was created. */
  tried = false
  private connection: PeerConnection<SideClient> | undefined
  private lastLoad: Load | undefined
  private answering = false
  private readonly heartbeats: SideHeartbeats
  private readonly closeController = new AbortController()

  constructor(private readonly options: SideLinkOptions) {
    this.heartbeats = new SideHeartbeats({ ...options, onLoad: load => this.updateLoad(load) })
  }

  get backendName(): string {
    return this.options.backendName
  }

  get address(): string {
    return this.options.address
  }

  /** Process incarnation of the side as of its last reply. */
  get incarnation(): string | undefined {
    return this.heartbeats.sideIncarnation
  }

  /** The last load report. */
  get load(): Load | undefined {
    return this.lastLoad
  }

  /** Whether the connection is open and the side answers heartbeats. */
  get ready(): boolean {
    return this.answering && this.connection?.isOpen() === true
  }

  /** Maintains the link, with reconnection, until it is closed. */
  async run(): Promise<void> {
    const { address, key } = this.options
    const delay = new ReconnectDelay()
    while (!this.closeController.signal.aborted) {
      const opened = await connectSide({ address, key })
      if (opened.isOk()) {
        delay.reset()
        await this.sendHeartbeats(opened.value)
      }
      else if (opened.error === ConnectFailure.Refused) {
        // Lets callers that wait for a lost reply detect at once that the process incarnation has ended.
        this.heartbeats.sideIncarnation = undefined
      }
      this.setAnswering(false)
      await wait(delay.next(), this.closeController.signal)
    }
  }

  /** Closes the link permanently. */
  close(): void {
    this.closeController.abort()
    this.connection?.close()
  }

  /** Sends a stage call and waits for its reply. */
  async call(call: StageCall, onToken?: LinkTokenListener): Promise<LinkResult> {
    const connection = this.connection
    if (!connection?.isOpen())
      return { outcome: LinkOutcome.NotSent, message: 'not connected' }
    this.outstanding++
    this.sentSinceReport++
    const result = await callStage(connection, call, onToken)
    this.outstanding--
    if (result.outcome === LinkOutcome.Replied) {
      this.heartbeats.handleStageReply()
      this.updateLoad(result.reply.load)
    }
    return result
  }

  /** Cancels a call at the side; undefined if the side did not reply. */
  async cancel(call: StageCall): Promise<CancelReply | undefined> {
    const connection = this.connection
    if (!connection?.isOpen())
      return undefined
    const key = stageKey(call.identity)
    const result = await callPeer(connection, client => client.cancel.mutate({ key }), this.heartbeats.replyTimeoutMs)
    return result.state === CallState.Answered ? result.value : undefined
  }

  /** Queries the side for the finished result of a stage of a request; undefined if it has none or does not reply. */
  async findResult(query: ResultQuery): Promise<StageReply | undefined> {
    const connection = this.connection
    if (!connection?.isOpen())
      return undefined
    const result = await callPeer(connection, client => client.findResult.query(query), this.heartbeats.replyTimeoutMs)
    return result.state === CallState.Answered ? stageReplySchema.safeParse(result.value).data : undefined
  }

  /** Acknowledges the result of a call with the next heartbeat. */
  acknowledge(call: StageCall): void {
    this.heartbeats.acknowledge(stageKey(call.identity))
  }

  /** Sends a heartbeat immediately, which pushes a newer configuration to the side. */
  async pushConfiguration(): Promise<void> {
    if (this.connection?.isOpen())
      await this.heartbeats.send(this.connection)
  }

  /** Sends heartbeats on one connection until it is lost or closed. */
  private async sendHeartbeats(connection: PeerConnection<SideClient>): Promise<void> {
    this.connection = connection
    this.heartbeats.handleConnect()
    let missed = 0
    while (connection.isOpen() && classifySide(missed) !== SideHealth.Lost && !this.closeController.signal.aborted) {
      const answered = this.heartbeats.isDue ? await this.heartbeats.send(connection) : true
      missed = answered ? 0 : missed + 1
      const health = classifySide(missed)
      if (health !== SideHealth.Unclear)
        this.setAnswering(health === SideHealth.Answering)
      if (answered)
        await wait(this.options.heartbeatIntervalMs, this.closeController.signal, connection.closed)
    }
    connection.close()
    this.connection = undefined
  }

  private updateLoad(load: Load): void {
    const changed = this.lastLoad?.draining !== load.draining
    this.lastLoad = load
    this.sentSinceReport = 0
    if (changed)
      this.options.onChange()
  }

  private setAnswering(answering: boolean): void {
    this.tried = true
    if (this.answering === answering)
      return
    this.answering = answering
    const { address, backendName: backend } = this.options
    log(answering ? 'side-answers' : 'side-silent', { backend, address, incarnation: this.incarnation })
    this.options.onChange()
  }
}

/**
 * An entry's link to one side: keeps one connection open, sends heartbeats on
 * it and carries stage calls. Owns the connection, the counts of calls under
 * way and the newest load report, until it is closed. When this process dies,
 * its calls go on at the side, whose results nobody reads.
 */
import type { Configuration } from '../version/configuration.js'
import type { LinkResult, LinkTokenListener } from './link-call.js'
import type { CancelReply, Load, ResultQuestion, StageCall, StageReply } from './messages.js'
import type { PeerConnection, SideClient } from './peer-connection.js'
import type { ConfigurationFreshness } from './side-heartbeats.js'
import { createLogger, wait } from '@eidermast/common'
import { judgeSide, SideHealth } from './heartbeat-timing.js'
import { callStage, LinkOutcome } from './link-call.js'
import { stageKey, stageReplySchema } from './messages.js'
import { callPeer, CallState, ConnectFailure, connectSide } from './peer-connection.js'
import { ReconnectDelay } from './reconnect-delay.js'
import { SideHeartbeats } from './side-heartbeats.js'

const log = createLogger('membership')

/** Options of a side link. */
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
  /** Called when the side begins or ceases to answer, or to drain. */
  onChange: () => void
}

/** An entry's link to one side. */
export class SideLink {
  /** Calls sent on this link that have no reply. */
  outstanding = 0
  /** Calls sent since the newest load report. */
  sentSinceReport = 0
  /** Whether the side has answered, or failed to, since this link began. */
  tried = false
  private connection: PeerConnection<SideClient> | undefined
  private newestLoad: Load | undefined
  private answering = false
  private readonly heartbeats: SideHeartbeats
  private readonly stop = new AbortController()

  constructor(private readonly options: SideLinkOptions) {
    this.heartbeats = new SideHeartbeats({ ...options, onLoad: load => this.noteLoad(load) })
  }

  get backendName(): string {
    return this.options.backendName
  }

  get address(): string {
    return this.options.address
  }

  /** The side's process life, as of its newest answer. */
  get incarnation(): string | undefined {
    return this.heartbeats.sideIncarnation
  }

  /** The newest load report. */
  get load(): Load | undefined {
    return this.newestLoad
  }

  /** Whether the side answers heartbeats on an open connection. */
  get ready(): boolean {
    return this.answering && this.connection?.isOpen() === true
  }

  /** Keeps the link until it is closed. */
  async run(): Promise<void> {
    const { address, key } = this.options
    const delay = new ReconnectDelay()
    while (!this.stop.signal.aborted) {
      const opened = await connectSide({ address, key })
      if (opened.isOk()) {
        delay.reset()
        await this.keep(opened.value)
      }
      else if (opened.error === ConnectFailure.Refused) {
        // Whoever waits for a lost reply learns at once that its process life is over.
        this.heartbeats.sideIncarnation = undefined
      }
      this.setAnswering(false)
      await wait(delay.next(), this.stop.signal)
    }
  }

  /** Closes the link for good. */
  close(): void {
    this.stop.abort()
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
      this.heartbeats.noteReply()
      this.noteLoad(result.reply.load)
    }
    return result
  }

  /** Stops a call at the side; undefined where the side did not say what came of it. */
  async cancel(call: StageCall): Promise<CancelReply | undefined> {
    const connection = this.connection
    if (!connection?.isOpen())
      return undefined
    const key = stageKey(call.identity)
    const result = await callPeer(connection, client => client.cancel.mutate({ key }), this.heartbeats.answerTimeoutMs)
    return result.state === CallState.Answered ? result.value : undefined
  }

  /** Asks the side for a finished result of a request's stage; undefined where it has none or does not answer. */
  async findResult(question: ResultQuestion): Promise<StageReply | undefined> {
    const connection = this.connection
    if (!connection?.isOpen())
      return undefined
    const result = await callPeer(connection, client => client.findResult.query(question), this.heartbeats.answerTimeoutMs)
    return result.state === CallState.Answered ? stageReplySchema.safeParse(result.value).data : undefined
  }

  /** Reports to the side, with the next heartbeat, that a result was received. */
  acknowledge(call: StageCall): void {
    this.heartbeats.acknowledge(stageKey(call.identity))
  }

  /** Brings a newer configuration to the side at once. */
  async spread(): Promise<void> {
    if (this.connection?.isOpen())
      await this.heartbeats.send(this.connection)
  }

  /** Sends heartbeats on one connection until it is lost. */
  private async keep(connection: PeerConnection<SideClient>): Promise<void> {
    this.connection = connection
    this.heartbeats.noteConnected()
    let missed = 0
    while (connection.isOpen() && judgeSide(missed) !== SideHealth.Lost && !this.stop.signal.aborted) {
      const answered = this.heartbeats.isDue ? await this.heartbeats.send(connection) : true
      missed = answered ? 0 : missed + 1
      const health = judgeSide(missed)
      if (health !== SideHealth.Unclear)
        this.setAnswering(health === SideHealth.Answering)
      if (answered)
        await wait(this.options.heartbeatIntervalMs, this.stop.signal, connection.closed)
    }
    connection.close()
    this.connection = undefined
  }

  private noteLoad(load: Load): void {
    const changed = this.newestLoad?.draining !== load.draining
    this.newestLoad = load
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

/**
 * An entry's task for one side: keeps one connection, sends heartbeats on it at each
 * interval, carries configuration both ways and counts the calls under way.
 */
import type { Configuration } from '../version/configuration.js'
import type { CancelReply, Load, ResultQuestion, StageCall, StageReply } from './messages.js'
import type { PeerConnection, SideClient } from './peer-connection.js'
import { createLogger, wait } from '@eidermast/common'
import { ObjectKind } from '../version/objects.js'
import { NO_OFFSET } from '../version/record.js'
import { heartbeatReplySchema, stageKey, stageReplySchema, streamMessageSchema } from './messages.js'
import { callPeer, CallState, ConnectFailure, connectSide } from './peer-connection.js'

const log = createLogger('membership')

/** The kinds of objects that sides hold. */
export const SIDE_OBJECT_KINDS = [ObjectKind.Template, ObjectKind.Backend] as const

/** How a stage call over a link ended. */
export enum LinkOutcome {
  Replied = 'replied',
  /** The link was not open: nothing was sent. */
  NotSent = 'not-sent',
  /** Sent, perhaps received, and no reply. */
  Lost = 'lost',
}

/** The end of a stage call over a link. */
export type LinkResult = { outcome: LinkOutcome.Replied, reply: StageReply } | { outcome: LinkOutcome.NotSent | LinkOutcome.Lost, message: string }

/** Receives streamed tokens. */
export type LinkTokenListener = (index: number, text: string) => void

/** Options of a side link. */
export interface SideLinkOptions {
  backendName: string
  address: string
  key: string
  entryName: string
  entryIncarnation: string
  configuration: Configuration
  heartbeatIntervalMs: number
  /** Whether the log confirmed the configuration a short while ago. */
  isFresh: () => boolean
  /** Called when the side comes, goes or reports other load. */
  onChange: () => void
}

/** Heartbeats missed in a row after which a side counts as not answering. */
const SILENT_AFTER = 2
/** Heartbeats missed in a row after which the connection is given up. */
const MISSED_HEARTBEATS = 3
/** Heartbeat intervals that a busy link may go without a heartbeat. */
const LONGEST_HEARTBEAT_GAP = 6
/** Taken results that are worth a heartbeat. */
const ACKNOWLEDGEMENTS_AT_ONCE = 500
const RECONNECT_MS = 200
const MAXIMUM_RECONNECT_MS = 2000
const MAXIMUM_ACKNOWLEDGEMENTS = 10_000

/** An entry's link to one side. */
export class SideLink {
  /** Calls sent on this link that have no reply. */
  outstanding = 0
  /** Calls sent since the newest load report. */
  sentSinceReport = 0
  private connection: PeerConnection<SideClient> | undefined
  private sideIncarnation: string | undefined
  private newestLoad: Load | undefined
  private acknowledgements: string[] = []
  private answering = false
  /** When the newest reply and the newest answered heartbeat came, in milliseconds of the process clock. */
  private repliedAt = Number.NEGATIVE_INFINITY
  private heartbeatAt = Number.NEGATIVE_INFINITY
  /** The configuration that the side held at the newest heartbeat. */
  private sideOffset = NO_OFFSET
  private readonly stop = new AbortController()

  constructor(private readonly options: SideLinkOptions) {}

  get backendName(): string {
    return this.options.backendName
  }

  get address(): string {
    return this.options.address
  }

  /** The side's process life, while it answers. */
  get incarnation(): string | undefined {
    return this.sideIncarnation
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
    let waitMs = RECONNECT_MS
    while (!this.stop.signal.aborted) {
      const opened = await connectSide({ address: this.options.address, key: this.options.key })
      if (opened.isOk()) {
        waitMs = RECONNECT_MS
        await this.keep(opened.value)
      }
      else if (opened.error === ConnectFailure.Refused) {
        // Whoever waits for a lost reply learns at once that its process life is over.
        this.sideIncarnation = undefined
      }
      this.setAnswering(false)
      await wait(waitMs * (0.5 + Math.random()), this.stop.signal)
      waitMs = Math.min(waitMs * 2, MAXIMUM_RECONNECT_MS)
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
    const result = await callPeer(connection, client => onToken ? readStream(client, call, onToken) : client.run.mutate(call))
    this.outstanding--
    if (result.state === CallState.Lost)
      return { outcome: LinkOutcome.Lost, message: result.message }
    const reply = stageReplySchema.safeParse(result.value)
    if (!reply.success)
      return { outcome: LinkOutcome.Lost, message: 'the side replied in an unknown form' }
    this.repliedAt = performance.now()
    this.takeLoad(reply.data.load)
    return { outcome: LinkOutcome.Replied, reply: reply.data }
  }

  /** Stops a call at the side; undefined where the side did not say what came of it. */
  async cancel(call: StageCall): Promise<CancelReply | undefined> {
    const connection = this.connection
    if (!connection?.isOpen())
      return undefined
    const result = await callPeer(connection, client => client.cancel.mutate({ key: stageKey(call.identity) }), this.answerTimeoutMs())
    return result.state === CallState.Answered ? result.value : undefined
  }

  /** Asks the side for a finished result of a request's stage. */
  async findResult(question: ResultQuestion): Promise<StageReply | undefined> {
    const connection = this.connection
    if (!connection?.isOpen())
      return undefined
    const result = await callPeer(connection, client => client.findResult.query(question), this.answerTimeoutMs())
    return result.state === CallState.Answered ? stageReplySchema.safeParse(result.value).data : undefined
  }

  /** Tells the side, with the next heartbeat, that a result was taken. */
  acknowledge(call: StageCall): void {
    if (this.acknowledgements.length < MAXIMUM_ACKNOWLEDGEMENTS)
      this.acknowledgements.push(stageKey(call.identity))
  }

  /** Brings a newer configuration to the side at once. */
  async spread(): Promise<void> {
    if (this.connection?.isOpen())
      await this.sendHeartbeat(this.connection)
  }

  /** Sends heartbeats on one connection until it is lost. */
  private async keep(connection: PeerConnection<SideClient>): Promise<void> {
    this.connection = connection
    this.repliedAt = Number.NEGATIVE_INFINITY
    let missed = 0
    while (connection.isOpen() && missed < MISSED_HEARTBEATS && !this.stop.signal.aborted) {
      const answered = this.needsHeartbeat() ? await this.sendHeartbeat(connection) : true
      missed = answered ? 0 : missed + 1
      // One late answer on a loaded machine is no sign that the side is gone.
      if (answered || missed >= SILENT_AFTER)
        this.setAnswering(answered)
      if (answered)
        await this.waitForNextHeartbeat(connection)
    }
    connection.close()
    this.connection = undefined
  }

  /** A link that has just carried a reply, with its load report, needs no heartbeat of its own. */
  private needsHeartbeat(): boolean {
    const { configuration, heartbeatIntervalMs } = this.options
    const now = performance.now()
    const quiet = now - this.repliedAt >= heartbeatIntervalMs
    const overdue = now - this.heartbeatAt >= heartbeatIntervalMs * LONGEST_HEARTBEAT_GAP
    const manyTaken = this.acknowledgements.length >= ACKNOWLEDGEMENTS_AT_ONCE
    return quiet || overdue || manyTaken || this.sideOffset < configuration.offset
  }

  private async waitForNextHeartbeat(connection: PeerConnection<SideClient>): Promise<void> {
    await wait(this.options.heartbeatIntervalMs, this.stop.signal, connection.closed)
  }

  private async sendHeartbeat(connection: PeerConnection<SideClient>): Promise<boolean> {
    const { configuration, entryIncarnation, entryName } = this.options
    const acknowledged = this.acknowledgements
    this.acknowledgements = []
    const heartbeat = { incarnation: entryIncarnation, name: entryName, offset: configuration.offset, fresh: this.options.isFresh(), acknowledged }
    const result = await callPeer(connection, client => client.greet.mutate(heartbeat), this.answerTimeoutMs())
    if (result.state === CallState.Lost)
      return false
    const reply = heartbeatReplySchema.safeParse(result.value)
    if (!reply.success)
      return false
    this.heartbeatAt = performance.now()
    this.sideOffset = reply.data.offset
    this.sideIncarnation = reply.data.incarnation
    if (reply.data.load)
      this.takeLoad(reply.data.load)
    await this.exchangeConfiguration(connection, reply.data.offset)
    return true
  }

  /** Whichever end holds the older configuration gets the difference. */
  private async exchangeConfiguration(connection: PeerConnection<SideClient>, sideOffset: number): Promise<void> {
    const { configuration } = this.options
    if (sideOffset < configuration.offset) {
      const difference = configuration.differenceSince(sideOffset, SIDE_OBJECT_KINDS)
      await callPeer(connection, client => client.offer.mutate(difference), this.answerTimeoutMs())
    }
  }

  private takeLoad(load: Load): void {
    const changed = this.newestLoad?.draining !== load.draining
    this.newestLoad = load
    this.sentSinceReport = 0
    if (changed)
      this.options.onChange()
  }

  private setAnswering(answering: boolean): void {
    if (this.answering === answering)
      return
    this.answering = answering
    log(answering ? 'side-answers' : 'side-silent', { backend: this.options.backendName, address: this.options.address, incarnation: this.sideIncarnation })
    this.options.onChange()
  }

  private answerTimeoutMs(): number {
    return this.options.heartbeatIntervalMs * 2
  }
}

/** Reads a streamed call to its reply. */
function readStream(client: SideClient, call: StageCall, onToken: LinkTokenListener): Promise<unknown> {
  return new Promise((resolve, reject) => {
    const subscription = client.stream.subscribe(call, {
      onData: (data) => {
        const message = streamMessageSchema.parse(data)
        if ('token' in message)
          return onToken(message.token.index, message.token.text)
        resolve(message.reply)
        subscription.unsubscribe()
      },
      onError: reject,
      onComplete: () => reject(new Error('the stream ended without a reply')),
    })
  })
}

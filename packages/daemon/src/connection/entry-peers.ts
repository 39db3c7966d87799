/**
 * An entry's connections to other entries, opened when first needed.
 */
import type { Configuration, ConfigurationDifference } from '../version/configuration.js'
import type { ForwardedRequest, HeartbeatReply, OutcomeQuestion, OutcomeReply } from './messages.js'
import type { CallResult, EntryClient, PeerConnection } from './peer-connection.js'
import { ObjectKind } from '../version/objects.js'
import { differenceSchema, heartbeatReplySchema, outcomeReplySchema } from './messages.js'
import { callPeer, CallState, connectEntry } from './peer-connection.js'

/** Options of the connections to other entries. */
export interface EntryPeersOptions {
  key: string
  entryName: string
  entryIncarnation: string
  configuration: Configuration
}

/** An open connection and the process life at its far end. */
interface KnownPeer {
  connection: PeerConnection<EntryClient>
  heartbeat: HeartbeatReply
}

const HEARTBEAT_TIMEOUT_MS = 500
const OUTCOME_TIMEOUT_MS = 250
const DIFFERENCE_TIMEOUT_MS = 5000

/** What came of passing a request on. */
export enum ForwardState {
  Answered = 'answered',
  /** The process life that was meant is over or cannot be reached. */
  Gone = 'gone',
  /** It was reached, and its answer was lost. */
  Lost = 'lost',
}

/** The end of passing a request on. */
export interface ForwardResult {
  state: ForwardState
  /** The answer as JSON text, where there is one. */
  answer: string
}

/** Connections of one entry to others. */
export class EntryPeers {
  private readonly peers = new Map<string, Promise<KnownPeer | undefined>>()

  constructor(private readonly options: EntryPeersOptions) {}

  /** Asks an entry what it knows of a request; undefined where it does not answer. */
  async askOutcome(address: string, question: OutcomeQuestion): Promise<OutcomeReply | undefined> {
    const peer = await this.connect(address)
    if (!peer)
      return undefined
    const result = await callPeer(peer.connection, client => client.outcome.query(question), OUTCOME_TIMEOUT_MS)
    return result.state === CallState.Answered ? outcomeReplySchema.safeParse(result.value).data : undefined
  }

  /** Passes a request to the process life that alone may run it. */
  async forward(address: string, incarnation: string, request: ForwardedRequest): Promise<ForwardResult> {
    const peer = await this.connect(address)
    if (peer?.heartbeat.incarnation !== incarnation)
      return { state: ForwardState.Gone, answer: '' }
    const result = await callPeer(peer.connection, client => client.forward.mutate(request), request.deadlineMs)
    if (result.state === CallState.Answered)
      return { state: ForwardState.Answered, answer: result.value }
    return { state: ForwardState.Lost, answer: '' }
  }

  /** Gets what another entry's configuration holds above an offset. */
  async difference(address: string, since: number): Promise<ConfigurationDifference | undefined> {
    const peer = await this.connect(address)
    if (!peer)
      return undefined
    const kinds = Object.values(ObjectKind)
    const result: CallResult<unknown> = await callPeer(peer.connection, client => client.difference.query({ since, kinds }), DIFFERENCE_TIMEOUT_MS)
    if (result.state === CallState.Lost)
      return undefined
    return differenceSchema.safeParse(result.value).data as ConfigurationDifference | undefined
  }

  /** Closes every connection. */
  close(): void {
    for (const peer of this.peers.values())
      void peer.then(known => known?.connection.close())
  }

  private connect(address: string): Promise<KnownPeer | undefined> {
    const existing = this.peers.get(address)
    if (existing)
      return existing
    const opening = this.open(address)
    this.peers.set(address, opening)
    void opening.then((known) => {
      if (!known)
        return this.peers.delete(address)
      known.connection.closed.addEventListener('abort', () => this.peers.delete(address))
    })
    return opening
  }

  private async open(address: string): Promise<KnownPeer | undefined> {
    const opened = await connectEntry({ address, key: this.options.key, connectTimeoutMs: HEARTBEAT_TIMEOUT_MS })
    if (opened.isErr())
      return undefined
    const connection = opened.value
    const { entryIncarnation, entryName, configuration } = this.options
    const heartbeat = { incarnation: entryIncarnation, name: entryName, offset: configuration.offset, fresh: false, acknowledged: [] }
    const result = await callPeer(connection, client => client.greet.mutate(heartbeat), HEARTBEAT_TIMEOUT_MS)
    const reply = result.state === CallState.Answered ? heartbeatReplySchema.safeParse(result.value).data : undefined
    if (!reply) {
      connection.close()
      return undefined
    }
    return { connection, heartbeat: reply }
  }
}

/**
 * An entry's connections to other entries, opened when first needed and kept
 * until they are lost. Owns them for the life of the process. No heartbeats
 * are sent on them: a frozen entry shows by a question that it does not answer
 * in time.
 */
import type { Configuration, ConfigurationDifference } from '../version/configuration.js'
import type { ForwardedRequest, HeartbeatReply, OutcomeQuestion, OutcomeReply } from './messages.js'
import type { EntryClient, PeerConnection } from './peer-connection.js'
import { createLogger } from '@eidermast/common'
import { ObjectKind } from '../version/objects.js'
import { differenceSchema, heartbeatReplySchema, outcomeReplySchema } from './messages.js'
import { callPeer, CallState, connectEntry } from './peer-connection.js'

const log = createLogger('membership')

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

/**
 * Milliseconds to connect and, apart from that, to answer the first heartbeat.
 * Half may miss an entry that is busy, twice takes a whole second of a
 * request's deadline where the other entry is frozen.
 */
const HEARTBEAT_TIMEOUT_MS = 500
/**
 * Milliseconds. With 250 an entry that was busy or paused for that long made
 * callers hear that the outcome is unknown, which they have to look into,
 * where it could say that nothing ran (test/promises/unrepeatable, one entry
 * frozen for 600 ms). Twice as much keeps callers waiting for an entry that is
 * gone.
 */
const OUTCOME_TIMEOUT_MS = 1000
/**
 * Milliseconds to send a difference of the configuration. Half may be short for
 * all objects over a slow link, twice keeps this entry from asking the next one
 * for longer.
 */
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

  /** Asks an entry what it knows of a request; undefined where it does not answer in time. */
  async askOutcome(address: string, question: OutcomeQuestion): Promise<OutcomeReply | undefined> {
    const answer = await this.ask(address, client => client.outcome.query(question), OUTCOME_TIMEOUT_MS)
    return outcomeReplySchema.safeParse(answer).data
  }

  /** Gets what another entry's configuration holds above an offset; undefined where it does not answer in time. */
  async difference(address: string, since: number): Promise<ConfigurationDifference | undefined> {
    const kinds = Object.values(ObjectKind)
    const answer = await this.ask(address, client => client.difference.query({ since, kinds }), DIFFERENCE_TIMEOUT_MS)
    return differenceSchema.safeParse(answer).data as ConfigurationDifference | undefined
  }

  /** Passes a request to the process life that alone may run it, and waits until the request's deadline. */
  async forward(address: string, incarnation: string, request: ForwardedRequest): Promise<ForwardResult> {
    const peer = await this.connect(address)
    if (peer?.heartbeat.incarnation !== incarnation)
      return { state: ForwardState.Gone, answer: '' }
    const result = await callPeer(peer.connection, client => client.forward.mutate(request), request.deadlineMs)
    if (result.state === CallState.Answered)
      return { state: ForwardState.Answered, answer: result.value }
    log('entry-unanswered', { address, error: result.message })
    return { state: ForwardState.Lost, answer: '' }
  }

  /** Closes every connection. */
  close(): void {
    for (const peer of this.peers.values())
      void peer.then(known => known?.connection.close())
  }

  /** The answer as it came; undefined where there is none, after a log line that says why. */
  private async ask(address: string, call: (client: EntryClient) => Promise<unknown>, timeoutMs: number): Promise<unknown> {
    const peer = await this.connect(address)
    if (!peer)
      return undefined
    const result = await callPeer(peer.connection, call, timeoutMs)
    if (result.state === CallState.Answered)
      return result.value
    log('entry-unanswered', { address, error: result.message })
    return undefined
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
    if (opened.isErr()) {
      log('entry-unreachable', { address, failure: opened.error })
      return undefined
    }
    const connection = opened.value
    const heartbeat = await this.sendHeartbeat(connection)
    if (heartbeat)
      return { connection, heartbeat }
    log('entry-unreachable', { address, failure: 'no-heartbeat' })
    connection.close()
    return undefined
  }

  private async sendHeartbeat(connection: PeerConnection<EntryClient>): Promise<HeartbeatReply | undefined> {
    const { entryIncarnation, entryName, configuration } = this.options
    const heartbeat = { incarnation: entryIncarnation, name: entryName, offset: configuration.offset, fresh: false, acknowledged: [] }
    const result = await callPeer(connection, client => client.greet.mutate(heartbeat), HEARTBEAT_TIMEOUT_MS)
    return result.state === CallState.Answered ? heartbeatReplySchema.safeParse(result.value).data : undefined
  }
}

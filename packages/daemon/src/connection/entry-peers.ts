/**
 * An entry's connections to other entries, opened on first use and kept until
 * they are lost. Owns them for the lifetime of the process. No periodic
 * heartbeats are sent on them: a frozen entry is detected when a query to it
 * times out. A call whose connection is lost is sent once more on a new one: a
 * query has no effect, and the incarnation that a request is forwarded to joins
 * it with the first submission.
 */
import type { Configuration, ConfigurationDifference } from '../version/configuration.js'
import type { ForwardedRequest, HeartbeatReply, OutcomeQuery, OutcomeReply } from './messages.js'
import type { CallResult, EntryClient, PeerConnection } from './peer-connection.js'
import { createLogger } from '@eidermast/common'
import { ObjectKind } from '../version/objects.js'
import { differenceSchema, heartbeatReplySchema, outcomeReplySchema } from './messages.js'
import { callPeer, CallState, connectEntry } from './peer-connection.js'

const log = createLogger('membership')

export interface EntryPeersOptions {
  key: string
  entryName: string
  entryIncarnation: string
  configuration: Configuration
}

/** An open connection and the peer's reply to the first heartbeat, which names its process incarnation. */
interface ConnectedPeer {
  connection: PeerConnection<EntryClient>
  heartbeat: HeartbeatReply
}

/**
 * Timeout for connecting and, separately, for the first heartbeat. Leaves time for
 * a busy entry; a frozen one uses up to a second of a request's deadline in total.
 */
const HEARTBEAT_TIMEOUT_MS = 500
/**
 * Timeout of an outcome query. With 250 ms, an entry that was busy or paused for
 * that long caused callers to receive an unknown outcome, which they have to
 * investigate, although nothing had run (test/promises/unrepeatable, one entry
 * frozen for 600 ms). Callers wait this long for an entry that no longer exists.
 */
const OUTCOME_TIMEOUT_MS = 1000
/**
 * Timeout for receiving a configuration difference: long enough for all objects
 * over a slow link, at the cost of a later query to the next entry.
 */
const DIFFERENCE_TIMEOUT_MS = 5000

/** Attempts of one call, including the first. Limits the time spent on an entry whose connections keep failing. */
const MAX_ATTEMPTS = 2

/** State of a forwarded request. */
export enum ForwardState {
  Answered = 'answered',
  /** The target process incarnation has ended or cannot be reached. */
  Unreachable = 'gone',
  /** The target was reached, but its answer was lost. */
  Lost = 'lost',
}

/** The result of forwarding a request. */
export interface ForwardResult {
  state: ForwardState
  /** The answer as JSON text; empty if there is none. */
  answer: string
}

/** Connections of one entry to other entries. */
export class EntryPeers {
  private readonly peers = new Map<string, Promise<ConnectedPeer | undefined>>()

  constructor(private readonly options: EntryPeersOptions) {}

  /** Queries an entry for the outcome of a request; undefined if it does not reply in time. */
  async queryOutcome(address: string, query: OutcomeQuery): Promise<OutcomeReply | undefined> {
    const reply = await this.query(address, client => client.outcome.query(query), OUTCOME_TIMEOUT_MS)
    return outcomeReplySchema.safeParse(reply).data
  }

  /** Fetches the objects above an offset of another entry's configuration; undefined if it does not reply in time. */
  async difference(address: string, since: number): Promise<ConfigurationDifference | undefined> {
    const kinds = Object.values(ObjectKind)
    const reply = await this.query(address, client => client.difference.query({ since, kinds }), DIFFERENCE_TIMEOUT_MS)
    return differenceSchema.safeParse(reply).data as ConfigurationDifference | undefined
  }

  /** Forwards a request to the only process incarnation that may run it, and waits until the request's deadline. */
  async forward(address: string, incarnation: string, request: ForwardedRequest): Promise<ForwardResult> {
    const isTarget = (peer: ConnectedPeer): boolean => peer.heartbeat.incarnation === incarnation
    const result = await this.call(address, client => client.forward.mutate(request), request.deadlineMs, isTarget)
    if (!result)
      return { state: ForwardState.Unreachable, answer: '' }
    if (result.state !== CallState.Answered)
      return { state: ForwardState.Lost, answer: '' }
    return { state: ForwardState.Answered, answer: result.value }
  }

  close(): void {
    for (const peer of this.peers.values())
      void peer.then(connected => connected?.connection.close())
  }

  /** Returns the unvalidated reply of an entry; undefined if there is none. */
  private async query(address: string, call: (client: EntryClient) => Promise<unknown>, timeoutMs: number): Promise<unknown> {
    const result = await this.call(address, call, timeoutMs)
    return result?.state === CallState.Answered ? result.value : undefined
  }

  /**
   * Makes a call within a timeout, once more if its connection is lost. Logs why it
   * was not answered. Returns undefined if the entry cannot be reached or is not
   * the target, and then nothing was sent.
   */
  private async call<Value>(
    address: string,
    call: (client: EntryClient) => Promise<Value>,
    timeoutMs: number,
    isTarget: (peer: ConnectedPeer) => boolean = () => true,
  ): Promise<CallResult<Value> | undefined> {
    const deadlineAt = performance.now() + timeoutMs
    let result: CallResult<Value> | undefined
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const peer = await this.connect(address)
      const remainingMs = deadlineAt - performance.now()
      if (!peer || !isTarget(peer) || remainingMs <= 0)
        return result
      result = await callPeer(peer.connection, call, remainingMs)
      if (result.state === CallState.Answered)
        return result
      log('entry-unanswered', { address, attempt, error: result.message })
      if (peer.connection.isOpen())
        return result
      // The next attempt must not use this connection, which may still be closing.
      peer.connection.close()
    }
    return result
  }

  private connect(address: string): Promise<ConnectedPeer | undefined> {
    const existing = this.peers.get(address)
    if (existing)
      return existing
    const opening = this.open(address)
    this.peers.set(address, opening)
    void opening.then((connected) => {
      if (!connected)
        return this.peers.delete(address)
      connected.connection.closed.addEventListener('abort', () => this.peers.delete(address))
    })
    return opening
  }

  private async open(address: string): Promise<ConnectedPeer | undefined> {
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

/**
 * Calls to other gateways over two connection pools, one of them for heartbeats,
 * which are closed when the process ends; peers detect that calls in flight break.
 * Every call rejects if the peer does not respond in time.
 */
import type { TRPCClient } from '@trpc/client'
import type { Result } from 'ts-results-es'
import type { ConfigurationRecord } from '../../version/configuration-holder.js'
import type { ListedBackends } from '../backends/backend.js'
import type { Member } from './member.js'
import type { Heartbeat, HeartbeatReply } from './peer-messages.js'
import type { PeerRouter } from './peer-router.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs } from './preparation.js'
import type { StreamAnswer, StreamMessage, StreamQuestion } from './stream-message.js'
import { createTRPCClient, httpLink, TRPCClientError } from '@trpc/client'
import { Agent } from 'undici'
import { isConnectionRefused } from '../error-codes.js'
import { decodeHeartbeatReply, decodeListedBackends, decodePreparationReply, encodeHeartbeat, encodePreparationRequest } from './peer-messages.js'
import { streamAnswerSchema } from './stream-message.js'

/** Timeout for establishing a connection. Long enough for a busy gateway; delays the detection of a dead one. */
const CONNECT_TIMEOUT_MS = 300
/**
 * How long an idle connection is kept. Longer than the interval between
 * heartbeats, so that they reuse connections.
 */
const IDLE_TIMEOUT_MS = 10_000
/**
 * Timeout of a heartbeat, which ends its connection. As long as the silence after
 * which a gateway has failed, so that a late answer of a busy one counts, and the
 * next heartbeat needs no new connection, which such a gateway accepts late.
 */
const HEARTBEAT_TIMEOUT_MS = 600
/**
 * Timeout for fetching a peer's configuration or list of backend servers. Both
 * may be large; after a timeout, they are requested again following the next
 * heartbeat.
 */
const STATE_FETCH_TIMEOUT_MS = 1500
/** Timeout for the release of results. Results that are not released expire. */
const RELEASE_TIMEOUT_MS = 1000

/** Timeout of a report about streams; it is then sent to another gateway. */
const STREAM_REPORT_TIMEOUT_MS = 1000
/** Timeout of a question about a stream. Long enough for a busy gateway; delays a resumed stream if a gateway is frozen. */
const STREAM_QUESTION_TIMEOUT_MS = 400

/** Status of successful responses. */
const OK_STATUS = 200

/** Request options of tRPC's link. */
interface FetchOptions {
  method: 'GET' | 'POST'
  headers: Record<string, string>
  body?: string
  signal?: AbortSignal
}

/** The parts of a response that tRPC's link reads. */
interface FetchResponse {
  ok: boolean
  status: number
  json: () => Promise<unknown>
}

/** Whether a failed call leaves open if the peer's process runs: it neither responded with an error nor refused the connection. */
export function isSilent(error: unknown): boolean {
  const hasResponded = error instanceof TRPCClientError && Boolean(error.data)
  return !hasResponded && !isConnectionRefused(error)
}

/** Calls over one connection pool, with a client for each peer address, created on first use and kept until the process ends. */
class PooledClients {
  private readonly agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS, autoSelectFamily: false },
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  })

  private readonly clients = new Map<string, TRPCClient<PeerRouter>>()

  clientFor(member: Member): TRPCClient<PeerRouter> {
    const existing = this.clients.get(member.address)
    if (existing)
      return existing
    const client = createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: `http://${member.address}`,
        // tRPC declares its fetch option with DOM types.
        fetch: (url, options) => this.fetch(url as string, options as FetchOptions) as never,
      })],
    })
    this.clients.set(member.address, client)
    return client
  }

  async close(): Promise<void> {
    await this.agent.destroy()
  }

  /** The subset of `fetch` that tRPC's link needs, without web streams. */
  private async fetch(url: string, options: FetchOptions): Promise<FetchResponse> {
    const { origin, pathname, search } = new URL(url)
    const { statusCode, body } = await this.agent.request({ ...options, origin, path: `${pathname}${search}` })
    return { ok: statusCode === OK_STATUS, status: statusCode, json: () => body.json() }
  }
}

/** Calls to peers. */
export class PeerClients {
  private readonly calls = new PooledClients()
  /** A busy peer accepts new connections late, so heartbeats keep theirs whatever other calls do. */
  private readonly heartbeats = new PooledClients()

  async heartbeat(member: Member, heartbeat: Heartbeat): Promise<HeartbeatReply> {
    const signal = AbortSignal.timeout(HEARTBEAT_TIMEOUT_MS)
    return decodeHeartbeatReply(await this.heartbeats.clientFor(member).greet.mutate(encodeHeartbeat(heartbeat), { signal }))
  }

  /** The peer's configuration; null if it has none. */
  configuration(member: Member): Promise<ConfigurationRecord | null> {
    return this.calls.clientFor(member).configuration.query(undefined, { signal: AbortSignal.timeout(STATE_FETCH_TIMEOUT_MS) })
  }

  /** The peer's list of backend servers. */
  async backends(member: Member): Promise<ListedBackends> {
    const signal = AbortSignal.timeout(STATE_FETCH_TIMEOUT_MS)
    return decodeListedBackends(await this.calls.clientFor(member).backends.query(undefined, { signal }))
  }

  /** Runs the stage work of a request at a peer; limited only by the signal. */
  async prepare(member: Member, request: PreparationRequest, signal: AbortSignal): Promise<Result<PreparedInputs, PreparationFailure>> {
    return decodePreparationReply(await this.calls.clientFor(member).prepare.mutate(encodePreparationRequest(request), { signal }))
  }

  async release(member: Member, requestIds: string[]): Promise<void> {
    await this.calls.clientFor(member).release.mutate(requestIds, { signal: AbortSignal.timeout(RELEASE_TIMEOUT_MS) })
  }

  /** Tells a peer which software versions began streams of this gateway. */
  async noteStreams(member: Member, streams: StreamMessage[]): Promise<void> {
    await this.calls.clientFor(member).noteStreams.mutate(streams, { signal: AbortSignal.timeout(STREAM_REPORT_TIMEOUT_MS) })
  }

  /** What a peer knows of a stream. */
  async findStream(member: Member, question: StreamQuestion): Promise<StreamAnswer> {
    const signal = AbortSignal.timeout(STREAM_QUESTION_TIMEOUT_MS)
    return streamAnswerSchema.parse(await this.calls.clientFor(member).findStream.mutate(question, { signal }))
  }

  async close(): Promise<void> {
    await Promise.all([this.calls.close(), this.heartbeats.close()])
  }
}

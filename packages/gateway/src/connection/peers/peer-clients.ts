/**
 * Calls to other gateways. It owns one connection pool for all of them until
 * the process ends; calls under way break with it, and the peers notice.
 * Each call rejects where the peer does not answer in time.
 */
import type { TRPCClient } from '@trpc/client'
import type { Result } from 'ts-results-es'
import type { ConfigurationRecord } from '../../version/configuration-holder.js'
import type { ListedBackends } from '../backends/backend.js'
import type { Member } from './member.js'
import type { Heartbeat, HeartbeatReply } from './peer-messages.js'
import type { PeerRouter } from './peer-router.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs } from './preparation.js'
import { createTRPCClient, httpLink } from '@trpc/client'
import { Agent } from 'undici'
import { decodeHeartbeatReply, decodeListedBackends, decodePreparationReply, encodeHeartbeat, encodePreparationRequest } from './peer-messages.js'

/** Milliseconds until a connection is up. Half suspects busy gateways, twice notices dead ones late. */
const CONNECT_TIMEOUT_MS = 300
/**
 * Milliseconds that an idle connection is kept: longer than the pause between
 * heartbeats, so that they need no new one.
 */
const IDLE_TIMEOUT_MS = 10_000
/**
 * Milliseconds for the answer to a heartbeat. Half suspects busy gateways,
 * twice notices frozen ones late.
 */
const HEARTBEAT_TIMEOUT_MS = 450
/**
 * Milliseconds for what a peer holds, its configuration or its list of backend
 * servers. Both may be large; what is late is asked for again after the next
 * heartbeat.
 */
const HELD_STATE_TIMEOUT_MS = 1500
/** Milliseconds to free results. Results that aren't freed end by themselves. */
const RELEASE_TIMEOUT_MS = 1000

/** The one status of an answer without an error. */
const OK_STATUS = 200

/** A call as tRPC's link describes it. */
interface PeerCallOptions {
  method: 'GET' | 'POST'
  headers: Record<string, string>
  body?: string
  signal?: AbortSignal
}

/** What tRPC's link reads of an answer. */
interface PeerAnswer {
  ok: boolean
  status: number
  json: () => Promise<unknown>
}

/** Clients by address, made at first use and kept until the process ends. */
export class PeerClients {
  private readonly agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS, autoSelectFamily: false },
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  })

  private readonly clients = new Map<string, TRPCClient<PeerRouter>>()

  async heartbeat(member: Member, heartbeat: Heartbeat): Promise<HeartbeatReply> {
    const signal = AbortSignal.timeout(HEARTBEAT_TIMEOUT_MS)
    return decodeHeartbeatReply(await this.of(member).greet.mutate(encodeHeartbeat(heartbeat), { signal }))
  }

  /** The peer's configuration; null while it knows none. */
  configuration(member: Member): Promise<ConfigurationRecord | null> {
    return this.of(member).configuration.query(undefined, { signal: AbortSignal.timeout(HELD_STATE_TIMEOUT_MS) })
  }

  /** The peer's list of backend servers. */
  async backends(member: Member): Promise<ListedBackends> {
    const signal = AbortSignal.timeout(HELD_STATE_TIMEOUT_MS)
    return decodeListedBackends(await this.of(member).backends.query(undefined, { signal }))
  }

  /** Does the stage work of a request at a peer; takes as long as the signal allows. */
  async prepare(member: Member, request: PreparationRequest, signal: AbortSignal): Promise<Result<PreparedInputs, PreparationFailure>> {
    return decodePreparationReply(await this.of(member).prepare.mutate(encodePreparationRequest(request), { signal }))
  }

  async release(member: Member, requestIds: string[]): Promise<void> {
    await this.of(member).release.mutate(requestIds, { signal: AbortSignal.timeout(RELEASE_TIMEOUT_MS) })
  }

  async close(): Promise<void> {
    await this.agent.destroy()
  }

  private of(member: Member): TRPCClient<PeerRouter> {
    const existing = this.clients.get(member.address)
    if (existing)
      return existing
    const client = createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: `http://${member.address}`,
        // tRPC types its fetch by the DOM.
        fetch: (url, options) => this.fetch(url as string, options as PeerCallOptions) as never,
      })],
    })
    this.clients.set(member.address, client)
    return client
  }

  /** The part of `fetch` that tRPC's link needs, without the web's streams. */
  private async fetch(url: string, options: PeerCallOptions): Promise<PeerAnswer> {
    const { origin, pathname, search } = new URL(url)
    const { statusCode, body } = await this.agent.request({ ...options, origin, path: `${pathname}${search}` })
    return { ok: statusCode === OK_STATUS, status: statusCode, json: () => body.json() }
  }
}

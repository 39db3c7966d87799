/**
 * Calls to other gateways.
 */
import type { TRPCClient } from '@trpc/client'
import type { Result } from 'ts-results-es'
import type { ConfigurationRecord } from '../version/configuration-holder.js'
import type { Member } from './member.js'
import type { Heartbeat, HeartbeatReply } from './peer-messages.js'
import type { PeerRouter } from './peer-router.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs } from './preparation.js'
import { createTRPCClient, httpLink } from '@trpc/client'
import { Agent, fetch as undiciFetch } from 'undici'
import { decodePreparationReply, encodePreparationRequest } from './peer-messages.js'

const CONNECT_TIMEOUT_MS = 300
const HEARTBEAT_TIMEOUT_MS = 450
const CONFIGURATION_TIMEOUT_MS = 1500
const RELEASE_TIMEOUT_MS = 1000

/** Clients by address, made at first use. */
export class PeerClients {
  private readonly agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS, autoSelectFamily: false }, keepAliveTimeout: 10_000, headersTimeout: 0, bodyTimeout: 0 })
  private readonly clients = new Map<string, TRPCClient<PeerRouter>>()

  heartbeat(member: Member, heartbeat: Heartbeat): Promise<HeartbeatReply> {
    return this.of(member).greet.mutate(heartbeat, { signal: AbortSignal.timeout(HEARTBEAT_TIMEOUT_MS) })
  }

  configuration(member: Member): Promise<ConfigurationRecord | null> {
    return this.of(member).configuration.query(undefined, { signal: AbortSignal.timeout(CONFIGURATION_TIMEOUT_MS) })
  }

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
        fetch: (url, options) => undiciFetch(url as string, { ...options as object, dispatcher: this.agent }) as never,
      })],
    })
    this.clients.set(member.address, client)
    return client
  }
}

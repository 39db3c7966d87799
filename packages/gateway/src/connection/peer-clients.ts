/**
 * Calls to other gateways.
 */
import type { TRPCClient } from '@trpc/client'
import type { GreetingReply, Member } from '../process/membership/members.js'
import type { ConfigurationRecord } from '../version/configuration-holder.js'
import type { Greeting, PeerRouter, PreparationReply } from './peer-router.js'
import type { PreparationRequest } from './preparation.js'
import { createTRPCClient, httpLink } from '@trpc/client'
import { Agent, fetch as undiciFetch } from 'undici'

const CONNECT_TIMEOUT_MS = 300
const GREETING_TIMEOUT_MS = 450
const CONFIGURATION_TIMEOUT_MS = 1500
const RELEASE_TIMEOUT_MS = 1000

/** Clients by address, made at first use. */
export class PeerClients {
  private readonly agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS, autoSelectFamily: false }, keepAliveTimeout: 10_000, headersTimeout: 0, bodyTimeout: 0 })
  private readonly clients = new Map<string, TRPCClient<PeerRouter>>()

  greet(member: Member, greeting: Greeting): Promise<GreetingReply> {
    return this.of(member).greet.mutate(greeting, { signal: AbortSignal.timeout(GREETING_TIMEOUT_MS) })
  }

  configuration(member: Member): Promise<ConfigurationRecord | null> {
    return this.of(member).configuration.query(undefined, { signal: AbortSignal.timeout(CONFIGURATION_TIMEOUT_MS) })
  }

  prepare(member: Member, request: PreparationRequest, signal: AbortSignal): Promise<PreparationReply> {
    return this.of(member).prepare.mutate(request, { signal })
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

/**
 * Clients that open a new connection for each try, and try again elsewhere where
 * one is closed without a response, as the platform's clients do.
 */
import type { ClientRequest, IncomingMessage } from 'node:http'
import { request } from 'node:http'

/** Clients abandon a try that brings no response within this time. */
const RESPONSE_TIMEOUT_MS = 1000

/** How a try ended. */
export enum TryEnd {
  Served = 'served',
  /** Answered without success, not answered in time, or broken off. */
  Failed = 'failed',
  /** The connection was refused, or closed without a response. */
  ClosedUnread = 'closed-unread',
}

/** A request with all its tries. */
export interface SentRequest {
  /** Monotonic time in milliseconds. */
  sentAt: number
  tries: TryEnd[]
}

/** Sends a request to one address after the other until a connection is not closed unread. */
export async function sendUntilRead(addresses: readonly string[], path: string, id: string): Promise<SentRequest> {
  const sent: SentRequest = { sentAt: performance.now(), tries: [] }
  for (const address of addresses) {
    const end = await tryOnce(`${address}${path}`, `${id}-${sent.tries.length}`)
    sent.tries.push(end)
    if (end !== TryEnd.ClosedUnread)
      break
  }
  return sent
}

function tryOnce(url: string, id: string): Promise<TryEnd> {
  const headers = { 'host': 'host.example', 'attempt-id': id, 'deadline-ms': String(RESPONSE_TIMEOUT_MS), 'content-length': 0 }
  return new Promise((resolve) => {
    const call = request(url, { method: 'POST', agent: false, headers })
    const timer = setTimeout(() => abandon(call, resolve), RESPONSE_TIMEOUT_MS)
    call.on('close', () => clearTimeout(timer))
    call.on('error', () => resolve(TryEnd.ClosedUnread))
    call.on('response', response => readToEnd(response, resolve))
    call.end()
  })
}

function abandon(call: ClientRequest, resolve: (end: TryEnd) => void): void {
  resolve(TryEnd.Failed)
  call.destroy()
}

function readToEnd(response: IncomingMessage, resolve: (end: TryEnd) => void): void {
  response.resume()
  response.on('end', () => resolve(response.statusCode === 200 ? TryEnd.Served : TryEnd.Failed))
  response.on('error', () => resolve(TryEnd.Failed))
}

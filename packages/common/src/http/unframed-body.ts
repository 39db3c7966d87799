/**
 * Decides whether a response without length or chunks is complete when its
 * connection ends.
 *
 * Inputs: the end of the connection, and whether the server's process accepts
 * connections right after it.
 * Rule: the response is complete if the process is present; otherwise it counts
 * as broken off.
 * Why: the kernel closes the connections of a process that dies as regularly as
 * the process does after the last byte. Who receives the response from here could
 * not tell the two apart either.
 * Log event: `call-failed` (kind `broken`) of a gateway, `failed` of an entry.
 *
 * Stateless.
 */
import { checkPresence, Presence } from './presence-check.js'

/** Statuses whose responses have no body (RFC 9112, section 6.3). */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

/** What of a response says where its body ends. */
export interface ResponseFraming {
  /** Method of its request. */
  method: string
  status: number
  /** By lower-case name. */
  headers: Readonly<Record<string, unknown>>
}

/** Whether a response has a body (RFC 9112, section 6.3). */
export function hasBody({ method, status }: Pick<ResponseFraming, 'method' | 'status'>): boolean {
  return method !== 'HEAD' && !BODYLESS_STATUSES.has(status)
}

/** Whether a response head delimits the body: by a length, by chunks, or because there is none (RFC 9112, section 6.3). */
export function isFramed(response: ResponseFraming): boolean {
  const { headers } = response
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || !hasBody(response)
}

/** Throws if a response without framing, whose connection has ended, may be incomplete. `address` is `host:port` of its server. */
export async function assertCompleteAtEnd(address: string, signal: AbortSignal): Promise<void> {
  const presence = await checkPresence(address, signal)
  if (presence !== Presence.Present)
    throw new Error(`the response has no length, and when its connection ended the server at ${address} was ${presence}`)
}

/** Reads a body that ends with its connection; throws at the end if the response may be incomplete. */
export async function* readUnframedBody(body: AsyncIterable<Buffer>, address: string, signal: AbortSignal): AsyncGenerator<Buffer> {
  yield* body
  await assertCompleteAtEnd(address, signal)
}

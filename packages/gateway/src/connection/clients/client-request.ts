/**
 * A client's request as the server below hands it to the request path, and the
 * interface through which it does so.
 */
import type { ClientAnswer } from './client-answer.js'
import type { ClientRequestHead } from './client-codec.js'

/** A request that was read whole. */
export interface ClientRequest {
  method: string
  /** Path with its query. */
  path: string
  head: ClientRequestHead
  /** Absent where the client sent neither a length nor chunks. */
  body: Buffer | undefined
  /** When its head was read: milliseconds of the process clock. */
  arrivedAt: number
}

/** Answers requests; implemented by the request path. */
export interface RequestHandler {
  /** Sends exactly one answer, or breaks it off; the signal aborts when the client leaves. */
  serve: (request: ClientRequest, answer: ClientAnswer, signal: AbortSignal) => Promise<void>
}

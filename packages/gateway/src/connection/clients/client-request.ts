/**
 * A client's request as `ClientServer` passes it to the request path, and the
 * interface that the request path implements.
 */
import type { ReadLateness } from '@eidermast/common'
import type { ClientRequestHead } from './client-codec.js'
import type { ClientResponse } from './client-response.js'
import type { RequestProgress } from './request-progress.js'

/** A request that was read completely. */
export interface ClientRequest {
  method: string
  /** Path including the query string. */
  path: string
  head: ClientRequestHead
  /** Whether the client can read chunked responses, as HTTP/1.1 requires. @default true */
  acceptsChunks?: boolean
  /** Undefined if the request has neither a length nor chunks. */
  body: Buffer | undefined
  /** Since when its client has waited, as far as known, in milliseconds of the monotonic clock. */
  arrivedAt: number
  /** Undefined for a request that was read in time. */
  lateness?: ReadLateness
}

/** A request of which the head was read. */
export type ArrivingRequest = Pick<ClientRequest, 'path' | 'head' | 'arrivedAt'>

/** Handles requests; implemented by the request path. */
export interface RequestHandler {
  /** When a request has to be answered, on the monotonic clock in milliseconds; undefined if no route serves it. */
  deadlineOf: (request: ArrivingRequest) => number | undefined
  /**
   * Sends exactly one response, or cuts it off. The signal is aborted when the
   * client disconnects, and with a `GatewayStoppingError` when the process ends;
   * the request is then answered at once.
   */
  serve: (request: ClientRequest, response: ClientResponse, signal: AbortSignal, progress: RequestProgress) => Promise<void>
}

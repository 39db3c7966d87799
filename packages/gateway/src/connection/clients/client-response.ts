/**
 * Interface for the response to a client's request; implemented by
 * `HttpClientResponse`.
 */
import type { RequestError } from '@eidermast/common'
import type { HeaderList } from '../backends/backend-client.js'

/** The response to one request. */
export interface ClientResponse {
  /** Whether the response head was sent. */
  readonly started: boolean
  /** Sends a complete response. */
  sendComplete: (status: number, headers: HeaderList, body: Buffer) => void
  /** Starts a response whose body is streamed. */
  begin: (status: number, headers: HeaderList) => void
  /** Starts a response whose body ends when the connection closes; the client cannot tell its end from a truncation. */
  beginUnframed: (status: number, headers: HeaderList) => void
  /** Sends a chunk of the body; waits for backpressure to clear, and rejects if the client has disconnected. */
  send: (bytes: Buffer) => Promise<void>
  /** Ends a complete response. */
  end: () => void
  /** Closes the connection, so that the client does not take a partial response for a complete one. */
  cutOff: () => void
  /** Responds with an error of the gateway; may only be called before the response was started. */
  fail: (error: RequestError) => void
}

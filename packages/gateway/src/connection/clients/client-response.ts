/**
 * Interface for the response to a client's request; implemented by
 * `HttpClientResponse`.
 */
import type { RequestError } from '@eidermast/common'
import type { HeaderList } from '../backends/backend-client.js'

/** Room for a response that is buffered before it is sent. */
export interface AnswerRoom {
  /** Takes room for more bytes, or waits for it; false if the signal aborted before there was any. */
  claim: (bytes: number, signal: AbortSignal) => boolean | Promise<boolean>
  /** Gives back room for bytes that will not be sent. */
  release: (bytes: number) => void
}

/** The response to one request. */
export interface ClientResponse {
  /** Whether the response head was sent. */
  readonly started: boolean
  /** Room for buffered responses; sending one gives it back. @default unlimited */
  readonly room?: AnswerRoom
  /** Sends a complete response, whose body may be in parts. */
  sendComplete: (status: number, headers: HeaderList, body: readonly Buffer[]) => void
  /** Starts a response whose body is streamed, in chunks. */
  begin: (status: number, headers: HeaderList) => void
  /** Sends a chunk of the body; waits for backpressure to clear, and rejects if the client has disconnected. */
  send: (bytes: Buffer) => Promise<void>
  /** Ends a complete response. */
  end: () => void
  /** Closes the connection, so that the client does not take a partial response for a complete one. */
  cutOff: () => void
  /** Responds with an error of the gateway; may only be called before the response was started. */
  fail: (error: RequestError) => void
}

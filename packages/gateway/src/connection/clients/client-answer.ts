/**
 * Where a request's answer goes; `ResponseAnswer` writes it to a connection.
 */
import type { RequestError } from '@eidermast/common'
import type { HeaderList } from '../backends/backend-client.js'

/** The one answer of one request. */
export interface ClientAnswer {
  /** Whether the head was sent. */
  readonly started: boolean
  /** Sends a whole answer. */
  sendWhole: (status: number, headers: HeaderList, body: Buffer) => void
  /** Begins an answer whose body comes in parts. */
  begin: (status: number, headers: HeaderList) => void
  /** Begins an answer that ends with its connection, whose end nobody can tell from a cut. */
  beginUnframed: (status: number, headers: HeaderList) => void
  /** Sends a part; waits while the client does not read, rejects where it left. */
  send: (bytes: Buffer) => Promise<void>
  /** Ends an answer that is complete. */
  end: () => void
  /** Closes the connection, so that what was sent does not look whole. */
  breakOff: () => void
  /** Answers with an error of the gateway's own; only before anything was sent. */
  fail: (error: RequestError) => void
}

/**
 * Decides whether a request may be written to a connection.
 *
 * Input: the connections to which the request was written before.
 * Rule: each connection carries a request once. The request is written to another
 * connection, and the one that carried it is closed.
 * Why: a backend server that refuses a request may send its refusal a second time,
 * late. On the same connection, nothing tells that copy from the response to the
 * second sending, which may be running. The connection is closed because pools
 * would choose it again, and because others would receive that copy.
 * Log event: `connection-avoided`.
 *
 * State: the connections of one request, until it ends.
 */
import type { BackendConnection } from './connection-client.js'

/** Whether a request may be written to a connection. */
export enum ConnectionChoice {
  Use = 'use',
  Avoid = 'avoid',
}

/** The connections that carried one request. */
export class UsedConnections {
  private readonly used = new WeakSet<BackendConnection>()

  /** Decides on a connection, and records it if the request is written to it. */
  choose(connection: BackendConnection): ConnectionChoice {
    if (this.used.has(connection))
      return ConnectionChoice.Avoid
    this.used.add(connection)
    return ConnectionChoice.Use
  }
}

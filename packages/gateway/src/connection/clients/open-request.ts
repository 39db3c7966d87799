/**
 * A client's request that is not answered: the signal that ends the work on it,
 * and how far it has come, from which a stopping gateway decides whether to end
 * it. Lives until its answer is written or its connection closed.
 */
import type { ClientResponse } from './client-response.js'
import type { RequestProgress } from './request-progress.js'
import { GatewayStoppingError } from './stopping-error.js'

/** A request on a client's connection. */
export class OpenRequest implements RequestProgress {
  deadlineAt = Number.POSITIVE_INFINITY
  hasWorkBegun = false
  /** Whether it was read to its end. */
  isRead = false
  private readonly controller = new AbortController()

  constructor(private readonly response: Pick<ClientResponse, 'started'>) {}

  /** Aborts when the client disconnects, and with a `GatewayStoppingError` when the process ends. */
  get signal(): AbortSignal {
    return this.controller.signal
  }

  /** Whether its answer has begun. */
  get hasAnswerBegun(): boolean {
    return this.response.started
  }

  /** Ends the work because the client has disconnected. */
  disconnect(): void {
    this.controller.abort()
  }

  /** Ends the work because the process ends; the request is then answered. */
  stop(): void {
    this.controller.abort(new GatewayStoppingError())
  }
}

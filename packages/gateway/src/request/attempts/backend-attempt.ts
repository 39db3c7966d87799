/**
 * One attempt of a request at one backend server: makes the call, limits its
 * time and forwards the response to the client. Owns the call's abort signal and
 * timers until the attempt ends; the connection belongs to the backend client.
 * If the process exits, both connections break, so that the client can tell that
 * the response is incomplete.
 */
import type { BackendCall, BackendClient, BackendResponse, CallFailure } from '../../connection/backends/backend-client.js'
import type { Backend } from '../../connection/backends/backend.js'
import type { ClientResponse } from '../../connection/clients/client-response.js'
import type { BufferedResponse } from '../responses/response-relay.js'
import type { Probe } from '../responses/stall-detector.js'
import type { RoutedRequest } from '../routed-request.js'
import { CallFailureKind } from '../../connection/backends/backend-client.js'
import { maxEventTransferMs } from '../deadlines.js'
import { bufferResponse, relayStream, sendBuffered } from '../responses/response-relay.js'
import { StallDetector } from '../responses/stall-detector.js'
import { AttemptEnd, endOfFailure } from './retry-rule.js'

/** Statuses below this one count as success (RFC 9110, section 15). */
const SUCCESS_STATUS_END = 300
/** First status of the server error class (RFC 9110, section 15.6). */
const SERVER_ERROR_STATUS = 500

/** How one attempt ended. */
export interface AttemptResult {
  end: AttemptEnd
  /** Why there was no response; undefined if there was one. */
  failure?: CallFailure
  /** Whether the response head says where the body ends; an unframed response may have been truncated by the exit of its backend server. @default false */
  framed?: boolean
  /** Whether the response has a success status. @default false */
  succeeded?: boolean
  /** A complete server error response, sent to the client if no later attempt succeeds. */
  fallback?: BufferedResponse
  /** Milliseconds for which the response waited for room in this process. @default 0 */
  waitedMs?: number
}

/** Dependencies of one attempt. */
export interface AttemptDependencies {
  client: BackendClient
  backend: Backend
  request: RoutedRequest
  clientResponse: ClientResponse
  /** Called just before an event of a stream is forwarded. */
  onEvent: (id: string | undefined) => void
}

/** Sends a request to one backend server and forwards the response. */
export class BackendAttempt {
  private readonly controller = new AbortController()
  private readonly probe: Probe

  constructor(private readonly dependencies: AttemptDependencies) {
    this.probe = timeoutMs => dependencies.client.probe(dependencies.backend, timeoutMs)
  }

  /** Whether this gateway abandoned the attempt or the client disconnected. */
  get aborted(): boolean {
    return this.controller.signal.aborted
  }

  /** Calls the backend server, which has to send the response head within `headTimeoutMs`. */
  async run(call: BackendCall, headTimeoutMs: number, clientSignal: AbortSignal): Promise<AttemptResult> {
    const abort = (): void => this.controller.abort()
    const timer = setTimeout(abort, headTimeoutMs)
    clientSignal.addEventListener('abort', abort)
    this.dependencies.backend.outstanding++
    try {
      const head = await this.awaitHead(this.dependencies.client.run(this.dependencies.backend, call, this.controller.signal))
      clearTimeout(timer)
      if (head.isErr())
        return { end: endOfFailure(head.error), failure: head.error }
      const result = await this.handleResponse(head.value)
      return { ...(clientSignal.aborted ? abandon(result) : result), framed: head.value.framed, succeeded: head.value.status < SUCCESS_STATUS_END }
    }
    finally {
      this.dependencies.backend.outstanding--
      clearTimeout(timer)
      clientSignal.removeEventListener('abort', abort)
    }
  }

  /** Probes the backend server of a stream until the response head arrives. */
  private async awaitHead<Head>(head: Promise<Head>): Promise<Head> {
    if (!this.dependencies.request.route.streaming)
      return head
    const stallDetector = new StallDetector(this.probe, () => this.controller.abort())
    try {
      return await head
    }
    finally {
      stallDetector.stop()
    }
  }

  private handleResponse(response: BackendResponse): Promise<AttemptResult> | AttemptResult {
    if (this.dependencies.request.route.streaming && response.status < SUCCESS_STATUS_END)
      return this.relay(response)
    if (this.dependencies.clientResponse.started)
      return this.rejectNonStream(response)
    return this.bufferAndSend(response)
  }

  private async relay(response: BackendResponse): Promise<AttemptResult> {
    const ended = await relayStream(response, this.dependencies.clientResponse, {
      controller: this.controller,
      remainingMs: this.remainingMs(),
      maxEventTransferMs: maxEventTransferMs(this.dependencies.request.route),
      probe: this.probe,
      onEvent: this.dependencies.onEvent,
    })
    return ended.isOk() ? { end: AttemptEnd.Answered } : broken(ended.error)
  }

  /** Rejects a non-streaming response to a resumed stream, whose head has already been sent. */
  private rejectNonStream(response: BackendResponse): AttemptResult {
    response.destroy()
    return broken(`got status ${response.status} while resuming a stream that has already started`)
  }

  /** Buffers the whole response before sending it, so that a truncated one is never framed as complete. */
  private async bufferAndSend(response: BackendResponse): Promise<AttemptResult> {
    const { clientResponse, request } = this.dependencies
    const buffered = await bufferResponse(response, { controller: this.controller, remainingMs: this.remainingMs(), room: clientResponse.room })
    if (buffered.isErr())
      return { ...broken(buffered.error.message), waitedMs: buffered.error.waitedMs }
    const { waitedMs } = buffered.value
    if (response.status >= SERVER_ERROR_STATUS && request.route.repeatable)
      return { end: AttemptEnd.ServerError, fallback: buffered.value, waitedMs }
    sendBuffered(buffered.value, clientResponse)
    return { end: AttemptEnd.Answered, waitedMs }
  }

  private remainingMs(): number {
    return this.dependencies.request.deadlineAt - performance.now()
  }
}

/** A response that broke off since its client left is no failure of its backend server. */
function abandon(result: AttemptResult): AttemptResult {
  return result.failure ? { ...result, failure: { ...result.failure, kind: CallFailureKind.Aborted } } : result
}

function broken(message: string): AttemptResult {
  return { end: AttemptEnd.MayHaveRun, failure: { kind: CallFailureKind.Broken, message } }
}

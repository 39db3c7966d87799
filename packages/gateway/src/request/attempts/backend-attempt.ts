/**
 * One attempt of a request at one backend server: makes the call, limits its
 * time and forwards the response to the client. Owns the call's abort signal and
 * timers until the attempt ends; the connection belongs to the backend client.
 * If the process dies, both connections break, so that the client can tell that
 * the response is incomplete.
 */
import type { BackendAnswer, BackendCall, BackendClient, CallFailure } from '../../connection/backends/backend-client.js'
import type { Backend } from '../../connection/backends/backend.js'
import type { ClientAnswer } from '../../connection/clients/client-answer.js'
import type { WholeAnswer } from '../answers/answer-relay.js'
import type { Probe } from '../answers/silence-watch.js'
import type { RoutedRequest } from '../routed-request.js'
import { CallFailureKind } from '../../connection/backends/backend-client.js'
import { passWhole, readWhole, relayStream } from '../answers/answer-relay.js'
import { SilenceWatch } from '../answers/silence-watch.js'
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
  /** A complete server error response, sent to the client if no later attempt succeeds. */
  fallback?: WholeAnswer
}

/** Dependencies of one attempt. */
export interface AttemptParts {
  client: BackendClient
  backend: Backend
  request: RoutedRequest
  answer: ClientAnswer
  /** Called just before an event of a stream is forwarded. */
  onEvent: (id: string | undefined) => void
}

/** Sends a request to one backend server and forwards the response. */
export class BackendAttempt {
  private readonly controller = new AbortController()
  private readonly probe: Probe

  constructor(private readonly parts: AttemptParts) {
    this.probe = timeoutMs => parts.client.probe(parts.backend, timeoutMs)
  }

  /** Whether this gateway abandoned the attempt or the client disconnected. */
  get aborted(): boolean {
    return this.controller.signal.aborted
  }

  /** Calls the backend server, which has to send the response head within `headTimeMs`. */
  async run(call: BackendCall, headTimeMs: number, clientSignal: AbortSignal): Promise<AttemptResult> {
    const abort = (): void => this.controller.abort()
    const timer = setTimeout(abort, headTimeMs)
    clientSignal.addEventListener('abort', abort)
    this.parts.backend.outstanding++
    try {
      const head = await this.watchHead(this.parts.client.run(this.parts.backend, call, this.controller.signal))
      clearTimeout(timer)
      if (head.isErr())
        return { end: endOfFailure(head.error), failure: head.error }
      return { ...await this.takeAnswer(head.value), framed: head.value.framed }
    }
    finally {
      this.parts.backend.outstanding--
      clearTimeout(timer)
      clientSignal.removeEventListener('abort', abort)
    }
  }

  /** Probes the backend server of a stream until the response head arrives. */
  private async watchHead<Head>(head: Promise<Head>): Promise<Head> {
    if (!this.parts.request.route.streaming)
      return head
    const watch = new SilenceWatch(this.probe, () => this.controller.abort())
    try {
      return await head
    }
    finally {
      watch.stop()
    }
  }

  private takeAnswer(answer: BackendAnswer): Promise<AttemptResult> | AttemptResult {
    if (this.parts.request.route.streaming && answer.status < SUCCESS_STATUS_END)
      return this.relay(answer)
    if (this.parts.answer.started)
      return this.refuseWhole(answer)
    return this.takeWhole(answer)
  }

  private async relay(answer: BackendAnswer): Promise<AttemptResult> {
    const ended = await relayStream(answer, this.parts.answer, {
      controller: this.controller,
      remainingMs: this.remainingMs(),
      probe: this.probe,
      onEvent: this.parts.onEvent,
    })
    return ended.isOk() ? { end: AttemptEnd.Answered } : broken(ended.error)
  }

  /** Rejects a non-streaming response to a resumed stream, whose head has already been sent. */
  private refuseWhole(answer: BackendAnswer): AttemptResult {
    answer.destroy()
    return broken(`got status ${answer.status} while resuming a stream that has already started`)
  }

  /** Buffers the whole response before sending it, so that a truncated one is never framed as complete. */
  private async takeWhole(answer: BackendAnswer): Promise<AttemptResult> {
    const whole = await readWhole(answer, this.controller, this.remainingMs())
    if (whole.isErr())
      return broken(whole.error)
    if (answer.status >= SERVER_ERROR_STATUS && this.parts.request.route.repeatable)
      return { end: AttemptEnd.ServerError, fallback: whole.value }
    passWhole(whole.value, this.parts.answer)
    return { end: AttemptEnd.Answered }
  }

  private remainingMs(): number {
    return this.parts.request.deadlineAt - performance.now()
  }
}

function broken(message: string): AttemptResult {
  return { end: AttemptEnd.MayHaveRun, failure: { kind: CallFailureKind.Broken, message } }
}

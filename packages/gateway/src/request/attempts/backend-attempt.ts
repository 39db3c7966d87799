/**
 * One attempt of a request at one backend server: the call, the limit on its
 * time, and its answer on the way to the client. It owns the call's abort
 * signal and timers until the attempt ends; the connection belongs to the
 * backend client. When the process dies, both connections break, and the client
 * sees that its answer isn't whole.
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

/** First status that isn't a success (RFC 9110, section 15). */
const SUCCESS_STATUS_END = 300
/** First status of a failure of the server's own (RFC 9110, section 15.6). */
const SERVER_ERROR_STATUS = 500

/** How one attempt ended. */
export interface AttemptResult {
  end: AttemptEnd
  /** Why no answer came; absent where one did. */
  failure?: CallFailure
  /** The answer said where it ends: one that does not may have been cut by the end of its backend server. @default false */
  framed?: boolean
  /** A whole failure answer, to be passed on where nothing better comes. */
  fallback?: WholeAnswer
}

/** What one attempt works with. */
export interface AttemptParts {
  client: BackendClient
  backend: Backend
  request: RoutedRequest
  answer: ClientAnswer
  /** An event of a stream is about to be passed on. */
  onEvent: (id: string | undefined) => void
}

/** Sends a request to one backend server and passes its answer on. */
export class BackendAttempt {
  private readonly controller = new AbortController()
  private readonly probe: Probe

  constructor(private readonly parts: AttemptParts) {
    this.probe = timeoutMs => parts.client.probe(parts.backend, timeoutMs)
  }

  /** Whether the attempt was abandoned or its client left. */
  get aborted(): boolean {
    return this.controller.signal.aborted
  }

  /** Calls the backend server; its answer's head has to come within the time, in milliseconds. */
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

  /** Probes the backend server of a stream while no head comes. */
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

  /** Passes events on as they come. */
  private async relay(answer: BackendAnswer): Promise<AttemptResult> {
    const ended = await relayStream(answer, this.parts.answer, {
      controller: this.controller,
      remainingMs: this.remainingMs(),
      probe: this.probe,
      onEvent: this.parts.onEvent,
    })
    return ended.isOk() ? { end: AttemptEnd.Answered } : broken(ended.error)
  }

  /** A stream that has begun cannot end with another answer's head. */
  private refuseWhole(answer: BackendAnswer): AttemptResult {
    answer.destroy()
    return broken(`status ${answer.status} in place of the rest of the stream`)
  }

  /** Reads a whole answer before any of it is passed on, so that a broken one never looks whole. */
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

/**
 * One request on its way through the backend servers of its service: the
 * first choice, then others where that is safe, allowed and worth it.
 */
import type { EjectionPolicy, EventLog, RequestError } from '@eidermast/common'
import type { BackendAnswer, BackendCall, BackendClient, CallFailure } from '../connection/backend-client.js'
import type { Backend } from '../connection/backend.js'
import type { ClientAnswer } from '../connection/client-answer.js'
import type { WholeAnswer } from './answer-relay.js'
import type { RetryBudget } from './retry-budget.js'
import type { RoutedRequest } from './routed-request.js'
import { createError, ErrorKind, Ran } from '@eidermast/common'
import { CallFailureKind, provesNotRun } from '../connection/backend-client.js'
import { passWhole, readWhole, relayStream } from './answer-relay.js'
import { SilenceWatch } from './silence-watch.js'

/** Stage results that a request's backend server reads. */
export interface RunInputs {
  handles: readonly string[] | undefined
  /** Failure domain where most of their bytes lie. */
  failureDomain: string | undefined
  bytes: number
  /** The backend server has read them. */
  onRead?: () => void
  /** Makes them again. */
  renew?: () => Promise<readonly string[] | undefined>
}

/** The backend servers that are known; implemented by the process's registry. */
export interface KnownBackends {
  /** Backend servers of a service that take new work. */
  available: (service: string) => Backend[]
  /** Sends nothing to a backend server from now on. */
  remove: (id: string, reason: string) => void
}

/** What runs work with. */
export interface BackendRunParts {
  registry: KnownBackends
  client: BackendClient
  ejection: EjectionPolicy
  budget: RetryBudget
  log: EventLog
  /** Whether a service's backend servers are model engines. */
  isEngine: (service: string) => boolean
}

/** The best backend server that was not tried. */
export type ChooseBackend = (request: RoutedRequest, inputs: RunInputs, tried: ReadonlySet<string>) => Backend | undefined

/** How one try ended. */
enum TryEnd {
  Answered,
  /** It did not run there; another backend server may be tried. */
  NotRun,
  /** It may have run there. */
  MayHaveRun,
  /** The backend server ran it and answered with a failure of its own. */
  ServerError,
}

interface TryResult {
  end: TryEnd
  failure?: CallFailure
  /** A whole failure answer, to be passed on where nothing better comes. */
  fallback?: WholeAnswer
}

const SUCCESS_STATUS_END = 300
const SERVER_ERROR = 500
/** A repeatable request without an answer goes to another backend server after this part of its target. */
const ATTEMPT_TARGET_SHARE = 1.0
const MIN_ATTEMPT_MS = 150
/** Shortest time worth another try, in milliseconds. */
const MIN_USEFUL_MS = 30
const MAX_TRIES = 6
/** Time to come back after every backend server refused, in milliseconds. */
const REFUSED_RETRY_MS = 200

/** Runs one request. */
export class BackendRun {
  private readonly tried = new Set<string>()
  private ranAt = 0
  private lastEventId: string | undefined
  private handles: readonly string[] | undefined
  private inputsRead = false
  private arrived = false
  private fallback: WholeAnswer | undefined

  constructor(
    private readonly parts: BackendRunParts,
    private readonly choose: ChooseBackend,
    private readonly request: RoutedRequest,
    private readonly inputs: RunInputs,
    private readonly answer: ClientAnswer,
    private readonly signal: AbortSignal,
  ) {
    this.handles = inputs.handles
    this.lastEventId = request.head.lastEventId
  }

  /** Answers the request, or says why there is no answer. */
  async run(): Promise<RequestError | undefined> {
    let failure: CallFailure | undefined
    for (let attempt = 0; attempt < MAX_TRIES && !this.signal.aborted; attempt++) {
      const backend = this.choose(this.request, this.inputs, this.tried)
      if (!backend || !await this.mayTry(attempt))
        break
      const result = await this.tryBackend(backend, attempt)
      if (result.end === TryEnd.Answered)
        return undefined
      failure = result.failure
      this.fallback = result.fallback ?? this.fallback
      this.takeFailure(backend, result)
      if (!this.mayGoOn(result.end))
        break
    }
    return this.conclude(failure)
  }

  private takeFailure(backend: Backend, result: TryResult): void {
    if (result.end !== TryEnd.NotRun)
      this.ranAt++
    if (result.failure?.kind === CallFailureKind.InputGone) {
      this.inputsRead = true
      this.tried.delete(backend.id)
    }
    this.arrived = result.failure?.kind !== CallFailureKind.NotSent
  }

  /** Whether a further try is within the budget and the time. A call that reached nobody was no try. */
  private async mayTry(attempt: number): Promise<boolean> {
    if (attempt === 0)
      return true
    if (this.remainingMs() < MIN_USEFUL_MS)
      return false
    if (this.arrived && !this.parts.budget.takeRepeat(this.request.service))
      return false
    return !this.inputsRead || this.renewInputs()
  }

  private async renewInputs(): Promise<boolean> {
    this.handles = await this.inputs.renew?.()
    this.inputsRead = false
    return this.handles !== undefined
  }

  private mayGoOn(end: TryEnd): boolean {
    if (end === TryEnd.NotRun)
      return true
    const { route } = this.request
    const repeatable = route.streaming ? route.resumable : route.repeatable
    return repeatable && this.ranAt < route.maxAttempts
  }

  private async tryBackend(backend: Backend, attempt: number): Promise<TryResult> {
    this.tried.add(backend.id)
    this.parts.log.write('route', { request: this.request.head.requestId, service: this.request.service, backend: backend.id, failureDomain: backend.failureDomain, attempt, outstanding: backend.outstanding, running: backend.load?.running, loadAgeMs: backend.load ? Math.round(performance.now() - backend.loadAt) : undefined, remainingMs: Math.round(this.remainingMs()) })
    const controller = new AbortController()
    const abort = (): void => controller.abort()
    this.signal.addEventListener('abort', abort)
    const timer = setTimeout(abort, this.attemptTime())
    backend.outstanding++
    const startedAt = performance.now()
    try {
      const result = await this.call(backend, controller, timer)
      this.judge(backend, result, startedAt, controller)
      return result
    }
    finally {
      backend.outstanding--
      clearTimeout(timer)
      this.signal.removeEventListener('abort', abort)
    }
  }

  private async call(backend: Backend, controller: AbortController, timer: NodeJS.Timeout): Promise<TryResult> {
    const result = await this.watched(backend, controller, this.parts.client.run(backend, this.describe(), controller.signal))
    if (result.isErr())
      return { end: provesNotRun(result.error.kind) ? TryEnd.NotRun : TryEnd.MayHaveRun, failure: result.error }
    clearTimeout(timer)
    const answer = result.value
    if (this.request.route.streaming && answer.status < SUCCESS_STATUS_END)
      return this.relay(backend, answer, controller)
    if (this.answer.started)
      return this.refuseWhole(answer)
    return this.takeWhole(answer, controller)
  }

  /** A stream that has begun cannot end with another answer's head. */
  private refuseWhole(answer: BackendAnswer): TryResult {
    answer.destroy()
    return broken(`status ${answer.status} in place of the rest of the stream`)
  }

  private describe(): BackendCall {
    const { request } = this
    return {
      requestId: request.head.requestId,
      method: request.method,
      path: request.path,
      headers: request.head.headers,
      body: request.body,
      remainingMs: Math.max(1, Math.round(this.remainingMs())),
      account: request.account?.name,
      priority: this.parts.isEngine(request.service) ? request.priority : undefined,
      inputs: this.handles,
      lastEventId: this.lastEventId,
    }
  }

  /** Reads a whole answer before any of it is passed on, so that a broken one never looks whole. */
  private async takeWhole(answer: BackendAnswer, controller: AbortController): Promise<TryResult> {
    const whole = await readWhole(answer, controller, this.remainingMs())
    if (whole.isErr())
      return broken(whole.error)
    if (answer.status >= SERVER_ERROR && this.request.route.repeatable)
      return { end: TryEnd.ServerError, fallback: whole.value }
    passWhole(whole.value, this.answer)
    return { end: TryEnd.Answered }
  }

  /** Passes events on as they come. */
  private async relay(backend: Backend, answer: BackendAnswer, controller: AbortController): Promise<TryResult> {
    const probe = this.probeOf(backend)
    const ended = await relayStream(answer, this.answer, controller, this.remainingMs(), probe, { event: id => this.takeEvent(id) })
    return ended.isOk() ? { end: TryEnd.Answered } : broken(ended.error)
  }

  private takeEvent(id: string | undefined): void {
    if (!this.inputsRead && this.inputs.handles) {
      this.inputsRead = true
      this.inputs.onRead?.()
    }
    this.lastEventId = id ?? this.lastEventId
  }

  /** Watches the time up to the head of a stream's answer. */
  private async watched<Value>(backend: Backend, controller: AbortController, head: Promise<Value>): Promise<Value> {
    if (!this.request.route.streaming)
      return head
    const watch = new SilenceWatch(this.probeOf(backend), () => controller.abort())
    try {
      return await head
    }
    finally {
      watch.stop()
    }
  }

  private probeOf(backend: Backend) {
    return (timeoutMs: number): Promise<boolean> => this.parts.client.probe(backend, timeoutMs)
  }

  /** How long one try may take until its head. */
  private attemptTime(): number {
    const { route } = this.request
    const whole = Math.max(1, this.remainingMs())
    const hasOther = !route.streaming && route.repeatable && this.ranAt + 1 < route.maxAttempts
    if (!hasOther)
      return whole
    return Math.min(whole, Math.max(MIN_ATTEMPT_MS, route.targetLatencyMs * ATTEMPT_TARGET_SHARE))
  }

  private judge(backend: Backend, result: TryResult, startedAt: number, controller: AbortController): void {
    const tookMs = performance.now() - startedAt
    const { ejection } = this.parts
    if (result.end === TryEnd.Answered && !this.request.route.streaming)
      ejection.recordSuccess(backend.id, backend.service, tookMs)
    else if (result.failure?.kind === CallFailureKind.Broken || result.failure?.kind === CallFailureKind.NotSent)
      ejection.recordFailure(backend.id)
    else if (result.failure?.kind === CallFailureKind.Aborted && !this.signal.aborted && controller.signal.aborted)
      ejection.recordAbandoned(backend.id, backend.service, tookMs)
    if (result.failure)
      this.parts.log.write('call-failed', { request: this.request.head.requestId, backend: backend.id, kind: result.failure.kind, reason: result.failure.message, tookMs: Math.round(tookMs) })
    if (result.failure?.kind === CallFailureKind.Misdirected)
      this.parts.registry.remove(backend.id, 'another backend server has its address')
  }

  private conclude(failure: CallFailure | undefined): RequestError | undefined {
    if (this.signal.aborted)
      return createError(ErrorKind.Cancelled, 'the client left', { ran: this.ranAt > 0 ? Ran.Unknown : Ran.None })
    if (this.fallback && !this.answer.started) {
      passWhole(this.fallback, this.answer)
      return undefined
    }
    if (this.ranAt > 0)
      return createError(ErrorKind.OutcomeUnknown, failure?.message ?? 'no answer came', { ran: Ran.Unknown })
    if (failure)
      return createError(ErrorKind.Overloaded, `no backend server took it: ${failure.message}`, { retryAfterMs: REFUSED_RETRY_MS })
    return createError(ErrorKind.NoBackend, `no backend server of ${this.request.service} can be used`, { ran: Ran.None })
  }

  private remainingMs(): number {
    return this.request.deadlineAt - performance.now()
  }
}

function broken(message: string): TryResult {
  return { end: TryEnd.MayHaveRun, failure: { kind: CallFailureKind.Broken, message } }
}

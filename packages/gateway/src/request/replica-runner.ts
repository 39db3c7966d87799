/**
 * Runs one request at replicas of its service: the first choice, then others
 * where that is safe, allowed and worth it.
 */
import type { EjectionPolicy } from '@eidermast/daemon/ejection'
import type { RequestError } from '@eidermast/daemon/errors'
import type { EventLog } from '../process/event-log.js'
import type { ChoiceSubject, ReplicaChoice } from '../replica/replica-choice.js'
import type { CallFailure, ReplicaAnswer, ReplicaCall, ReplicaClient } from '../replica/replica-client.js'
import type { ReplicaRegistry } from '../replica/replica-registry.js'
import type { Replica } from '../replica/replica.js'
import type { ClientAnswer } from './client-answer.js'
import type { RoutedRequest } from './pass-through.js'
import type { RetryBudget } from './retry-budget.js'
import { createError, ErrorKind, Ran } from '@eidermast/daemon/errors'
import { CallFailureKind, provesNotRun } from '../replica/replica-client.js'
import { EventSplitter } from './event-splitter.js'

/** Stage results that a request's replica reads. */
export interface RunInputs {
  handles: readonly string[] | undefined
  /** Zone where most of their bytes lie. */
  zone: string | undefined
  bytes: number
  /** The replica has read them. */
  onRead?: () => void
  /** Makes them again. */
  renew?: () => Promise<readonly string[] | undefined>
}

/** What the runner works with. */
export interface ReplicaRunnerParts {
  zone: string
  registry: ReplicaRegistry
  client: ReplicaClient
  ejection: EjectionPolicy
  plainChoice: ReplicaChoice
  engineChoice: ReplicaChoice
  budget: RetryBudget
  log: EventLog
  /** Whether a service's replicas are model replicas. */
  isEngine: (service: string) => boolean
}

/** How one try ended. */
enum TryEnd {
  Answered,
  /** It did not run there; another replica may be tried. */
  NotRun,
  /** It may have run there. */
  MayHaveRun,
  /** The replica ran it and answered with a failure of its own. */
  ReplicaError,
}

interface TryResult {
  end: TryEnd
  failure?: CallFailure
  /** A whole failure answer, to be passed on where nothing better comes. */
  fallback?: { answer: ReplicaAnswer, body: Buffer }
}

const SERVER_ERROR = 500
/** A repeatable request without an answer goes to another replica after this part of its target. */
const ATTEMPT_TARGET_SHARE = 1.0
const SHORTEST_ATTEMPT_MS = 150
/** Shortest time worth another try, in milliseconds. */
const SHORTEST_USEFUL_MS = 30
const MOST_TRIES = 6
const BUSY_PAUSE_MS = 40
/** A stream that is silent this long has its replica probed, in milliseconds. */
const SILENCE_MS = 900
const PROBE_TIMEOUT_MS = 500
const MOST_FAILED_PROBES = 2
const LARGEST_BUFFERED_BYTES = 8_000_000

/** Runs requests at replicas. */
export class ReplicaRunner {
  constructor(private readonly parts: ReplicaRunnerParts) {}

  /** Zone of the replica that would be chosen now. */
  preferredZone(request: RoutedRequest): string {
    return this.choose(request, { handles: undefined, zone: undefined, bytes: 0 }, new Set())?.zone ?? this.parts.zone
  }

  /** Answers the request, or says why there is no answer. */
  async run(request: RoutedRequest, inputs: RunInputs, answer: ClientAnswer, signal: AbortSignal): Promise<RequestError | undefined> {
    this.parts.budget.countRequest(request.service)
    return new RequestRun(this.parts, this, request, inputs, answer, signal).run()
  }

  /** The best replica that was not tried. */
  choose(request: RoutedRequest, inputs: RunInputs, tried: ReadonlySet<string>): Replica | undefined {
    const candidates = this.parts.registry.available(request.service).filter(replica => !tried.has(replica.id))
    const choice = this.parts.isEngine(request.service) ? this.parts.engineChoice : this.parts.plainChoice
    const subject: ChoiceSubject = { promptParts: request.head.promptParts, zone: inputs.zone ?? this.parts.zone, bytes: inputs.bytes }
    return choice.order(candidates, subject)[0]
  }
}

/** One request on its way through replicas. */
class RequestRun {
  private readonly tried = new Set<string>()
  private ranAt = 0
  private lastEventId: string | undefined
  private handles: readonly string[] | undefined
  private inputsRead = false
  private arrived = false
  private fallback: TryResult['fallback']

  constructor(
    private readonly parts: ReplicaRunnerParts,
    private readonly runner: ReplicaRunner,
    private readonly request: RoutedRequest,
    private readonly inputs: RunInputs,
    private readonly answer: ClientAnswer,
    private readonly signal: AbortSignal,
  ) {
    this.handles = inputs.handles
    this.lastEventId = request.head.lastEventId
  }

  async run(): Promise<RequestError | undefined> {
    let failure: CallFailure | undefined
    for (let attempt = 0; attempt < MOST_TRIES && !this.signal.aborted; attempt++) {
      const replica = this.runner.choose(this.request, this.inputs, this.tried)
      if (!replica || !await this.mayTry(attempt))
        break
      const result = await this.tryReplica(replica, attempt)
      if (result.end === TryEnd.Answered)
        return undefined
      failure = result.failure
      this.fallback = result.fallback ?? this.fallback
      this.takeFailure(replica, result)
      if (!this.mayGoOn(result.end))
        break
    }
    return this.conclude(failure)
  }

  private takeFailure(replica: Replica, result: TryResult): void {
    if (result.end !== TryEnd.NotRun)
      this.ranAt++
    if (result.failure?.kind === CallFailureKind.InputGone) {
      this.inputsRead = true
      this.tried.delete(replica.id)
    }
    this.arrived = result.failure?.kind !== CallFailureKind.NotSent
  }

  /** Whether a further try is within the budget and the time. A call that reached nobody was no try. */
  private async mayTry(attempt: number): Promise<boolean> {
    if (attempt === 0)
      return true
    if (this.remainingMs() < SHORTEST_USEFUL_MS)
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

  private async tryReplica(replica: Replica, attempt: number): Promise<TryResult> {
    this.tried.add(replica.id)
    this.parts.log.write('route', { request: this.request.head.requestId, service: this.request.service, replica: replica.id, replicaZone: replica.zone, attempt, outstanding: replica.outstanding, running: replica.load?.running, loadAgeMs: replica.load ? Math.round(performance.now() - replica.loadAt) : undefined, remainingMs: Math.round(this.remainingMs()) })
    const controller = new AbortController()
    const abort = (): void => controller.abort()
    this.signal.addEventListener('abort', abort)
    const timer = setTimeout(abort, this.attemptTime())
    replica.outstanding++
    const startedAt = performance.now()
    try {
      const result = await this.call(replica, controller, timer)
      this.judge(replica, result, startedAt, controller)
      return result
    }
    finally {
      replica.outstanding--
      clearTimeout(timer)
      this.signal.removeEventListener('abort', abort)
    }
  }

  private async call(replica: Replica, controller: AbortController, timer: NodeJS.Timeout): Promise<TryResult> {
    const result = await this.watched(replica, controller, this.parts.client.run(replica, this.describe(), controller.signal))
    if (result.isErr())
      return { end: provesNotRun(result.error.kind) ? TryEnd.NotRun : TryEnd.MayHaveRun, failure: result.error }
    clearTimeout(timer)
    const answer = result.value
    if (this.request.route.streaming && answer.status < 300)
      return this.relay(replica, answer, controller)
    if (this.answer.started)
      return this.refuseWhole(answer)
    return this.passWhole(answer, controller)
  }

  /** A stream that has begun cannot end with another answer's head. */
  private refuseWhole(answer: ReplicaAnswer): TryResult {
    answer.destroy()
    return { end: TryEnd.MayHaveRun, failure: { kind: CallFailureKind.Broken, message: `status ${answer.status} in place of the rest of the stream` } }
  }

  private describe(): ReplicaCall {
    const { request } = this
    return {
      requestId: request.head.requestId,
      method: request.method,
      path: request.path,
      headers: request.head.headers,
      body: request.body,
      remainingMs: Math.max(1, Math.round(this.remainingMs())),
      tenant: request.tenant?.name,
      priority: this.parts.isEngine(request.service) ? request.priority : undefined,
      inputs: this.handles,
      lastEventId: this.lastEventId,
    }
  }

  /** Reads a whole answer before any of it is passed on, so that a broken one never looks whole. */
  private async passWhole(answer: ReplicaAnswer, controller: AbortController): Promise<TryResult> {
    const timer = setTimeout(() => controller.abort(), Math.max(1, this.remainingMs()))
    try {
      const body = await readBody(answer.body)
      if (answer.status >= SERVER_ERROR && this.request.route.repeatable)
        return { end: TryEnd.ReplicaError, fallback: { answer, body } }
      this.answer.sendWhole(answer.status, answer.headers, body)
      return { end: TryEnd.Answered }
    }
    catch (error) {
      answer.destroy()
      return { end: TryEnd.MayHaveRun, failure: { kind: CallFailureKind.Broken, message: describe(error) } }
    }
    finally {
      clearTimeout(timer)
    }
  }

  /** Passes events on as they come. */
  private async relay(replica: Replica, answer: ReplicaAnswer, controller: AbortController): Promise<TryResult> {
    const splitter = new EventSplitter()
    const timer = setTimeout(() => controller.abort(), Math.max(1, this.remainingMs()))
    const watch = this.watchSilence(replica, controller)
    try {
      if (!this.answer.started)
        this.answer.begin(answer.status, answer.headers)
      for await (const bytes of answer.body) {
        watch.heard()
        for (const event of splitter.push(bytes))
          await this.passEvent(event.bytes, event.id)
      }
      if (splitter.hasPartial)
        await this.answer.send(splitter.partial)
      this.answer.end()
      return { end: TryEnd.Answered }
    }
    catch (error) {
      answer.destroy()
      return { end: TryEnd.MayHaveRun, failure: { kind: CallFailureKind.Broken, message: describe(error) } }
    }
    finally {
      clearTimeout(timer)
      watch.stop()
    }
  }

  private async passEvent(bytes: Buffer, id: string | undefined): Promise<void> {
    if (!this.inputsRead && this.inputs.handles) {
      this.inputsRead = true
      this.inputs.onRead?.()
    }
    this.lastEventId = id ?? this.lastEventId
    await this.answer.send(bytes)
  }

  /** Watches the time up to the head of a stream's answer. */
  private async watched<Value>(replica: Replica, controller: AbortController, head: Promise<Value>): Promise<Value> {
    if (!this.request.route.streaming)
      return head
    const watch = this.watchSilence(replica, controller)
    try {
      return await head
    }
    finally {
      watch.stop()
    }
  }

  /** Probes a replica whose stream is silent; one that answers no probe is given up. */
  private watchSilence(replica: Replica, controller: AbortController): { heard: () => void, stop: () => void } {
    let heardAt = performance.now()
    let failedProbes = 0
    let stopped = false
    const check = async (): Promise<void> => {
      if (stopped)
        return
      if (performance.now() - heardAt >= SILENCE_MS) {
        const alive = await this.parts.client.probe(replica, PROBE_TIMEOUT_MS)
        failedProbes = alive ? 0 : failedProbes + 1
        heardAt = alive ? performance.now() : heardAt
      }
      if (failedProbes >= MOST_FAILED_PROBES && !stopped)
        controller.abort()
      else if (!stopped)
        timer = setTimeout(check, SILENCE_MS / 3)
    }
    let timer: NodeJS.Timeout = setTimeout(check, SILENCE_MS / 3)
    return {
      heard: () => {
        heardAt = performance.now()
        failedProbes = 0
      },
      stop: () => {
        stopped = true
        clearTimeout(timer)
      },
    }
  }

  /** How long one try may take until its head. */
  private attemptTime(): number {
    const { route } = this.request
    const whole = Math.max(1, this.remainingMs())
    const hasOther = !route.streaming && route.repeatable && this.ranAt + 1 < route.maxAttempts
    if (!hasOther)
      return whole
    return Math.min(whole, Math.max(SHORTEST_ATTEMPT_MS, route.targetLatencyMs * ATTEMPT_TARGET_SHARE))
  }

  private judge(replica: Replica, result: TryResult, startedAt: number, controller: AbortController): void {
    const tookMs = performance.now() - startedAt
    const { ejection } = this.parts
    if (result.end === TryEnd.Answered && !this.request.route.streaming)
      ejection.recordSuccess(replica.id, replica.service, tookMs)
    else if (result.failure?.kind === CallFailureKind.Broken || result.failure?.kind === CallFailureKind.NotSent)
      ejection.recordFailure(replica.id)
    else if (result.failure?.kind === CallFailureKind.Aborted && !this.signal.aborted && controller.signal.aborted)
      ejection.recordGivenUp(replica.id, replica.service, tookMs)
    if (result.failure)
      this.parts.log.write('call-failed', { request: this.request.head.requestId, replica: replica.id, kind: result.failure.kind, reason: result.failure.message, tookMs: Math.round(tookMs) })
    if (result.failure?.kind === CallFailureKind.Misdirected)
      this.parts.registry.remove(replica.id, 'another replica has its address')
  }

  private conclude(failure: CallFailure | undefined): RequestError | undefined {
    if (this.signal.aborted)
      return createError(ErrorKind.Cancelled, 'the client left', { ran: this.ranAt > 0 ? Ran.Unknown : Ran.None })
    if (this.fallback && !this.answer.started) {
      this.answer.sendWhole(this.fallback.answer.status, this.fallback.answer.headers, this.fallback.body)
      return undefined
    }
    if (this.ranAt > 0)
      return createError(ErrorKind.OutcomeUnknown, failure?.message ?? 'no answer came', { ran: Ran.Unknown })
    if (failure)
      return createError(ErrorKind.Overloaded, `no replica took it: ${failure.message}`, { retryAfterMs: BUSY_PAUSE_MS * 5 })
    return createError(ErrorKind.NoBackend, `no replica of ${this.request.service} can be used`, { ran: Ran.None })
  }

  private remainingMs(): number {
    return this.request.deadlineAt - performance.now()
  }
}

async function readBody(body: AsyncIterable<Buffer>): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of body) {
    size += chunk.length
    if (size > LARGEST_BUFFERED_BYTES)
      throw new Error(`the answer is larger than ${LARGEST_BUFFERED_BYTES} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

function describe(error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : String(error)
}

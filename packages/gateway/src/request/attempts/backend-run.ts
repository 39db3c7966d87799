/**
 * One request on its way through the backend servers of its service: attempts,
 * one after the other, until one answers or the retry rule says that there is
 * no other. It owns what the attempts have brought so far, until the request
 * ends; nothing of it outlives the process.
 */
import type { EjectionPolicy } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { BackendCall, BackendClient, CallFailure } from '../../connection/backends/backend-client.js'
import type { Backend } from '../../connection/backends/backend.js'
import type { IntakeGate } from '../../connection/backends/intake-gate.js'
import type { WholeAnswer } from '../answers/answer-relay.js'
import type { CrashWatch } from '../crash-watch.js'
import type { RequestLog } from '../request-log.js'
import type { RoutedRequest } from '../routed-request.js'
import type { AttemptResult } from './backend-attempt.js'
import type { RetryBudget } from './retry-budget.js'
import type { AttemptHistory } from './retry-rule.js'
import type { RunEnd, RunInputs, RunSubject } from './run-subject.js'
import { Err, Ok } from 'ts-results-es'
import { CallFailureKind } from '../../connection/backends/backend-client.js'
import { passWhole } from '../answers/answer-relay.js'
import { atLeastOne, decideAttemptTime } from '../deadlines.js'
import { errorOfUnanswered } from '../request-errors.js'
import { BackendAttempt } from './backend-attempt.js'
import { decideHealthSign, recordHealthSign } from './ejection-feed.js'
import { AttemptEnd, decideAfterAttempt, decideBeforeAttempt, isFreeToRetry, mayRunAfterNext, needsBudget, RetryDecision } from './retry-rule.js'

/** The backend servers that are known; implemented by the process's registry. */
export interface KnownBackends {
  /** Backend servers of a service that take new work. */
  available: (service: string) => Backend[]
  /** Sends nothing to a backend server from now on. */
  removeBackend: (backend: Backend, reason: string) => void
}

/** What a run works with. */
export interface BackendRunParts {
  registry: KnownBackends
  client: BackendClient
  ejection: EjectionPolicy
  budget: RetryBudget
  crashes: CrashWatch
  /** When a request may go to a backend server that says what it takes. */
  intake: Pick<IntakeGate, 'waitMs'>
  log: RequestLog
  /** Whether a service's backend servers are model engines. */
  isEngine: (service: string) => boolean
}

/** The best backend server that was not tried; undefined where there is none. */
export type ChooseBackend = (request: RoutedRequest, inputs: RunInputs, tried: ReadonlySet<string>) => Backend | undefined

/** Runs one request. */
export class BackendRun {
  private readonly tried = new Set<string>()
  private readonly history: AttemptHistory = { attempts: 0, runs: 0, reachedBackend: false }
  private handles: readonly string[] | undefined
  private inputsRead = false
  private lastEventId: string | undefined
  private firstEventAt: number | undefined
  private lastFailure: CallFailure | undefined
  private fallback: WholeAnswer | undefined
  /** Milliseconds until some backend server takes a request, as of the last choice that found none; 0 before one. */
  private waitMs = 0

  constructor(
    private readonly parts: BackendRunParts,
    private readonly choose: ChooseBackend,
    private readonly subject: RunSubject,
  ) {
    this.handles = subject.inputs.handles
    this.lastEventId = subject.request.head.lastEventId
  }

  /** Answers the request, or says why there is no answer. */
  async run(): Promise<RunEnd> {
    const { request, signal } = this.subject
    let decision = signal.aborted ? RetryDecision.Cancelled : RetryDecision.Proceed
    while (decision === RetryDecision.Proceed) {
      const next = await this.prepareAttempt()
      if (next.isErr())
        return this.end(next.error)
      const result = await this.attempt(next.value)
      if (result.end === AttemptEnd.Answered)
        return { firstEventAt: this.firstEventAt }
      this.takeFailure(next.value, result)
      decision = decideAfterAttempt(this.history, request.route, signal.aborted)
    }
    return this.end(decision)
  }

  /**
   * Provides what the next attempt needs and chooses its backend server, or
   * says why there is none. A retry is taken from the budget before stage
   * results are made again, so that none are made for nothing. That takes
   * seconds, and so the server is chosen after it.
   */
  private async prepareAttempt(): Promise<Result<Backend, RetryDecision>> {
    const { budget } = this.parts
    const { service } = this.subject.request
    const isRetry = needsBudget(this.history)
    if (this.parts.crashes.refusal(this.subject.request.fingerprint) !== undefined)
      return Err(RetryDecision.Quarantined)
    const early = this.chooseForAttempt()
    if (early.isOk() && isRetry && !budget.takeRetry(service))
      return Err(RetryDecision.BudgetUsed)
    if (early.isErr() || !this.inputsRead)
      return early
    const isRenewed = await this.renewInputs()
    const choice = isRenewed ? this.chooseForAttempt() : Err(RetryDecision.InputsGone)
    if (choice.isErr() && isRetry)
      budget.returnRetry(service)
    return choice
  }

  /** The backend server for the next attempt, or why none is made. */
  private chooseForAttempt(): Result<Backend, RetryDecision> {
    const backend = this.chooseBackend()
    const decision = decideBeforeAttempt({ history: this.history, hasBackend: backend !== undefined, remainingMs: this.remainingMs() })
    return backend && decision === RetryDecision.Proceed ? Ok(backend) : Err(decision)
  }

  /** The best backend server that was not tried. A turn at one may begin between the choice and the look at when there is one. */
  private chooseBackend(): Backend | undefined {
    const { request, inputs } = this.subject
    const backend = this.choose(request, inputs, this.tried)
    if (backend)
      return backend
    this.waitMs = shortestWaitMs(this.parts, request.service)
    return this.waitMs === 0 ? this.choose(request, inputs, this.tried) : undefined
  }

  /** Makes the stage results again, which an earlier attempt read or lost. */
  private async renewInputs(): Promise<boolean> {
    this.handles = await this.subject.inputs.renew?.()
    this.inputsRead = false
    return this.handles !== undefined
  }

  private async attempt(backend: Backend): Promise<AttemptResult> {
    const { request, answer, signal } = this.subject
    this.tried.add(backend.id)
    this.parts.log.attemptStarted({ request, backend, attempt: this.history.attempts, remainingMs: this.remainingMs() })
    const attempt = new BackendAttempt({ client: this.parts.client, backend, request, answer, onEvent: id => this.takeEvent(id) })
    const startedAt = performance.now()
    const result = await attempt.run(this.describe(), this.attemptTime(), signal)
    this.judge(backend, result, performance.now() - startedAt, attempt.aborted)
    return result
  }

  private attemptTime(): number {
    const { route } = this.subject.request
    return decideAttemptTime({
      remainingMs: this.remainingMs(),
      targetLatencyMs: route.targetLatencyMs,
      mayRunAgain: mayRunAfterNext(this.history, route),
    })
  }

  private describe(): BackendCall {
    const { request } = this.subject
    return {
      requestId: request.head.requestId,
      method: request.method,
      path: request.path,
      headers: request.head.headers,
      body: request.body,
      remainingMs: atLeastOne(Math.round(this.remainingMs())),
      account: request.account?.name,
      priority: this.parts.isEngine(request.service) ? request.priority : undefined,
      inputs: this.handles,
      lastEventId: this.lastEventId,
    }
  }

  /** The first event shows that the backend server has read its inputs; each one is where a resumed stream goes on. */
  private takeEvent(id: string | undefined): void {
    this.firstEventAt ??= performance.now()
    if (!this.inputsRead && this.subject.inputs.handles) {
      this.inputsRead = true
      this.subject.inputs.onRead?.()
    }
    this.lastEventId = id ?? this.lastEventId
  }

  private judge(backend: Backend, result: AttemptResult, tookMs: number, aborted: boolean): void {
    const { request, signal } = this.subject
    const { failure } = result
    const sign = decideHealthSign({
      end: result.end,
      failureKind: failure?.kind,
      streaming: request.route.streaming,
      abandonedHere: aborted && !signal.aborted,
    })
    recordHealthSign(this.parts.ejection, backend, sign, tookMs)
    this.reportToCrashWatch(backend, result)
    if (failure)
      this.parts.log.attemptFailed({ requestId: request.head.requestId, backend, failure, tookMs })
    if (failure?.kind === CallFailureKind.Misdirected)
      this.parts.registry.removeBackend(backend, 'another backend server has its address')
  }

  /** An answer that does not say where it ends looks whole also where the end of its backend server cut it. */
  private reportToCrashWatch(backend: Backend, { failure, framed }: AttemptResult): void {
    const { fingerprint } = this.subject.request
    if (!failure && framed)
      this.parts.crashes.noteAnswered(fingerprint)
    else if (!failure || failure.kind === CallFailureKind.Broken)
      void this.parts.crashes.noteBroken(backend, fingerprint)
  }

  private takeFailure(backend: Backend, { end, failure, fallback }: AttemptResult): void {
    this.history.attempts++
    this.history.lastEnd = end
    if (end !== AttemptEnd.NotRun)
      this.history.runs++
    this.history.reachedBackend = failure === undefined || !isFreeToRetry(failure)
    this.lastFailure = failure
    this.fallback = fallback ?? this.fallback
    if (failure?.kind === CallFailureKind.InputGone) {
      this.inputsRead = true
      this.tried.delete(backend.id)
    }
  }

  private end(retry: RetryDecision): RunEnd {
    const { request, answer, signal } = this.subject
    if (this.fallback && !answer.started && !signal.aborted) {
      passWhole(this.fallback, answer)
      return { retry, firstEventAt: this.firstEventAt }
    }
    const error = errorOfUnanswered({
      service: request.service,
      cancelled: signal.aborted,
      runs: this.history.runs,
      refusal: this.parts.crashes.refusal(request.fingerprint),
      lastFailure: this.lastFailure,
      waitMs: this.waitMs,
    })
    return { error, retry, firstEventAt: this.firstEventAt }
  }

  private remainingMs(): number {
    return this.subject.request.deadlineAt - performance.now()
  }
}

/** Milliseconds until some backend server of a service takes a request, by their own word; Infinity where none takes work. */
export function shortestWaitMs({ registry, intake }: Pick<BackendRunParts, 'registry' | 'intake'>, service: string): number {
  return Math.min(...registry.available(service).map(backend => intake.waitMs(backend)))
}

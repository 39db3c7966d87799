/**
 * Runs one request at the backend servers of its service: attempts follow one
 * another until one brings a response or the retry rule ends the run. Holds the
 * results of the attempts so far until the request ends; nothing outlives the
 * process.
 */
import type { EjectionPolicy, RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { BackendCall, BackendClient, CallFailure } from '../../connection/backends/backend-client.js'
import type { Backend } from '../../connection/backends/backend.js'
import type { IntakeGate } from '../../connection/backends/intake-gate.js'
import type { StreamContinuations } from '../continuation/stream-continuations.js'
import type { StreamOrigin } from '../continuation/stream-origin.js'
import type { CrashMonitor } from '../crash-monitor.js'
import type { BackendEstimate, LoadEstimator } from '../load/load-estimator.js'
import type { RequestLog } from '../request-log.js'
import type { BufferedResponse } from '../responses/response-relay.js'
import type { RoutedRequest } from '../routed-request.js'
import type { AttemptResult } from './backend-attempt.js'
import type { RetryBudget, RetryCounter } from './retry-budget.js'
import type { RetryReservation } from './retry-reservation.js'
import type { AttemptHistory } from './retry-rule.js'
import type { RunInputs, RunResult, RunSubject } from './run-subject.js'
import { wait } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { CallFailureKind } from '../../connection/backends/backend-client.js'
import { UsedConnections } from '../../connection/backends/used-connections.js'
import { decideContinuationWaitMs } from '../continuation/continuation-wait.js'
import { mayContinueAt } from '../continuation/stream-origin.js'
import { atLeastOneMs, decideHeadTimeoutMs, isExplainedByLoad, maxEventWaitMs } from '../deadlines.js'
import { countTokens } from '../prompt-parts.js'
import { errorOfUnanswered } from '../request-errors.js'
import { sendBuffered } from '../responses/response-relay.js'
import { BackendAttempt } from './backend-attempt.js'
import { decideHealthSignal, recordHealthSignal } from './health-signal.js'
import { RetryCost } from './retry-budget.js'
import { AttemptEnd, decideAfterAttempt, decideBeforeAttempt, isFreeToRetry, isUnsent, mayAwaitBackend, mayRunAfterNext, needsBudget, RetryDecision } from './retry-rule.js'
import { recordSpeed } from './speed-sample.js'

/** Crashes from which on a request is suspected: the next one may lead to quarantine. */
const SUSPECT_CRASH_COUNT = 2
/** Longest wait for the check of a backend server; the check itself takes longer if its VM does not answer. */
const MAX_CRASH_CHECK_MS = 200

/** The known backend servers; implemented by the process's registry. */
export interface KnownBackends {
  /** Backend servers of a service that accept new work. */
  available: (service: string) => Backend[]
  /** Stops sending to a backend server. */
  removeBackend: (backend: Backend, reason: string) => void
}

/** Dependencies of a run. */
export interface BackendRunDependencies {
  registry: KnownBackends
  client: BackendClient
  ejection: EjectionPolicy
  /** Learns from the ends of calls. @default learns nothing */
  estimator?: LoadEstimator
  /** Whether a wait that the load of a backend server explains is no fault, and requests wait for backend servers (setting `admission = adaptive`). @default false */
  waitsUnderLoad?: boolean
  budget: RetryBudget
  /** @default counts nothing */
  metrics?: RetryCounter
  crashes: CrashMonitor
  /** Says when a request may be sent to a backend server that limits its intake. */
  intake: Pick<IntakeGate, 'waitMs'>
  log: RequestLog
  /** Whether a service's backend servers are model engines. */
  isEngine: (service: string) => boolean
  /** Records where streams begin. */
  streams: Pick<StreamContinuations, 'namesVersions' | 'versionAgeMs' | 'recordBegun'>
}

/** Whether a backend server may get the next attempt of a request. */
export type BackendFilter = (backend: Backend) => boolean

/** Selects the preferred one of the eligible backend servers; returns undefined if there is none. */
export type SelectBackend = (request: RoutedRequest, inputs: RunInputs, isEligible: BackendFilter) => Backend | undefined

/** An attempt that has ended. */
interface EndedAttempt {
  backend: Backend
  result: AttemptResult
  tookMs: number
  aborted: boolean
  /** What was expected when it started; undefined if nothing is estimated. */
  estimate: BackendEstimate | undefined
}

/** Runs one request. */
export class BackendRun {
  private readonly tried = new Set<string>()
  private readonly history: AttemptHistory = { attempts: 0, runs: 0, reachedBackend: false }
  /** The retry that is about to be made; undefined if the next attempt needs none. */
  private retry: RetryReservation | undefined
  /** Settles when it is known whether the backend server of the last attempt crashed; undefined if its call did not break. */
  private crashCheck: Promise<void> | undefined
  private readonly usedConnections = new UsedConnections()
  private handles: readonly string[] | undefined
  private inputsRead = false
  private lastEventId: string | undefined
  private firstEventAt: number | undefined
  private lastEventAt: number | undefined
  /** Where the stream began; undefined before its first event. */
  private origin: StreamOrigin | undefined
  private lastFailure: CallFailure | undefined
  private fallback: BufferedResponse | undefined
  /** Milliseconds until a backend server accepts a request, as of the last selection that found none; 0 before that. */
  private waitMs = 0
  /** Why the request did not wait for room after a refusal; undefined if it did. */
  private refusedForRoom: RequestError | undefined

  constructor(
    private readonly dependencies: BackendRunDependencies,
    private readonly select: SelectBackend,
    private readonly subject: RunSubject,
  ) {
    this.handles = subject.inputs.handles
    this.lastEventId = subject.request.head.lastEventId
    this.origin = subject.request.origin
  }

  /** Answers the request, or returns why it could not be answered. */
  async run(): Promise<RunResult> {
    try {
      return await this.makeAttempts()
    }
    finally {
      this.retry?.release()
    }
  }

  private async makeAttempts(): Promise<RunResult> {
    const { request, signal } = this.subject
    let decision = signal.aborted ? RetryDecision.Cancelled : RetryDecision.Proceed
    while (decision === RetryDecision.Proceed) {
      await this.awaitBackend()
      const next = await this.prepareAttempt()
      // Between attempts nothing else looks at the signal.
      if (signal.aborted)
        return this.end(RetryDecision.Cancelled)
      if (next.isErr())
        return this.end(next.error)
      const result = await this.attempt(next.value)
      if (result.end === AttemptEnd.Answered)
        return { firstEventAt: this.firstEventAt }
      this.recordFailure(next.value, result)
      decision = decideAfterAttempt(this.history, request.route, signal.aborted)
      if (decision === RetryDecision.Proceed && result.failure?.kind === CallFailureKind.Refused)
        decision = await this.awaitRoom(next.value)
    }
    return this.end(decision)
  }

  /** Waits until a backend server that was not tried accepts requests again, if the retry rule allows it. */
  private async awaitBackend(): Promise<void> {
    const { request, signal } = this.subject
    if (!this.dependencies.waitsUnderLoad)
      return
    for (;;) {
      const opensInMs = shortestWaitMs(this.dependencies, request.service, this.isEligible)
      if (signal.aborted || !mayAwaitBackend({ history: this.history, opensInMs, remainingMs: this.remainingMs() }))
        return
      this.dependencies.log.attemptWaits({ request, attempt: this.history.attempts, opensInMs, remainingMs: this.remainingMs() })
      await wait(Math.ceil(opensInMs), signal)
    }
  }

  /** Waits for room after a full backend server refused the request, which may then go to any of them. What admission knows of the time of a stream ends with its first event. */
  private async awaitRoom(refusedBy: Backend): Promise<RetryDecision> {
    const { awaitRoom, request } = this.subject
    if (this.lastEventAt !== undefined)
      return this.awaitRoomToContinue(refusedBy, this.lastEventAt)
    if (!awaitRoom)
      return RetryDecision.Proceed
    if (!this.dependencies.budget.hasRetry(request.service))
      return this.refuseRetry()
    const room = await awaitRoom()
    if (room.isErr()) {
      this.refusedForRoom = room.error
      return RetryDecision.NoRoom
    }
    this.tried.delete(refusedBy.id)
    return RetryDecision.Proceed
  }

  /** Waits until a stream that its client receives already can be continued, unless an untried backend server accepts it now. */
  private async awaitRoomToContinue(refusedBy: Backend, lastEventAt: number): Promise<RetryDecision> {
    const { request, signal } = this.subject
    const untriedOpensInMs = shortestWaitMs(this.dependencies, request.service, this.isEligible)
    if (untriedOpensInMs === 0)
      return RetryDecision.Proceed
    const opensInMs = Math.min(untriedOpensInMs, this.dependencies.intake.waitMs(refusedBy))
    const waitMs = decideContinuationWaitMs({
      opensInMs,
      silentForMs: performance.now() - lastEventAt,
      eventWaitMs: maxEventWaitMs(request.route),
      targetLatencyMs: request.route.targetLatencyMs,
      remainingMs: this.remainingMs(),
    })
    if (waitMs === undefined)
      return RetryDecision.Proceed
    this.dependencies.log.attemptWaits({ request, attempt: this.history.attempts, opensInMs: waitMs, remainingMs: this.remainingMs() })
    await wait(waitMs, signal)
    this.tried.delete(refusedBy.id)
    return signal.aborted ? RetryDecision.Cancelled : RetryDecision.Proceed
  }

  /**
   * Selects the backend server for the next attempt and recreates the inputs if
   * needed, or returns why there is no further attempt. The retry is reserved
   * first, so that stage results are not recreated in vain. Recreating them takes
   * seconds, so the server is selected again afterwards.
   */
  private async prepareAttempt(): Promise<Result<Backend, RetryDecision>> {
    await this.awaitCrashCheck()
    if (this.dependencies.crashes.refusal(this.subject.request.fingerprints) !== undefined)
      return Err(RetryDecision.Quarantined)
    const candidate = this.selectForAttempt()
    if (candidate.isErr())
      return candidate
    if (!this.reserveRetry())
      return Err(this.refuseRetry())
    if (!this.inputsRead)
      return candidate
    return await this.recreateInputs() ? this.selectForAttempt() : Err(RetryDecision.InputsGone)
  }

  /** A request that may be the cause of crashes is not sent on before it is known whether its last backend server crashed. */
  private async awaitCrashCheck(): Promise<void> {
    const { crashes } = this.dependencies
    const { crashCheck, subject: { request } } = this
    this.crashCheck = undefined
    if (crashCheck && request.fingerprints.some(fingerprint => crashes.crashCount(fingerprint) >= SUSPECT_CRASH_COUNT))
      await Promise.race([crashCheck, wait(MAX_CRASH_CHECK_MS)])
  }

  /** Reserves a retry if the next attempt needs one; returns false if the budget is used up. */
  private reserveRetry(): boolean {
    if (this.retry || !needsBudget(this.history))
      return true
    this.retry = this.dependencies.budget.reserveRetry(this.subject.request.service)
    return this.retry !== undefined
  }

  private refuseRetry(): RetryDecision {
    const { request } = this.subject
    this.dependencies.log.retryRefused({ request, attempts: this.history.attempts, usage: this.dependencies.budget.usage(request.service) })
    return RetryDecision.BudgetUsed
  }

  /** Selects the backend server for the next attempt, or returns why there is no attempt. */
  private selectForAttempt(): Result<Backend, RetryDecision> {
    const backend = this.selectBackend()
    const decision = decideBeforeAttempt({ history: this.history, hasBackend: backend !== undefined, remainingMs: this.remainingMs() })
    return backend && decision === RetryDecision.Proceed ? Ok(backend) : Err(decision)
  }

  /** Selects the preferred backend server that was not tried. Selects again if a wait has ended between the selection and the look-up of the shortest wait. */
  private selectBackend(): Backend | undefined {
    const { request, inputs } = this.subject
    const backend = this.select(request, inputs, this.isEligible)
    if (backend)
      return backend
    this.waitMs = shortestWaitMs(this.dependencies, request.service, this.mayContinueAt)
    return this.waitMs === 0 ? this.select(request, inputs, this.isEligible) : undefined
  }

  /** Whether a backend server was not tried and may continue the stream. */
  private readonly isEligible: BackendFilter = backend => !this.tried.has(backend.id) && this.mayContinueAt(backend)

  private readonly mayContinueAt: BackendFilter = backend => mayContinueAt(this.origin, backend, service => this.dependencies.streams.namesVersions(service))

  /** Recreates the stage results that an earlier attempt consumed or lost. */
  private async recreateInputs(): Promise<boolean> {
    this.handles = await this.subject.inputs.recreate?.({ origin: this.origin, lastEventAt: this.lastEventAt })
    this.inputsRead = false
    return this.handles !== undefined
  }

  private async attempt(backend: Backend): Promise<AttemptResult> {
    const { request, clientResponse, signal } = this.subject
    this.tried.add(backend.id)
    const estimate = this.dependencies.estimator?.estimate(backend, performance.now())
    const retryCost = this.countRetry()
    this.dependencies.log.attemptStarted({ request, backend, attempt: this.history.attempts, retryCost, lastEventId: this.lastEventId, remainingMs: this.remainingMs(), estimate })
    const attempt = new BackendAttempt({ client: this.dependencies.client, backend, request, clientResponse, onEvent: (id) => {
      this.recordSpeedOfFirstEvent(backend, performance.now() - startedAt, estimate)
      this.recordEvent(backend, id)
    } })
    const startedAt = performance.now()
    const expectedMs = this.expectedMs(estimate)
    const result = await attempt.run(this.buildCall(), this.headTimeoutMs(expectedMs), signal)
    if (result.failure === undefined || !isUnsent(result.failure))
      this.endRetry()
    this.reportResult({ backend, result, tookMs: performance.now() - startedAt, aborted: attempt.aborted, estimate })
    return result
  }

  /** Counts the attempt that starts if it is not the first one, and returns what it cost. */
  private countRetry(): RetryCost | undefined {
    if (this.history.attempts === 0)
      return undefined
    const cost = this.retry ? RetryCost.Budgeted : RetryCost.Free
    this.dependencies.metrics?.countRetry(this.subject.request.service, cost)
    return cost
  }

  /** Expected time of an attempt by the load of its backend server; undefined if unknown or if load is no reason to wait. */
  private expectedMs(estimate: BackendEstimate | undefined): number | undefined {
    if (!this.dependencies.waitsUnderLoad || estimate?.serviceMs === undefined || estimate.waitMs === undefined)
      return undefined
    return estimate.waitMs + estimate.serviceMs
  }

  private headTimeoutMs(expectedMs: number | undefined): number {
    const { route } = this.subject.request
    return decideHeadTimeoutMs({
      remainingMs: this.remainingMs(),
      targetLatencyMs: route.targetLatencyMs,
      mayRunAgain: mayRunAfterNext(this.history, route),
      expectedMs,
    })
  }

  private buildCall(): BackendCall {
    const { request } = this.subject
    return {
      requestId: request.head.requestId,
      method: request.method,
      path: request.path,
      headers: request.head.headers,
      body: request.body,
      remainingMs: atLeastOneMs(Math.round(this.remainingMs())),
      account: request.account?.name,
      priority: this.dependencies.isEngine(request.service) ? request.priority : undefined,
      inputs: this.handles,
      lastEventId: this.lastEventId,
      usedConnections: this.usedConnections,
      onSent: () => {
        this.retry?.spend()
        this.subject.onSent?.()
      },
    }
  }

  /** The first event shows that the backend server has fetched its inputs; the last event id is where a resumed stream continues. */
  private recordEvent(backend: Backend, id: string | undefined): void {
    this.lastEventAt = performance.now()
    if (this.firstEventAt === undefined)
      this.recordBegin(backend, this.lastEventAt)
    if (!this.inputsRead && this.subject.inputs.handles) {
      this.inputsRead = true
      this.subject.inputs.onRead?.()
    }
    this.lastEventId = id ?? this.lastEventId
  }

  /** The first event of the answer fixes the version of the stream. */
  private recordBegin(backend: Backend, firstEventAt: number): void {
    this.firstEventAt = firstEventAt
    this.origin ??= { version: backend.softwareVersion }
    this.dependencies.streams.recordBegun(this.subject.request, this.origin.version)
  }

  /** Only the first event of the whole run is a sample: a resumed stream starts elsewhere. */
  private recordSpeedOfFirstEvent(backend: Backend, tookMs: number, estimate: BackendEstimate | undefined): void {
    const { promptParts } = this.subject.request.head
    if (estimate && this.firstEventAt === undefined && promptParts.length > 0)
      this.dependencies.estimator?.recordFirstEvent(backend, { tookMs, tokens: countTokens(promptParts), estimate })
  }

  private reportResult({ backend, result, tookMs, aborted, estimate }: EndedAttempt): void {
    const { request, signal } = this.subject
    const { failure, waitedMs = 0 } = result
    const healthSignal = decideHealthSignal({
      end: result.end,
      failureKind: failure?.kind,
      streaming: request.route.streaming,
      abandonedHere: aborted && !signal.aborted,
      waitedForRoom: waitedMs > 0,
      explainedByLoad: isExplainedByLoad(tookMs, this.expectedMs(estimate)),
    })
    recordHealthSignal(this.dependencies.ejection, backend, healthSignal, tookMs - waitedMs)
    if (estimate)
      recordSpeed(this.dependencies.estimator, { backend, healthSignal, failureKind: failure?.kind, streaming: request.route.streaming, tookMs: tookMs - waitedMs, estimate })
    this.reportToCrashMonitor(backend, result)
    if (failure)
      this.dependencies.log.attemptFailed({ requestId: request.head.requestId, backend, failure, tookMs })
    if (failure?.kind === CallFailureKind.Misdirected)
      this.dependencies.registry.removeBackend(backend, 'address is now used by another backend server')
  }

  /**
   * An unframed response looks complete even if a crash of its backend server
   * truncated it, so it does not count as answered. A response without success may
   * have been made without reading the prompt, so it says nothing about its parts.
   */
  private reportToCrashMonitor(backend: Backend, { failure, framed, succeeded }: AttemptResult): void {
    const { fingerprint, fingerprints } = this.subject.request
    if (!failure && framed)
      this.dependencies.crashes.noteAnswered(succeeded ? fingerprints : [fingerprint])
    else if (!failure || failure.kind === CallFailureKind.Broken)
      this.crashCheck = this.dependencies.crashes.noteBroken(backend, fingerprints)
  }

  private recordFailure(backend: Backend, { end, failure, fallback }: AttemptResult): void {
    this.history.attempts++
    this.history.lastEnd = end
    if (end !== AttemptEnd.NotRun)
      this.history.runs++
    this.history.reachedBackend = failure === undefined || !isFreeToRetry(failure)
    this.lastFailure = failure
    if (fallback)
      this.replaceFallback(fallback)
    if (failure?.kind === CallFailureKind.InputGone) {
      this.inputsRead = true
      this.tried.delete(backend.id)
    }
  }

  /** The retry was made, and the next attempt needs another one. */
  private endRetry(): void {
    this.retry?.spend()
    this.retry = undefined
  }

  /** Keeps the latest of the responses with a server error. */
  private replaceFallback(fallback: BufferedResponse): void {
    const replacedBytes = this.fallback?.body.reduce((sum, part) => sum + part.length, 0) ?? 0
    this.subject.clientResponse.room?.release(replacedBytes)
    this.fallback = fallback
  }

  private end(retry: RetryDecision): RunResult {
    const { request, clientResponse, signal } = this.subject
    if (this.fallback && !clientResponse.started && !signal.aborted) {
      sendBuffered(this.fallback, clientResponse)
      return { retry, firstEventAt: this.firstEventAt }
    }
    const unanswered = this.history.runs === 0 && !signal.aborted ? this.refusedForRoom : undefined
    const error = unanswered ?? errorOfUnanswered({
      service: request.service,
      origin: request.origin,
      cancelled: signal.aborted,
      runs: this.history.runs,
      refusal: this.dependencies.crashes.refusal(request.fingerprints),
      lastFailure: this.lastFailure,
      waitMs: this.waitMs,
    })
    return { error, retry, firstEventAt: this.firstEventAt }
  }

  private remainingMs(): number {
    return this.subject.request.deadlineAt - performance.now()
  }
}

/** Milliseconds until one of the eligible backend servers of a service accepts a request, as the servers report; Infinity if none accepts work. */
export function shortestWaitMs({ registry, intake }: Pick<BackendRunDependencies, 'registry' | 'intake'>, service: string, isEligible: BackendFilter): number {
  const backends = registry.available(service).filter(isEligible)
  return Math.min(...backends.map(backend => intake.waitMs(backend)))
}

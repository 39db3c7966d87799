/**
 * Coordinator of one shard of the stage work, or of all of it: batches the items
 * of all gateways' requests in one pool per stage service. Owns the pools for the
 * lifetime of the process, and the stage work of each request until its results are
 * released. A single coordinator per shard is a matter of efficiency, not of
 * correctness: items are safe to run again, and two coordinators at once only
 * cost result memory and time. When the process exits, the requesting gateways ask
 * the next coordinator, and results left behind expire.
 */
import type { Result } from 'ts-results-es'
import type { Backend } from '../../connection/backends/backend.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs, Preparer } from '../../connection/peers/preparation.js'
import type { ColdStartLimiter } from '../../request/attempts/cold-start-limiter.js'
import type { PreparationListener } from '../../request/stages/request-stages.js'
import type { RouteTable } from '../../version/route-table.js'
import type { ExpectedPrefill } from './engine-assignment.js'
import type { StagePoolDependencies } from './pool/pool-dependencies.js'
import type { BackendView } from './shard-backends.js'
import type { SharedAdmission, StageSharing } from './sharing/stage-sharing.js'
import type { AdmissionCandidate } from './stage-admission.js'
import { Err } from 'ts-results-es'
import { PreparationFailureKind } from '../../connection/peers/preparation.js'
import { withoutNewVersions } from '../../request/continuation/version-introduction.js'
import { RequestStages } from '../../request/stages/request-stages.js'
import { AdmissionAccuracy } from './admission-accuracy.js'
import { EngineAssignments } from './engine-assignment.js'
import { StagePool } from './pool/stage-pool.js'
import { StageAdmissionReason, UnsharedStages } from './sharing/stage-sharing.js'
import { logAdmission, logStagesEnded } from './stage-log.js'
import { rankRequest } from './stage-order.js'

/**
 * Interval of dispatching waiting tasks that no end of a call triggers. Limits the
 * delay of tasks that waited for a failure domain, at the cost of processor time.
 */
const DISPATCH_INTERVAL_MS = 50
/**
 * Time after which unreleased results are freed. Far above the 4 s lifetime of a
 * result and any request's deadline, so that requests with long deadlines keep
 * their results, at the cost of keeping the state of lost requests.
 */
const MAX_RESULT_HOLD_MS = 20_000
/**
 * Part of the answer time outside the engine: from the coordinator via the
 * gateway to the engine, and back. Keeps late requests from being admitted,
 * without refusing those that would be in time.
 */
const ANSWER_OVERHEAD_MS = 70
/** Time from the last stage to the answer if no engine reads the results. */
const ANSWER_WITHOUT_ENGINE_MS = 250
/** The client disconnected, or the request's deadline passed. */
const CANCELLED: PreparationFailure = { kind: PreparationFailureKind.Cancelled, message: 'the request was cancelled', retryAfterMs: 0 }

/** Counts decisions for the metrics endpoint; implemented by the process. */
export interface StageMetrics {
  countStageAdmission: (reason: string, arrival: string) => void
}

/** Dependencies of a coordinator. */
export interface StageCoordinatorDependencies extends StagePoolDependencies {
  /** Limits how often this coordinator may assign cold engines. */
  coldStartLimiter: Pick<ColdStartLimiter, 'mayTake' | 'note'>
  /** Milliseconds for which the version of a backend server has been listed. @default Infinity */
  versionAgeMs?: (backend: Backend) => number
  /** Creates the rule by which requests of a coordinator share its stage work. @default UnsharedStages */
  createSharing?: () => StageSharing
  /** Client accounts in the configuration from which on that rule applies. @default 0 */
  minSharingAccounts?: number
  /** @default none */
  metrics?: StageMetrics
}

/** A call that waits for the stage work of its request. */
interface WaitingCall {
  request: PreparationRequest
  /** On the monotonic clock, in milliseconds. */
  startedAt: number
  signal: AbortSignal
  resolve: (result: Result<PreparedInputs, PreparationFailure>) => void
  /** Ends the work, unless another call waits for it by now. */
  cancel: () => void
}

/** Owns the pools of all stage services, and the requests whose results are held. */
export class StageCoordinator implements Preparer {
  private readonly pools = new Map<string, StagePool>()
  private readonly runs = new Map<string, RequestStages>()
  /** Calls that wait, by request id. */
  private readonly waiting = new Map<string, WaitingCall>()
  private readonly engines: EngineAssignments
  private readonly accuracy = new AdmissionAccuracy()
  private sharing: StageSharing = new UnsharedStages()
  private isShared = false
  private readonly timer: NodeJS.Timeout
  private isStopping = false

  constructor(
    private readonly backends: BackendView,
    private readonly dependencies: StageCoordinatorDependencies,
  ) {
    this.engines = new EngineAssignments(dependencies.slowdowns)
    this.updateSharing(0)
    const refresh = (backend: Backend): void => this.refreshPool(backend.service)
    backends.listen({ added: refresh, removed: refresh, stateChanged: refresh })
    backends.listen({ removed: backend => this.engines.removeEngine(backend.id) })
    this.timer = setInterval(() => this.dispatchWaiting(), DISPATCH_INTERVAL_MS)
    this.timer.unref()
  }

  /** Updates the pools to the stage services of a configuration. */
  applyConfiguration(table: RouteTable): void {
    this.updateSharing(table.configuration.accounts.length)
    for (const { name, stage } of table.configuration.services) {
      if (!stage)
        continue
      const pool = this.pools.get(name)
      if (pool) {
        pool.setLimits(stage)
        continue
      }
      this.pools.set(name, new StagePool(name, stage, this.dependencies))
      this.refreshPool(name)
    }
  }

  /** Runs the stage work of a request. A call that repeats one whose connection was lost joins the work under way. */
  async prepare(request: PreparationRequest, signal: AbortSignal): Promise<Result<PreparedInputs, PreparationFailure>> {
    if (signal.aborted)
      return Err(CANCELLED)
    return new Promise((resolve) => {
      const lost = this.takeWaiting(request.requestId)
      const call: WaitingCall = { request, startedAt: lost?.startedAt ?? performance.now(), signal, resolve, cancel: () => this.cancel(call) }
      this.waiting.set(request.requestId, call)
      signal.addEventListener('abort', call.cancel)
      if (lost)
        lost.resolve(Err(CANCELLED))
      else
        this.admit(request, call.startedAt, result => this.end(request.requestId, result))
    })
  }

  release(requestId: string): void {
    this.free(requestId)
    this.takeWaiting(requestId)?.resolve(Err(CANCELLED))
  }

  private free(requestId: string): void {
    this.engines.release(requestId, performance.now())
    this.runs.get(requestId)?.release()
    this.runs.delete(requestId)
  }

  /** Removes and returns the call that waits for a request's work; undefined if there is none. */
  private takeWaiting(requestId: string): WaitingCall | undefined {
    const call = this.waiting.get(requestId)
    this.waiting.delete(requestId)
    call?.signal.removeEventListener('abort', call.cancel)
    return call
  }

  private cancel(call: WaitingCall): void {
    const { requestId } = call.request
    if (this.waiting.get(requestId) !== call)
      return
    this.free(requestId)
    this.end(requestId, Err(CANCELLED))
  }

  private end(requestId: string, result: Result<PreparedInputs, PreparationFailure>): void {
    const call = this.takeWaiting(requestId)
    if (!call)
      return
    const { request, startedAt, resolve } = call
    const now = performance.now()
    const tookMs = now - startedAt
    const isMeasured = result.isOk() || result.error.kind === PreparationFailureKind.TooLate
    const isLowerBound = result.isErr() && this.sharing.failsHopelessWork
    const expectedMs = this.accuracy.recordEnd(request, isMeasured ? { tookMs, isLowerBound } : undefined, now)
    logStagesEnded(this.dependencies.log, request, result, { tookMs, expectedMs })
    resolve(result.map(inputs => this.assignEngine(request, inputs, now)))
  }

  /**
   * This process coordinates from now on, possibly because the coordinator that it
   * handed its work over to failed. Results of the previous coordinator may still
   * use memory, so the backend servers are queried for their free memory.
   */
  takeOver(): void {
    this.isStopping = false
    for (const pool of this.pools.values())
      pool.readFreeMemory()
  }

  /** Another coordinator may use the same backend servers for a while. */
  expectOtherCoordinator(): void {
    for (const pool of this.pools.values())
      pool.expectOtherCoordinator()
  }

  /**
   * Hands the work and its finished results over to the next coordinator. A
   * stopping coordinator accepts no further work. Otherwise it still accepts
   * requests from gateways that do not know of the change yet, since refusing them
   * would send them back and forth between slow gateways.
   */
  handOver(isStopping: boolean): void {
    this.isStopping ||= isStopping
    for (const run of [...this.runs.values()])
      run.handOver()
  }

  stop(): void {
    clearInterval(this.timer)
  }

  private admit(request: PreparationRequest, now: number, end: PreparationListener): void {
    if (this.isStopping) {
      end(Err({ kind: PreparationFailureKind.HandedOver, message: 'the coordinator is stopping', retryAfterMs: 0 }))
      return
    }
    const prefill = this.estimatePrefill(request, now)
    if (request.progress !== undefined)
      return this.start(this.createCandidate(request, prefill, now), end)
    const arrival = this.sharing.recordArrival(request, now)
    const candidate = this.createCandidate(arrival.request, prefill, now)
    const load = { admitted: [...this.runs.values()], throughputOf: (service: string) => this.pools.get(service)?.throughput() }
    const decision = this.sharing.admit(arrival, candidate, load, now)
    logAdmission(this.dependencies.log, candidate, arrival.kind, decision, this.runs.size)
    this.dependencies.metrics?.countStageAdmission(decision.reason, arrival.kind)
    if (decision.isAdmitted) {
      // Late work is postponed, which says nothing about the estimate.
      if (decision.reason !== StageAdmissionReason.Late)
        this.accuracy.recordAdmission(request, decision.stagesMs)
      return this.start({ ...candidate, request: { ...candidate.request, targetMs: decision.targetMs }, rank: decision.rank }, end)
    }
    end(Err({ kind: PreparationFailureKind.Overloaded, message: describeRefusal(decision), retryAfterMs: decision.retryAfterMs }))
  }

  private start(candidate: AdmissionCandidate, end: PreparationListener): void {
    const { requestId } = candidate.request
    this.free(requestId)
    const run = new RequestStages(candidate, service => this.pools.get(service), end)
    this.runs.set(requestId, run)
    setTimeout(() => this.runs.get(requestId) === run && this.release(requestId), MAX_RESULT_HOLD_MS).unref()
    run.start()
  }

  /** Prepares a request for admission, with the failure domain of the engine that would read its results now. */
  private createCandidate(request: PreparationRequest, prefill: ExpectedPrefill | undefined, now: number): AdmissionCandidate {
    const answerMs = prefill ? prefill.firstEventMs + ANSWER_OVERHEAD_MS : ANSWER_WITHOUT_ENGINE_MS
    return {
      request: { ...request, failureDomain: prefill?.engine.failureDomain ?? request.failureDomain },
      rank: rankRequest(request, answerMs, now),
      answerMs,
      correctionFactor: this.accuracy.factorFor(request, now),
    }
  }

  /** The engine that would read the results of a request now. */
  private estimatePrefill(request: PreparationRequest, now: number): ExpectedPrefill | undefined {
    const { requestId, prompt = [], failureDomain } = request
    return this.engines.choose({ requestId, prompt, failureDomain, bytes: 0 }, this.eligibleEngines(request, now), now)
  }

  private assignEngine(request: PreparationRequest, inputs: PreparedInputs, now: number): PreparedInputs {
    const { requestId, prompt = [] } = request
    const engine = this.engines.assign({ requestId, prompt, ...inputs }, this.eligibleEngines(request, now), now)
    if (!engine)
      return inputs
    this.dependencies.coldStartLimiter.note(engine, now)
    return { ...inputs, engine: engine.id }
  }

  /** Engines that may answer a request now. Those of a version that was just listed only if all are, since a request does not say whether its stream can be resumed. Rate-limited ones only if all are, since a request to them waits for its gateway's next time slot. */
  private eligibleEngines({ prompt, service, softwareVersion }: PreparationRequest, now: number): readonly Backend[] {
    const engines = prompt && service ? this.backends.available(service) : []
    const ofVersion = engines.filter(engine => softwareVersion === undefined || engine.softwareVersion === softwareVersion)
    const eligible = ofVersion.filter(engine => this.dependencies.coldStartLimiter.mayTake(engine, now))
    const introduced = withoutNewVersions(eligible, this.dependencies.versionAgeMs ?? (() => Number.POSITIVE_INFINITY))
    const unlimited = introduced.filter(({ intake }) => intake.limitPerSecond === undefined)
    return unlimited.length > 0 ? unlimited : introduced
  }

  /** Shares stage work as configured, where there are enough client accounts. */
  private updateSharing(accounts: number): void {
    const { createSharing, minSharingAccounts = 0 } = this.dependencies
    const isShared = createSharing !== undefined && accounts >= minSharingAccounts
    if (isShared === this.isShared)
      return
    this.isShared = isShared
    this.sharing = isShared ? createSharing() : new UnsharedStages()
  }

  /** Updates the backend servers of a service's pool. */
  private refreshPool(service: string): void {
    this.pools.get(service)?.setBackends(this.backends.available(service))
  }

  private dispatchWaiting(): void {
    for (const pool of this.pools.values()) {
      if (!pool.hasWaitingTasks)
        continue
      if (this.sharing.failsHopelessWork)
        pool.failHopelessTasks()
      pool.dispatch()
    }
  }
}

function describeRefusal({ finishMs, reason }: SharedAdmission): string {
  return reason === StageAdmissionReason.AccountOverShare
    ? 'the client account has more than its share of the stage work'
    : `the stages would take ${Math.round(finishMs)} ms`
}

/**
 * Handles client requests end to end: routes each one, prepares its stages, has
 * a backend server answer it, then counts and logs the result. Lives as long as
 * the process. The state of a request is local to its call of `serve`; if the
 * process exits, it is lost and the client's connection breaks.
 */
import type { EventLog, RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { ArrivingRequest, ClientRequest, RequestHandler } from '../connection/clients/client-request.js'
import type { ClientResponse } from '../connection/clients/client-response.js'
import type { RequestProgress } from '../connection/clients/request-progress.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs, Preparer } from '../connection/peers/preparation.js'
import type { ConfigurationHolder } from '../version/configuration-holder.js'
import type { AccountShares, Demand } from './admission/account-shares.js'
import type { AdmissionTicket, RequestAdmission } from './admission/request-admission.js'
import type { BackendRunner } from './attempts/backend-runner.js'
import type { RecreationProgress, RunInputs, RunResult, RunSubject } from './attempts/run-subject.js'
import type { ConfigurationCheck } from './configuration-check.js'
import type { StreamContinuations } from './continuation/stream-continuations.js'
import type { CrashMonitor } from './crash-monitor.js'
import type { GuardedWork } from './deadline-guard.js'
import type { ReturnDetector } from './returns/return-detector.js'
import type { RoutedRequest } from './routed-request.js'
import type { StartGate } from './start-wait.js'
import { createError, createTimeoutSignal, ErrorKind, LateRequests } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { errorOfStopped, isStopping } from '../connection/clients/stopping-error.js'
import { DemandEnd } from './admission/account-shares.js'
import { NO_INPUTS } from './attempts/run-subject.js'
import { RequestStep, runUntilOverdue } from './deadline-guard.js'
import { atLeastOneMs, decideContinuationLimits } from './deadlines.js'
import { errorOfExpired, errorOfOutdatedConfiguration, errorOfPreparation, errorOfRemovedVersion, errorOfWithheld } from './request-errors.js'
import { outcomeOf, RequestLog } from './request-log.js'
import { RequestRouter } from './request-router.js'
import { decideStartWaitMs } from './start-wait.js'

/** Metrics label of requests without a route. */
const NO_ROUTE = 'none'

/** Counts requests for the metrics endpoint; implemented by the process. */
export interface RequestMetrics {
  countRequest: (route: string, outcome: string, milliseconds: number) => void
  /** Counts a request that was ended because its work had not ended by its deadline. */
  countOverdue: (step: RequestStep) => void
}

/** Dependencies of the request handler. */
export interface ProxyRequestHandlerDependencies {
  configuration: ConfigurationHolder
  configurationCheck: ConfigurationCheck
  startGate: StartGate
  /** Longest wait of a request for a gateway that is starting, in milliseconds. */
  maxStartWaitMs: number
  preparer: Preparer
  /** Admission of requests without stages. */
  admission: RequestAdmission
  /** Fair shares in the services that answer requests without stages. */
  shares: AccountShares
  /** Finds out which requests without stages were refused before. */
  returns: ReturnDetector
  runner: BackendRunner
  streams: Pick<StreamContinuations, 'findOrigin'>
  crashes: Pick<CrashMonitor, 'refusal'>
  metrics: RequestMetrics
  log: EventLog
}

/** Serves requests on the configured routes. */
export class ProxyRequestHandler implements RequestHandler {
  private readonly router: RequestRouter
  private readonly log: RequestLog
  private readonly lateRequests = new LateRequests()

  constructor(private readonly dependencies: ProxyRequestHandlerDependencies) {
    this.router = new RequestRouter(dependencies.configuration, dependencies.returns)
    this.log = new RequestLog(dependencies.log)
  }

  deadlineOf(request: ArrivingRequest): number | undefined {
    return this.router.deadlineOf(request)
  }

  /** Answers a request; the signal aborts when its client disconnects, and when the process ends. */
  async serve(request: ClientRequest, clientResponse: ClientResponse, signal: AbortSignal, progress: RequestProgress): Promise<void> {
    if (!this.dependencies.startGate.isOpen)
      await this.dependencies.startGate.wait(decideStartWaitMs(request.head.deadlineMs, this.dependencies.maxStartWaitMs), signal)
    const routed = await this.route(request)
    if (routed.isErr())
      return this.finish(request, undefined, clientResponse, { error: routed.error })
    const { deadlineAt, route } = routed.value
    progress.deadlineAt = deadlineAt
    if (performance.now() >= deadlineAt)
      return this.finish(request, route.name, clientResponse, { error: errorOfExpired(performance.now() - request.arrivedAt) })
    const lateError = this.checkLateness(routed.value)
    if (lateError)
      return this.finish(request, route.name, clientResponse, { error: lateError })
    const ended = await runUntilOverdue({ deadlineAt, clientResponse, signal }, work => this.acceptAndRun(routed.value, work, progress))
    if ('overdue' in ended) {
      const { step, error } = ended.overdue
      this.log.requestOverdue({ requestId: request.head.requestId, route: route.name, step, overdueMs: performance.now() - deadlineAt })
      this.dependencies.metrics.countOverdue(step)
      return this.finish(request, route.name, clientResponse, { error })
    }
    this.finish(request, route.name, clientResponse, 'stopped' in ended ? { error: ended.stopped } : explainStop(ended.result, signal))
  }

  private checkLateness({ account, arrivedAt, firstEventBy, lateness }: RoutedRequest): RequestError | undefined {
    return this.lateRequests.check({ account: account?.name, allowedMs: firstEventBy - arrivedAt, lateness })
  }

  private async acceptAndRun(request: RoutedRequest, work: GuardedWork, progress: RequestProgress): Promise<RunResult> {
    const accepted = await this.accept(request)
    return accepted.isErr() ? { error: accepted.error } : this.run(accepted.value, work, progress)
  }

  /** Routes a request. It is not denied by a configuration that may have been replaced, since clients do not retry after that. */
  private async route(request: ClientRequest): Promise<Result<RoutedRequest, RequestError>> {
    const routed = this.router.route(request)
    if (routed.isOk() || !isDenial(routed.error.kind))
      return routed
    const isUpToDate = await this.dependencies.configurationCheck.isUpToDate()
    const checked = this.router.route(request)
    return isUpToDate ? checked : checked.mapErr(denial => errorOfOutdatedConfiguration(denial, this.dependencies.configuration.version))
  }

  /** Finds where the stream began that a request resumes; returns the error for one that must not be sent to any backend server. */
  private async accept(request: RoutedRequest): Promise<Result<RoutedRequest, RequestError>> {
    const refused = this.refuse(request)
    if (refused)
      return Err(refused)
    const origin = await this.dependencies.streams.findOrigin(request)
    return origin.andThen((found) => {
      if (found === undefined)
        return Ok(request)
      const resumed = { ...request, origin: found }
      return this.dependencies.runner.hasBackend(resumed) ? Ok(resumed) : Err(errorOfRemovedVersion(request.service, found))
    })
  }

  /** Returns the error for a request that must not be sent to any backend server; undefined for others. */
  private refuse({ fingerprints }: RoutedRequest): RequestError | undefined {
    const refusal = this.dependencies.crashes.refusal(fingerprints)
    return refusal === undefined ? undefined : createError(ErrorKind.Quarantined, refusal)
  }

  private run(request: RoutedRequest, work: GuardedWork, progress: RequestProgress): Promise<RunResult> {
    if (request.route.stages.length === 0)
      return this.admitAndRun(request, work, progress)
    progress.hasWorkBegun = true
    return this.prepareAndRun(request, work)
  }

  /** Runs a request without stages once it is admitted. */
  private async admitAndRun(request: RoutedRequest, { clientResponse, signal, reach }: GuardedWork, progress: RequestProgress): Promise<RunResult> {
    const { admission, returns, shares } = this.dependencies
    const demand = describeDemand(request)
    shares.recordArrival(demand)
    let end = DemandEnd.Other
    try {
      reach(RequestStep.Admission)
      const admitted = await admission.admit(request, signal)
      reach(RequestStep.Attempts)
      const result = admitted.isErr()
        ? { error: admitted.error }
        : await this.runAdmitted(admitted.value, { request, inputs: NO_INPUTS, clientResponse, signal, onSent: () => void (progress.hasWorkBegun = true) })
      end = endOfDemand(result)
      if (result.error?.retryAfterMs !== undefined && (end === DemandEnd.NoRoom || end === DemandEnd.OverShare))
        returns.recordRefusal(request.fingerprint, result.error.retryAfterMs, performance.now())
      return result
    }
    finally {
      shares.recordEnd(demand, end)
    }
  }

  private async runAdmitted(ticket: AdmissionTicket, subject: RunSubject): Promise<RunResult> {
    try {
      return await this.dependencies.runner.run({ ...subject, awaitRoom: ticket.readmit })
    }
    finally {
      ticket.release()
    }
  }

  private async prepareAndRun(request: RoutedRequest, { clientResponse, signal, reach }: GuardedWork): Promise<RunResult> {
    const { requestId } = request.head
    const firstEventMs = Math.ceil(request.firstEventBy - performance.now())
    const waitMs = this.dependencies.runner.shortestWaitMs(request)
    if (Number.isFinite(waitMs) && waitMs > firstEventMs)
      return { error: errorOfWithheld(request.service, waitMs) }
    reach(RequestStep.Stages)
    const prepared = await this.prepare(request, signal)
    reach(RequestStep.Attempts)
    if (prepared.isErr())
      return { error: this.refuse(request) ?? errorOfPreparation(prepared.error) }
    const inputs: RunInputs = {
      ...prepared.value,
      onRead: () => this.dependencies.preparer.release(requestId),
      recreate: progress => this.recreateInputs(request, progress, signal),
    }
    try {
      return await this.dependencies.runner.run({ request, inputs, clientResponse, signal })
    }
    finally {
      this.dependencies.preparer.release(requestId)
    }
  }

  /** Recreates the inputs after the first ones were consumed or lost. A stream that has begun has the time in which its client waits for the next event. */
  private async recreateInputs(request: RoutedRequest, { origin, lastEventAt }: RecreationProgress, signal: AbortSignal): Promise<readonly string[] | undefined> {
    const limits = lastEventAt === undefined ? {} : decideContinuationLimits(lastEventAt, request)
    const continued = { ...request, origin, ...limits }
    const prepared = await this.prepare(continued, signal)
    // The coordinator logged the reason as `stages-ended`; the run ends with the result of its attempt.
    return prepared.isOk() ? prepared.value.handles : undefined
  }

  /** Runs the stage work of a request until its first event is due. */
  private async prepare(request: RoutedRequest, signal: AbortSignal): Promise<Result<PreparedInputs, PreparationFailure>> {
    const limited = createTimeoutSignal(atLeastOneMs(Math.ceil(request.firstEventBy - performance.now())), signal)
    try {
      return await this.dependencies.preparer.prepare(this.describeStageWork(request), limited.signal)
    }
    finally {
      limited.dispose()
    }
  }

  private describeStageWork(request: RoutedRequest): PreparationRequest {
    const now = performance.now()
    return {
      requestId: request.head.requestId,
      fingerprint: request.fingerprint,
      account: request.account?.name,
      stages: request.route.stages.map((stage, index) => ({ ...stage, items: request.head.stageItems[index] ?? 0 })),
      key: request.head.stageKey,
      priority: request.priority,
      targetMs: request.route.targetLatencyMs - (now - request.arrivedAt),
      deadlineMs: request.firstEventBy - now,
      isRetry: request.isRetry,
      service: request.service,
      softwareVersion: request.origin?.version,
      prompt: request.head.promptParts.length > 0 ? request.head.promptParts : undefined,
      failureDomain: this.dependencies.runner.preferredFailureDomain(request),
    }
  }

  private finish(request: ClientRequest, route: string | undefined, clientResponse: ClientResponse, { error, retry, firstEventAt }: RunResult): void {
    const tookMs = performance.now() - request.arrivedAt
    const { configuration } = this.dependencies
    const configurationVersion = configuration.version
    const configurationAgeMs = route === undefined ? configuration.ageMs(performance.now()) : undefined
    this.dependencies.metrics.countRequest(route ?? NO_ROUTE, outcomeOf(error), tookMs)
    const firstEventMs = firstEventAt === undefined ? undefined : firstEventAt - request.arrivedAt
    this.log.requestEnded({ requestId: request.head.requestId, route, error, retry, tookMs, firstEventMs, configurationVersion, configurationAgeMs })
    if (!error)
      return
    if (clientResponse.started)
      clientResponse.cutOff()
    else
      clientResponse.fail(error)
  }
}

/** Whether an error says that the configuration does not allow the request, after which clients do not retry. */
function isDenial(kind: ErrorKind): boolean {
  return kind === ErrorKind.Unauthenticated || kind === ErrorKind.UnknownPath
}

/** A request that ended because this process ends is answered as such, by how much of it was executed. */
function explainStop(result: RunResult, signal: AbortSignal): RunResult {
  return result.error && isStopping(signal) ? { ...result, error: errorOfStopped(result.error.ran) } : result
}

function describeDemand({ service, account, arrivalKind }: RoutedRequest): Demand {
  return { service, account: account?.name, kind: arrivalKind }
}

function endOfDemand({ error }: RunResult): DemandEnd {
  if (!error)
    return DemandEnd.Served
  if (error.kind === ErrorKind.AccountOverShare)
    return DemandEnd.OverShare
  return error.kind === ErrorKind.Overloaded ? DemandEnd.NoRoom : DemandEnd.Other
}

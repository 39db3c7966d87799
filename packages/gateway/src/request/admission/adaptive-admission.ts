/**
 * Holds requests without stages until the backend servers of their service have
 * room for them, or refuses them (setting `admission = adaptive`). Carries out
 * the decisions of `admission-decision.ts` in the order of `admission-queue.ts`.
 *
 * Owns the waiting requests, from their arrival until they are sent, refused or
 * left by their client. Nothing that waits has run; if the process dies, the
 * clients see broken connections.
 */
import type { EventLog, RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { Backend } from '../../connection/backends/backend.js'
import type { RequestTarget } from '../attempts/backend-runner.js'
import type { BackendEstimate, LoadEstimator } from '../load/load-estimator.js'
import type { ArrivalKind } from '../returns/refusal-memory.js'
import type { RoutedRequest } from '../routed-request.js'
import type { AccountShares } from './account-shares.js'
import type { AdmissionInputs, RequestAdmissionDecision } from './admission-decision.js'
import type { AdmissionMetrics } from './admission-log.js'
import type { QueuedRequest } from './admission-queue.js'
import type { AdmissionTicket, RequestAdmission } from './request-admission.js'
import { createError, ErrorKind, Ran, spreadRetryDelay } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { AdmissionAction, AdmissionReason, decideRequestAdmission } from './admission-decision.js'
import { AdmissionLog } from './admission-log.js'
import { AdmissionQueue, decideTargetAt } from './admission-queue.js'
import { CallPace } from './call-pace.js'
import { OverloadPeriod } from './overload-period.js'
import { ShareCredits } from './share-credits.js'

/** Interval at which waiting requests are decided on again. Reports and backoffs end without an event of this process; well below the targets of tenths of a second. */
const RECHECK_INTERVAL_MS = 20
/** Clients return up to a third of their remaining time later. */
const MAX_RETRY_SHARE = 1 / 3

/** The backend servers that requests can be sent to; implemented by the runner. */
export interface AdmissionBackends {
  /** Backend servers to which a request can be sent now. */
  candidates: (request: RequestTarget) => Backend[]
  /** Milliseconds until a backend server that may answer the request accepts it, as the servers report; Infinity if none accepts work. */
  shortestWaitMs: (request: RequestTarget) => number
}

/** Dependencies of the admission. */
export interface AdaptiveAdmissionDependencies {
  backends: AdmissionBackends
  estimator: LoadEstimator
  shares: Pick<AccountShares, 'admittedShare'>
  /** Gateways that send to the backend servers, this one included. */
  gateways: () => number
  metrics: AdmissionMetrics
  log: EventLog
}

/** What admission knows of an arrival besides the request. */
interface ArrivalProperties {
  kind: ArrivalKind
  /** Share of the account's requests of this kind that fits into its fair share. */
  share: number
  isOverShare: boolean
}

/** A request that waits. */
interface WaitingRequest extends QueuedRequest {
  request: RoutedRequest
  share: number
  isOverShare: boolean
  enqueuedAt: number
  /** Whether it was logged as waiting. */
  hasWaited: boolean
  settle: (result: Result<void, RequestError>) => void
}

/** The load of some backend servers of a service at one time. */
type BackendsLoad = Pick<AdmissionInputs, 'best' | 'opensInMs' | 'slotsPerGateway'>

/** The load of a service at one time. */
type Situation = BackendsLoad & Pick<AdmissionInputs, 'pace'>

/** A decision on a waiting request, with what it was based on. */
interface DecidedRequest {
  decision: RequestAdmissionDecision
  best: BackendEstimate | undefined
  ahead: number
}

/** What is known of one service. */
class ServiceAdmission {
  readonly queue = new AdmissionQueue<WaitingRequest>()
  readonly pace = new CallPace()
  readonly credits = new ShareCredits()
  readonly overload = new OverloadPeriod()
  recheck: NodeJS.Timeout | undefined
  /** A request was sent in this turn of the event loop; its call does not show in the estimates yet, so that others are decided on in the next turn. */
  hasSent = false
}

/** Admits by expected load. */
export class AdaptiveAdmission implements RequestAdmission {
  private readonly services = new Map<string, ServiceAdmission>()
  private readonly log: AdmissionLog

  constructor(private readonly dependencies: AdaptiveAdmissionDependencies) {
    this.log = new AdmissionLog(dependencies.log)
  }

  async admit(request: RoutedRequest, signal: AbortSignal): Promise<Result<AdmissionTicket, RequestError>> {
    const state = this.stateOf(request.service)
    const kind = request.arrivalKind
    const share = this.dependencies.shares.admittedShare(request.service, request.account?.name, kind)
    const isOverShare = !state.credits.takeArrival(request.account?.name, share)
    const admitted = await this.waitForRoom(request, { kind, share, isOverShare }, signal)
    return admitted.map(() => this.createTicket(request, kind, signal))
  }

  /** The ticket of a request that is being sent. */
  private createTicket(request: RoutedRequest, kind: ArrivalKind, signal: AbortSignal): AdmissionTicket {
    const { pace } = this.stateOf(request.service)
    let sentAt: number | undefined = performance.now()
    pace.recordSent(sentAt)
    return {
      release: () => {
        if (sentAt !== undefined)
          pace.recordEnd(performance.now() - sentAt, performance.now())
        this.sendNext(request.service)
      },
      readmit: async () => {
        sentAt = undefined
        pace.recordRefused()
        const room = await this.waitForRoom(request, { kind, share: 1, isOverShare: false }, signal)
        if (room.isOk()) {
          sentAt = performance.now()
          pace.recordSent(sentAt)
        }
        return room
      },
    }
  }

  /** Resolves once the request may be sent. */
  private waitForRoom(
    request: RoutedRequest,
    { kind, share, isOverShare }: ArrivalProperties,
    signal: AbortSignal,
  ): Promise<Result<void, RequestError>> {
    if (signal.aborted)
      return Promise.resolve(Err(cancelled()))
    return new Promise((resolve) => {
      const leave = (): void => {
        if (this.remove(entry))
          settle(Err(cancelled()))
      }
      const settle = (result: Result<void, RequestError>): void => {
        signal.removeEventListener('abort', leave)
        resolve(result)
      }
      const entry: WaitingRequest = {
        request,
        share,
        isOverShare,
        priority: request.priority,
        account: request.account?.name,
        targetAt: decideTargetAt(request, kind),
        enqueuedAt: performance.now(),
        hasWaited: false,
        settle,
      }
      signal.addEventListener('abort', leave)
      this.add(entry)
    })
  }

  private add(entry: WaitingRequest): void {
    const { service } = entry.request
    const { queue, hasSent } = this.stateOf(service)
    queue.add(entry)
    this.dependencies.metrics.countWaiting(service, 1)
    if (hasSent)
      return
    const order = queue.inOrder()
    this.carryOut(entry, this.decide(entry, order.slice(0, order.indexOf(entry)), this.situationOf(service, order)))
    this.scheduleRecheck(service)
  }

  /** Sends the next waiting request if there is room. */
  private sendNext(service: string): void {
    const { queue, hasSent } = this.stateOf(service)
    const order = queue.inOrder()
    if (hasSent || order.length === 0)
      return
    const decided = this.decide(order[0], [], this.situationOf(service, order))
    if (decided.decision.action === AdmissionAction.Send)
      this.carryOut(order[0], decided)
  }

  /** Decides on all waiting requests of a service again, until one is sent. */
  private recheck(service: string): void {
    const state = this.stateOf(service)
    clearTimeout(state.recheck)
    state.recheck = undefined
    const order = state.queue.inOrder()
    const situation = this.situationOf(service, order)
    const ahead: WaitingRequest[] = []
    for (const entry of order) {
      const decided = this.decide(entry, ahead, situation)
      this.carryOut(entry, decided)
      if (state.hasSent)
        return
      if (decided.decision.action === AdmissionAction.Wait)
        ahead.push(entry)
    }
    this.scheduleRecheck(service)
  }

  private scheduleRecheck(service: string): void {
    const state = this.stateOf(service)
    if (state.queue.size > 0)
      state.recheck ??= setTimeout(() => this.recheck(service), RECHECK_INTERVAL_MS).unref()
  }

  /** The load of a service now; `order` are its waiting requests. */
  private situationOf(service: string, order: readonly WaitingRequest[]): Situation {
    const now = performance.now()
    const pace = this.stateOf(service).pace.describe(Math.min(now, ...order.map(entry => entry.enqueuedAt)), now)
    return { ...this.loadOf({ service }), pace }
  }

  /** The load of the backend servers that may answer a request. */
  private loadOf(target: RequestTarget): BackendsLoad {
    const now = performance.now()
    const estimates = this.dependencies.backends.candidates(target).map(backend => this.dependencies.estimator.estimate(backend, now))
    const best = estimates.reduce<BackendEstimate | undefined>((first, estimate) => first && compareEstimates(first, estimate) <= 0 ? first : estimate, undefined)
    return {
      best,
      slotsPerGateway: estimates.reduce((sum, { slots }) => sum + slots, 0) / Math.max(1, this.dependencies.gateways()),
      opensInMs: best ? 0 : this.dependencies.backends.shortestWaitMs(target),
    }
  }

  /** Decides on a waiting request; `ahead` are those that go before it. For one that resumes a stream, only the backend servers count that may continue it. */
  private decide({ request, account, isOverShare }: WaitingRequest, ahead: readonly WaitingRequest[], serviceSituation: Situation): DecidedRequest {
    const now = performance.now()
    const situation = request.origin ? { ...serviceSituation, ...this.loadOf(request) } : serviceSituation
    const decision = decideRequestAdmission({
      ...situation,
      targetLatencyMs: request.route.targetLatencyMs,
      waitedMs: now - request.arrivedAt,
      deadlineMs: request.firstEventBy - now,
      ahead: ahead.length,
      aheadOfAccount: ahead.filter(other => other.account === account).length,
      isOverShare,
      streaming: request.route.streaming,
    })
    return { decision, ahead: ahead.length, best: situation.best }
  }

  /** Sends or refuses a waiting request, unless it has to wait. */
  private carryOut(entry: WaitingRequest, decided: DecidedRequest): void {
    const { decision: { action, reason } } = decided
    const { service } = entry.request
    if (action === AdmissionAction.Wait)
      return this.logWait(entry, decided)
    this.remove(entry)
    this.dependencies.metrics.countWait(service, performance.now() - entry.enqueuedAt)
    if (action === AdmissionAction.Send)
      return this.send(entry, decided)
    const error = this.refusal(entry.request, decided.decision)
    this.dependencies.metrics.countRefusal(service, reason)
    this.logDecision(entry, decided, error.retryAfterMs)
    entry.settle(Err(error))
  }

  private send(entry: WaitingRequest, decided: DecidedRequest): void {
    const { service } = entry.request
    const state = this.stateOf(service)
    if (entry.hasWaited)
      this.logDecision(entry, decided)
    state.queue.recordSent(entry.account)
    state.hasSent = true
    setImmediate(() => {
      state.hasSent = false
      this.recheck(service)
    })
    entry.settle(Ok(undefined))
  }

  private refusal(request: RoutedRequest, { reason, expectedMs, roomMs }: RequestAdmissionDecision): RequestError {
    if (reason === AdmissionReason.NoBackend)
      return createError(ErrorKind.NoBackend, `no backend server of service ${request.service} is available`, { ran: Ran.None })
    if (reason === AdmissionReason.Expired)
      return createError(ErrorKind.DeadlineUnreachable, 'the deadline passed before the request was sent to a backend server', { ran: Ran.None })
    const { overload } = this.stateOf(request.service)
    const now = performance.now()
    const retryAfterMs = spreadRetryDelay({
      roomMs,
      spreadMs: overload.recordRefusal(request.route.targetLatencyMs, now),
      maxMs: (request.deadlineAt - now) * MAX_RETRY_SHARE,
    })
    if (reason === AdmissionReason.OverShare)
      return createError(ErrorKind.AccountOverShare, `service ${request.service} is overloaded and this client account is beyond its share; retry later`, { retryAfterMs })
    const message = `service ${request.service} is overloaded: an answer is expected in ${Math.round(expectedMs)} ms; retry later`
    return createError(ErrorKind.Overloaded, message, { retryAfterMs })
  }

  private remove(entry: WaitingRequest): boolean {
    const { service } = entry.request
    const wasWaiting = this.stateOf(service).queue.remove(entry)
    if (wasWaiting)
      this.dependencies.metrics.countWaiting(service, -1)
    return wasWaiting
  }

  private logWait(entry: WaitingRequest, decided: DecidedRequest): void {
    if (!entry.hasWaited)
      this.logDecision(entry, decided)
    entry.hasWaited = true
  }

  private logDecision(entry: WaitingRequest, decided: DecidedRequest, retryAfterMs?: number): void {
    const { queue, pace } = this.stateOf(entry.request.service)
    const waitedMs = performance.now() - entry.enqueuedAt
    this.log.decided({ ...decided, request: entry.request, waiting: queue.size, inFlight: pace.inFlight, share: entry.share, waitedMs, retryAfterMs })
  }

  private stateOf(service: string): ServiceAdmission {
    const existing = this.services.get(service)
    if (existing)
      return existing
    const created = new ServiceAdmission()
    this.services.set(service, created)
    return created
  }
}

/** Negative if the first one is expected to answer sooner: full ones last, a free slot first, then the shortest wait, then the fastest. */
function compareEstimates(left: BackendEstimate, right: BackendEstimate): number {
  const leftWait = left.requests < left.slots ? 0 : left.waitMs ?? left.requests / left.slots
  const rightWait = right.requests < right.slots ? 0 : right.waitMs ?? right.requests / right.slots
  return Number(left.isFull ?? false) - Number(right.isFull ?? false) || leftWait - rightWait || (left.serviceMs ?? 0) - (right.serviceMs ?? 0)
}

function cancelled(): RequestError {
  return createError(ErrorKind.Cancelled, 'client disconnected', { ran: Ran.None })
}

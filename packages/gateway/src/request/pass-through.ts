/**
 * Serves one request by passing it through to a backend server, after the stages
 * that its route asks for.
 */
import type { EventLog, RequestError } from '@eidermast/common'
import type { ClientAnswer } from '../connection/client-answer.js'
import type { ClientRequest, RequestHandler } from '../connection/client-request.js'
import type { PreparationRequest, Preparer } from '../connection/preparation.js'
import type { ConfigurationHolder } from '../version/configuration-holder.js'
import type { ClientAccount, Route } from '../version/configuration.js'
import type { RouteTable } from '../version/route-table.js'
import type { BackendRunner } from './backend-runner.js'
import type { RoutedRequest } from './routed-request.js'
import { createError, ErrorKind, Ran } from '@eidermast/common'
import { PreparationFailureKind } from '../connection/preparation.js'
import { pickService } from '../version/route-table.js'
import { NO_INPUTS } from './backend-runner.js'
import { hashText } from './rendezvous.js'

const HASH_RANGE = 2 ** 32
const DEFAULT_DEADLINE_MS = 10_000
/** A client with less than this part of the longest time of its route tries again. */
const RETRY_DEADLINE_SHARE = 0.985
/** Clients give a stream up after the longest of these. */
const MIN_SILENCE_MS = 2000
const SILENCE_TARGETS = 4
const SILENCE_GAPS = 8
/** Time kept for the answer's way back, in milliseconds. */
const ANSWER_MARGIN_MS = 20

/** Counts requests for the metrics page; implemented by the process. */
export interface RequestMetrics {
  countRequest: (route: string, outcome: string, milliseconds: number) => void
}

/** What the pass-through works with. */
export interface PassThroughParts {
  configuration: ConfigurationHolder
  preparer: Preparer
  runner: BackendRunner
  metrics: RequestMetrics
  log: EventLog
}

/** Serves requests on the configured routes. */
export class PassThrough implements RequestHandler {
  /** The longest time that clients gave, by route, in milliseconds. */
  private readonly longestDeadlines = new Map<string, number>()

  constructor(private readonly parts: PassThroughParts) {
    parts.configuration.onChange(table => this.forgetRoutes(table))
  }

  /** Finds the route and client account of a request, or the error that answers it. */
  route(request: ClientRequest): RoutedRequest | RequestError {
    const table = this.parts.configuration.table
    if (!table)
      return createError(ErrorKind.NotReady, 'no configuration is known yet; come back')
    const path = request.path.split('?', 1)[0]
    const route = table.findRoute(request.head.host, path)
    if (!route)
      return createError(ErrorKind.UnknownPath, `no route for ${request.head.host}${path}`)
    const account = this.findAccount(table, route, request.head.key)
    if (account === 'unknown')
      return createError(ErrorKind.Unauthenticated, 'the key is not known')
    const service = pickService(route, hashText(request.head.requestId) / HASH_RANGE)
    if (!service)
      return createError(ErrorKind.NoBackend, `route ${route.name} has no service`)
    const deadlineMs = Math.min(request.head.deadlineMs ?? DEFAULT_DEADLINE_MS, route.timeoutMs)
    const deadlineAt = request.arrivedAt + deadlineMs - ANSWER_MARGIN_MS
    return {
      ...request,
      route,
      account,
      service,
      priority: table.priorityOf(route, account),
      deadlineAt,
      firstEventBy: Math.min(deadlineAt, request.arrivedAt + silenceLimit(route) - ANSWER_MARGIN_MS),
      isRetry: this.isRetry(route, request.head.deadlineMs),
    }
  }

  /** Answers a request; the signal aborts when its client leaves. */
  async serve(request: ClientRequest, answer: ClientAnswer, signal: AbortSignal): Promise<void> {
    const routed = this.route(request)
    if (isError(routed)) {
      this.finish(request, answer, routed, version(this.parts))
      return
    }
    const error = routed.route.stages.length > 0
      ? await this.prepareAndRun(routed, answer, signal)
      : await this.parts.runner.run(routed, NO_INPUTS, answer, signal)
    this.finish(routed, answer, error, version(this.parts))
  }

  private async prepareAndRun(request: RoutedRequest, answer: ClientAnswer, signal: AbortSignal): Promise<RequestError | undefined> {
    const { requestId } = request.head
    const clock = AbortSignal.any([signal, AbortSignal.timeout(Math.max(1, Math.ceil(request.firstEventBy - performance.now())))])
    const prepared = await this.parts.preparer.prepare(this.describe(request), clock)
    if (prepared.isErr())
      return preparationError(prepared.error.kind, prepared.error.message, prepared.error.retryAfterMs)
    try {
      const inputs = { handles: prepared.value.handles, failureDomain: prepared.value.failureDomain, bytes: prepared.value.bytes, onRead: () => this.parts.preparer.release(requestId), renew: () => this.renew(request, clock) }
      return await this.parts.runner.run(request, inputs, answer, signal)
    }
    finally {
      this.parts.preparer.release(requestId)
    }
  }

  /** Makes the inputs again, after the ones made were read or lost. */
  private async renew(request: RoutedRequest, signal: AbortSignal): Promise<readonly string[] | undefined> {
    const prepared = await this.parts.preparer.prepare(this.describe(request), signal)
    return prepared.isOk() ? prepared.value.handles : undefined
  }

  private describe(request: RoutedRequest): PreparationRequest {
    const elapsed = performance.now() - request.arrivedAt
    return {
      requestId: request.head.requestId,
      stages: request.route.stages.map((stage, number) => ({ ...stage, items: request.head.stageItems[number] ?? 0 })),
      key: request.head.stageKey,
      priority: request.priority,
      targetMs: request.route.targetLatencyMs - elapsed,
      deadlineMs: request.firstEventBy - performance.now(),
      isRetry: request.isRetry,
      failureDomain: this.parts.runner.preferredFailureDomain(request),
    }
  }

  /** A client that tries again has less time left than others of its route had. */
  private isRetry(route: Route, deadlineMs: number | undefined): boolean {
    if (deadlineMs === undefined)
      return false
    const longest = Math.max(this.longestDeadlines.get(route.name) ?? 0, deadlineMs)
    this.longestDeadlines.set(route.name, longest)
    return deadlineMs < longest * RETRY_DEADLINE_SHARE
  }

  private forgetRoutes(table: RouteTable): void {
    const names = new Set(table.configuration.routes.map(route => route.name))
    for (const name of this.longestDeadlines.keys()) {
      if (!names.has(name))
        this.longestDeadlines.delete(name)
    }
  }

  private findAccount(table: RouteTable, route: Route, key: string | undefined): ClientAccount | undefined | 'unknown' {
    if (route.public || !table.needsKeys)
      return undefined
    return (key === undefined ? undefined : table.findAccount(key)) ?? 'unknown'
  }

  private finish(request: ClientRequest | RoutedRequest, answer: ClientAnswer, error: RequestError | undefined, configurationVersion: number): void {
    const route = 'route' in request ? request.route.name : undefined
    const tookMs = performance.now() - request.arrivedAt
    this.parts.metrics.countRequest(route ?? 'none', error?.kind ?? 'answered', tookMs)
    this.parts.log.write('request-ended', { request: request.head.requestId, route, outcome: error?.kind ?? 'answered', ran: error?.ran, reason: error?.message, retryAfterMs: error?.retryAfterMs, tookMs: Math.round(tookMs), configuration: configurationVersion })
    if (!error)
      return
    if (answer.started)
      answer.breakOff()
    else
      answer.fail(error)
  }
}

function version(parts: PassThroughParts): number {
  return parts.configuration.version
}

/** How long clients wait for an event of a route, in milliseconds. */
function silenceLimit(route: Route): number {
  if (!route.streaming)
    return route.timeoutMs
  return Math.max(MIN_SILENCE_MS, SILENCE_TARGETS * route.targetLatencyMs, SILENCE_GAPS * route.targetGapMs)
}

function isError(routed: RoutedRequest | RequestError): routed is RequestError {
  return 'kind' in routed
}

function preparationError(kind: PreparationFailureKind, message: string, retryAfterMs: number): RequestError {
  switch (kind) {
    case PreparationFailureKind.TooLate:
      return createError(ErrorKind.DeadlineUnreachable, message, { ran: Ran.None, retryAfterMs })
    case PreparationFailureKind.NoBackend:
      return createError(ErrorKind.NoBackend, message, { ran: Ran.None, retryAfterMs })
    case PreparationFailureKind.Overloaded:
      return createError(ErrorKind.Overloaded, message, { retryAfterMs })
    case PreparationFailureKind.Cancelled:
      return createError(ErrorKind.DeadlineUnreachable, message, { ran: Ran.None, retryAfterMs })
    case PreparationFailureKind.HandedOver:
    case PreparationFailureKind.Failed:
      return createError(ErrorKind.NoBackend, message, { ran: Ran.None, retryAfterMs })
  }
}

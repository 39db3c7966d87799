/**
 * Log events of requests, one method per event. Stateless; events over the rate
 * limit are counted by the process's log and dropped there.
 */
import type { EventLog, RequestError } from '@eidermast/common'
import type { CallFailure } from '../connection/backends/backend-client.js'
import type { Backend } from '../connection/backends/backend.js'
import type { RetryCost, RetryUsage } from './attempts/retry-budget.js'
import type { RetryDecision } from './attempts/retry-rule.js'
import type { RequestStep } from './deadline-guard.js'
import type { BackendEstimate } from './load/load-estimator.js'
import type { RoutedRequest } from './routed-request.js'
import { countTokens, sharedParts } from './prompt-parts.js'

/** An attempt that starts. */
export interface AttemptStart {
  request: RoutedRequest
  backend: Backend
  /** 0 for the first attempt. */
  attempt: number
  /** Whether the retry budget counted it; undefined for the first attempt. */
  retryCost?: RetryCost
  /** The stream goes on after this event; undefined if it begins. */
  lastEventId?: string
  /** Milliseconds until the request's deadline. */
  remainingMs: number
  /** What was expected of the backend server; undefined if nothing is estimated. */
  estimate?: BackendEstimate
}

/** A wait before an attempt. */
export interface AttemptWait extends Pick<AttemptStart, 'request' | 'attempt' | 'remainingMs'> {
  /** Milliseconds until the first backend server accepts requests. */
  opensInMs: number
}

/** A retry that the budget does not allow. */
export interface RefusedRetry {
  request: RoutedRequest
  /** Attempts that were made. */
  attempts: number
  usage: RetryUsage
}

/** An attempt that failed. */
export interface AttemptFailure {
  requestId: string
  backend: Backend
  failure: CallFailure
  tookMs: number
}

/** The end of a request. */
export interface RequestEnd {
  requestId: string
  /** Name of the route; undefined if none matched. */
  route: string | undefined
  /** Undefined if the request was answered. */
  error: RequestError | undefined
  /** Why there was no further attempt; undefined if no attempt failed. */
  retry: RetryDecision | undefined
  tookMs: number
  /** Milliseconds from arrival to the first event of a stream; undefined if there was none. */
  firstEventMs: number | undefined
  configurationVersion: number
  /** Milliseconds since that version was known to be the newest, or Infinity; undefined for a request with a route. */
  configurationAgeMs: number | undefined
}

/** A request whose work has not ended by its deadline. */
export interface OverdueWork {
  requestId: string
  route: string
  step: RequestStep
  /** Milliseconds since its deadline. */
  overdueMs: number
}

/** The outcome as it appears in logs and metrics. */
export function outcomeOf(error: RequestError | undefined): string {
  return error?.kind ?? 'answered'
}

/** Writes the log events of requests. */
export class RequestLog {
  constructor(private readonly log: EventLog) {}

  /** Logs the selected backend server with what was known about it, and how old that information was. */
  attemptStarted({ request, backend, attempt, retryCost, lastEventId, remainingMs, estimate }: AttemptStart): void {
    this.log.write('route', {
      request: request.head.requestId,
      fingerprint: request.fingerprint,
      service: request.service,
      backend: backend.id,
      version: backend.softwareVersion,
      failureDomain: backend.failureDomain,
      attempt,
      retryCost,
      resumes: request.head.resumedRequestId,
      lastEventId,
      outstanding: backend.outstanding,
      running: backend.load?.running,
      limitPerSecond: backend.intake.limitPerSecond,
      limitAgeMs: backend.intake.limitPerSecond === undefined ? undefined : Math.round(performance.now() - backend.intake.limitReportedAt),
      saidLeaving: backend.intake.isLeaving || undefined,
      restMs: Math.round(backend.intake.backoffMs(performance.now())) || undefined,
      loadAgeMs: backend.load ? Math.round(performance.now() - backend.loadAt) : undefined,
      remainingMs: Math.round(remainingMs),
      ...describeEstimate(estimate),
      sharedParts: sharedParts(request.head.promptParts).map(({ id }) => id).join(',') || undefined,
      promptTokens: request.head.promptParts.length > 0 ? countTokens(request.head.promptParts) : undefined,
    })
  }

  /** A request that may have run waits until a backend server that was not tried accepts requests. */
  attemptWaits({ request, attempt, opensInMs, remainingMs }: AttemptWait): void {
    this.log.write('attempt-waits', {
      request: request.head.requestId,
      service: request.service,
      attempt,
      opensInMs: Math.round(opensInMs),
      remainingMs: Math.round(remainingMs),
    })
  }

  /** The retry budget allows no further attempt. */
  retryRefused({ request, attempts, usage: { requests, retries, part, allowed } }: RefusedRetry): void {
    this.log.write('retry-refused', {
      request: request.head.requestId,
      service: request.service,
      attempts,
      requests,
      retries,
      part: Number(part.toFixed(4)),
      allowed: Number(allowed.toFixed(1)),
    })
  }

  attemptFailed({ requestId, backend, failure, tookMs }: AttemptFailure): void {
    this.log.write('call-failed', {
      request: requestId,
      backend: backend.id,
      kind: failure.kind,
      reason: failure.message,
      tookMs: Math.round(tookMs),
    })
  }

  requestOverdue({ requestId, route, step, overdueMs }: OverdueWork): void {
    this.log.write('request-overdue', { request: requestId, route, step, overdueMs: Math.round(overdueMs) })
  }

  requestEnded({ requestId, route, error, retry, tookMs, firstEventMs, configurationVersion, configurationAgeMs }: RequestEnd): void {
    this.log.write('request-ended', {
      request: requestId,
      route,
      outcome: outcomeOf(error),
      ran: error?.ran,
      reason: error?.message,
      retry,
      retryAfterMs: error?.retryAfterMs,
      tookMs: Math.round(tookMs),
      firstEventMs: firstEventMs === undefined ? undefined : Math.round(firstEventMs),
      configuration: configurationVersion,
      configurationAgeMs: Number.isFinite(configurationAgeMs) ? Math.round(configurationAgeMs!) : undefined,
    })
  }
}

/** The fields of an estimate in log events; none if no time was estimated. */
function describeEstimate(estimate: BackendEstimate | undefined): Record<string, number | undefined> {
  if (estimate?.serviceMs === undefined || estimate.waitMs === undefined)
    return {}
  const { serviceMs, waitMs, slowness } = estimate
  return { expectedMs: Math.round(waitMs + serviceMs), serviceMs: Math.round(serviceMs), slowness: slowness === undefined ? undefined : Number(slowness.toFixed(2)) }
}

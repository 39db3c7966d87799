/**
 * Log events and metrics of request admission. Stateless.
 */
import type { EventLog } from '@eidermast/common'
import type { BackendEstimate } from '../load/load-estimator.js'
import type { RoutedRequest } from '../routed-request.js'
import type { AdmissionReason, RequestAdmissionDecision } from './admission-decision.js'

/** Counts waits and refusals for the metrics endpoint; implemented by the process. */
export interface AdmissionMetrics {
  /** Adjusts the number of requests that wait for room. */
  countWaiting: (service: string, difference: 1 | -1) => void
  /** Records the time that a request waited before it was sent or refused, in milliseconds. */
  countWait: (service: string, milliseconds: number) => void
  countRefusal: (service: string, reason: AdmissionReason) => void
}

/** A decision on one request, with what it was based on. */
export interface LoggedAdmission {
  request: RoutedRequest
  decision: RequestAdmissionDecision
  best: BackendEstimate | undefined
  /** Requests that go before it. */
  ahead: number
  /** Requests that wait for the service. */
  waiting: number
  inFlight: number
  share: number
  waitedMs: number
  /** Of a refusal. */
  retryAfterMs?: number
}

/** Writes the log events of admission. */
export class AdmissionLog {
  constructor(private readonly log: EventLog) {}

  /** A request starts to wait, has waited and is sent, or is refused. */
  decided({ request, decision, best, ahead, waiting, inFlight, share, waitedMs, retryAfterMs }: LoggedAdmission): void {
    this.log.write('admission', {
      request: request.head.requestId,
      service: request.service,
      account: request.account?.name,
      action: decision.action,
      reason: decision.reason,
      expectedMs: round(decision.expectedMs),
      waitedMs: round(waitedMs),
      retryAfterMs: round(retryAfterMs),
      position: ahead,
      waiting,
      inFlight,
      share,
      requestsThere: best && Math.round(best.requests * 10) / 10,
      slots: best?.slots,
      serviceMs: round(best?.serviceMs),
      backendWaitMs: round(best?.waitMs),
    })
  }
}

function round(value: number | undefined): number | undefined {
  return value === undefined || !Number.isFinite(value) ? undefined : Math.round(value)
}

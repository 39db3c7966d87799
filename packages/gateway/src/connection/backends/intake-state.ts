/**
 * Flow-control state of one backend server, from the notices in its responses.
 * It is kept as long as the process of the backend server runs, and is lost when
 * this process ends.
 */
import type { BackendNotice, ResponseHead } from './backend-notice.js'

/**
 * Maximum age that a peer's report gains in transit: `ageMs` is computed when the
 * report is sent, and applied when it is received.
 */
const MAX_TRANSIT_MS = 500

/** Maximum backoff. Without it, a single wrong number could take a backend server out of service for good. */
const MAX_BACKOFF_MS = 600_000

/** A rate limit, or its end, as reported by a peer. */
export interface ReportedLimit {
  /** Requests per second; undefined if the limit has ended. */
  limitPerSecond?: number
  /** Milliseconds since the backend server reported it. */
  ageMs: number
}

/** Latest notices of one backend server; times are in milliseconds of the monotonic clock. */
export class IntakeState {
  /** Rate limit in requests per second for all gateways together; undefined if there is none. */
  limitPerSecond: number | undefined
  /** It has announced that it is leaving; never reset. */
  isLeaving = false
  /** End of the backoff that it requested from this process. */
  backoffUntil = Number.NEGATIVE_INFINITY
  /** When this process last sent a request to it. */
  lastSentAt = Number.NEGATIVE_INFINITY
  /** When it last reported a rate limit. */
  limitReportedAt = Number.NEGATIVE_INFINITY
  /** When its rate limit last ended. */
  private limitEndedAt = Number.NEGATIVE_INFINITY

  /** Remaining backoff in milliseconds; 0 if it accepts requests. */
  backoffMs(now: number): number {
    return Math.max(0, this.backoffUntil - now)
  }

  /** Records that it is leaving; returns whether this was not known before. */
  markLeaving(): boolean {
    const isNew = !this.isLeaving
    this.isLeaving = true
    return isNew
  }

  /** Starts or extends the backoff. A response to an earlier call that requests a shorter one does not shorten it. */
  startBackoff(milliseconds: number, now: number): void {
    this.backoffUntil = Math.max(this.backoffUntil, now + Math.min(milliseconds, MAX_BACKOFF_MS))
  }

  /** The rate limit, or its end, as reported to peers; undefined if it never named one. */
  reportLimit(now: number): ReportedLimit | undefined {
    const latestReportAt = Math.max(this.limitReportedAt, this.limitEndedAt)
    return Number.isFinite(latestReportAt) ? { limitPerSecond: this.limitPerSecond, ageMs: Math.max(0, now - latestReportAt) } : undefined
  }

  /**
   * Applies the notice of a response. A response without a rate limit ends the
   * current one only if it belongs to a request or stage call made after the
   * limit was reported, since responses may arrive out of order. Returns whether
   * the limit changed.
   */
  updateLimit({ limitPerSecond }: BackendNotice, { isWork, calledAt }: Pick<ResponseHead, 'isWork' | 'calledAt'>, now: number): boolean {
    const endsLimit = isWork && calledAt >= this.limitReportedAt
    if (limitPerSecond === undefined)
      return endsLimit && this.endLimit(calledAt)
    return this.setLimit(limitPerSecond, now)
  }

  /** Applies a peer's report if it is newer than the known state; returns whether the limit changed. */
  mergeReportedLimit({ limitPerSecond, ageMs }: ReportedLimit, now: number): boolean {
    const reportedAt = now - ageMs
    if (limitPerSecond === undefined)
      return reportedAt - MAX_TRANSIT_MS > this.limitReportedAt && this.endLimit(reportedAt)
    return reportedAt > Math.max(this.limitReportedAt, this.limitEndedAt) && this.setLimit(limitPerSecond, reportedAt)
  }

  private setLimit(limitPerSecond: number, reportedAt: number): boolean {
    const changed = limitPerSecond !== this.limitPerSecond
    this.limitPerSecond = limitPerSecond
    this.limitReportedAt = reportedAt
    return changed
  }

  private endLimit(reportedAt: number): boolean {
    if (this.limitPerSecond === undefined)
      return false
    this.limitPerSecond = undefined
    this.limitEndedAt = reportedAt
    return true
  }
}

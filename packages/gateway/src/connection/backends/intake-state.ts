/**
 * What a backend server said of the requests that it takes. It lives as long as
 * the process of the backend server, and is lost with this process.
 */
import type { AnswerHead, BackendNotice } from './backend-notice.js'

/**
 * Milliseconds by which a peer's word may be older than it seems: it is dated
 * when it is sent, and read when it has come.
 */
const MAX_TRANSIT_MS = 500

/** Milliseconds; a rest of more would take a backend server away for good by one wrong number. */
const MAX_REST_MS = 600_000

/** A limit, or its end, as a peer tells it. */
export interface ReportedLimit {
  /** Requests a second; absent where the limit has ended. */
  limitPerSecond?: number
  /** Milliseconds since the backend server said so. */
  ageMs: number
}

/** What one backend server said last; times are on the process clock, in milliseconds. */
export class IntakeState {
  /** Requests a second that it takes from all gateways together; undefined where it names no limit. */
  limitPerSecond: number | undefined
  /** It said that it leaves; nothing ends that but its own end. */
  isLeaving = false
  /** Until when it wants nothing from this process. */
  restUntil = Number.NEGATIVE_INFINITY
  /** When a request of this process was last sent there. */
  lastSentAt = Number.NEGATIVE_INFINITY
  /** When it named a limit last. */
  limitNamedAt = Number.NEGATIVE_INFINITY
  /** When it named none any more. */
  private limitEndedAt = Number.NEGATIVE_INFINITY

  /** Milliseconds for which it wants nothing from this process; 0 where it takes requests. */
  restMs(now: number): number {
    return Math.max(0, this.restUntil - now)
  }

  /** It says that it leaves; returns whether that is new. */
  takeLeaving(): boolean {
    const isNew = !this.isLeaving
    this.isLeaving = true
    return isNew
  }

  /** It asks for rest. An answer that asks for less, to a call of before, ends none that was asked for. */
  takeRest(milliseconds: number, now: number): void {
    this.restUntil = Math.max(this.restUntil, now + Math.min(milliseconds, MAX_REST_MS))
  }

  /** The limit, or its end, as peers are told; undefined where it never named one. */
  reportLimit(now: number): ReportedLimit | undefined {
    const saidAt = Math.max(this.limitNamedAt, this.limitEndedAt)
    return Number.isFinite(saidAt) ? { limitPerSecond: this.limitPerSecond, ageMs: Math.max(0, now - saidAt) } : undefined
  }

  /**
   * Takes what an answer says. One without a limit ends it only if it answers
   * work, and its call began after the limit was named: answers overtake one
   * another. Returns whether the limit changed.
   */
  takeLimit({ limitPerSecond }: BackendNotice, { isWork, calledAt }: Pick<AnswerHead, 'isWork' | 'calledAt'>, now: number): boolean {
    const endsLimit = isWork && calledAt >= this.limitNamedAt
    if (limitPerSecond === undefined)
      return endsLimit && this.endLimit(calledAt)
    return this.setLimit(limitPerSecond, now)
  }

  /** Takes what a peer tells, where it is newer than what is known; returns whether the limit changed. */
  takeReportedLimit({ limitPerSecond, ageMs }: ReportedLimit, now: number): boolean {
    const saidAt = now - ageMs
    if (limitPerSecond === undefined)
      return saidAt - MAX_TRANSIT_MS > this.limitNamedAt && this.endLimit(saidAt)
    return saidAt > Math.max(this.limitNamedAt, this.limitEndedAt) && this.setLimit(limitPerSecond, saidAt)
  }

  private setLimit(limitPerSecond: number, saidAt: number): boolean {
    const changed = limitPerSecond !== this.limitPerSecond
    this.limitPerSecond = limitPerSecond
    this.limitNamedAt = saidAt
    return changed
  }

  private endLimit(saidAt: number): boolean {
    if (this.limitPerSecond === undefined)
      return false
    this.limitPerSecond = undefined
    this.limitEndedAt = saidAt
    return true
  }
}

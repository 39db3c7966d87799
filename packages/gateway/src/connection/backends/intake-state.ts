/**
 * What a backend server said of the requests that it takes. It lives as long as
 * the process of the backend server, and is lost with this process.
 */
import type { AnswerHead, BackendNotice } from './backend-notice.js'

/** What one backend server said last; times are on the process clock, in milliseconds. */
export class IntakeState {
  /** Requests a second that it takes from all gateways together; undefined where it names no limit. */
  limitPerSecond: number | undefined
  /** When a request of this process was last sent there. */
  lastSentAt = Number.NEGATIVE_INFINITY
  /** When it named a limit last. */
  limitNamedAt = Number.NEGATIVE_INFINITY

  /** Whether it said nothing that holds on. */
  get isSilent(): boolean {
    return this.limitPerSecond === undefined
  }

  /**
   * Takes what an answer says. One without a limit ends it only if it answers
   * work, and its call began after the limit was named: answers overtake one
   * another. Returns whether the limit changed.
   */
  takeLimit({ limitPerSecond }: BackendNotice, { isWork, calledAt }: Pick<AnswerHead, 'isWork' | 'calledAt'>, now: number): boolean {
    const endsLimit = isWork && calledAt >= this.limitNamedAt
    if (limitPerSecond === undefined && !endsLimit)
      return false
    if (limitPerSecond !== undefined)
      this.limitNamedAt = now
    const changed = limitPerSecond !== this.limitPerSecond
    this.limitPerSecond = limitPerSecond
    return changed
  }
}

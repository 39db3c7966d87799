/**
 * Checks the requests that reach backend servers after these have told gateways a
 * rate limit, a time to retry after, or that they are leaving. A gateway that was
 * restarted or paused since then is exempt.
 */
import type { Arrival, NoticeBackend, NoticePeriod } from '../../platform/support/notice-pool.js'
import { maxWithin } from '../../platform/support/notice-pool.js'

/** Time after the first announcement of a limit until it is binding (setting `contact-ms`). */
const CONTACT_MS = 3000
/** Time after a backend server's answer until the gateway must respect its limit or retry time. */
const NOTICE_EFFECTIVE_MS = 500
/** Window over which requests are counted against a limit. */
const WINDOW_MS = 4000
/** Grace period after such an answer; new client requests must not reach a leaving backend server later (setting `drain-ms`). */
const DRAIN_MS = 2000
/** Requests from one gateway that may reach a backend server during its retry time. */
const MAX_REQUESTS_IN_RETRY_AFTER = 2
/** Tolerance for request transit time on a busy machine. */
const TOLERANCE_MS = 150

/** Whether a gateway was restarted or paused between two times, in milliseconds of the test clock. */
export type IsExempt = (gateway: string, from: number, to: number) => boolean

/** Looks up when a client sent a request; undefined for requests that no client sent. */
export type SentAt = (requestId: string) => number | undefined

/** Checks the requests that reached a backend server. */
export class NoticeChecks {
  constructor(private readonly isExempt: IsExempt, private readonly sentAt: SentAt) {}

  /** Describes the requests that violate a notice; empty if there are none. */
  violations(backend: NoticeBackend): string[] {
    const { id } = backend.server
    const periodViolations = backend.periods.flatMap(period => [...this.limitViolations(backend, period), ...this.leavingViolations(backend, period)])
    return [...periodViolations, ...this.retryAfterViolations(backend)].map(violation => `${id}: ${violation}`)
  }

  private limitViolations({ arrivals }: NoticeBackend, { notice, from, to, informedAt }: NoticePeriod): string[] {
    const limit = Number(notice.headers['Server-Limit'])
    if (Number.isNaN(limit))
      return []
    const earliest = from + CONTACT_MS - WINDOW_MS
    const counted = arrivals.filter(({ gateway, at }) => at >= earliest && at <= to && this.mustComply(informedAt.get(gateway), NOTICE_EFFECTIVE_MS, gateway, at))
    const most = maxWithin(counted, WINDOW_MS)
    const allowed = 1.5 * limit * WINDOW_MS / 1000 + 5
    return most > allowed ? [`${most} requests in ${WINDOW_MS} ms at a limit of ${limit} a second, allowed ${allowed}`] : []
  }

  private leavingViolations({ arrivals }: NoticeBackend, { notice, informedAt }: NoticePeriod): string[] {
    if (notice.headers['Server-Leaving'] === undefined)
      return []
    const late = arrivals.filter(({ gateway, requestId, at }) => {
      const sentAt = this.sentAt(requestId) ?? Number.NEGATIVE_INFINITY
      return this.mustComply(informedAt.get(gateway), DRAIN_MS + TOLERANCE_MS, gateway, at) && sentAt > informedAt.get(gateway)! + DRAIN_MS
    })
    return late.map(({ gateway, at }) => `a request of ${gateway} ${Math.round(at - informedAt.get(gateway)!)} ms after it was told that the backend server is leaving`)
  }

  private retryAfterViolations({ arrivals, rejections, periods }: NoticeBackend): string[] {
    return rejections.flatMap(({ gateway, at }) => {
      const retryAfterMs = retryAfterAt(periods, at)
      const later = arrivals.filter((arrival: Arrival) => arrival.gateway === gateway && arrival.at > at + NOTICE_EFFECTIVE_MS && arrival.at < at + retryAfterMs)
      const counted = later.filter(arrival => !this.isExempt(gateway, at, arrival.at))
      return counted.length > MAX_REQUESTS_IN_RETRY_AFTER ? [`${counted.length} requests of ${gateway} within a Retry-After of ${retryAfterMs} ms`] : []
    })
  }

  private mustComply(informedAt: number | undefined, graceMs: number, gateway: string, at: number): boolean {
    return informedAt !== undefined && at >= informedAt + graceMs && !this.isExempt(gateway, informedAt, at)
  }
}

/** Returns the `Retry-After` time, in milliseconds, that was in effect at a given time. */
function retryAfterAt(periods: readonly NoticePeriod[], at: number): number {
  const period = periods.find(({ from, to }) => from <= at && at <= to + TOLERANCE_MS)
  return Number(period?.notice.headers['Retry-After'] ?? 0) * 1000
}

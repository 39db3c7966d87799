/**
 * What may reach backend servers that name a limit, ask for rest or say that
 * they leave, after gateways have been told; a restart or a pause of a gateway
 * since then excuses it.
 */
import type { Arrival, NoticeBackend, NoticePeriod } from '../../platform/support/notice-pool.js'
import { maxWithin } from '../../platform/support/notice-pool.js'

/** Milliseconds after the first naming of a limit from which on it binds (settings, `contact-ms`). */
const CONTACT_MS = 3000
/** Milliseconds after its answer from which on a gateway is held to a limit or a rest. */
const TOLD_AFTER_MS = 500
/** Milliseconds over which requests are counted against a limit. */
const SPAN_MS = 4000
/** Milliseconds after such an answer from which no request that a client sends may reach a backend server that leaves (settings, `drain-ms`). */
const DRAIN_MS = 2000
/** Requests that may reach a backend server from one gateway in a rest. */
const ALLOWED_IN_REST = 2
/** Milliseconds for the way of a request on a machine that has other work. */
const SLACK_MS = 150

/** Whether a gateway was restarted or paused between two moments, in milliseconds of the test's clock. */
export type IsExcused = (gateway: string, from: number, to: number) => boolean

/** Looks up when a client sent a request; undefined where no client did. */
export type SentAt = (requestId: string) => number | undefined

/** Checks what reached one backend server. */
export class IntakeChecks {
  constructor(private readonly isExcused: IsExcused, private readonly sentAt: SentAt) {}

  /** What should not have come, in words; empty where all is well. */
  breaches(backend: NoticeBackend): string[] {
    const { id } = backend.server
    const ofPeriods = backend.periods.flatMap(period => [...this.overLimit(backend, period), ...this.afterLeaving(backend, period)])
    return [...ofPeriods, ...this.inRest(backend)].map(breach => `${id}: ${breach}`)
  }

  private overLimit({ arrivals }: NoticeBackend, { notice, from, to, informedAt }: NoticePeriod): string[] {
    const limit = Number(notice.headers['Server-Limit'])
    if (Number.isNaN(limit))
      return []
    const earliest = from + CONTACT_MS - SPAN_MS
    const counted = arrivals.filter(({ gateway, at }) => at >= earliest && at <= to && this.isBound(informedAt.get(gateway), TOLD_AFTER_MS, gateway, at))
    const most = maxWithin(counted, SPAN_MS)
    const allowed = 1.5 * limit * SPAN_MS / 1000 + 5
    return most > allowed ? [`${most} requests in ${SPAN_MS} ms at a limit of ${limit} a second, allowed ${allowed}`] : []
  }

  private afterLeaving({ arrivals }: NoticeBackend, { notice, informedAt }: NoticePeriod): string[] {
    if (notice.headers['Server-Leaving'] === undefined)
      return []
    const late = arrivals.filter(({ gateway, requestId, at }) => {
      const sentAt = this.sentAt(requestId) ?? Number.NEGATIVE_INFINITY
      return this.isBound(informedAt.get(gateway), DRAIN_MS + SLACK_MS, gateway, at) && sentAt > informedAt.get(gateway)! + DRAIN_MS
    })
    return late.map(({ gateway, at }) => `a request of ${gateway} ${Math.round(at - informedAt.get(gateway)!)} ms after it was told of the leaving`)
  }

  private inRest({ arrivals, rejections, periods }: NoticeBackend): string[] {
    return rejections.flatMap(({ gateway, at }) => {
      const restMs = restAt(periods, at)
      const later = arrivals.filter((arrival: Arrival) => arrival.gateway === gateway && arrival.at > at + TOLD_AFTER_MS && arrival.at < at + restMs)
      const counted = later.filter(arrival => !this.isExcused(gateway, at, arrival.at))
      return counted.length > ALLOWED_IN_REST ? [`${counted.length} requests of ${gateway} in a rest of ${restMs} ms`] : []
    })
  }

  private isBound(informedAt: number | undefined, afterMs: number, gateway: string, at: number): boolean {
    return informedAt !== undefined && at >= informedAt + afterMs && !this.isExcused(gateway, informedAt, at)
  }
}

/** Milliseconds of rest that were asked for at a moment. */
function restAt(periods: readonly NoticePeriod[], at: number): number {
  const period = periods.find(({ from, to }) => from <= at && at <= to + SLACK_MS)
  return Number(period?.notice.headers['Retry-After'] ?? 0) * 1000
}

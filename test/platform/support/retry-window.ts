/**
 * Checks the retries that backend servers received against the retry budget of
 * all gateways together.
 */
import type { ReceivedRequest } from './stand-in-backend.js'

/** The retry budget of all gateways together. */
export interface RetryAllowance {
  /** Retries allowed per request. */
  ratio: number
  /** Additional retries allowed per window. */
  extra: number
  windowMs: number
}

/** Arrival times of retries, in ascending order: all arrivals of a request except its first one. */
export function retryTimes(arrivals: readonly ReceivedRequest[]): number[] {
  const known = new Set<unknown>()
  const isRetry = ({ headers }: ReceivedRequest): boolean => known.has(headers['attempt-id']) || !known.add(headers['attempt-id'])
  return arrivals.toSorted((a, b) => a.at - b.at).filter(isRetry).map(({ at }) => at)
}

/** Retries beyond the allowance in the worst window, which may count the requests of an earlier window instead of its own. Negative if there are none. */
export function worstExcess(retries: readonly number[], sentAt: readonly number[], { ratio, extra, windowMs }: RetryAllowance): number {
  return Math.max(-extra, ...retries.map((from) => {
    const requests = Math.max(...[0, windowMs / 2, windowMs].map(earlier => countWithin(sentAt, from - earlier, windowMs)))
    return countWithin(retries, from, windowMs) - (ratio * requests + extra)
  }))
}

function countWithin(times: readonly number[], from: number, lengthMs: number): number {
  return times.filter(time => time >= from && time < from + lengthMs).length
}

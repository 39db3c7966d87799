/**
 * Decides which requests are rejected because this process read them too late.
 *
 * Load: more requests than this process has processor time for, so that their
 * connections wait in the listener's queue, of accounts that differ many times in
 * what they ask for.
 * Inputs: how long a request waited before it was read, and may take (ms); for how
 * long the process has read requests late without a break (ms); the requests of
 * each account that were accepted while it did, in the last one to two
 * COUNT_WINDOW_MS, and its weight.
 * Rule: once requests have been read late for MIN_LATE_MS, one that has used up
 * MAX_WAITED_PART of its time is rejected. An account that had fewer accepted than
 * the mean of all accounts, by weight, may wait for MAX_WAITED_PART_BELOW_MEAN.
 * Why: in order of arrival, the wait grows to the time-out, so that nearly all
 * that is run ends too late. A rejection costs a fraction of a run, so the wait
 * stays at the bound, and what is run ends in time. After a short pause, what has
 * waited long is served, because clients would wait longer for a retry.
 * Log events: of a gateway `request-ended` (`outcome`, `reason`), of an entry `shed`.
 *
 * State: counts of accepted requests by account, in memory.
 */
import type { RequestError } from '../errors.js'
import type { ReadLateness } from './listener-queue.js'
import { createError, ErrorKind, Ran } from '../errors.js'

/** Requests that waited this long after a pause of the process do not mean that it has more than it can do. */
const MIN_LATE_MS = 1000
/** Leaves as much time for the request itself, and for a retry elsewhere. */
const MAX_WAITED_PART = 0.5
/** Leaves time for the request itself, also if it arrives behind many of another account. */
const MAX_WAITED_PART_BELOW_MEAN = 0.75
/** Long enough for a mean, and short enough to follow a burst. */
const COUNT_WINDOW_MS = 1000
/**
 * Short, since another process may read the retry at once. While all read late,
 * the wait for each retry limits how many a client sends in its time.
 */
const RETRY_AFTER_MS = 100

/** A request that was read. */
export interface ReadRequest {
  /** Undefined on public routes. */
  account: string | undefined
  /** Weight of the client account; the same for all of its requests. @default 1 */
  weight?: number
  /** How long it may take from its arrival, in milliseconds. */
  allowedMs: number
  /** Undefined if it was read in time. */
  lateness: ReadLateness | undefined
}

interface AccountCount {
  /** Accepted within the current window. */
  accepted: number
  acceptedBefore: number
  weight: number
  /** Whether a request arrived within the current window. */
  isActive: boolean
}

/** Rejects requests that were read too late, and counts the others. */
export class LateRequests {
  /** Accounts with a request in the current window or the one before. */
  private readonly counts = new Map<string | undefined, AccountCount>()
  /** Sums over `counts`. */
  private accepted = 0
  private weights = 0
  private windowStart = Number.NEGATIVE_INFINITY

  constructor(private readonly now = () => performance.now()) {}

  /** Returns the error for a request that is rejected; counts it as accepted otherwise. */
  check({ account, weight = 1, allowedMs, lateness }: ReadRequest): RequestError | undefined {
    if (lateness === undefined)
      return undefined
    this.advanceWindow()
    const count = this.countOf(account, weight)
    count.isActive = true
    if (lateness.lateForMs >= MIN_LATE_MS && lateness.waitedMs > allowedMs * this.maxWaitedPart(count))
      return errorOfLate(lateness, allowedMs)
    count.accepted++
    this.accepted++
    return undefined
  }

  private maxWaitedPart({ accepted, acceptedBefore, weight }: AccountCount): number {
    const isBelowMean = (accepted + acceptedBefore) * this.weights < this.accepted * weight
    return isBelowMean ? MAX_WAITED_PART_BELOW_MEAN : MAX_WAITED_PART
  }

  private countOf(account: string | undefined, weight: number): AccountCount {
    const existing = this.counts.get(account)
    if (existing)
      return existing
    const count = { accepted: 0, acceptedBefore: 0, weight, isActive: true }
    this.counts.set(account, count)
    this.weights += weight
    return count
  }

  private advanceWindow(): void {
    const now = this.now()
    const windows = Math.floor((now - this.windowStart) / COUNT_WINDOW_MS)
    if (windows < 1)
      return
    this.windowStart = now
    for (const [account, count] of this.counts) {
      if (windows > 1 || !count.isActive)
        this.counts.delete(account)
      else
        Object.assign(count, { accepted: 0, acceptedBefore: count.accepted, isActive: false })
    }
    const remaining = [...this.counts.values()]
    this.accepted = remaining.reduce((sum, { acceptedBefore }) => sum + acceptedBefore, 0)
    this.weights = remaining.reduce((sum, { weight }) => sum + weight, 0)
  }
}

function errorOfLate({ waitedMs, lateForMs }: ReadLateness, allowedMs: number): RequestError {
  const [waited, allowed, lateFor] = [waitedMs, allowedMs, lateForMs].map(Math.round)
  const message = `the request was read ${waited} ms after its arrival, of ${allowed} ms that it may take; requests have been read late for ${lateFor} ms`
  return createError(ErrorKind.Overloaded, message, { ran: Ran.None, retryAfterMs: RETRY_AFTER_MS })
}

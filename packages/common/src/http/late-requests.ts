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
const MAX_WAITED_PART = 0.5
/** Leaves time for the request itself. */
const MAX_WAITED_PART_BELOW_MEAN = 0.75
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
  accepted: number
  weight: number
}

type AccountCounts = Map<string | undefined, AccountCount>

/** Rejects requests that were read too late, and counts the others. */
export class LateRequests {
  private counts: AccountCounts = new Map()
  private countsBefore: AccountCounts = new Map()
  private windowStart = Number.NEGATIVE_INFINITY

  constructor(private readonly now = () => performance.now()) {}

  /** Returns the error for a request that is rejected; counts it as accepted otherwise. */
  check({ account, weight = 1, allowedMs, lateness }: ReadRequest): RequestError | undefined {
    if (lateness === undefined)
      return undefined
    this.advanceWindow()
    const count = this.counts.get(account) ?? { accepted: 0, weight }
    this.counts.set(account, count)
    if (lateness.lateForMs >= MIN_LATE_MS && lateness.waitedMs > allowedMs * this.maxWaitedPart(account))
      return errorOfLate(lateness, allowedMs)
    count.accepted++
    return undefined
  }

  private maxWaitedPart(account: string | undefined): number {
    const accounts = [...new Set([...this.counts.keys(), ...this.countsBefore.keys()])].map(name => this.countOf(name))
    const accepted = accounts.reduce((sum, count) => sum + count.accepted, 0)
    const weights = accounts.reduce((sum, count) => sum + count.weight, 0)
    const own = this.countOf(account)
    return own.accepted * weights < accepted * own.weight ? MAX_WAITED_PART_BELOW_MEAN : MAX_WAITED_PART
  }

  private countOf(account: string | undefined): AccountCount {
    const [current, before] = [this.counts.get(account), this.countsBefore.get(account)]
    return { accepted: (current?.accepted ?? 0) + (before?.accepted ?? 0), weight: (current ?? before)?.weight ?? 1 }
  }

  private advanceWindow(): void {
    const now = this.now()
    if (now - this.windowStart < COUNT_WINDOW_MS)
      return
    this.countsBefore = now - this.windowStart < 2 * COUNT_WINDOW_MS ? this.counts : new Map()
    this.counts = new Map()
    this.windowStart = now
  }
}

function errorOfLate({ waitedMs, lateForMs }: ReadLateness, allowedMs: number): RequestError {
  const message = `the request was read ${Math.round(waitedMs)} ms after its arrival, of ${Math.round(allowedMs)} ms that it may take; requests have been read late for ${Math.round(lateForMs)} ms`
  return createError(ErrorKind.Overloaded, message, { ran: Ran.None, retryAfterMs: RETRY_AFTER_MS })
}

/**
 * Decides which requests are rejected because the gateway read them too late.
 *
 * Load: more requests than this process has processor time for, so that their
 * connections wait in the listener's queue, of accounts that differ many times in
 * what they ask for.
 * Inputs: how long a request waited before it was read, and may take until its
 * first event (ms); for how long the gateway has read requests late without a
 * break (ms); requests of each account that were accepted while it did, in the
 * last one to two COUNT_WINDOW_MS.
 * Rule: once requests have been read late for MIN_LATE_MS, one that has used up
 * MAX_WAITED_PART of its time is rejected. An account that had fewer accepted than
 * the mean of all accounts may wait for MAX_WAITED_PART_BELOW_MEAN. The retry
 * delay is the wait, in which what waits now has been read.
 * Why: in order of arrival, the wait grows to the time-out, so that nearly all
 * that is run ends too late. A rejection costs a fraction of a run, so the wait
 * stays at the bound, and what is run ends in time. After a short pause, what has
 * waited long is served, because clients would wait longer for a retry.
 * Log event: `request-ended` (`outcome`, `reason`).
 *
 * State: counts of accepted requests by account, in memory.
 */
import type { RequestError } from '@eidermast/common'
import type { RoutedRequest } from './routed-request.js'
import { createError, ErrorKind, Ran } from '@eidermast/common'

/** Requests that waited this long after a pause of the process do not mean that it has more than it can do. */
const MIN_LATE_MS = 1000
const MAX_WAITED_PART = 0.5
/** Leaves time for the request itself. */
const MAX_WAITED_PART_BELOW_MEAN = 0.75
const COUNT_WINDOW_MS = 1000

/** Rejects requests that were read too late, and counts the others. */
export class LateRequests {
  private accepted = new Map<string | undefined, number>()
  private acceptedBefore = new Map<string | undefined, number>()
  private windowStart = Number.NEGATIVE_INFINITY

  constructor(private readonly now = () => performance.now()) {}

  /** Returns the error for a request that is rejected; counts it as accepted otherwise. */
  check(request: Pick<RoutedRequest, 'arrivedAt' | 'firstEventBy' | 'account' | 'lateness'>): RequestError | undefined {
    const { lateness } = request
    if (lateness === undefined)
      return undefined
    this.advanceWindow()
    const account = request.account?.name
    const { waitedMs, lateForMs } = lateness
    const allowedMs = request.firstEventBy - request.arrivedAt
    if (lateForMs >= MIN_LATE_MS && waitedMs > allowedMs * this.maxWaitedPart(account)) {
      this.accepted.set(account, this.accepted.get(account) ?? 0)
      return errorOfLate(waitedMs, allowedMs, lateForMs)
    }
    this.accepted.set(account, (this.accepted.get(account) ?? 0) + 1)
    return undefined
  }

  private maxWaitedPart(account: string | undefined): number {
    const accounts = new Set([account, ...this.accepted.keys(), ...this.acceptedBefore.keys()])
    const total = [...accounts].reduce((sum, name) => sum + this.acceptedOf(name), 0)
    return this.acceptedOf(account) < total / accounts.size ? MAX_WAITED_PART_BELOW_MEAN : MAX_WAITED_PART
  }

  private acceptedOf(account: string | undefined): number {
    return (this.accepted.get(account) ?? 0) + (this.acceptedBefore.get(account) ?? 0)
  }

  private advanceWindow(): void {
    const now = this.now()
    if (now - this.windowStart < COUNT_WINDOW_MS)
      return
    this.acceptedBefore = now - this.windowStart < 2 * COUNT_WINDOW_MS ? this.accepted : new Map()
    this.accepted = new Map()
    this.windowStart = now
  }
}

function errorOfLate(waitedMs: number, allowedMs: number, lateForMs: number): RequestError {
  const message = `the gateway read the request ${Math.round(waitedMs)} ms after its arrival, of ${Math.round(allowedMs)} ms that it may take, and has read late for ${Math.round(lateForMs)} ms`
  return createError(ErrorKind.Overloaded, message, { ran: Ran.None, retryAfterMs: waitedMs })
}

/**
 * Decides the backoff between calls to the store after a failure.
 *
 * Inputs: number of consecutive failures of the same topic.
 * Rule: exponential from BASE_BACKOFF_MS to MAX_BACKOFF_MS, with a random factor
 * between one half and one. A failed announcement is retried after a random time
 * between MIN_ANNOUNCE_BACKOFF_MS and MAX_ANNOUNCE_BACKOFF_MS.
 * Why: each call is charged for, including rejected ones, and gateways that
 * failed together must not retry together.
 * Log events: `store-failed`, `announce-failed`.
 */

/** Base of the backoff. Delays changes by little after a short fault, without loading a busy store further. */
const BASE_BACKOFF_MS = 60

/** Limits the calls to a store that is down, and the delay of changes after an outage. */
const MAX_BACKOFF_MS = 800

/** Long enough that a store that is over its rate limit does not reject the retry too. */
const MIN_ANNOUNCE_BACKOFF_MS = 200

/** Limits how much later a gateway that starts during an outage is listed. */
const MAX_ANNOUNCE_BACKOFF_MS = 600

/** Backoff in milliseconds after this many consecutive failures. */
export function retryBackoffMs(failures: number): number {
  const upperBoundMs = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** failures)
  return randomBetween(upperBoundMs / 2, upperBoundMs)
}

/** Backoff in milliseconds after a failed announcement. */
export function announceBackoffMs(): number {
  return randomBetween(MIN_ANNOUNCE_BACKOFF_MS, MAX_ANNOUNCE_BACKOFF_MS)
}

function randomBetween(minimum: number, maximum: number): number {
  return minimum + Math.random() * (maximum - minimum)
}

/**
 * Decides the backoff between calls to the store after a failure.
 *
 * Inputs: number of consecutive failures of the same topic.
 * Rule: exponential from FIRST_PAUSE_MS to MAX_PAUSE_MS, with a random factor
 * between one half and one. A failed announcement is retried after a random time
 * between MIN_ANNOUNCE_PAUSE_MS and MAX_ANNOUNCE_PAUSE_MS.
 * Why: each call is charged for, including rejected ones, and gateways that
 * failed together must not retry together.
 * Log events: `store-failed`, `announce-failed`.
 */

/** Base of the backoff. With half of it a busy store is loaded further; twice delays changes. */
const FIRST_PAUSE_MS = 60

/** Half doubles the calls to a store that is down; twice makes changes take effect later after an outage. */
const MAX_PAUSE_MS = 800

/** With half of it, a store that is over its rate limit may reject the retry too. */
const MIN_ANNOUNCE_PAUSE_MS = 200

/** With twice as much, a gateway that starts during an outage is listed that much later. */
const MAX_ANNOUNCE_PAUSE_MS = 600

/** Backoff in milliseconds after this many consecutive failures. */
export function retryPauseMs(failures: number): number {
  const longest = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** failures)
  return drawBetween(longest / 2, longest)
}

/** Backoff in milliseconds after a failed announcement. */
export function announcePauseMs(): number {
  return drawBetween(MIN_ANNOUNCE_PAUSE_MS, MAX_ANNOUNCE_PAUSE_MS)
}

function drawBetween(minimum: number, maximum: number): number {
  return minimum + Math.random() * (maximum - minimum)
}

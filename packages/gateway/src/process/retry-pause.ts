/**
 * Decides how long this process waits before it calls the store again after a
 * failure.
 *
 * Inputs: failures in a row of the same topic.
 * Rule: twice as long after each failure, from FIRST_PAUSE_MS up to
 * MAX_PAUSE_MS; at random between half of that and all of it. An announcement
 * that fails waits between MIN_ANNOUNCE_PAUSE_MS and MAX_ANNOUNCE_PAUSE_MS.
 * Why: each call is priced, a refused one too, and gateways that failed
 * together must not call together again.
 * Log events: `store-failed`, `announce-failed`.
 */

/** Milliseconds before the first doubling. Half of it is felt by a store that is only busy, twice as much delays a change. */
const FIRST_PAUSE_MS = 60

/** Milliseconds. Half doubles the calls to a store that is down, twice puts a change in force later after an outage. */
const MAX_PAUSE_MS = 800

/** Milliseconds. Half of it may be refused again by a store over its rate. */
const MIN_ANNOUNCE_PAUSE_MS = 200

/** Milliseconds. With twice as much a gateway that starts during an outage is listed that much later. */
const MAX_ANNOUNCE_PAUSE_MS = 600

/** Milliseconds to wait after this many failures in a row. */
export function retryPauseMs(failures: number): number {
  const longest = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** failures)
  return drawBetween(longest / 2, longest)
}

/** Milliseconds to wait after an announcement that failed. */
export function announcePauseMs(): number {
  return drawBetween(MIN_ANNOUNCE_PAUSE_MS, MAX_ANNOUNCE_PAUSE_MS)
}

function drawBetween(minimum: number, maximum: number): number {
  return minimum + Math.random() * (maximum - minimum)
}

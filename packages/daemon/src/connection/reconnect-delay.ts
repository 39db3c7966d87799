/**
 * Decides how long a link waits before it connects again.
 *
 * Inputs: failed attempts in a row; a random number.
 * Rule: MIN_RECONNECT_MS, doubled after each attempt up to MAX_RECONNECT_MS,
 * times a random factor from MIN_JITTER to MIN_JITTER + 1.
 * Why random: after a restart of a side or of the network, all entries would
 * connect at the same moments.
 * Log event: none; `side-answers` says when the link stands again.
 */

/**
 * Milliseconds. Half connects twice as often to a side that restarts, twice
 * leaves a restarted side without work for 0.2 s more.
 */
const MIN_RECONNECT_MS = 200
/**
 * Milliseconds. Half connects twice as often to sides that are gone, twice
 * leaves one that was out for long without work for 2 s more.
 */
const MAX_RECONNECT_MS = 2000
/** Factor of the shortest wait; the longest is one more. Any spread of this order does. */
const MIN_JITTER = 0.5

/** The wait before the next attempt of one link. */
export class ReconnectDelay {
  private delayMs = MIN_RECONNECT_MS

  constructor(private readonly random: () => number = Math.random) {}

  /** An attempt succeeded: the next wait is a short one. */
  reset(): void {
    this.delayMs = MIN_RECONNECT_MS
  }

  /** Milliseconds to wait now. */
  next(): number {
    const waitMs = this.delayMs * (MIN_JITTER + this.random())
    this.delayMs = Math.min(this.delayMs * 2, MAX_RECONNECT_MS)
    return waitMs
  }
}

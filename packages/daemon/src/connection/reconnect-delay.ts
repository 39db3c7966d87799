/**
 * Decides how long a link waits before it reconnects.
 *
 * Inputs: the number of consecutive failed attempts; a random number.
 *
 * Exponential backoff with jitter: MIN_RECONNECT_MS, doubled after each attempt up
 * to MAX_RECONNECT_MS, times a random factor from MIN_JITTER to MIN_JITTER + 1.
 * Without jitter, all entries would reconnect at the same moments after a restart
 * of a side or of the network.
 *
 * Log event: none; `side-answers` shows when the link is established again.
 */

/**
 * First delay, up to 0.3 s with jitter. Limits the attempts to connect to a
 * restarting side, which gets no work in the meantime.
 */
const MIN_RECONNECT_MS = 200
/**
 * Longest delay, up to 3 s with jitter. Limits the attempts to connect to sides that
 * no longer exist; a side that is restored after a long outage gets no work in the
 * meantime.
 */
const MAX_RECONNECT_MS = 2000
/** Lowest jitter factor; the highest is one more. Keeps entries from reconnecting at the same time; the exact spread is not critical. */
const MIN_JITTER = 0.5

/** Backoff of one link. */
export class ReconnectDelay {
  private delayMs = MIN_RECONNECT_MS

  constructor(private readonly random: () => number = Math.random) {}

  /** Resets the delay after a successful attempt. */
  reset(): void {
    this.delayMs = MIN_RECONNECT_MS
  }

  /** Returns the delay before the next attempt, in milliseconds, and increases the following one. */
  next(): number {
    const waitMs = this.delayMs * (MIN_JITTER + this.random())
    this.delayMs = Math.min(this.delayMs * 2, MAX_RECONNECT_MS)
    return waitMs
  }
}

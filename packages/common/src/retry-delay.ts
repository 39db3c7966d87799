/**
 * Decides how long a refused caller should wait before it retries.
 *
 * Inputs: expected time until there is room for the caller (ms), the time over
 * which the callers refused meanwhile should return (ms), the longest delay that
 * leaves the caller time for a retry (ms).
 * Rule: not before there is room, spread evenly over the time after that, and
 * never later than the longest delay.
 * Why: callers that are all given the same delay return together and are refused
 * again; a delay that ends after the caller's own deadline is a final refusal.
 * Log event: the delay is logged with each refusal (`retryAfterMs`).
 */

/** Limits the rate of retries of one caller, whatever the estimate says. */
const MIN_RETRY_DELAY_MS = 50

/** Inputs of the retry delay, in milliseconds. */
export interface RetryDelayInputs {
  /** Expected time until there is room. */
  roomMs: number
  /** Time over which callers return once there is room. */
  spreadMs: number
  /** Longest useful delay. */
  maxMs: number
}

/** Returns a retry delay in milliseconds; `random` returns a number from 0 to 1. */
export function spreadRetryDelay({ roomMs, spreadMs, maxMs }: RetryDelayInputs, random: () => number = Math.random): number {
  const delayMs = Math.max(0, roomMs) + Math.max(0, spreadMs) * random()
  return Math.max(MIN_RETRY_DELAY_MS, Math.min(delayMs, maxMs))
}

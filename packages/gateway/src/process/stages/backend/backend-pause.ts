/**
 * Decides how long a backend server is paused after a failed call or after it
 * ran out of result memory.
 *
 * Inputs: consecutive failed calls at the backend server, counted in this
 * process.
 * Rule: exponential backoff from INITIAL_PAUSE_MS to MAX_PAUSE_MS after failed
 * calls. After an item without memory, a pause of MEMORY_PAUSE_MS, and for
 * MEMORY_EXHAUSTED_MS only memory that is freed meanwhile may be reserved.
 * Why: a backend server has a single execution slot, so a probe costs little,
 * but an immediate one repeats the failure. A longer pause for missing memory
 * would also block calls that could use memory that this process frees itself.
 * Log event: `stage-backend-paused`; missing memory shows in `stage-call`.
 */

/**
 * Pause after the first failed call. Avoids further failed calls, at the cost of
 * leaving a healthy backend server idle after a single failure.
 */
const INITIAL_PAUSE_MS = 100
/** Upper bound of the backoff, which limits how long a recovered backend server stays idle. */
const MAX_PAUSE_MS = 5000

/** Pause after a backend server ran out of result memory; short, since results are freed continuously. */
export const MEMORY_PAUSE_MS = 60
/** How long memory that was counted as free counts as used after an item found none. */
export const MEMORY_EXHAUSTED_MS = 400

/** Pause after a failed call, in milliseconds; `earlierFailures` counts the consecutive failed calls before it. */
export function failurePauseMs(earlierFailures: number): number {
  return Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** earlierFailures)
}

/**
 * Decides how long a backend server gets no calls after one failed or lacked
 * result memory.
 *
 * Inputs: failed calls in a row at the backend server (this process's own).
 * Rule: FIRST_PAUSE_MS after the first failed call, doubled with each further
 * one up to MAX_PAUSE_MS; a short pause after an item without memory, and no
 * more reservations than what is freed meanwhile for MEMORY_DISTRUST_MS.
 * Why: a backend server has one slot, so a probing call costs little, but an
 * immediate one repeats the failure. A longer pause after missing memory would
 * also stop calls for memory that this process frees itself.
 * Log event: `stage-backend-paused`; missing memory shows in `stage-call`.
 */

/**
 * First pause after a failed call, in milliseconds. Half of it sends more calls
 * into a failure, twice as much idles a healthy server.
 */
const INITIAL_PAUSE_MS = 100
/**
 * Longest pause after failed calls, in milliseconds. Twice as much leaves a
 * recovered backend server idle for 10 s.
 */
const MAX_PAUSE_MS = 5000

/** Pause after a backend server lacked result memory, in milliseconds: results are freed all the time. */
export const MEMORY_PAUSE_MS = 60
/** How long memory that a backend server turned out not to have counts as used, in milliseconds. */
export const MEMORY_EXHAUSTED_MS = 400

/** Pause after a failed call, in milliseconds; takes the failed calls in a row before it. */
export function failurePauseMs(earlierFailures: number): number {
  return Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** earlierFailures)
}

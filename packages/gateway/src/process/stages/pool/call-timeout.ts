/**
 * Decides after what time a stage call without an answer is aborted.
 *
 * Inputs: expected time of the call (ms, from the configured times and the
 * measured speed of the backend server).
 * Rule: TIMEOUT_FACTOR times the expected time, and TIMEOUT_MARGIN_MS.
 * Why: the slot of a backend server is serial, so that a second coordinator's
 * call may run before this one; a timeout near the expected time would abort
 * calls whose results are made all the same and use memory until they expire.
 * Log event: `stage-call` (tookMs, expectedMs, end `broken`).
 */

/**
 * At half of it a call behind another coordinator's is aborted, at twice as
 * much a silent backend server holds its items for seconds.
 */
const TIMEOUT_FACTOR = 2.5
/** Milliseconds. Covers connecting and a slow answer where calls are short. */
const TIMEOUT_MARGIN_MS = 400

/** Time after which a call is aborted, in milliseconds. */
export function callTimeoutMs(expectedMs: number): number {
  return expectedMs * TIMEOUT_FACTOR + TIMEOUT_MARGIN_MS
}

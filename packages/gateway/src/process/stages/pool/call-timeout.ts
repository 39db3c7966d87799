/**
 * Decides after what time a stage call without a response is aborted.
 *
 * Inputs: expected duration of the call (ms, from the configured times and the
 * measured speed of the backend server).
 * Rule: TIMEOUT_FACTOR times the expected duration, plus TIMEOUT_MARGIN_MS.
 * Why: backend servers run calls one at a time, so the call of a second
 * coordinator may run before this one. A timeout near the expected duration
 * would abort calls whose results are produced anyway and use memory until they
 * expire.
 * Log event: `stage-call` (tookMs, expectedMs, end `broken`).
 */

/**
 * Leaves time for a call of another coordinator that runs first, at the cost of
 * items that wait for seconds for an unresponsive backend server.
 */
const TIMEOUT_FACTOR = 2.5
/** Covers connection set-up and slow responses where calls are short. */
const TIMEOUT_MARGIN_MS = 400

/** Time after which a call is aborted, in milliseconds. */
export function callTimeoutMs(expectedMs: number): number {
  return expectedMs * TIMEOUT_FACTOR + TIMEOUT_MARGIN_MS
}

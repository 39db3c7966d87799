/**
 * Decides how long a stream that broke off waits for a backend server that may
 * continue it, where all of them are full.
 *
 * Inputs: time until the first of them accepts a request, as they report (ms,
 * current); time since the last event was passed on (ms); the time for which
 * clients of the route wait for an event, and the route's target for a first
 * event (ms); time left (ms).
 * Rule: until the first one accepts, at least RETRY_INTERVAL_MS, as long as the
 * next event can then still arrive before the client gives up; otherwise not at
 * all.
 * Why: a client that resumes its stream elsewhere meets the same full servers and
 * starts its stages again. Once it has given up, the work is done for nobody.
 * Log events: `attempt-waits`, then `route` or `request-ended` (`retry`).
 */

/** Lets a full backend server end a request; limits the attempts that it refuses. */
const RETRY_INTERVAL_MS = 200

/** Inputs of the decision, in milliseconds. */
export interface ContinuationWaitInputs {
  /** Time until the first backend server accepts a request; Infinity if none does. */
  opensInMs: number
  /** Time since the last event was passed on. */
  silentForMs: number
  /** Time for which the client waits for an event. */
  eventWaitMs: number
  /** Time in which a backend server usually sends its first event. */
  targetLatencyMs: number
  /** Time until the request's deadline. */
  remainingMs: number
}

/** The time to wait in milliseconds; undefined if the stream ends instead. */
export function decideContinuationWaitMs({ opensInMs, silentForMs, eventWaitMs, targetLatencyMs, remainingMs }: ContinuationWaitInputs): number | undefined {
  const waitMs = Math.max(RETRY_INTERVAL_MS, opensInMs)
  const availableMs = Math.min(eventWaitMs - silentForMs, remainingMs)
  return waitMs + targetLatencyMs <= availableMs ? waitMs : undefined
}

/**
 * Decides in which order the stage work of requests runs.
 *
 * Inputs: priority (0 is the most urgent), target (milliseconds on the process
 * clock), whether the client retries, expected time of the answer (ms,
 * engine-assignment.ts); all known when the request arrives.
 * Rule: by the time at which the stages have to be done for the answer to meet
 * its target, each level of priority shifted by PRIORITY_STEP_MS; a retry counts
 * as one level more urgent. A waiting task that will miss its target is
 * put back by LATE_STEP_MS.
 * Why: strict priority starved the least urgent kinds; a shifted target delays
 * them by a bounded time. By target alone, what is late already goes first, and
 * makes the next late too.
 * Log event: `stages-admission` (priority, targetMs, isRetry).
 */
import type { PreparationRequest } from '../../connection/peers/preparation.js'
import type { StageTask } from '../../request/stages/stage-task.js'

/**
 * Milliseconds that one level of priority is worth. Half of it lets less urgent requests delay urgent ones; twice
 * as much delays low levels for seconds in a burst.
 */
const PRIORITY_STEP_MS = 300

/** Milliseconds by which a task that will miss its target runs later. Without a bound it would wait for its deadline. */
const LATE_PENALTY_MS = 1500

/** Place in the order of a request that arrives now and whose answer takes some milliseconds, on the process clock; the least goes first. */
export function rankRequest({ priority, isRetry, targetMs }: PreparationRequest, answerMs: number, now: number): number {
  const level = priority - (isRetry ? 1 : 0)
  return now + targetMs - answerMs + level * PRIORITY_STEP_MS
}

/** Place in the order of a task that waits now for a call of some milliseconds; the least goes first. */
export function effectiveRank({ rank, targetAt, remainingMs }: StageTask, callMs: number, now: number): number {
  return now + callMs + remainingMs > targetAt ? rank + LATE_PENALTY_MS : rank
}

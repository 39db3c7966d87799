/**
 * Decides in which order the stage work of requests runs.
 *
 * Inputs: priority (0 is the most urgent), target (milliseconds on the process
 * clock), whether the client retries, expected time of the answer (ms,
 * engine-assignment.ts); all known when the request arrives.
 * Rule: by the time at which the stages have to be done for the answer to meet
 * its target, shifted by PRIORITY_STEP_MS per priority level; a retry counts as
 * one level more urgent. A waiting task that will miss its target is postponed by
 * LATE_PENALTY_MS.
 * Why: strict priority starves the least urgent kinds; a shifted target delays
 * them by a bounded time. By target alone, late work would go first and make the
 * next request late too.
 * Log event: `stages-admission` (priority, targetMs, isRetry).
 */
import type { PreparationRequest } from '../../connection/peers/preparation.js'
import type { StageTask } from '../../request/stages/stage-task.js'

/**
 * Shift of one priority level. Keeps less urgent requests from delaying urgent
 * ones, without delaying low priorities for seconds in a burst.
 */
const PRIORITY_STEP_MS = 300

/** Delay of a task that will miss its target. Without a bound it would wait until its deadline. */
const LATE_PENALTY_MS = 1500

/** Rank of a request that arrives now, in milliseconds on the monotonic clock; the lowest rank runs first. */
export function rankRequest({ priority, isRetry, targetMs }: PreparationRequest, answerMs: number, now: number): number {
  const level = priority - (isRetry ? 1 : 0)
  return now + targetMs - answerMs + level * PRIORITY_STEP_MS
}

/** Rank of a task that waits now for a call of some milliseconds, postponed if it will be late; the lowest runs first. */
export function effectiveRank({ rank, targetAt, remainingMs }: StageTask, callMs: number, now: number): number {
  return now + callMs + remainingMs > targetAt ? rank + LATE_PENALTY_MS : rank
}

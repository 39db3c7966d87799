/**
 * Decides when a refused caller is told to return.
 *
 * Inputs: expected time to the first event (ms, `stage-admission.ts`); target and
 * deadline of the request (ms left); time that the work of the callers takes that
 * were refused in the last moments (ms).
 * Rule: as late as a client waits, which is MAX_DEADLINE_SHARE of its time, spread
 * over the time that the work refused meanwhile takes; never before the queue is
 * expected to be short enough.
 * Why: work runs by its target, so whoever does not fit now would fit later only
 * in the place of somebody else. Callers that return after the burst find room
 * that nobody else needs; those that return soon are served late as well, and
 * delay others. Callers that return together are refused together.
 * Log event: `stages-admission` (`retryAfterMs`).
 * Load: bursts of one kind, in which many callers are refused within moments.
 */
import type { PreparationRequest } from '../../../connection/peers/preparation.js'
import { spreadRetryDelay } from '@eidermast/common'

/** Part of its remaining time for which a client waits before it retries. */
const MAX_DEADLINE_SHARE = 1 / 3
/** Delay if a service has no backend server. Short, so that clients return soon after a restart. */
const NO_BACKEND_DELAY_MS = 800

/** Delay of a refused request in milliseconds; `random` returns a number from 0 to 1. */
export function refusalDelayMs(
  { targetMs, deadlineMs }: Pick<PreparationRequest, 'targetMs' | 'deadlineMs'>,
  finishMs: number,
  refusedWorkMs: number,
  random: () => number,
): number {
  const maxMs = deadlineMs * MAX_DEADLINE_SHARE
  const isQueued = Number.isFinite(finishMs)
  const roomMs = isQueued ? Math.max(finishMs - targetMs, maxMs - refusedWorkMs) : NO_BACKEND_DELAY_MS
  return spreadRetryDelay({ roomMs, spreadMs: refusedWorkMs, maxMs }, random)
}

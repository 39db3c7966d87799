/**
 * Decides, for a gateway whose call to the coordinator failed, whether the
 * coordinator counts as failed or is asked again.
 *
 * Inputs: the error of the call; whether a call for the same request failed at
 * this coordinator before.
 * Rule: it counts as failed where its address refuses connections or at the
 * second failed call of a request; else the request asks it again.
 * Why: one reset connection says little. When each failed call counted, the
 * coordinator changed five times on a day with resets and two worked at once.
 * A coordinator that is silent is found by the heartbeats instead.
 * Log event: `stage-coordinator-failed`, `stage-coordinator-call-failed`.
 */
import { isConnectionRefused } from '../../connection/error-codes.js'

/** Whether a coordinator counts as failed after a failed call; `failedBefore`: another call of the request failed there. */
export function isCoordinatorFailure(error: unknown, failedBefore: boolean): boolean {
  return isConnectionRefused(error) || failedBefore
}

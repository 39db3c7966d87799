/**
 * Decides, for a gateway whose call to the coordinator failed, whether the
 * coordinator is considered failed or called again.
 *
 * Inputs: the error of the call; whether an earlier call for the same request
 * failed at this coordinator.
 * Rule: it is considered failed if its address refuses connections, or at the
 * second failed call of a request; otherwise the request calls it again.
 * Why: a single connection reset is weak evidence. When every failed call
 * counted, the coordinator changed five times in a test day with connection
 * resets, and two coordinators were active at once. A coordinator that does not
 * respond is detected by heartbeats instead.
 * Log event: `stage-coordinator-failed`, `stage-coordinator-call-failed`.
 */
import { isConnectionRefused } from '../../connection/error-codes.js'

/** Whether a failed call means that the coordinator failed; `failedBefore`: an earlier call of the request failed there. */
export function isCoordinatorFailure(error: unknown, failedBefore: boolean): boolean {
  return isConnectionRefused(error) || failedBefore
}

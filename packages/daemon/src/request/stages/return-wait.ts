/**
 * Decides whether a stage without a backend server to call waits for one to
 * return.
 *
 * Inputs: what is known about work of the request that ran (as of now); whether
 * a backend server of the stage may return; milliseconds since the stage started
 * to wait; whether the request has ended or has no time left.
 * Rule: a stage waits only if the request may have run in part and a backend
 * server may return, for at most MAX_RETURN_WAIT_MS.
 * Why: if nothing ran, a rejection costs the caller little, because it can send
 * the request to another entry at once. Rejecting a request that may have run
 * discards its work and leaves the caller with an unknown outcome. Only requests
 * that were in progress when their backend servers were lost wait, so waiting
 * requests do not accumulate during an outage.
 * Log event: `wait-for-backend`, then `choose`.
 */
import { Ran } from '@eidermast/common'

/**
 * Covers a backend server that is paused for a second or two and then
 * reconnects, at the cost of a later error if it does not return.
 */
export const MAX_RETURN_WAIT_MS = 3000

/** A stage that has no backend server to call. */
export interface ReturnWaitInputs {
  ran: Ran
  /** Whether a backend server that can serve the stage does not respond, but is not known to have ended. */
  mayReturn: boolean
  waitedMs: number
  /** Whether the request has ended or has no time left. */
  ended: boolean
}

/** Whether the stage continues to wait. */
export function shouldWaitForReturn({ ran, mayReturn, waitedMs, ended }: ReturnWaitInputs): boolean {
  return ran !== Ran.None && mayReturn && !ended && waitedMs < MAX_RETURN_WAIT_MS
}

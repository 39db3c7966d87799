/**
 * Decides which requests a stopping gateway ends before they are answered.
 *
 * Inputs: the step of the shutdown; whether the request was read to its end,
 * whether its answer has begun, whether its stage work has begun or it may have
 * been sent to a backend server (as of now); its deadline, and when unanswered
 * requests are answered for the last time (both monotonic clock, ms).
 * Rule: at the last time, end every request whose answer has not begun. Before,
 * end requests whose deadline is later than that time: once new requests are
 * refused, those that are not read yet; once the listener is closed, because
 * another gateway serves, those for which no work has begun. A request that has
 * not run is rejected as such, another one ends with an unknown outcome.
 * Why: the end of a connection tells its client nothing. A request whose last byte
 * comes late, or that still waits while another gateway serves, may be cut off here.
 * Work that has begun would be lost, and a request that is due before the last
 * time gets its answer here by then.
 * Log event: `request-ended` (`stopping`, or `outcome-unknown`).
 */
import { DrainStep } from './drain-plan.js'

/** State of a request that is not answered completely. */
export interface OpenRequestState {
  /** Whether it was read to its end. */
  isRead: boolean
  /** Whether its answer has begun. */
  hasAnswerBegun: boolean
  /** Whether its stage work has begun, or it may have been sent to a backend server. */
  hasWorkBegun: boolean
  /** Monotonic clock, in milliseconds. */
  deadlineAt: number
}

/** Whether a request is ended now; `latestAnswerAt` is on the monotonic clock, in milliseconds. */
export function isEndedByStop({ isRead, hasAnswerBegun, hasWorkBegun, deadlineAt }: OpenRequestState, step: DrainStep, latestAnswerAt: number): boolean {
  if (hasAnswerBegun || step === DrainStep.Serve)
    return false
  if (step === DrainStep.Answer)
    return true
  const isLate = !isRead || (step === DrainStep.Close && !hasWorkBegun)
  return isLate && deadlineAt > latestAnswerAt
}

/**
 * Decides whether an item is sent again after it or its call failed.
 *
 * Inputs: the failure, failed calls of the item including this one, and the
 * retry budget of the service (this coordinator's share).
 * Rule: a call that was not sent is retried without being counted. An item that
 * is late or whose input is lost fails its task. Anything else is sent again, in
 * up to MAX_ITEM_FAILURES calls, as long as the budget allows.
 * Why: items are safe to run again, but a retry displaces other requests and
 * counts against the retry budget of the service. A lost input is not recovered
 * by a retry.
 * Log event: `stage-call` (failures, end).
 */
import { ItemFailure, StageCallEnd } from '../../../connection/backends/stage-client.js'

/**
 * Failed calls after which an item fails its task. Allows for two broken calls;
 * after a further retry the request would miss most targets.
 */
const MAX_ITEM_FAILURES = 3

/** Why an item has no result. */
export type ItemFailureCause = ItemFailure | Exclude<StageCallEnd, StageCallEnd.Done>

/** Whether an item is queued for another call, or why its task fails. */
export type ItemRetryDecision = { isRetried: true } | { isRetried: false, failure: ItemFailure }

const RETRY: ItemRetryDecision = { isRetried: true }

/** Whether a failure counts against the item, which it does unless its call was not sent. */
export function countsAsFailure(cause: ItemFailureCause): boolean {
  return cause !== StageCallEnd.NotSent
}

/** Decides on an item; consumes the retry budget only if the decision depends on it. */
export function decideItemRetry(cause: ItemFailureCause, failures: number, consumeBudget: () => boolean): ItemRetryDecision {
  if (cause === ItemFailure.Late || cause === ItemFailure.InputGone)
    return { isRetried: false, failure: cause }
  if (!countsAsFailure(cause))
    return RETRY
  const isAllowed = failures < MAX_ITEM_FAILURES && consumeBudget()
  return isAllowed ? RETRY : { isRetried: false, failure: ItemFailure.Error }
}

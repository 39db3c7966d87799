/**
 * Decides whether an item is sent again after it failed or its call did.
 *
 * Inputs: what happened, failed calls of the item including this one, and the
 * retry budget of the service (this coordinator's part).
 * Rule: a call that reached nobody is retried without a count. An item that
 * is late or lacks an input fails its task. Anything else is sent again, up to
 * MAX_ITEM_FAILURES calls, as long as the budget allows.
 * Why: items are safe to run again, but a retry takes a place from other
 * requests and counts in the service's retry budget. A lost input is not found
 * by a retry.
 * Log event: `stage-call` (failures, end).
 */
import { ItemFailure, StageCallEnd } from '../../../connection/backends/stage-client.js'

/**
 * Calls in which an item may fail. One more delays the request past most
 * targets, one less fails it at a second lost call.
 */
const MAX_ITEM_FAILURES = 3

/** What happened to an item. */
export type ItemFailureCause = ItemFailure | Exclude<StageCallEnd, StageCallEnd.Done>

/** Whether an item waits for another call, or why its task fails. */
export type ItemRetryDecision = { isRetried: true } | { isRetried: false, failure: ItemFailure }

const RETRY: ItemRetryDecision = { isRetried: true }

/** Whether a failure counts against the item: it does unless the call reached nobody. */
export function countsAsFailure(cause: ItemFailureCause): boolean {
  return cause !== StageCallEnd.NotSent
}

/** Decides on an item; asks the budget, and so uses it, only where it decides. */
export function decideItemRetry(cause: ItemFailureCause, failures: number, consumeBudget: () => boolean): ItemRetryDecision {
  if (cause === ItemFailure.Late || cause === ItemFailure.InputGone)
    return { isRetried: false, failure: cause }
  if (!countsAsFailure(cause))
    return RETRY
  const isAllowed = failures < MAX_ITEM_FAILURES && consumeBudget()
  return isAllowed ? RETRY : { isRetried: false, failure: ItemFailure.Error }
}

/**
 * Decides how long the body of a request waits for room before it is read, and
 * when a client that got none should return.
 *
 * Answers this load: more large bodies at once than this process can hold.
 * Inputs: the client's deadline (ms from arrival; undefined if it sent none).
 * Rule: a body waits for MAX_BODY_WAIT_MS, and never longer than a part of the
 * client's deadline. Its client is told to return after that time again, spread
 * over RETURN_SPREAD_MS, while half of its deadline is left.
 * Why: another gateway may have room, so that a short wait and a refusal that
 * comes in time serve the client better than a long wait here.
 * Log event: `held-refused` (`waitedMs`, `retryAfterMs`).
 */
import { spreadRetryDelay } from '@eidermast/common'

/** Clients take another gateway when their request is not read within a second. */
const MAX_BODY_WAIT_MS = 500
/** Leaves most of the client's time for its retry. */
const WAIT_SHARE = 1 / 4
/** Time within which answers are written to clients that read. */
const RETURN_SPREAD_MS = 2000
/** Longest retry delay, in parts of the client's deadline. */
const RETURN_SHARE = 1 / 2
/** For clients that send no deadline. */
const DEFAULT_DEADLINE_MS = 10_000

/** Milliseconds for which a body waits. */
export function decideBodyWaitMs(deadlineMs = DEFAULT_DEADLINE_MS): number {
  return Math.min(MAX_BODY_WAIT_MS, deadlineMs * WAIT_SHARE)
}

/** Milliseconds after which a client that got no room should return. */
export function decideReturnMs(deadlineMs = DEFAULT_DEADLINE_MS, random?: () => number): number {
  return spreadRetryDelay({ roomMs: MAX_BODY_WAIT_MS, spreadMs: RETURN_SPREAD_MS, maxMs: deadlineMs * RETURN_SHARE }, random)
}

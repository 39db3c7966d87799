/**
 * Decides the time limits of a request: when its response has to be complete,
 * when its first event has to be sent, and how long one attempt may wait for the
 * response head and for the rest of an event.
 *
 * Inputs: the deadline that the client sent (ms from the request's arrival); the
 * route's timeout, target latency and longest gap (ms, of the configuration in
 * effect on arrival); time left (ms, read at each attempt); with adaptive
 * admission the expected time of the attempt, by the load of its backend server
 * when it starts (ms).
 * Rule: the whole request is limited by the shorter of the client's deadline and
 * the route's timeout. Clients of streams also give up if no event arrives for a
 * time that depends on the route. An attempt that may be followed by another one
 * is abandoned once its response misses the target latency, or several times the
 * expected time where that is longer; the last one may use all the time left.
 * Why: work for a client that has given up occupies a slot that another request
 * could use. A fixed attempt timeout would either cut off slow routes or leave
 * fast ones no time for a second attempt. Under load, a cut at the target wastes
 * the slot, sends the request again and counts against a sound backend server.
 * Log events: `route` (`remainingMs`), `call-failed` (kind `aborted`).
 */
import type { Route } from '../version/configuration.js'

/**
 * For clients that send no deadline. Leaves time for long responses, at the cost
 * of slots that stay occupied after such a client has given up.
 */
const DEFAULT_DEADLINE_MS = 10_000
/**
 * Reserved for sending the response, so that it arrives before the client gives
 * up, at the cost of rejecting requests that could be answered in this time.
 */
const RESPONSE_MARGIN_MS = 20

/** Clients wait at least this long for an event of a stream; this and the two factors are limits of the clients. */
const MIN_EVENT_WAIT_MS = 2000
/** How long clients wait for an event, in multiples of the route's target latency. */
const EVENT_WAIT_TARGET_FACTOR = 4
/** How long clients wait for an event, in multiples of the route's longest gap. */
const EVENT_WAIT_GAP_FACTOR = 8

/** Part of the time that clients wait for an event in which it has to arrive once it has begun. */
const EVENT_TRANSFER_SHARE = 0.5

/**
 * Minimum time of an attempt that may be followed by another one. Keeps routes
 * with a short target from abandoning healthy calls, and leaves them time for a
 * second attempt.
 */
const MIN_ATTEMPT_MS = 150

/** Multiple of the expected time that an attempt may last, since estimates of load are as old as the last report. */
const EXPLAINED_FACTOR = 3

/** Deadlines of a request, on the monotonic clock in milliseconds. */
export interface RequestDeadlines {
  /** When the response has to be complete. */
  deadlineAt: number
  /** When the first event has to be sent; not later than `deadlineAt`. */
  firstEventBy: number
}

/** A request whose stream goes on. */
export interface ContinuedRequest {
  route: Route
  /** When its response has to be complete, on the monotonic clock in milliseconds. */
  deadlineAt: number
}

/** Computes the deadlines of a request; `arrivedAt` is on the monotonic clock in milliseconds. */
export function decideDeadlines(arrivedAt: number, clientDeadlineMs: number | undefined, route: Route): RequestDeadlines {
  const allowedMs = Math.min(clientDeadlineMs ?? DEFAULT_DEADLINE_MS, route.timeoutMs)
  const deadlineAt = arrivedAt + allowedMs - RESPONSE_MARGIN_MS
  const firstEventBy = arrivedAt + maxEventWaitMs(route) - RESPONSE_MARGIN_MS
  return { deadlineAt, firstEventBy: Math.min(deadlineAt, firstEventBy) }
}

/**
 * The limits of the stage work for a stream that broke off after an event, on the
 * monotonic clock in milliseconds: its target counts from that event, and its
 * client waits for the next one as long as for the first.
 */
export function decideContinuationLimits(lastEventAt: number, { route, deadlineAt }: ContinuedRequest): { arrivedAt: number, firstEventBy: number } {
  return { arrivedAt: lastEventAt, firstEventBy: Math.min(deadlineAt, lastEventAt + maxEventWaitMs(route) - RESPONSE_MARGIN_MS) }
}

/** How long clients wait for an event of a route, in milliseconds. */
export function maxEventWaitMs(route: Route): number {
  if (!route.streaming)
    return route.timeoutMs
  return Math.max(MIN_EVENT_WAIT_MS, EVENT_WAIT_TARGET_FACTOR * route.targetLatencyMs, EVENT_WAIT_GAP_FACTOR * route.targetGapMs)
}

/**
 * How long an event of a stream may take from its first byte to its last, in
 * milliseconds. Leaves time to continue the stream at another backend server.
 */
export function maxEventTransferMs(route: Route): number {
  return EVENT_TRANSFER_SHARE * maxEventWaitMs(route)
}

/** Inputs of the time limit of one attempt. */
export interface HeadTimeoutInputs {
  /** Milliseconds until the request's deadline; negative if it has passed. */
  remainingMs: number
  targetLatencyMs: number
  /** Whether the request may run again after this attempt. */
  mayRunAgain: boolean
  /** Expected wait and time at the backend server, in milliseconds; undefined if unknown or if load is no reason to wait. */
  expectedMs?: number
}

/** Computes how long one attempt may wait for the response head, in milliseconds. */
export function decideHeadTimeoutMs({ remainingMs, targetLatencyMs, mayRunAgain, expectedMs }: HeadTimeoutInputs): number {
  const availableMs = atLeastOneMs(remainingMs)
  if (!mayRunAgain)
    return availableMs
  return Math.min(availableMs, Math.max(MIN_ATTEMPT_MS, targetLatencyMs, longestExplainedMs(expectedMs)))
}

/** Whether load explains that an attempt has lasted `tookMs` milliseconds without an answer. */
export function isExplainedByLoad(tookMs: number, expectedMs: number | undefined): boolean {
  return tookMs < longestExplainedMs(expectedMs)
}

function longestExplainedMs(expectedMs = 0): number {
  return expectedMs * EXPLAINED_FACTOR
}

/** Raises a remaining time to at least 1 ms, so that a timer for a deadline that has passed fires at once. */
export function atLeastOneMs(milliseconds: number): number {
  return Math.max(1, milliseconds)
}

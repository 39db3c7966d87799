/**
 * Decides when a request is abandoned: the time by which its answer has to be
 * complete, the time by which its first event has to be sent, and how long one
 * attempt may wait for the head of an answer.
 *
 * Inputs: the deadline that the client sent (ms from the request's arrival),
 * the route's timeout, target and longest gap (ms, of the configuration in
 * force when the request came), time left (ms, read at each attempt).
 * Rule: the shorter of client's deadline and route's timeout bounds the whole
 * request; clients of streams also stop waiting when nothing comes for a time
 * that follows from the route. An attempt that another one may follow is
 * abandoned once the answer misses its target; the last one may use all time
 * that is left.
 * Why: work for a client that stopped waiting takes a slot from one that waits.
 * A fixed time for an attempt would either cut off slow routes or leave fast
 * ones without time for a second attempt.
 * Log events: `route` (`remainingMs`), `call-failed` (kind `aborted`).
 */
import type { Route } from '../version/configuration.js'

/**
 * Milliseconds; for clients that send no deadline. Half would cut off long
 * answers, twice would hold slots longer.
 */
const DEFAULT_DEADLINE_MS = 10_000
/**
 * Milliseconds kept for the answer's way to the client. Too little answers
 * after the client left, too much refuses work.
 */
const ANSWER_MARGIN_MS = 20

/** Milliseconds; clients wait at least this long for an event of a stream. */
const MIN_SILENCE_MS = 2000
/** Targets of the route that clients wait for an event. Their own limit, as above. */
const SILENCE_TARGETS = 4
/** Longest gaps of the route that clients wait for an event. Their own limit, as above. */
const SILENCE_GAPS = 8

/**
 * Milliseconds; an attempt that another may follow gets at least this long.
 * Half would abandon sound calls of routes with a short target, twice would
 * leave those routes no second attempt.
 */
const MIN_ATTEMPT_MS = 150

/** When a request is abandoned: milliseconds of the process clock. */
export interface RequestDeadlines {
  /** The answer has to be complete. */
  deadlineAt: number
  /** The first event has to be sent; the same as `deadlineAt` or earlier. */
  firstEventBy: number
}

/** Decides the deadlines of a request that arrived at a time of the process clock, in milliseconds. */
export function decideDeadlines(arrivedAt: number, clientDeadlineMs: number | undefined, route: Route): RequestDeadlines {
  const allowedMs = Math.min(clientDeadlineMs ?? DEFAULT_DEADLINE_MS, route.timeoutMs)
  const deadlineAt = arrivedAt + allowedMs - ANSWER_MARGIN_MS
  const firstEventBy = arrivedAt + maxSilence(route) - ANSWER_MARGIN_MS
  return { deadlineAt, firstEventBy: Math.min(deadlineAt, firstEventBy) }
}

/** How long clients wait for an event of a route, in milliseconds. */
function maxSilence(route: Route): number {
  if (!route.streaming)
    return route.timeoutMs
  return Math.max(MIN_SILENCE_MS, SILENCE_TARGETS * route.targetLatencyMs, SILENCE_GAPS * route.targetGapMs)
}

/** What the time of one attempt follows from. */
export interface AttemptTimeInputs {
  /** Milliseconds until the request's deadline; negative where it has passed. */
  remainingMs: number
  targetLatencyMs: number
  /** Whether the request may run once more after this attempt. */
  mayRunAgain: boolean
}

/** Decides how long one attempt may wait for the head of an answer, in milliseconds. */
export function decideAttemptTime({ remainingMs, targetLatencyMs, mayRunAgain }: AttemptTimeInputs): number {
  const wholeMs = atLeastOne(remainingMs)
  if (!mayRunAgain)
    return wholeMs
  return Math.min(wholeMs, Math.max(MIN_ATTEMPT_MS, targetLatencyMs))
}

/** A time for a timer: what is past its end fires at once, never before it was set. */
export function atLeastOne(milliseconds: number): number {
  return Math.max(1, milliseconds)
}

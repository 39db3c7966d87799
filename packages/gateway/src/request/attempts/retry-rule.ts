/**
 * Decides whether a request that a backend server did not answer is sent to
 * another one.
 *
 * Inputs: how the attempts so far ended, the route's flags and its limit of
 * runs, time left (ms, current), whether there is a backend server that was not
 * tried, when the first of them accepts a request (ms).
 * Rule: a request that provably did not run is sent again. One that ran or may
 * have run is sent again only if the route allows that, and runs at most as often
 * as the route says. Both need enough time for a response and, if the call
 * reached a backend server or was abandoned while it waited for a connection, a
 * retry from the budget (retry-budget.ts). With adaptive admission, a request
 * that may have run waits for a backend server that accepts it in time.
 * Why: running a request twice without permission gives a wrong result, which is
 * worse than none. A call that reached no backend server costs the pool nothing,
 * so its retry is free; every other retry adds load where calls already fail.
 * Log events: `call-failed` for each attempt, `request-ended` (`retry`) for the
 * decision that ended the attempts.
 */
import type { CallFailure } from '../../connection/backends/backend-client.js'
import type { Route } from '../../version/configuration.js'
import { CallFailureKind } from '../../connection/backends/backend-client.js'

/**
 * Least remaining time for another attempt. Avoids calls that cannot be answered
 * in time, at the cost of refusing some that can.
 */
const MIN_REMAINING_MS = 30
/**
 * Attempts per request, including those that did not run. Enough for requests to
 * succeed while a pool is being replaced; limits the retries while a pool is full.
 */
const MAX_ATTEMPTS = 6

/** Failures of calls that reached no backend server. */
const FREE_TO_RETRY: ReadonlySet<CallFailureKind> = new Set([CallFailureKind.NotSent, CallFailureKind.Leaving, CallFailureKind.Withheld])

/** How one attempt ended. */
export enum AttemptEnd {
  Answered = 'answered',
  /** It provably did not run. */
  NotRun = 'not-run',
  /** It was sent, and there is no evidence whether it ran. */
  MayHaveRun = 'may-have-run',
  /** The backend server ran it and responded with a server error. */
  ServerError = 'server-error',
}

/** The attempts of a request so far. */
export interface AttemptHistory {
  attempts: number
  /** Attempts that ran or may have run. */
  runs: number
  /** How the last one ended; undefined before the first. */
  lastEnd?: AttemptEnd
  /** Whether any byte of the last one reached a backend server. */
  reachedBackend: boolean
}

/** Whether there is another attempt; if not, why. */
export enum RetryDecision {
  Proceed = 'proceed',
  /** It ran or may have run, and the route does not allow a second run. */
  NotRepeatable = 'not-repeatable',
  /** It ran or may have run as often as the route allows. */
  RunsUsed = 'runs-used',
  AttemptsUsed = 'attempts-used',
  /** The client disconnected. */
  Cancelled = 'cancelled',
  NoBackend = 'no-backend',
  NoTime = 'no-time',
  /** The service's retry budget is used up. */
  BudgetUsed = 'budget-used',
  /** Requests like it have crashed the backend servers that ran them. */
  Quarantined = 'quarantined',
  /** Its stage results are lost and could not be recreated. */
  InputsGone = 'inputs-gone',
  /** A full backend server refused it, and there is no room at others in time. */
  NoRoom = 'no-room',
}

/** How an attempt ended whose call failed. */
export function endOfFailure(failure: CallFailure): AttemptEnd {
  const mayHaveRun = failure.kind === CallFailureKind.Broken || failure.kind === CallFailureKind.Aborted
  return mayHaveRun ? AttemptEnd.MayHaveRun : AttemptEnd.NotRun
}

/** Whether no byte of a failed call was sent. */
export function isUnsent(failure: CallFailure): boolean {
  return isFreeToRetry(failure) || failure.kind === CallFailureKind.AbandonedUnsent
}

/** Whether a failed call cost its backend server nothing, so that a retry needs no budget. */
export function isFreeToRetry(failure: CallFailure): boolean {
  return FREE_TO_RETRY.has(failure.kind)
}

/** Whether the request may run again if the attempt that starts now fails. */
export function mayRunAfterNext(history: AttemptHistory, route: Route): boolean {
  return !route.streaming && route.repeatable && history.runs + 1 < route.maxAttempts
}

/** Decides after a failed attempt whether another one is safe. */
export function decideAfterAttempt(history: AttemptHistory, route: Route, cancelled: boolean): RetryDecision {
  if (cancelled)
    return RetryDecision.Cancelled
  const repeatable = route.streaming ? route.resumable : route.repeatable
  if (history.lastEnd !== AttemptEnd.NotRun && !repeatable)
    return RetryDecision.NotRepeatable
  if (history.lastEnd !== AttemptEnd.NotRun && history.runs >= route.maxAttempts)
    return RetryDecision.RunsUsed
  return history.attempts >= MAX_ATTEMPTS ? RetryDecision.AttemptsUsed : RetryDecision.Proceed
}

/** Inputs of the decision before an attempt. */
export interface NextAttemptInputs {
  history: AttemptHistory
  /** Whether there is a backend server that was not tried. */
  hasBackend: boolean
  /** Milliseconds until the request's deadline. */
  remainingMs: number
}

/** Decides before an attempt whether it can succeed; the time left does not prevent the first one. */
export function decideBeforeAttempt({ history, hasBackend, remainingMs }: NextAttemptInputs): RetryDecision {
  if (!hasBackend)
    return RetryDecision.NoBackend
  if (history.attempts > 0 && remainingMs < MIN_REMAINING_MS)
    return RetryDecision.NoTime
  return RetryDecision.Proceed
}

/** Inputs of the decision whether to wait for a backend server. */
export interface BackendWaitInputs {
  history: AttemptHistory
  /** Milliseconds until the first backend server that was not tried accepts a request; Infinity if there is none. */
  opensInMs: number
  /** Milliseconds until the request's deadline. */
  remainingMs: number
}

/** Decides whether a request that may have run waits for a backend server; one that has not run is refused with the wait as its retry delay. */
export function mayAwaitBackend({ history, opensInMs, remainingMs }: BackendWaitInputs): boolean {
  return history.runs > 0 && opensInMs > 0 && opensInMs + MIN_REMAINING_MS <= remainingMs
}

/** Whether the next attempt is a retry that counts against the budget. */
export function needsBudget(history: AttemptHistory): boolean {
  return history.attempts > 0 && history.reachedBackend
}
